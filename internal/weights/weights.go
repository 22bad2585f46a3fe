// Package weights holds which version of each model's weights is named, and
// which version each backend server is believed to have. It has no I/O,
// goroutine or clock; callers lock.
package weights

import (
	"sort"
	"time"
)

// Target is a version that an operator named for a model.
type Target struct {
	Model   string
	Version uint64
}

// Wanted is the newest version of a model and when this process heard of each
// step, for how long older ones may still serve.
type Wanted struct {
	Version uint64
	// Since is when this version was first heard of.
	Since time.Time
	// since of older versions' successors, newest last, bounded.
	steps []step
}

type step struct {
	version uint64
	at      time.Time
}

// keptSteps bounds the history; a version older than all of them is as old as
// the oldest kept successor.
const keptSteps = 16

// Targets is the newest named version of every model.
type Targets struct {
	models map[string]*Wanted
}

// NewTargets is empty.
func NewTargets() *Targets { return &Targets{models: map[string]*Wanted{}} }

// Set takes in a named version; older ones than known change nothing.
func (b *Targets) Set(now time.Time, named Target) bool {
	w := b.models[named.Model]
	if w == nil {
		w = &Wanted{}
		b.models[named.Model] = w
	}
	if named.Version <= w.Version {
		return false
	}
	w.Version, w.Since = named.Version, now
	w.steps = append(w.steps, step{named.Version, now})
	if len(w.steps) > keptSteps {
		w.steps = w.steps[1:]
	}
	return true
}

// VersionAge is a version with how long ago it was named.
type VersionAge struct {
	Version uint64        `json:"version"`
	Age     time.Duration `json:"age_ns"`
}

// History returns the kept history of every model.
func (b *Targets) History(now time.Time) map[string][]VersionAge {
	all := make(map[string][]VersionAge, len(b.models))
	for name, w := range b.models {
		for _, s := range w.steps {
			all[name] = append(all[name], VersionAge{Version: s.version, Age: now.Sub(s.at)})
		}
	}
	return all
}

// MergeHistory takes in another process's history. A process that just started knows
// only the newest version, and when it read that itself: older weights would
// seem to have been replaced just now, and get requests long after their time.
func (b *Targets) MergeHistory(now time.Time, model string, steps []VersionAge) {
	w := b.models[model]
	if w == nil {
		return
	}
	merged := map[uint64]time.Time{}
	for _, s := range w.steps {
		merged[s.version] = s.at
	}
	for _, s := range steps {
		at, known := merged[s.Version]
		if said := now.Add(-s.Age); s.Version <= w.Version && (!known || said.Before(at)) {
			merged[s.Version] = said
		}
	}
	w.steps = w.steps[:0]
	for version, at := range merged {
		w.steps = append(w.steps, step{version, at})
	}
	sort.Slice(w.steps, func(i, j int) bool { return w.steps[i].version < w.steps[j].version })
	if len(w.steps) > keptSteps {
		w.steps = w.steps[len(w.steps)-keptSteps:]
	}
	w.Since = merged[w.Version]
}

// Newest version named for the model; 0 when none was.
func (b *Targets) Newest(model string) uint64 {
	if w := b.models[model]; w != nil {
		return w.Version
	}
	return 0
}

// Models that a version was named for.
func (b *Targets) Models() []string {
	var models []string
	for name := range b.models {
		models = append(models, name)
	}
	return models
}

// Age is how long ago a newer version than the given one was first named; 0
// when it is the newest.
func (b *Targets) Age(now time.Time, model string, version uint64) time.Duration {
	w := b.models[model]
	if w == nil || version >= w.Version {
		return 0
	}
	for _, s := range w.steps {
		if s.version > version {
			return now.Sub(s.at)
		}
	}
	return now.Sub(w.Since)
}
