package rewrite_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/rewrite"
)

var (
	begin    = time.Unix(1000, 0)
	settings = rewrite.Settings{Keep: 2 * time.Minute, OthersAfter: 10 * time.Second, Max: 100}
)

func hasRows(keys ...string) func(string) bool {
	has := map[string]bool{}
	for _, key := range keys {
		has[key] = true
	}
	return func(key string) bool { return has[key] }
}

// Guards against changes that are lost for good: each is made again by the process that made
// it, or by the one that stands in.
func TestLostChangesAreMadeAgain(t *testing.T) {
	log := rewrite.New(settings)
	log.Wrote(begin, "own put", true)
	log.Wrote(begin, "own removal", false)
	log.Wrote(begin, "kept", true)
	log.Learned(begin, "other's put", true)
	log.Learned(begin, "other's removal", false)
	assert.Equal(t, 4, log.Restored(begin, time.Second, hasRows("kept", "own removal", "other's removal")))
	assert.True(t, log.Lost("own put"))
	assert.Empty(t, log.Due(begin, true), "spread over time")
	assert.Equal(t, map[string]bool{"own put": true, "own removal": false}, log.Due(begin.Add(time.Second), true))
	assert.Empty(t, log.Due(begin.Add(time.Minute), false), "another process stands in")
	assert.Equal(t, map[string]bool{"other's put": true, "other's removal": false}, log.Due(begin.Add(11*time.Second), true))
	assert.Empty(t, log.Due(begin.Add(time.Minute), true), "once")
}

// Guards against a change that is made again although another process has changed the row
// since.
func TestALaterChangeOfTheRowHolds(t *testing.T) {
	log := rewrite.New(settings)
	log.Wrote(begin, "a", true)
	log.Learned(begin, "b", false)
	log.Restored(begin, time.Second, hasRows("b"))
	log.Learned(begin, "a", false)
	log.Learned(begin, "b", true)
	assert.Empty(t, log.Due(begin.Add(time.Minute), true))
	removed, own := log.Removed("a")
	assert.True(t, removed)
	assert.False(t, own)
}

// Guards against changes that are remembered without a bound, or made again long after they
// were superseded by some that this process did not hear of.
func TestOldChangesAreForgotten(t *testing.T) {
	log := rewrite.New(settings)
	for i := range 2 * settings.Max {
		log.Wrote(begin, fmt.Sprint(i), true)
	}
	assert.Equal(t, settings.Max, log.Restored(begin, 0, hasRows()))
	log.Tick(begin.Add(settings.Keep))
	assert.Zero(t, log.Restored(begin.Add(settings.Keep), 0, hasRows()))
}

// simStore is a table that comes back from a copy, and what was last done to each row.
type simStore struct {
	rows, copied, intended map[string]bool
}

// Guards against rows that differ from the last change for good, after several drills in a
// row, with processes that end, and in any order of reads: one process stands in, and the
// others hear of each change by reading the table.
func TestTableIsWholeAgainAfterDrills(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		store := simStore{rows: map[string]bool{}, copied: map[string]bool{}, intended: map[string]bool{}}
		logs := []*rewrite.Log{rewrite.New(settings), rewrite.New(settings), rewrite.New(settings)}
		alive := []bool{true, true, true}
		now := begin
		write := func(by int, key string, put bool) {
			if store.rows[key] = put; !put {
				delete(store.rows, key)
			}
			for i, log := range logs {
				if i == by {
					log.Wrote(now, key, put)
				} else {
					log.Learned(now, key, put)
				}
			}
		}
		copyRows := func(from map[string]bool) map[string]bool {
			to := map[string]bool{}
			for key := range from {
				to[key] = true
			}
			return to
		}
		for range 40 {
			now = now.Add(time.Second)
			switch r.IntN(8) {
			case 0:
				store.copied = copyRows(store.rows)
			case 1:
				store.rows = copyRows(store.copied)
				for _, i := range r.Perm(len(logs)) {
					logs[i].Restored(now, time.Duration(r.IntN(2000))*time.Millisecond, func(key string) bool { return store.rows[key] })
				}
			case 2:
				alive[1+r.IntN(2)] = false // The first one stands in.
			default:
				by := r.IntN(len(logs))
				if key := fmt.Sprint("k", r.IntN(6)); alive[by] {
					put := r.IntN(2) == 0
					store.intended[key] = put
					write(by, key, put)
				}
			}
		}
		for range 30 {
			now = now.Add(time.Second)
			for i, log := range logs {
				for key, put := range log.Due(now, i == 0) {
					if alive[i] {
						write(i, key, put)
					}
				}
			}
		}
		for key, put := range store.intended {
			assert.Equal(t, put, store.rows[key], "seed %d, row %s", seed, key)
		}
	}
}
