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

// bookings records the calls of all callers to a cluster.
type bookings struct {
	t       *testing.T
	cluster *cluster.Cluster
	began   time.Time

	mu        sync.Mutex
	histories map[string][]porcupine.Operation
	// unkeyed contains the outcomes of calls without a key, by the id in their body.
	unkeyed  map[string]outcome
	outcomes map[outcome]int
}

// Guards against a booking that runs twice, or that is reported as not run although it ran, while
// entries restart, the store fails and the service closes connections after the run.
func TestBookingRunsAtMostOnceAcrossEntryRestarts(t *testing.T) {
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
		unkeyed: map[string]outcome{}, outcomes: map[outcome]int{},
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
	b.injectFaults(ctx)
	wg.Wait()
	b.check()
}

// injectFaults injects faults, determined by a seed, until the context ends.
func (b *bookings) injectFaults(ctx context.Context) {
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

// confirm makes one call and records its outcome.
func (b *bookings) confirm(caller int, random *rand.Rand, key, id string) {
	entries := b.cluster.Entries()
	one := entries[random.IntN(len(entries))]
	if one == nil {
		return
	}
	call := time.Since(b.began)
	got := b.post(one.CallersURL(), key, id)
	end := time.Since(b.began)
	if got == outcomeUnknown {
		end = time.Hour // It may take effect at any later time.
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes[got]++
	if key == "" {
		b.unkeyed[id] = got
		return
	}
	b.histories[key] = append(b.histories[key], porcupine.Operation{
		ClientId: caller, Input: id, Call: int64(call), Output: got, Return: int64(end),
	})
}

func (b *bookings) post(url, key, id string) outcome {
	request, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost,
		url+"/services/"+cluster.Service+"/confirm", strings.NewReader(`{"id":"`+id+`"}`))
	require.NoError(b.t, err)
	// Without GetBody the client cannot retry a request by itself.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+cluster.Key(b.cluster.Options.Workspaces[0]))
	if key != "" {
		request.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return outcomeUnknown
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return outcomeUnknown
	}
	return outcomeOf(response.StatusCode, body)
}

func outcomeOf(status int, body []byte) outcome {
	if status == http.StatusOK {
		return outcomeDone
	}
	var answer struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &answer)
	switch {
	case status == http.StatusConflict && answer.Error.Outcome == "done":
		return outcomeDuplicateDone
	case status == http.StatusConflict:
		return outcomeDuplicate
	case answer.Error.Outcome == "not_run":
		return outcomeNotRun
	}
	return outcomeUnknown
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
	for id, got := range b.unkeyed {
		if got == outcomeNotRun {
			assert.Zero(b.t, runs[id], "%s was reported as not run", id)
		}
		if got == outcomeDone {
			assert.Equal(b.t, 1, runs[id], "%s was reported as run", id)
		}
	}
	model := onceModel.ToModel()
	for key, history := range b.histories {
		assert.True(b.t, porcupine.CheckOperations(model, history), "history of %s", key)
		for _, op := range history {
			if op.Output == outcomeDone {
				assert.Equal(b.t, 1, runs[key], "%s was reported as run", key)
			}
		}
	}
	require.NotZero(b.t, b.outcomes[outcomeDone])
	b.t.Logf("%d keys, %d calls without key; outcomes: done %d, not run %d, duplicate %d, duplicate of done %d, unknown %d",
		len(b.histories), len(b.unkeyed), b.outcomes[outcomeDone], b.outcomes[outcomeNotRun], b.outcomes[outcomeDuplicate],
		b.outcomes[outcomeDuplicateDone], b.outcomes[outcomeUnknown])
}
