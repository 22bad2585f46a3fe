package catalogstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/platform"
)

// Errors that callers test with errors.Is.
var (
	// ErrChangeIDReused means: another change was accepted under the same id.
	ErrChangeIDReused = errors.New("change id was used for another change")
	// ErrContention means: other operators' changes came first at each try; nothing was accepted.
	ErrContention = errors.New("other changes came first at each attempt")
	// ErrNoChangeID means: the change carries no id, so a repeat could not be recognised.
	ErrNoChangeID = errors.New("change id is missing")
)

// ConflictError means: the caller expected another generation than the head.
// Nothing was accepted.
type ConflictError struct {
	Expected, Head uint64
}

// Error names both generations.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("expected generation %d, generation %d is accepted", e.Expected, e.Head)
}

// Proposal is a change to be accepted.
type Proposal struct {
	// ChangeID is the caller's; a repeat with the same id is accepted once.
	ChangeID string
	// Digest of the caller's request, so that an id is not used for two.
	Digest   []byte
	Operator string
	// ExpectGeneration of the head; 0: any.
	ExpectGeneration uint64
	DryRun           bool
	// Edit computes the difference to the table at the head. It may be called
	// several times, once per attempt.
	Edit func(*catalog.Table) (catalog.Difference, error)
}

// Accepted is the outcome of a proposal.
type Accepted struct {
	// Generation that the change made; the head's when nothing changed.
	Generation uint64
	// Changed is false when the set was in force already.
	Changed    bool
	Difference catalog.Difference
	// Change and Table are set when this call made the generation.
	Change *jayv1.Change
	Table  *catalog.Table
}

