package history_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/ledger"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
)

// runCounter counts the runs of each key and who ran.
type runCounter struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (s *runCounter) run(key, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key] = append(s.runs[key], request)
}

// steps of a call at which an entry is killed.
const (
	killedBeforeClaim = iota
	killedAfterClaim
	killedAfterRun
	killedAfterDone
	killSteps
)

// world is several entries over one table and one service.
type world struct {
	t       *testing.T
	table   *platformtest.Memory
	service *runCounter
	began   time.Time

	mu        sync.Mutex
	histories map[string][]porcupine.Operation
	notRun    map[string]bool
	heard     map[outcome]int
}

// call is one caller's request at an entry that may be killed at a step (-1:
// not) and whose hand-over may be refused.
func (w *world) call(l *ledger.Ledger, client int, key, request string, kill int, refused bool) {
	begin := time.Since(w.began)
	heard := w.attempt(l, key, request, kill, refused)
	w.mu.Lock()
	defer w.mu.Unlock()
	end := time.Since(w.began)
	if heard == heardNothing {
		end = time.Hour // It may run at any later time.
	}
	w.notRun[request] = heard == heardNotRun || heard == heardDuplicate || heard == heardDuplicateDone
	w.heard[heard]++
	w.histories[key] = append(w.histories[key], porcupine.Operation{
		ClientId: client, Input: request, Call: int64(begin), Output: heard, Return: int64(end),
	})
}

func (w *world) attempt(l *ledger.Ledger, key, request string, kill int, refused bool) outcome {
	if kill == killedBeforeClaim {
		return heardNothing
	}
	claim, err := l.Acquire(w.t.Context(), "quarry", key, request)
	var duplicate *ledger.DuplicateError
	switch {
	case errors.As(err, &duplicate) && duplicate.First.State == ledger.StateDone:
		return heardDuplicateDone
	case errors.As(err, &duplicate):
		return heardDuplicate
	case err != nil:
		return heardNotRun
	case kill == killedAfterClaim:
		return heardNothing
	case refused:
		_ = l.Release(w.t.Context(), claim)
		return heardNotRun
	}
	w.service.run(key, request)
	if kill == killedAfterRun {
		return heardNothing
	}
	_ = l.Complete(w.t.Context(), claim)
	if kill == killedAfterDone {
		return heardNothing
	}
	return heardDone
}

// Story: a booking is confirmed by a caller that repeats its call with the same
// key through several entries, because answers did not come. Entries are killed
// at each step; the store loses answers before and after writes and refuses
// others. Two confirmations would promise one crusher to two sites.
func TestAKeyRunsAtMostOnceWhateverFails(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runHistory(t, seed) })
	}
}

func runHistory(t *testing.T, seed uint64) {
	const entries, keys, callers, calls = 4, 12, 8, 30
	w := &world{
		t: t, table: platformtest.New(), service: &runCounter{runs: map[string][]string{}}, began: time.Now(),
		histories: map[string][]porcupine.Operation{}, notRun: map[string]bool{}, heard: map[outcome]int{},
	}
	w.table.OnCommit(faults(seed))
	var ledgers []*ledger.Ledger
	for range entries {
		l := ledger.New(w.table, ledger.Options{Window: time.Millisecond, Timeout: 200 * time.Millisecond})
		defer l.Close()
		ledgers = append(ledgers, l)
	}
	var wg sync.WaitGroup
	for c := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(c)))
		wg.Go(func() {
			for n := range calls {
				kill := -1
				if random.IntN(4) == 0 {
					kill = random.IntN(killSteps)
				}
				key := fmt.Sprintf("key-%d", random.IntN(keys))
				w.call(ledgers[random.IntN(entries)], c, key, fmt.Sprintf("r-%d-%d", c, n), kill, random.IntN(4) == 0)
			}
		})
	}
	wg.Wait()
	for key, runs := range w.service.runs {
		assert.LessOrEqual(t, len(runs), 1, "%s ran for %v", key, runs)
		for _, request := range runs {
			assert.False(t, w.notRun[request], "%s was told that it did not run", request)
		}
	}
	model := onceModel.ToModel()
	for key, history := range w.histories {
		assert.True(t, porcupine.CheckOperations(model, history), "history of %s", key)
	}
	require.NotZero(t, w.heard[heardDone])
	t.Logf("heard done %d, not run %d, duplicate %d, duplicate of done %d, nothing %d", w.heard[heardDone], w.heard[heardNotRun],
		w.heard[heardDuplicate], w.heard[heardDuplicateDone], w.heard[heardNothing])
}

// faults of the table's commits: one in three fails in some way.
func faults(seed uint64) func(platform.Txn) platformtest.Fault {
	random := rand.New(rand.NewPCG(seed, 99))
	var mu sync.Mutex
	return func(platform.Txn) platformtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		switch random.IntN(12) {
		case 0, 1:
			return platformtest.LostAnswer
		case 2:
			return platformtest.LostRequest
		case 3:
			return platformtest.Unavailable
		}
		return platformtest.Pass
	}
}
