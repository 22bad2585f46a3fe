// Package quarantine decides which requests, and which parts of prompts, are no
// longer sent to backend servers because servers crashed shortly after starting to
// run them. It has no I/O, goroutines or clock; callers provide the locking.
//
// A subject is a request or a part of prompts, known by its fingerprint. A crash ends
// every run on the server, so one crash says little about any single subject. A
// subject is quarantined when several servers crashed under it, it did not complete
// in between, and no other quarantined subject accounts for those crashes better. The
// state is a set of crash records, each of a subject and an incarnation of a server.
// Records from several entries can be merged in any order, and a duplicate has no
// effect.
package quarantine

import (
	"slices"
	"time"
)

// Settings of a Registry.
type Settings struct {
	// CrashThreshold is the number of crashes at which a subject is quarantined.
	CrashThreshold int
	// ProvenCrashThreshold is the same for a part that was in whole runs of this entry
	// shortly before the first of its crashes.
	ProvenCrashThreshold int
	// TrialDelays has one element for each trial that a quarantined request gets:
	// how long after the last update of its record the trial may start.
	// PartTrialDelays are those of a part.
	TrialDelays, PartTrialDelays []time.Duration
	// SuspectTTL is how long after the last update the record of a request that
	// is not quarantined is kept.
	SuspectTTL time.Duration
	// QuarantineTTL is the same for a quarantined request.
	QuarantineTTL time.Duration
	// MaxSubjects limits the number of subjects with a record.
	MaxSubjects int
}

// DefaultSettings limit the servers that one subject can crash: three or five before it
// is quarantined, and one in each of two trials. Trials are rare because a crash
// ends all runs of the server. They are needed because a harmless request may
// have been running next to the faulty one at each crash; its trial shows that. The
// first trial of a part comes early, since many requests may share it.
func DefaultSettings() Settings {
	return Settings{
		CrashThreshold:       3,
		ProvenCrashThreshold: 5,
		TrialDelays:          []time.Duration{5 * time.Minute, time.Hour},
		PartTrialDelays:      []time.Duration{5 * time.Second, 5 * time.Minute},
		SuspectTTL:           10 * time.Minute,
		QuarantineTTL:        24 * time.Hour,
		MaxSubjects:          4096,
	}
}

// Crash is a crash record: a server incarnation crashed shortly after it started
// to run a request. Interruptions use it for runs whose server may have crashed.
type Crash struct {
	Subject Fingerprint
	// Server is the ID of the incarnation.
	Server string
}

// Suspect is the record of one subject, for operators.
type Suspect struct {
	Fingerprint Fingerprint
	// Servers are the incarnations that crashed under the request, sorted by ID.
	Servers []string
	// Unexplained counts those of Servers at which no quarantined request with
	// more crashes was running.
	Unexplained int
	Trials      int
	Quarantined bool
	// Uncertain is set if at each crash another quarantined request was running on
	// the server as well.
	Uncertain bool
	// LastUpdate is when a crash or a trial was last recorded.
	LastUpdate time.Time
}

type record struct {
	servers map[string]bool
	// proven: the subject is a part that was in whole runs of this entry shortly before
	// the first crash.
	proven    bool
	trials    int
	updatedAt time.Time

	quarantined bool
	// uncertainSince is when the request became uncertain; zero if it is not.
	// The requests that it is uncertain with take turns of one slot each: slot is
	// its place in the rotation, slots the length of the rotation.
	uncertainSince time.Time
	slot, slots    int
}

func (rec *record) uncertain() bool { return !rec.uncertainSince.IsZero() }

// Registry holds the crash records and the quarantine decisions derived from them.
type Registry struct {
	settings Settings
	records  map[Fingerprint]*record
	history  partHistory
	// headCounts is the number of requests with each head.
	headCounts map[Head]int
	// candidates are the requests with at least CrashThreshold crashes; only they
	// are considered for quarantine.
	candidates map[Fingerprint]bool
	// maxRank is, for each server that crashed under quarantined subjects, the highest
	// rank among those.
	maxRank          map[string]rank
	quarantinedCount int
	// evicted requests that Tick has not returned yet.
	evicted []Suspect
}

// NewRegistry returns an empty registry.
func NewRegistry(settings Settings) *Registry {
	return &Registry{settings: settings, records: map[Fingerprint]*record{}, headCounts: map[Head]int{}, candidates: map[Fingerprint]bool{}}
}

// Len returns the number of requests with a record.
func (r *Registry) Len() int { return len(r.records) }

// QuarantinedCount returns the number of quarantined requests.
func (r *Registry) QuarantinedCount() int { return r.quarantinedCount }

// MayContain reports whether a request with this head may have a record.
// Different requests may share a head.
func (r *Registry) MayContain(head Head) bool { return r.headCounts[head] > 0 }

// Contains reports whether the crash is already recorded.
func (r *Registry) Contains(crash Crash) bool {
	rec := r.records[crash.Subject]
	return rec != nil && rec.servers[crash.Server]
}

// CrashCount returns the number of servers that crashed under a request.
func (r *Registry) CrashCount(f Fingerprint) int {
	if rec := r.records[f]; rec != nil {
		return len(rec.servers)
	}
	return 0
}