// Accept accepts a proposal at the head in one transaction, or nothing of it.
//
// Errors: *findings.Error for a set with faults, *ConflictError,
// ErrChangeIDReused, platform.ErrUnavailable when nothing was done, and
// platform.ErrUnknown when the outcome could not be settled: the caller
// repeats the proposal with the same id.
func (s *Store) Accept(ctx context.Context, proposal Proposal) (Accepted, error) {
	if proposal.ChangeID == "" && !proposal.DryRun {
		return Accepted{}, ErrNoChangeID
	}
	unsettled := false
	for range s.options.Attempts {
		accepted, again, err := s.attempt(ctx, proposal)
		switch {
		case errors.Is(err, platform.ErrUnknown):
			// Lost answer: the change may be in the table, or may still arrive.
			// The next attempt settles it: it finds the row of the change id, or
			// commits on the same head version, which only one of both can.
			unsettled = true
		case err != nil && unsettled && isPlatform(err):
			// The earlier attempt is still open, so "nothing was done" would be
			// a lie, although it is true of this attempt.
			return Accepted{}, eris.Wrapf(platform.ErrUnknown, "change %s: %v", proposal.ChangeID, err)
		case err != nil || !again:
			return accepted, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	if unsettled {
		return Accepted{}, eris.Wrapf(platform.ErrUnknown, "change %s", proposal.ChangeID)
	}
	return Accepted{}, ErrContention
}

// isPlatform tells whether the error says nothing of the change itself.
func isPlatform(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, context.Canceled) ||
		errors.Is(err, context.DeadlineExceeded)
}

// attempt tries once; again is true when another change came first.
func (s *Store) attempt(ctx context.Context, proposal Proposal) (accepted Accepted, again bool, err error) {
	rows, err := s.table.Get(ctx, HeadKey, ChangePrefix+proposal.ChangeID)
	if err != nil {
		return Accepted{}, false, eris.Wrap(err, "read head of the catalog")
	}
	if earlier, found, err := s.earlier(ctx, rows, proposal); found || err != nil {
		return earlier, false, err
	}
	head, version, err := decodeHead(rows)
	if err != nil {
		return Accepted{}, false, err
	}
	if expect := proposal.ExpectGeneration; expect != 0 && expect != head.Generation {
		return Accepted{}, false, &ConflictError{Expected: expect, Head: head.Generation}
	}
	table, err := s.Load(ctx)
	if err != nil {
		return Accepted{}, false, err
	}
	if table.Generation() != head.Generation {
		// Another change came between both reads; computing on it and
		// committing on the older head's version would fail anyway.
		return Accepted{}, true, nil
	}
	difference, err := proposal.Edit(table)
	if err != nil {
		return Accepted{}, false, err
	}
	accepted = Accepted{Generation: head.Generation, Difference: difference}
	if difference.Empty() {
		return accepted, false, nil
	}
	found := s.options.Check(table.ResourcesAfter(difference))
	found = append(found, catalog.CheckStep(table, difference.Put)...)
	if err := found.Err(); err != nil {
		return Accepted{}, false, err
	}
	accepted.Changed = true
	if proposal.DryRun {
		return accepted, false, nil
	}
	return s.commit(ctx, proposal, table, version, accepted)
}

// earlier looks for the change's own row, which shows that it was accepted.
func (s *Store) earlier(ctx context.Context, rows []platform.Row, proposal Proposal) (Accepted, bool, error) {
	for _, row := range rows {
		if row.Key != ChangePrefix+proposal.ChangeID || proposal.ChangeID == "" {
			continue
		}
		var earlier changeRow
		if err := json.Unmarshal(row.Value, &earlier); err != nil {
			return Accepted{}, false, eris.Wrapf(err, "decode %s", row.Key)
		}
		if !bytes.Equal(earlier.Digest, proposal.Digest) {
			return Accepted{}, false, eris.Wrapf(ErrChangeIDReused, "change %s made generation %d", proposal.ChangeID, earlier.Generation)
		}
		accepted := Accepted{Generation: earlier.Generation, Changed: true}
		if _, err := s.Load(ctx); err != nil {
			return Accepted{}, false, err
		}
		return accepted, true, nil
	}
	return Accepted{}, false, nil
}

func (s *Store) commit(ctx context.Context, proposal Proposal, table *catalog.Table, version uint64, accepted Accepted) (Accepted, bool, error) {
	change := &jayv1.Change{
		Generation: table.Generation() + 1, ChangeId: proposal.ChangeID,
		Put: accepted.Difference.Put, Delete: accepted.Difference.Deleted,
		Operator: proposal.Operator, AcceptedUnixMs: s.options.Now().UnixMilli(),
	}
	txn, err := encodeTxn(change, version, proposal.Digest)
	if err != nil {
		return Accepted{}, false, err
	}
	result, err := s.table.Commit(ctx, txn)
	if err != nil {
		if ctx.Err() != nil && !errors.Is(err, platform.ErrUnavailable) {
			// The caller's time ran out with the commit on its way.
			err = eris.Wrap(platform.ErrUnknown, err.Error())
		}
		return Accepted{}, false, eris.Wrapf(err, "commit change %s", proposal.ChangeID)
	}
	if !result.Committed {
		return Accepted{}, true, nil
	}
	next, err := table.ApplyChange(change)
	if err != nil {
		return Accepted{}, false, err
	}
	s.remember(next)
	accepted.Generation, accepted.Change, accepted.Table = change.GetGeneration(), change, next
	return accepted, false, nil
}

// encodeTxn writes head, change and change id together, on the condition that
// neither the head moved nor the id was used: of two racing operators one
// commits, and a commit that was delayed on its way can't land later.
func encodeTxn(change *jayv1.Change, headVersion uint64, digest []byte) (platform.Txn, error) {
	head, err := json.Marshal(headRow{Generation: change.GetGeneration()})
	if err != nil {
		return platform.Txn{}, eris.Wrap(err, "encode head")
	}
	id, err := json.Marshal(changeRow{Generation: change.GetGeneration(), Digest: digest})
	if err != nil {
		return platform.Txn{}, eris.Wrap(err, "encode change id")
	}
	delta, err := proto.Marshal(change)
	if err != nil {
		return platform.Txn{}, eris.Wrap(err, "encode change")
	}
	idKey := ChangePrefix + change.GetChangeId()
	return platform.Txn{
		Conditions: []platform.Condition{{Key: HeadKey, Version: headVersion}, {Key: idKey}},
		Puts: []platform.Put{
			{Key: HeadKey, Value: head},
			{Key: deltaKey(change.GetGeneration()), Value: delta},
			{Key: idKey, Value: id},
		},
	}, nil
}
