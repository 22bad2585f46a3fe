package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/admission"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

var epoch = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func request(id, workspace string, class jayv1.Class, tokens float64) admission.Request {
	return admission.Request{ID: id, Workspace: workspace, Class: class, Tokens: tokens}
}

// put offers a request and, when it is accepted, makes it ready.
func put(t require.TestingT, q *admission.Queue, now time.Time, req admission.Request) []admission.Action {
	decision, actions := q.Offer(now, req)
	require.True(t, decision.Accepted, "%s refused: %s", req.ID, decision.Refusal)
	return append(actions, q.Ready(now, req.ID)...)
}

func started(actions []admission.Action) []string {
	var ids []string
	for _, action := range actions {
		if action.Kind == admission.Start {
			ids = append(ids, action.ID)
		}
	}
	return ids
}

// Runs random operations on a queue and compares its state with a model.
func TestEveryRequestEndsOnceWithinTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := admission.Options{
			Slots:  rapid.IntRange(1, 4).Draw(t, "slots"),
			Length: rapid.IntRange(1, 6).Draw(t, "length"),
			Bytes:  1000,
		}
		q := admission.New(options)
		m := &model{state: map[string]string{}}
		now, count := epoch, 0
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				count++
				req := admission.Request{
					ID:        fmt.Sprint("r", count),
					Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					Class:     jayv1.Class(rapid.IntRange(0, 3).Draw(t, "class")),
					Weight:    uint32(rapid.IntRange(0, 3).Draw(t, "weight")),
					Tokens:    float64(rapid.IntRange(0, 5000).Draw(t, "tokens")),
					Bytes:     rapid.IntRange(0, 600).Draw(t, "bytes"),
				}
				if rapid.Bool().Draw(t, "has deadline") {
					req.Deadline = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				}
				decision, actions := q.Offer(now, req)
				require.NotEqual(t, decision.Accepted, decision.Refusal != 0)
				if decision.Accepted {
					m.state[req.ID] = "waiting"
				}
				m.apply(t, actions)
			},
			"ready": func(t *rapid.T) { m.apply(t, q.Ready(now, m.pick(t, "waiting"))) },
			"done": func(t *rapid.T) {
				id := m.pick(t, "running")
				m.state[id] = "over"
				m.apply(t, q.Done(now, id))
			},
			"cancel": func(t *rapid.T) {
				id := m.pick(t, "waiting")
				m.state[id] = "over"
				m.apply(t, q.Done(now, id))
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
				m.apply(t, q.Tick(now))
				if next, ok := q.NextDeadline(); ok {
					require.True(t, next.After(now), "a request still waits after its deadline")
				}
			},
			"": func(t *rapid.T) {
				load := q.Load(now)
				require.Equal(t, m.count("running"), load.Running)
				require.Equal(t, m.count("waiting"), load.Queued)
				require.LessOrEqual(t, load.Running, options.Slots)
				require.LessOrEqual(t, load.Queued, options.Length)
				require.LessOrEqual(t, load.Bytes, options.Bytes)
				require.GreaterOrEqual(t, load.QueueMS, 0.0)
			},
		})
	})
}

type model struct{ state map[string]string }

func (m *model) count(state string) (n int) {
	for _, s := range m.state {
		if s == state {
			n++
		}
	}
	return n
}

func (m *model) pick(t *rapid.T, state string) string {
	ids := []string{""}
	for i := 1; i <= len(m.state)*10; i++ {
		if id := fmt.Sprint("r", i); m.state[id] == state {
			ids = append(ids, id)
		}
	}
	if len(ids) == 1 {
		t.Skip("no request is " + state)
	}
	return rapid.SampledFrom(ids[1:]).Draw(t, "id")
}

func (m *model) apply(t *rapid.T, actions []admission.Action) {
	for _, action := range actions {
		require.Equal(t, "waiting", m.state[action.ID], "%s: action on a request that does not wait", action.ID)
		if action.Kind == admission.Start {
			m.state[action.ID] = "running"
			continue
		}
		m.state[action.ID] = "over"
		require.NotZero(t, action.Refusal)
		require.Positive(t, action.RetryAfter)
	}
}

func TestHigherClassStartsFirst(t *testing.T) {
	q := admission.New(admission.Options{Slots: 1})
	put(t, q, epoch, request("running", "a", jayv1.Class_CLASS_BATCH, 100))
	put(t, q, epoch, request("batch", "a", jayv1.Class_CLASS_BATCH, 100))
	put(t, q, epoch, request("standard", "a", jayv1.Class_CLASS_STANDARD, 100))
	put(t, q, epoch, request("interactive", "a", jayv1.Class_CLASS_INTERACTIVE, 100))
	assert.Equal(t, []string{"interactive"}, started(q.Done(epoch, "running")))
	assert.Equal(t, []string{"standard"}, started(q.Done(epoch, "interactive")))
	assert.Equal(t, []string{"batch"}, started(q.Done(epoch, "standard")))
}

// Guards against a steady stream of interactive requests that starves a batch
// request.
func TestLowerClassIsNotStarved(t *testing.T) {
	const floor = 0.1
	q := admission.New(admission.Options{Slots: 1, Floor: floor})
	put(t, q, epoch, request("first", "a", jayv1.Class_CLASS_INTERACTIVE, 100))
	put(t, q, epoch, request("batch", "b", jayv1.Class_CLASS_BATCH, 100))
	running, starts := "first", 0
	for running != "batch" {
		starts++
		require.LessOrEqual(t, starts, int(1/floor)+1, "the batch request is starved")
		put(t, q, epoch, request(fmt.Sprint("call", starts), "a", jayv1.Class_CLASS_INTERACTIVE, 100))
		running = started(q.Done(epoch, running))[0]
	}
}