// Add records crashes and returns the requests that are newly quarantined.
func (r *Registry) Add(now time.Time, crashes []Crash) []Fingerprint {
	changed := false
	for _, crash := range crashes {
		rec := r.ensureRecord(now, crash.Subject)
		if rec.servers[crash.Server] {
			continue
		}
		rec.servers[crash.Server] = true
		rec.updatedAt = now
		if len(rec.servers) >= r.settings.CrashThreshold {
			r.candidates[crash.Subject] = true
			changed = true
		}
	}
	if r.evict() {
		changed = true
	}
	if !changed {
		return nil
	}
	return r.recompute(now)
}

// Remove withdraws a crash record.
func (r *Registry) Remove(now time.Time, crash Crash) {
	rec := r.records[crash.Subject]
	if rec == nil || !rec.servers[crash.Server] {
		return
	}
	delete(rec.servers, crash.Server)
	if len(rec.servers) < r.settings.CrashThreshold {
		delete(r.candidates, crash.Subject)
		rec.quarantined, rec.uncertainSince = false, time.Time{}
	}
	r.dropIfEmpty(crash.Subject, rec)
	r.recompute(now)
}

// Clear removes the record of a request, because it completed or an operator
// released it, and returns the record. It reports false if there was none.
func (r *Registry) Clear(now time.Time, f Fingerprint) (Suspect, bool) {
	rec := r.records[f]
	if rec == nil {
		return Suspect{}, false
	}
	known, candidate := r.snapshot(f, rec), r.candidates[f]
	r.drop(f)
	if candidate {
		r.recompute(now)
	}
	return known, true
}

// UnprovenPart reports whether crashes are recorded under a part that was not in whole
// runs shortly before.
func (r *Registry) UnprovenPart(f Fingerprint) bool {
	rec := r.records[f]
	return rec != nil && f.IsPart() && !rec.proven
}

// WholeRun records that a part was in a whole run.
func (r *Registry) WholeRun(now time.Time, part Fingerprint) { r.history.add(now, part) }

// MayRepeat reports whether a request may be sent again within one attempt, in
// which it was interrupted early at the given servers. subject is the request or one of
// its parts. A repeat must not cause the crash at which the subject is quarantined.
func (r *Registry) MayRepeat(now time.Time, subject Fingerprint, interrupted []string) bool {
	count, threshold := 0, r.settings.CrashThreshold
	rec := r.records[subject]
	if rec != nil {
		count, threshold = r.unexplained(subject, rec), r.threshold(rec)
	} else if subject.IsPart() && r.history.contains(now, subject) {
		threshold = r.settings.ProvenCrashThreshold
	}
	for i, server := range interrupted {
		if (rec == nil || !rec.servers[server]) && !slices.Contains(interrupted[:i], server) {
			count++
		}
	}
	return count < threshold-1
}

// Tick removes expired records. It returns them, and those evicted since the
// last call.
func (r *Registry) Tick(now time.Time) []Suspect {
	removed := r.evicted
	r.evicted = nil
	for f, rec := range r.records {
		ttl := r.settings.SuspectTTL
		if rec.quarantined {
			ttl = r.settings.QuarantineTTL
		}
		if now.Sub(rec.updatedAt) >= ttl {
			removed = append(removed, r.snapshot(f, rec))
			r.drop(f)
		}
	}
	if len(removed) > 0 {
		r.recompute(now)
	}
	return removed
}

// List returns all records, those with the most crashes first.
func (r *Registry) List() []Suspect {
	list := make([]Suspect, 0, len(r.records))
	all := make([]Fingerprint, 0, len(r.records))
	for f := range r.records {
		all = append(all, f)
	}
	r.sortByRank(all)
	for _, f := range all {
		list = append(list, r.snapshot(f, r.records[f]))
	}
	return list
}

func (r *Registry) snapshot(f Fingerprint, rec *record) Suspect {
	servers := make([]string, 0, len(rec.servers))
	for server := range rec.servers {
		servers = append(servers, server)
	}
	slices.Sort(servers)
	return Suspect{
		Fingerprint: f, Servers: servers, Unexplained: r.unexplained(f, rec), Trials: rec.trials,
		Quarantined: rec.quarantined, Uncertain: rec.uncertain(), LastUpdate: rec.updatedAt,
	}
}

func (r *Registry) ensureRecord(now time.Time, f Fingerprint) *record {
	rec := r.records[f]
	if rec == nil {
		rec = &record{servers: map[string]bool{}, proven: f.IsPart() && r.history.contains(now, f)}
		r.records[f] = rec
		r.headCounts[f.Head()]++
	}
	return rec
}

func (r *Registry) dropIfEmpty(f Fingerprint, rec *record) {
	if len(rec.servers) == 0 && rec.trials == 0 {
		r.drop(f)
	}
}

func (r *Registry) drop(f Fingerprint) {
	delete(r.records, f)
	delete(r.candidates, f)
	if r.headCounts[f.Head()]--; r.headCounts[f.Head()] == 0 {
		delete(r.headCounts, f.Head())
	}
}
