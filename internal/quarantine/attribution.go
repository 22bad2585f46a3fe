package quarantine

import (
	"bytes"
	"slices"
	"time"
)

func (r *Registry) sortByCrashes(order []Fingerprint) {
	slices.SortFunc(order, func(x, y Fingerprint) int {
		if more := len(r.records[y].servers) - len(r.records[x].servers); more != 0 {
			return more
		}
		return bytes.Compare(x[:], y[:])
	})
}

// unexplained counts the crashes at which no quarantined request with more
// crashes was running.
func (r *Registry) unexplained(rec *record) int {
	n := 0
	for server := range rec.servers {
		if r.maxCrashes[server] <= len(rec.servers) {
			n++
		}
	}
	return n
}

// recompute derives the quarantined requests from the crash records alone, so that
// entries with the same records quarantine the same requests. A crash under a
// quarantined request does not count against requests with fewer crashes. It
// returns the newly quarantined requests.
func (r *Registry) recompute(now time.Time) []Fingerprint {
	order := make([]Fingerprint, 0, len(r.candidates))
	for f := range r.candidates {
		order = append(order, f)
	}
	r.sortByCrashes(order)
	r.maxCrashes = map[string]int{}
	atServer := map[string][]Fingerprint{}
	var quarantined, added []Fingerprint
	for _, f := range order {
		rec := r.records[f]
		before := rec.quarantined
		rec.quarantined = r.unexplained(rec) >= r.settings.CrashThreshold
		if !rec.quarantined {
			rec.uncertainSince = time.Time{}
			continue
		}
		quarantined = append(quarantined, f)
		for server := range rec.servers {
			r.maxCrashes[server] = max(r.maxCrashes[server], len(rec.servers))
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

// updateUncertainty determines whether another quarantined request was running at
// each crash, and if so, assigns the request its trial slot.
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
