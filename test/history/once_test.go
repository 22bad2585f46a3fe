package history_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/standin/cluster"
	"github.com/jayproxy/jayproxy/internal/standin/platform"
	"github.com/jayproxy/jayproxy/internal/standin/service"
)

// bookings is a run of callers against a whole system.
type bookings struct {
	t       *testing.T
	cluster *cluster.Cluster
	began   time.Time

	mu        sync.Mutex
	histories map[string][]porcupine.Operation
	// unkeyed is what the callers of calls without a key heard, by body id.
	unkeyed map[string]outcome
	heard   map[outcome]int
}

// Story: callers confirm bookings through any entry and repeat what they got no
// answer for. All the while entries die with calls under way and are replaced,
// the store loses one answer in five and goes down, and the service breaks the
// connection just after it booked. A second confirmation promises one crusher
// to two sites; a "not run" that is not true loses one.
func TestABookingRunsAtMostOnceThroughDyingEntries(t *testing.T) {
	const callers, keys = 8, 25
	length := 6 * time.Second
	c, err := cluster.Start(t.Context(), cluster.Options{
		Entries: 3, Services: 2, Engines: 1,
		Entry: func(s *entry.Settings) { s.Ledger.SettleMS = 500 },
	})
	require.NoError(t, err)
	defer c.Close()
	b := &bookings{
		t: t, cluster: c, began: time.Now(), histories: map[string][]porcupine.Operation{},
		unkeyed: map[string]outcome{}, heard: map[outcome]int{},
	}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	var wg sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				key := fmt.Sprintf("booking-%d-%d", int(time.Since(b.began).Seconds()), random.IntN(keys))
				if random.IntN(4) == 0 {
					key = ""
				}
				b.confirm(i, random, key, id)
			}
		})
	}
	b.fail(ctx)
	wg.Wait()
	b.check()
}

// fail breaks things, by a seeded plan, until the context ends.
func (b *bookings) fail(ctx context.Context) {
	random := rand.New(rand.NewPCG(2, 2))
	ticker := time.NewTicker(150 * time.Millisecond)
	defer ticker.Stop()
	for step := 0; ; step++ {
		select {
		case <-ctx.Done():
			b.cluster.Platform.SetFaults(platform.Faults{})
			return
		case <-ticker.C:
		}
		b.cluster.Platform.SetFaults(platform.Faults{LostAnswers: 0.2, Outage: step%13 == 12})
		b.cluster.Services[random.IntN(2)].SetFaults(service.Faults{CutNext: random.IntN(2), DelayMS: random.IntN(20)})
		if step%5 == 4 {
			require.NoError(b.t, b.cluster.RestartEntries(b.t.Context()))
		}
	}
}

// confirm makes one call and notes what its caller heard.
func (b *bookings) confirm(caller int, random *rand.Rand, key, id string) {
	entries := b.cluster.Entries()
	one := entries[random.IntN(len(entries))]
	if one == nil {
		return
	}
	call := time.Since(b.began)
	heard := b.post(one.CallersURL(), key, id)
	end := time.Since(b.began)
	if heard == heardNothing {
		end = time.Hour
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard[heard]++
	if key == "" {
		b.unkeyed[id] = heard
		return
	}
	b.histories[key] = append(b.histories[key], porcupine.Operation{
		ClientId: caller, Input: id, Call: int64(call), Output: heard, Return: int64(end),
	})
}

func (b *bookings) post(url, key, id string) outcome {
	request, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost,
		url+"/services/"+cluster.Service+"/confirm", strings.NewReader(`{"id":"`+id+`"}`))
	require.NoError(b.t, err)
	// Without GetBody the client never sends a request twice by itself.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+cluster.Key(b.cluster.Options.Workspaces[0]))
	if key != "" {
		request.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return heardNothing
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return heardNothing
	}
	return outcomeOf(response.StatusCode, body)
}

func outcomeOf(status int, body []byte) outcome {
	if status == http.StatusOK {
		return heardDone
	}
	var answer struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &answer)
	switch {
	case status == http.StatusConflict && answer.Error.Outcome == "done":
		return heardDuplicateDone
	case status == http.StatusConflict:
		return heardDuplicate
	case answer.Error.Outcome == "not_run":
		return heardNotRun
	}
	return heardNothing
}

func (b *bookings) check() {
	runs := map[string]int{}
	for _, s := range b.cluster.Services {
		for key, n := range s.Runs() {
			runs[key] += n
		}
	}
	for key, n := range runs {
		assert.LessOrEqual(b.t, n, 1, "%s ran %d times", key, n)
	}
	for id, heard := range b.unkeyed {
		if heard == heardNotRun {
			assert.Zero(b.t, runs[id], "%s was told that it did not run", id)
		}
		if heard == heardDone {
			assert.Equal(b.t, 1, runs[id], "%s was told that it ran", id)
		}
	}
	model := onceModel.ToModel()
	for key, history := range b.histories {
		assert.True(b.t, porcupine.CheckOperations(model, history), "history of %s", key)
		for _, op := range history {
			if op.Output == heardDone {
				assert.Equal(b.t, 1, runs[key], "%s was told that it ran", key)
			}
		}
	}
	require.NotZero(b.t, b.heard[heardDone])
	b.t.Logf("%d keys, %d calls without: heard done %d, not run %d, duplicate %d, duplicate of done %d, nothing or unknown %d",
		len(b.histories), len(b.unkeyed), b.heard[heardDone], b.heard[heardNotRun], b.heard[heardDuplicate],
		b.heard[heardDuplicateDone], b.heard[heardNothing])
}