func TestWorkspacesShareByWeight(t *testing.T) {
	q := admission.New(admission.Options{Slots: 1, Length: 1000})
	put(t, q, epoch, request("first", "x", jayv1.Class_CLASS_STANDARD, 100))
	for i := range 200 {
		for workspace, weight := range map[string]uint32{"one": 1, "three": 3} {
			req := request(fmt.Sprint(workspace, "-", i), workspace, jayv1.Class_CLASS_STANDARD, 100)
			req.Weight = weight
			put(t, q, epoch, req)
		}
	}
	counts, running := map[string]int{}, "first"
	for range 100 {
		running = started(q.Done(epoch, running))[0]
		var name string
		_, err := fmt.Sscanf(running, "%5s", &name)
		require.NoError(t, err)
		counts[name]++
	}
	assert.InDelta(t, 75, counts["three"], 1)
}

// Guards against interactive requests that are refused because batch requests
// fill the queue.
func TestOverloadShedsTheLowestClassFirst(t *testing.T) {
	q := admission.New(admission.Options{Slots: 1, Length: 2})
	put(t, q, epoch, request("running", "a", jayv1.Class_CLASS_BATCH, 100))
	put(t, q, epoch, request("batch", "a", jayv1.Class_CLASS_BATCH, 100))
	put(t, q, epoch, request("standard", "a", jayv1.Class_CLASS_STANDARD, 100))
	decision, actions := q.Offer(epoch, request("interactive", "a", jayv1.Class_CLASS_INTERACTIVE, 100))
	require.True(t, decision.Accepted)
	require.Len(t, actions, 1)
	assert.Equal(t, "batch", actions[0].ID)
	assert.Equal(t, jayv1.Refusal_REFUSAL_SHED, actions[0].Refusal)
	decision, actions = q.Offer(epoch, request("late batch", "a", jayv1.Class_CLASS_BATCH, 100))
	assert.Equal(t, jayv1.Refusal_REFUSAL_QUEUE_FULL, decision.Refusal)
	assert.Positive(t, decision.RetryAfter)
	assert.Empty(t, actions)
}

// Guards against requests that are refused because another workspace fills the
// queue.
func TestGreedyWorkspaceDoesNotFillTheQueue(t *testing.T) {
	q := admission.New(admission.Options{Slots: 1, Length: 4})
	put(t, q, epoch, request("running", "greedy", jayv1.Class_CLASS_STANDARD, 100))
	for i := range 4 {
		put(t, q, epoch, request(fmt.Sprint("greedy", i), "greedy", jayv1.Class_CLASS_STANDARD, 100))
	}
	decision, actions := q.Offer(epoch, request("modest", "modest", jayv1.Class_CLASS_STANDARD, 100))
	require.True(t, decision.Accepted)
	require.Len(t, actions, 1)
	assert.Equal(t, "greedy3", actions[0].ID)
	decision, _ = q.Offer(epoch, request("more", "greedy", jayv1.Class_CLASS_STANDARD, 100))
	assert.Equal(t, jayv1.Refusal_REFUSAL_QUEUE_FULL, decision.Refusal)
}

func TestWaitingRequestsAreRefusedAtTheirDeadline(t *testing.T) {
	q := admission.New(admission.Options{Slots: 1})
	put(t, q, epoch, request("running", "a", jayv1.Class_CLASS_STANDARD, 100))
	req := request("waits", "a", jayv1.Class_CLASS_STANDARD, 100)
	req.Deadline = at(5000)
	put(t, q, epoch, req)
	next, ok := q.NextDeadline()
	require.True(t, ok)
	assert.Equal(t, at(5000), next)
	assert.Empty(t, q.Tick(at(4999)))
	actions := q.Tick(at(5000))
	require.Len(t, actions, 1)
	assert.Equal(t, jayv1.Refusal_REFUSAL_DEADLINE, actions[0].Refusal)
	assert.Empty(t, q.Done(at(5000), "running"))
}

func TestOffersAreDeclinedForCostUnlessFinal(t *testing.T) {
	q := admission.New(admission.Options{})
	q.SetRate(1000)
	req := request("r", "a", jayv1.Class_CLASS_STANDARD, 1000)
	tests := map[string]struct {
		nextBest float64
		final    bool
		want     jayv1.Refusal
	}{
		"cheaper elsewhere":  {500, false, jayv1.Refusal_REFUSAL_COST},
		"no next best":       {0, false, 0},
		"within the margin":  {990, false, 0},
		"cheaper here":       {2000, false, 0},
		"final, at any cost": {500, true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			req.NextBestMS, req.Final = test.nextBest, test.final
			decision, _ := q.Offer(epoch, req)
			assert.Equal(t, test.want, decision.Refusal)
			assert.InDelta(t, 1000, decision.CostMS, 1)
			q.Done(epoch, req.ID)
		})
	}
}

func TestDeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	q := admission.New(admission.Options{})
	q.SetRate(1000)
	req := request("r", "a", jayv1.Class_CLASS_STANDARD, 2000)
	req.Deadline = at(1000)
	decision, _ := q.Offer(epoch, req)
	assert.Equal(t, jayv1.Refusal_REFUSAL_DEADLINE, decision.Refusal)
}
