package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/weights"
)

// weightAgesInterval is the pause between two looks for versions that are not recorded.
const weightAgesInterval = 250 * time.Millisecond

// maxHistoryWait is how long an entry that has just started sends no request to superseded
// weights while nobody tells it when they were superseded. It covers a few calls of the store
// or of other entries; a fleet that has only such weights must not go without for longer.
const maxHistoryWait = time.Second

// weightAgeRecord keeps the store's record of when versions of weights were named in step
// with what this entry knows. Entries know it in memory only, and all of them may start
// while old weights are still in use.
type weightAgeRecord struct {
	gateway *Gateway
	// synced holds the newest version of each model at which this entry and the record were
	// last merged.
	synced map[string]uint64
	// retryAt is when the store is called again after it has failed.
	retryAt time.Time
}

func (g *Gateway) keepWeightAges(ctx context.Context) {
	if g.ports.WeightAges == nil {
		return
	}
	r := weightAgeRecord{gateway: g, synced: map[string]uint64{}}
	awaitUntil(ctx, g.startedAt.Add(firstConfigTimeout), g.state.hasReadOperators)
	r.syncAll(ctx, time.Now())
	g.every(ctx, weightAgesInterval, func(now time.Time) { r.syncAll(ctx, now) })
}

func (r *weightAgeRecord) syncAll(ctx context.Context, now time.Time) {
	for model, ages := range r.gateway.state.weightHistory(now) {
		if now.Before(r.retryAt) {
			return
		}
		r.sync(ctx, now, model, ages)
	}
}

// sync merges the record of one model, unless it has been merged at its newest version. The
// time is that before the call, so that ages are rather too great.
func (r *weightAgeRecord) sync(ctx context.Context, now time.Time, model string, ages []weights.VersionAge) {
	newest := ages[len(ages)-1].Version
	if r.synced[model] == newest {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	merged, err := r.merge(ctx, model, ages)
	if err != nil {
		r.retryAt = now.Add(otherTablesRetryPause)
		klog.InfoS("Ages of weights not merged with the store's record, will retry", "model", model, "version", newest, "retryMS", otherTablesRetryPause.Milliseconds(), "err", err)
		return
	}
	r.synced[model] = newest
	r.gateway.state.mergeWeightHistory(now, map[string][]weights.VersionAge{model: merged})
	klog.InfoS("Ages of weights merged with the store's record", "model", model, "version", newest, "ageMS", ages[len(ages)-1].Age.Milliseconds(), "recordedAgeMS", ageOf(merged, newest).Milliseconds())
}

// merge returns the record of a model. In large fleets only the first entries write it, and
// the others read it once, after their start.
func (r *weightAgeRecord) merge(ctx context.Context, model string, ages []weights.VersionAge) ([]weights.VersionAge, error) {
	g := r.gateway
	if !g.sharded() || g.contendsAlways() {
		return g.ports.WeightAges.Record(ctx, model, ages)
	}
	if r.synced[model] != 0 {
		return nil, nil
	}
	return g.ports.WeightAges.Ages(ctx, model)
}

func ageOf(ages []weights.VersionAge, version uint64) time.Duration {
	for _, age := range ages {
		if age.Version == version {
			return age.Age
		}
	}
	return 0
}

// weightHistory returns when the versions of all models were named, as far as this entry
// knows.
func (s *state) weightHistory(now time.Time) map[string][]weights.VersionAge {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.History(now)
}

// knownWeightHistory is weightHistory without the models of which this entry has only read the
// newest version, and does not know yet when it was named.
func (s *state) knownWeightHistory(now time.Time) map[string][]weights.VersionAge {
	s.mu.Lock()
	defer s.mu.Unlock()
	history := s.targets.History(now)
	maps.DeleteFunc(history, func(model string, _ []weights.VersionAge) bool { return s.targets.Provisional(now, model) })
	return history
}

// awaitsAnyWeightHistory reports whether knownWeightHistory leaves out a model.
func (s *state) awaitsAnyWeightHistory(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.targets.Models(), func(model string) bool { return s.targets.Provisional(now, model) })
}
