package catalogstore_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/catalogstore"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

func service(name string, concurrency uint32) *jayv1.Resource {
	return &jayv1.Resource{Kind: &jayv1.Resource_Service{Service: &jayv1.Service{Name: name, Concurrency: concurrency}}}
}

// declareService returns a proposal that declares one service.
func declareService(id, name string, concurrency uint32) catalogstore.Proposal {
	return catalogstore.Proposal{
		ChangeID: id, Digest: []byte(fmt.Sprint(name, concurrency)), Operator: "ana",
		Edit: func(table *catalog.Table) (catalog.Difference, error) {
			return catalog.Diff(table, []*jayv1.Resource{service(name, concurrency)}, false), nil
		},
	}
}

func isCatalogWrite(txn platform.Txn) bool { return len(txn.Puts) > 0 }

// failOnce fails the next write with the fault and lets the others pass. Before
// that write it calls before, unless nil.
func failOnce(p *platformtest.Memory, fault platformtest.Fault, before func()) {
	var failed atomic.Bool
	p.OnCommit(func(txn platform.Txn) platformtest.Fault {
		if !isCatalogWrite(txn) || !failed.CompareAndSwap(false, true) {
			return platformtest.Pass
		}
		if before != nil {
			before()
		}
		return fault
	})
}

func concurrencyOf(t require.TestingT, store *catalogstore.Store, name string) uint32 {
	table, err := store.Load(context.Background())
	require.NoError(t, err)
	declared, _ := table.Service(name)
	return declared.GetConcurrency()
}

// Guards against a repeat of an accepted change, whose answer was lost, that undoes
// another operator's later change.
func TestRepeatAfterALostAnswerIsAcceptedOnce(t *testing.T) {
	p := platformtest.New()
	ana := catalogstore.New(p, p, catalogstore.Options{Attempts: 1})
	ivo := catalogstore.New(p, p, catalogstore.Options{})
	failOnce(p, platformtest.LostAnswer, nil)
	_, err := ana.Accept(t.Context(), declareService("a", "claims-portal", 3))
	require.ErrorIs(t, err, platform.ErrUnknown)
	_, err = ivo.Accept(t.Context(), declareService("b", "claims-portal", 5))
	require.NoError(t, err)

	again, err := ana.Accept(t.Context(), declareService("a", "claims-portal", 3))
	require.NoError(t, err)
	assert.Equal(t, uint64(1), again.Generation)
	assert.True(t, again.Changed)
	assert.Equal(t, uint32(5), concurrencyOf(t, ana, "claims-portal"))
}

// Guards against an uncertain outcome when the table's answer was lost but a second
// attempt can determine it, whether the write took effect or not.
func TestAcceptDeterminesTheOutcomeAfterALostAnswer(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{"after the write": platformtest.LostAnswer, "before the write": platformtest.LostRequest} {
		t.Run(name, func(t *testing.T) {
			p := platformtest.New()
			store := catalogstore.New(p, p, catalogstore.Options{})
			failOnce(p, fault, nil)
			accepted, err := store.Accept(t.Context(), declareService("a", "claims-portal", 3))
			require.NoError(t, err)
			assert.Equal(t, uint64(1), accepted.Generation)
			head, err := store.Head(t.Context())
			require.NoError(t, err)
			assert.Equal(t, uint64(1), head)
		})
	}
}

// Guards against reporting that nothing was done when the answer of a first write
// was lost and the next attempt met an outage.
func TestOutageAfterALostAnswerIsUnknown(t *testing.T) {
	p := platformtest.New()
	store := catalogstore.New(p, p, catalogstore.Options{})
	p.OnCommit(func(platform.Txn) platformtest.Fault {
		p.SetDownAfterCommit()
		return platformtest.LostAnswer
	})
	_, err := store.Accept(t.Context(), declareService("a", "claims-portal", 3))
	require.ErrorIs(t, err, platform.ErrUnknown)
	require.NotErrorIs(t, err, platform.ErrUnavailable)
}

