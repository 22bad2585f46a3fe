package quarantine

import "slices"

// evictDivisor sets the share of a full registry that is evicted at once: one part in this many.
const evictDivisor = 8

// evict removes records when there are too many: requests that are not
// quarantined first, the least recently updated first. It reports whether any
// were removed.
func (r *Registry) evict() bool {
	if len(r.records) <= r.settings.MaxSubjects {
		return false
	}
	order := make([]Fingerprint, 0, len(r.records))
	for f := range r.records {
		order = append(order, f)
	}
	slices.SortFunc(order, func(x, y Fingerprint) int { return r.records[x].compareEviction(r.records[y]) })
	keep := r.settings.MaxSubjects - r.settings.MaxSubjects/evictDivisor
	for _, f := range order[:len(order)-keep] {
		r.evicted = append(r.evicted, r.snapshot(f, r.records[f]))
		r.drop(f)
	}
	return true
}

func (rec *record) compareEviction(other *record) int {
	switch {
	case rec.quarantined && !other.quarantined:
		return 1
	case !rec.quarantined && other.quarantined:
		return -1
	}
	return rec.updatedAt.Compare(other.updatedAt)
}
