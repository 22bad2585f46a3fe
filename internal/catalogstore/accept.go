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

// Errors of Accept.
var (
	// ErrChangeIDReused means that another change was accepted under the same id.
	ErrChangeIDReused = errors.New("change id was used for another change")
	// ErrContention means that other changes were accepted first at each attempt;
	// nothing of this one was accepted.
	ErrContention = errors.New("other changes were accepted first at each attempt")
	// ErrNoChangeID means that the change has no id, so that a repeat could not be
	// recognised.
	ErrNoChangeID = errors.New("change id is missing")
)

// ConflictError means that the head is not the generation that the caller
// expected. Nothing was accepted.
type ConflictError struct {
	Expected, Head uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("expected head generation %d, but the head generation is %d", e.Expected, e.Head)
}

// Proposal is a change to be accepted.
type Proposal struct {
	// ChangeID is chosen by the caller. Proposals with the same id are accepted
	// once.
	ChangeID string
	// Digest of the caller's request, to detect that an id is used for two
	// different requests.
	Digest   []byte
	Operator string
	// ExpectGeneration is the required generation of the head; 0 means any.
	ExpectGeneration uint64
	DryRun           bool
	// Edit returns the difference from the table at the head. It may be called
	// several times, once per attempt.
	Edit func(*catalog.Table) (catalog.Difference, error)
}

// Accepted is the outcome of a proposal.
type Accepted struct {
	// Generation that the change made; the head's if nothing changed.
	Generation uint64
	// Changed is false if the difference was empty.
	Changed    bool
	Difference catalog.Difference
	// Change and Table are set if this call made the generation.
	Change *jayv1.Change
	Table  *catalog.Table
}

// Accept accepts a proposal as the next generation after the head, in one
// transaction.
//
// Errors: *findings.Error for an invalid set, *ConflictError, ErrNoChangeID,
// ErrChangeIDReused, ErrContention, platform.ErrUnavailable if nothing was done,
// and platform.ErrUnknown if the outcome is uncertain: the caller then repeats
// the proposal with the same id.
func (s *Store) Accept(ctx context.Context, proposal Proposal) (Accepted, error) {
	if proposal.ChangeID == "" && !proposal.DryRun {
		return Accepted{}, ErrNoChangeID
	}
	uncertain := false
	for range s.options.Attempts {
		accepted, retry, err := s.attempt(ctx, proposal)
		switch {
		case errors.Is(err, platform.ErrUnknown):
			// The answer was lost: the write may have taken effect or may still do
			// so. The next attempt finds the row of the change id, or commits on
			// the same head version, on which only one of the two can succeed.
			uncertain = true
		case err != nil && uncertain && isPlatformError(err):
			// This attempt did nothing, but the outcome of an earlier one is
			// uncertain, and so is that of the proposal.
			return Accepted{}, eris.Wrapf(platform.ErrUnknown, "accept change %s: %v", proposal.ChangeID, err)
		case err != nil || !retry:
			return accepted, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	if uncertain {
		return Accepted{}, eris.Wrapf(platform.ErrUnknown, "accept change %s", proposal.ChangeID)
	}
	return Accepted{}, ErrContention
}

// isPlatformError reports whether an error is of the platform or the context, and
// not about the change itself.
func isPlatformError(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, context.Canceled) ||
		errors.Is(err, context.DeadlineExceeded)
}

// attempt makes one attempt; retry is true if another change was accepted first.
func (s *Store) attempt(ctx context.Context, proposal Proposal) (accepted Accepted, retry bool, err error) {
	rows, err := s.table.Get(ctx, HeadKey, ChangePrefix+proposal.ChangeID)
	if err != nil {
		return Accepted{}, false, eris.Wrap(err, "read head of the catalog")
	}
	if earlier, found, err := s.findAccepted(ctx, rows, proposal); found || err != nil {
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
		// Another change was accepted between the two reads, so a commit on the
		// version of the head row would fail.
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

// findAccepted looks for the row of the change id, which exists if the change was
// accepted before.
func (s *Store) findAccepted(ctx context.Context, rows []platform.Row, proposal Proposal) (Accepted, bool, error) {
	for _, row := range rows {
		if row.Key != ChangePrefix+proposal.ChangeID || proposal.ChangeID == "" {
			continue
		}
		var earlier changeRow
		if err := json.Unmarshal(row.Value, &earlier); err != nil {
			return Accepted{}, false, eris.Wrapf(err, "decode %s", row.Key)
		}
		if !bytes.Equal(earlier.Digest, proposal.Digest) {
			return Accepted{}, false, eris.Wrapf(ErrChangeIDReused, "change id %s made generation %d", proposal.ChangeID, earlier.Generation)
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
			// The context ended while the commit was in flight.
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
	s.updateCache(next)
	accepted.Generation, accepted.Change, accepted.Table = change.GetGeneration(), change, next
	return accepted, false, nil
}

// encodeTxn returns the transaction that writes the rows of head, change and change
// id. Its conditions are that the head row is unchanged and the id unused, so that
// only one of several concurrent changes commits, and a delayed one fails.
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
