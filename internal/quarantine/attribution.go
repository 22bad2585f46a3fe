package quarantine

import (
	"bytes"
	"slices"
	"time"
)

// rank orders subjects by how likely they cause the crashes that they have in common
// with others; the highest is the most likely.
type rank struct {
	// unproven: the subject was not in whole runs shortly before.
	unproven bool
	crashes  int
	// request: the subject is a request. A part that has no more crashes than one request
	// with it may be harmless in others.
	request bool
}

func (x rank) compare(y rank) int {
	switch {
	case x.unproven != y.unproven:
		return boolOrder(x.unproven)
	case x.crashes != y.crashes:
		return x.crashes - y.crashes
	case x.request != y.request:
		return boolOrder(x.request)
	}
	return 0
}

func boolOrder(higher bool) int {
	if higher {
		return 1
	}
	return -1
}

func rankOf(f Fingerprint, rec *record) rank {
	return rank{unproven: !rec.proven, crashes: len(rec.servers), request: !f.IsPart()}
}

// sortByRank puts the highest rank first.
func (r *Registry) sortByRank(order []Fingerprint) {
	slices.SortFunc(order, func(x, y Fingerprint) int {
		if higher := rankOf(y, r.records[y]).compare(rankOf(x, r.records[x])); higher != 0 {
			return higher
		}
		return bytes.Compare(x[:], y[:])
	})
}

// unexplained counts the crashes that no quarantined subject accounts for.
func (r *Registry) unexplained(f Fingerprint, rec *record) int {
	n := 0
	for server := range rec.servers {
		if highest, ok := r.maxRank[server]; !ok || !highest.accountsFor(rankOf(f, rec)) {
			n++
		}
	}
	return n
}

// accountsFor reports whether the crash at which two subjects were running counts for x
// and not for y. An unproven subject that merely ran beside y a few times must not take
// all of its crashes.
func (x rank) accountsFor(y rank) bool {
	return x.compare(y) > 0 && 2*x.crashes >= y.crashes
}

// threshold returns the number of unexplained crashes at which a subject is quarantined.
func (r *Registry) threshold(rec *record) int {
	if rec.proven {
		return r.settings.ProvenCrashThreshold
	}
	return r.settings.CrashThreshold
}

// recompute derives the quarantined subjects from the crash records and from which
// parts are proven, so that entries with the same records quarantine the same subjects
// except for parts that only some of them have seen in whole runs. A crash under a
// quarantined subject does not count against those of a lower rank. It returns the
// newly quarantined subjects.
func (r *Registry) recompute(now time.Time) []Fingerprint {
	order := make([]Fingerprint, 0, len(r.candidates))
	for f := range r.candidates {
		order = append(order, f)
	}
	r.sortByRank(order)
	r.maxRank = map[string]rank{}
	atServer := map[string][]Fingerprint{}
	var quarantined, added []Fingerprint
	for _, f := range order {
		rec := r.records[f]
		before := rec.quarantined
		rec.quarantined = r.unexplained(f, rec) >= r.threshold(rec)
		if !rec.quarantined {
			rec.uncertainSince = time.Time{}
			continue
		}
		quarantined = append(quarantined, f)
		for server := range rec.servers {
			if highest, ok := r.maxRank[server]; !ok || rankOf(f, rec).compare(highest) > 0 {
				r.maxRank[server] = rankOf(f, rec)
			}
			atServer[server] = append(atServer[server], f)
		}
		if !before {
			added = append(added, f)
		}
	}
	r.quarantinedCount = len(quarantined)
	for _, f := range quarantined {
		r.records[f].updateUncertainty(now, f, atServer)
	}
	return added
}

// updateUncertainty determines whether another quarantined subject was running at
// each crash, and if so, assigns the subject its trial slot.
func (rec *record) updateUncertainty(now time.Time, f Fingerprint, atServer map[string][]Fingerprint) {
	concurrent := map[Fingerprint]bool{}
	for server := range rec.servers {
		if len(atServer[server]) < 2 {
			rec.uncertainSince = time.Time{}
			return
		}
		for _, other := range atServer[server] {
			concurrent[other] = true
		}
	}
	if rec.uncertainSince.IsZero() {
		rec.uncertainSince = now
	}
	rec.slot, rec.slots = 0, len(concurrent)
	for other := range concurrent {
		if bytes.Compare(other[:], f[:]) < 0 {
			rec.slot++
		}
	}
}