// Guards against reporting a change as accepted because another one used its id.
func TestChangeIDOfAnotherChangeIsRefused(t *testing.T) {
	p := platformtest.New()
	store := catalogstore.New(p, p, catalogstore.Options{})
	_, err := store.Accept(t.Context(), declareService("a", "claims-portal", 3))
	require.NoError(t, err)
	_, err = store.Accept(t.Context(), declareService("a", "claims-portal", 4))
	require.ErrorIs(t, err, catalogstore.ErrChangeIDReused)
	_, err = store.Accept(t.Context(), declareService("", "claims-portal", 4))
	require.ErrorIs(t, err, catalogstore.ErrNoChangeID)
}

// Guards against lost updates when two operators change the same generation:
// both changes are kept, unless one expects another head generation.
func TestConcurrentChanges(t *testing.T) {
	p := platformtest.New()
	ana := catalogstore.New(p, p, catalogstore.Options{})
	ivo := catalogstore.New(p, p, catalogstore.Options{})
	_, err := ana.Accept(t.Context(), declareService("0", "reservas-app", 1))
	require.NoError(t, err)
	failOnce(p, platformtest.Pass, func() {
		_, err := ivo.Accept(context.Background(), declareService("b", "rulebook-cache", 2))
		require.NoError(t, err)
	})
	accepted, err := ana.Accept(t.Context(), declareService("a", "claims-portal", 3))
	require.NoError(t, err)
	assert.Equal(t, uint64(3), accepted.Generation)
	assert.Equal(t, uint32(2), concurrencyOf(t, ana, "rulebook-cache"))
	assert.Equal(t, uint32(3), concurrencyOf(t, ana, "claims-portal"))

	stale := declareService("c", "claims-portal", 9)
	stale.ExpectGeneration = 2
	_, err = ana.Accept(t.Context(), stale)
	var conflict *catalogstore.ConflictError
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, uint64(3), conflict.Head)
}

func TestSameContentMakesNoGeneration(t *testing.T) {
	p := platformtest.New()
	store := catalogstore.New(p, p, catalogstore.Options{})
	_, err := store.Accept(t.Context(), declareService("a", "claims-portal", 3))
	require.NoError(t, err)
	again, err := store.Accept(t.Context(), declareService("b", "claims-portal", 3))
	require.NoError(t, err)
	assert.False(t, again.Changed)
	assert.Equal(t, uint64(1), again.Generation)
}

// Guards against a process that skips pruned changes: it must get a snapshot and
// the changes after it, and end with the same table as others.
func TestPrunedChangesAreReplacedByASnapshot(t *testing.T) {
	p := platformtest.New()
	now := time.Unix(1_800_000_000, 0)
	options := catalogstore.Options{SnapshotEvery: 4, ChangeRetention: time.Hour, Now: func() time.Time { return now }}
	store := catalogstore.New(p, p, options)
	behind, err := store.Load(t.Context())
	require.NoError(t, err)
	for i := range uint32(10) {
		accepted, err := store.Accept(t.Context(), declareService(fmt.Sprint(i), fmt.Sprint("s", i%3), i+1))
		require.NoError(t, err)
		require.NoError(t, store.Compact(t.Context(), accepted.Table))
		now = now.Add(40 * time.Minute)
	}
	delta, err := store.After(t.Context(), behind.Generation())
	require.NoError(t, err)
	require.NotNil(t, delta.GetSnapshot())
	updated, err := behind.ApplyDelta(delta)
	require.NoError(t, err)
	head, err := store.Load(t.Context())
	require.NoError(t, err)
	assert.Equal(t, uint64(10), updated.Generation())
	assert.True(t, equalTables(head, updated))
	_, err = store.Accept(t.Context(), declareService("9", "s0", 10))
	require.NoError(t, err, "a repeat within ChangeRetention is recognised by its id")
	snapshot, err := store.LoadSnapshot(t.Context())
	require.NoError(t, err)
	assert.Equal(t, uint64(8), snapshot.Generation())
}

