package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/weights"
)

// unavailableAges fails every call and counts the calls.
type unavailableAges struct{ calls int }

func (a *unavailableAges) Ages(context.Context, string) ([]weights.VersionAge, error) {
	a.calls++
	return nil, errStoreUnavailable
}

func (a *unavailableAges) Record(ctx context.Context, model string, _ []weights.VersionAge) ([]weights.VersionAge, error) {
	return a.Ages(ctx, model)
}

// Guards against an entry that calls an unavailable store four times a second for each model.
func TestUnavailableRecordOfWeightsIsNotCalledInALoop(t *testing.T) {
	g, _ := newRelayedEntry(t, 4, 0)
	record := &unavailableAges{}
	g.ports.WeightAges = record
	start := time.Now()
	for _, model := range []string{"a", "b", "c"} {
		g.state.targets.Set(start, weights.Target{Model: model, Version: 2})
	}
	r := weightAgeRecord{gateway: g, synced: map[string]uint64{}}
	for at := time.Duration(0); at < 10*time.Second; at += weightAgesInterval {
		r.syncAll(t.Context(), start.Add(at))
	}
	assert.Equal(t, 10, record.calls, "one call a second")
}
