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

// runCounter records the requests that ran under each key.
type runCounter struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (s *runCounter) run(key, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key] = append(s.runs[key], request)
}

// Steps of a call at which an entry can be killed.
const (
	killedBeforeClaim = iota
	killedAfterClaim
	killedAfterRun
	killedAfterDone
	killSteps
)

// ledgerSystem is several entries that share one table and one service.
type ledgerSystem struct {
	t       *testing.T
	table   *platformtest.Memory
	service *runCounter
	began   time.Time

	mu        sync.Mutex
	histories map[string][]porcupine.Operation
	notRun    map[string]bool
	outcomes  map[outcome]int
}

// call makes one caller's request at an entry that is killed at step kill (-1: never);
// if refused, the service does not accept the request.
func (w *ledgerSystem) call(l *ledger.Ledger, client int, key, request string, kill int, refused bool) {
	begin := time.Since(w.began)
	got := w.attempt(l, key, request, kill, refused)
	w.mu.Lock()
	defer w.mu.Unlock()
	end := time.Since(w.began)
	if got == outcomeUnknown {
		end = time.Hour // It may take effect at any later time.
	}
	w.notRun[request] = got == outcomeNotRun || got == outcomeDuplicate || got == outcomeDuplicateDone
	w.outcomes[got]++
	w.histories[key] = append(w.histories[key], porcupine.Operation{
		ClientId: client, Input: request, Call: int64(begin), Output: got, Return: int64(end),
	})
}

func (w *ledgerSystem) attempt(l *ledger.Ledger, key, request string, kill int, refused bool) outcome {
	if kill == killedBeforeClaim {
		return outcomeUnknown
	}
	claim, err := l.Acquire(w.t.Context(), "quarry", key, request)
	var duplicate *ledger.DuplicateError
	switch {
	case errors.As(err, &duplicate) && duplicate.First.State == ledger.StateDone:
		return outcomeDuplicateDone
	case errors.As(err, &duplicate):
		return outcomeDuplicate
	case err != nil:
		return outcomeNotRun
	case kill == killedAfterClaim:
		return outcomeUnknown
	case refused:
		_ = l.Release(w.t.Context(), claim)
		return outcomeNotRun
	}
	w.service.run(key, request)
	if kill == killedAfterRun {
		return outcomeUnknown
	}
	_ = l.Complete(w.t.Context(), claim)
	if kill == killedAfterDone {
		return outcomeUnknown
	}
	return outcomeDone
}

// Guards against a key that runs twice when callers repeat calls through several
// entries, entries are killed at any step and the store fails or loses answers.
func TestKeyRunsAtMostOnceUnderFailures(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runHistory(t, seed) })
	}
}

func runHistory(t *testing.T, seed uint64) {
	const entries, keys, callers, calls = 4, 12, 8, 30
	w := &ledgerSystem{
		t: t, table: platformtest.New(), service: &runCounter{runs: map[string][]string{}}, began: time.Now(),
		histories: map[string][]porcupine.Operation{}, notRun: map[string]bool{}, outcomes: map[outcome]int{},
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
			assert.False(t, w.notRun[request], "%s was reported as not run", request)
		}
	}
	model := onceModel.ToModel()
	for key, history := range w.histories {
		assert.True(t, porcupine.CheckOperations(model, history), "history of %s", key)
	}
	require.NotZero(t, w.outcomes[outcomeDone])
	t.Logf("outcomes: done %d, not run %d, duplicate %d, duplicate of done %d, unknown %d", w.outcomes[outcomeDone], w.outcomes[outcomeNotRun],
		w.outcomes[outcomeDuplicate], w.outcomes[outcomeDuplicateDone], w.outcomes[outcomeUnknown])
}

// faults returns the faults of the table's commits: one in three fails.
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