// Guards against a start that reads all changes of a day, which exhausts the read
// capacity of the table when many processes start at once.
func TestStartAfterManyChangesTakesFewReads(t *testing.T) {
	p := platformtest.New()
	store := catalogstore.New(p, p, catalogstore.Options{})
	for i := range uint32(1300) {
		accepted, err := store.Accept(t.Context(), declareService(fmt.Sprint(i), "s", i+1))
		require.NoError(t, err)
		require.NoError(t, store.Compact(t.Context(), accepted.Table))
	}
	before, _ := p.Counts()
	table, err := catalogstore.New(p, p, catalogstore.Options{}).Load(t.Context())
	require.NoError(t, err)
	after, _ := p.Counts()
	assert.Equal(t, uint64(1300), table.Generation())
	assert.LessOrEqual(t, after-before, 2)
}

func equalTables(a, b *catalog.Table) bool {
	return a.Generation() == b.Generation() &&
		catalog.Diff(a, b.Snapshot().GetResources(), true).Empty()
}

// Guards against faults of the platform that lose an accepted change, apply a
// refused one, or lead readers to different tables.
func TestAcceptanceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := platformtest.New()
		faults := rapid.SliceOfN(rapid.SampledFrom([]platformtest.Fault{
			platformtest.Pass, platformtest.Pass, platformtest.LostAnswer, platformtest.LostRequest, platformtest.Unavailable,
		}), 30, 30).Draw(t, "faults")
		next := 0
		p.OnCommit(func(platform.Txn) platformtest.Fault {
			next++
			return faults[next%len(faults)]
		})
		stores := []*catalogstore.Store{
			catalogstore.New(p, p, catalogstore.Options{SnapshotEvery: 3, ChangeRetention: time.Nanosecond, Attempts: 2}),
			catalogstore.New(p, p, catalogstore.Options{SnapshotEvery: 3, Attempts: 2}),
		}
		reader := catalog.Build(&jayv1.Snapshot{})
		outcome := map[string]error{}
		for i, operator := range rapid.SliceOfN(rapid.IntRange(0, 1), 1, 12).Draw(t, "operators") {
			id := fmt.Sprint("c", i)
			accepted, err := stores[operator].Accept(context.Background(), declareService(id, id, 1))
			outcome[id] = err
			if accepted.Table != nil && rapid.Bool().Draw(t, "compact") {
				_ = stores[operator].Compact(context.Background(), accepted.Table)
			}
			if rapid.Bool().Draw(t, "read") {
				delta, err := stores[operator].After(context.Background(), reader.Generation())
				require.NoError(t, err)
				reader, err = reader.ApplyDelta(delta)
				require.NoError(t, err)
			}
		}
		p.OnCommit(nil)
		for id, err := range outcome {
			present := concurrencyOf(t, stores[0], id) == 1
			switch {
			case err == nil:
				require.True(t, present, "accepted change %s is not in the catalog", id)
			case !errors.Is(err, platform.ErrUnknown):
				require.False(t, present, "change %s was refused (%v) but is in the catalog", id, err)
			}
		}
		delta, err := stores[1].After(context.Background(), reader.Generation())
		require.NoError(t, err)
		reader, err = reader.ApplyDelta(delta)
		require.NoError(t, err)
		table, err := stores[0].Load(context.Background())
		require.NoError(t, err)
		require.True(t, equalTables(table, reader))
	})
}

// Guards against a snapshot whose content is missing and that is taken for a catalog without
// any resource.
func TestSnapshotWithoutItsContentIsRefused(t *testing.T) {
	p := platformtest.New()
	store := catalogstore.New(p, p, catalogstore.Options{})
	require.NoError(t, p.PutObject(t.Context(), fmt.Sprintf("%s%020d", catalogstore.SnapshotPrefix, 7), nil))
	_, err := store.LoadSnapshot(t.Context())
	assert.ErrorContains(t, err, "holds generation 0")
}
