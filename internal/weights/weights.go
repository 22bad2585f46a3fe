// Package weights records which version of each model's weights an operator has
// named as the target, and since when. It does no I/O, starts no goroutine and reads
// no clock. It is not safe for concurrent use.
package weights

import (
	"sort"
	"time"
)

// Target is the version of its weights that an operator named for a model.
type Target struct {
	Model   string
	Version uint64
}

// modelHistory is the target version of a model, with the times at which it and
// earlier ones were named. They give how long older weights have been out of date.
type modelHistory struct {
	Version uint64
	// Since is when this version was named, as far as is known.
	Since time.Time
	// steps holds the latest versions, newest last, at most maxSteps.
	steps []step
	// provisionalUntil is when the times in steps count as true although no other process has
	// confirmed them; zero: they do.
	provisionalUntil time.Time
}

// step is a version and when it was named.
type step struct {
	version uint64
	at      time.Time
}

// maxSteps bounds the history of a model. A version older than all of it counts as
// replaced when the oldest version of the history was named.
const maxSteps = 16

// Targets holds the target version of every model, with its history.
type Targets struct {
	models map[string]*modelHistory
}

// NewTargets returns an empty set of targets.
func NewTargets() *Targets { return &Targets{models: map[string]*modelHistory{}} }

// Set sets a target version and reports whether it is newer than the one before;
// if not, it changes nothing.
func (t *Targets) Set(now time.Time, target Target) bool {
	h := t.models[target.Model]
	if h == nil {
		h = &modelHistory{}
		t.models[target.Model] = h
	}
	if target.Version <= h.Version {
		return false
	}
	h.Version, h.Since = target.Version, now
	h.steps = append(h.steps, step{target.Version, now})
	if len(h.steps) > maxSteps {
		h.steps = h.steps[1:]
	}
	return true
}

// AwaitHistory marks the times of a model's versions as provisional until MergeHistory is called
// for it, and at most until the given time. A process that has just started calls it: it knows
// when it read the versions, not when they were named.
func (t *Targets) AwaitHistory(model string, until time.Time) {
	if h := t.models[model]; h != nil {
		h.provisionalUntil = until
	}
}

// Provisional reports whether the times of a model's versions are not known yet. Ages are then
// lower bounds.
func (t *Targets) Provisional(now time.Time, model string) bool {
	h := t.models[model]
	return h != nil && now.Before(h.provisionalUntil)
}

// VersionAge is a version and how long ago it was named.
type VersionAge struct {
	Version uint64        `json:"version"`
	Age     time.Duration `json:"age_ns"`
}

// History returns the history of every model.
func (t *Targets) History(now time.Time) map[string][]VersionAge {
	all := make(map[string][]VersionAge, len(t.models))
	for name := range t.models {
		all[name] = t.Ages(now, name)
	}
	return all
}

// Ages returns the history of one model.
func (t *Targets) Ages(now time.Time, model string) []VersionAge {
	h := t.models[model]
	if h == nil {
		return nil
	}
	ages := make([]VersionAge, 0, len(h.steps))
	for _, s := range h.steps {
		ages = append(ages, VersionAge{Version: s.version, Age: now.Sub(s.at)})
	}
	return ages
}

// MergeHistory merges the history of a model from another process into this one. A
// process that has just started knows only the newest version and when it read it:
// without the history, older weights would count as replaced just now and be used for
// too long. The model's times are no longer provisional afterwards.
func (t *Targets) MergeHistory(now time.Time, model string, steps []VersionAge) {
	h := t.models[model]
	if h == nil {
		return
	}
	merged := map[uint64]time.Time{}
	for _, s := range h.steps {
		merged[s.version] = s.at
	}
	for _, s := range steps {
		at, known := merged[s.Version]
		if namedAt := now.Add(-s.Age); s.Version <= h.Version && (!known || namedAt.Before(at)) {
			merged[s.Version] = namedAt
		}
	}
	h.steps = h.steps[:0]
	for version, at := range merged {
		h.steps = append(h.steps, step{version, at})
	}
	sort.Slice(h.steps, func(i, j int) bool { return h.steps[i].version < h.steps[j].version })
	if len(h.steps) > maxSteps {
		h.steps = h.steps[len(h.steps)-maxSteps:]
	}
	h.Since = merged[h.Version]
	h.provisionalUntil = time.Time{}
}

// MergeAges returns the newest maxSteps versions of two records with the greater age of each,
// oldest version first. changed: the result differs from recorded by more than ageTolerance.
func MergeAges(recorded, other []VersionAge) (merged []VersionAge, changed bool) {
	ages := map[uint64]time.Duration{}
	for _, r := range recorded {
		ages[r.Version] = r.Age
	}
	for _, o := range other {
		age, known := ages[o.Version]
		if !known || o.Age > age+ageTolerance {
			ages[o.Version], changed = o.Age, true
		}
	}
	for version, age := range ages {
		merged = append(merged, VersionAge{Version: version, Age: age})
	}
	sort.Slice(merged, func(i, j int) bool { return merged[i].Version < merged[j].Version })
	return merged[max(0, len(merged)-maxSteps):], changed
}

// ageTolerance is the difference between two records of one age that is not worth a write:
// they are taken milliseconds apart.
const ageTolerance = 200 * time.Millisecond

// Newest returns the target version of the model; 0 if none was named.
func (t *Targets) Newest(model string) uint64 {
	if h := t.models[model]; h != nil {
		return h.Version
	}
	return 0
}

// Models returns the models that have a target version.
func (t *Targets) Models() []string {
	var models []string
	for name := range t.models {
		models = append(models, name)
	}
	return models
}

// Age returns how long ago the first version newer than the given one was named;
// 0 if there is none.
func (t *Targets) Age(now time.Time, model string, version uint64) time.Duration {
	h := t.models[model]
	if h == nil || version >= h.Version {
		return 0
	}
	for _, s := range h.steps {
		if s.version > version {
			return now.Sub(s.at)
		}
	}
	return now.Sub(h.Since)
}
