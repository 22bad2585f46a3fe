// Package softwarehistory keeps which versions of a service's software were in service, and
// until when. It proves which version began a stream that its caller takes up again without
// naming the attempt that began it: the only one that was in service for as long as a stream
// may be taken up.
//
// What a process has seen itself is whole only from its start on, and while it reads each change
// of the list of servers. The time before comes from a record that outlives all processes. It
// says nothing of the time since the list was last read: callers read it once more before they
// ask. It does no I/O, starts no goroutine and reads no clock; callers provide the locking.
package softwarehistory

import (
	"cmp"
	"slices"
	"time"

	"github.com/jayproxy/jayproxy/internal/streamorigin"
)

const (
	// CloseAfter is how long a version must be unlisted before the record says so. Processes
	// do not see changes of the list at the same time.
	CloseAfter = 5 * time.Second
	// keepTime is how long versions are kept after they were listed.
	keepTime = 10 * time.Minute
)

// Sighting is what is known of one version.
type Sighting struct {
	Version streamorigin.Version
	// Listed: servers of the version are in the list. Otherwise they were Unlisted ago.
	Listed   bool
	Unlisted time.Duration
}

// History is the versions of one service.
type History struct {
	// listed are those in the list, lastListed when the others were last there.
	listed     []streamorigin.Version
	lastListed map[streamorigin.Version]time.Time
	// since is the time from which on the history is whole; zero: it is not.
	since time.Time
	// recorded are the versions that the record shows as listed, as it was last merged.
	// merged: it was merged since the history was last interrupted.
	recorded []streamorigin.Version
	merged   bool
	// interruptions counts how often it was interrupted.
	interruptions int
}

// New returns a history without a version, which is not whole.
func New() *History { return &History{lastListed: map[streamorigin.Version]time.Time{}} }

// Observe notes the versions in the list as of now, each once; 0 stands for servers whose
// version is not known.
func (h *History) Observe(now time.Time, listed []streamorigin.Version) {
	for _, v := range h.listed {
		h.lastListed[v] = now
	}
	for _, v := range listed {
		delete(h.lastListed, v)
	}
	for v, last := range h.lastListed {
		if now.Sub(last) > keepTime {
			delete(h.lastListed, v)
		}
	}
	h.listed = listed
	if h.since.IsZero() {
		h.since = now
	}
}

// SawUnknown notes that a server of an unknown version came and went between two looks.
func (h *History) SawUnknown(now time.Time) { h.lastListed[0] = now }

// Interrupt says that versions may have come and gone unseen.
func (h *History) Interrupt() {
	h.since, h.merged = time.Time{}, false
	h.interruptions++
}

// Interruptions returns how often the history was interrupted.
func (h *History) Interruptions() int { return h.interruptions }

// Sightings returns what this process knows as of a moment up to which its list is complete.
func (h *History) Sightings(asOf time.Time) []Sighting {
	var all []Sighting
	for _, v := range h.listed {
		all = append(all, Sighting{Version: v, Listed: true})
	}
	for v, last := range h.lastListed {
		all = append(all, Sighting{Version: v, Unlisted: max(0, asOf.Sub(last))})
	}
	return sorted(all)
}

// Merge adds what the record says, which was asked for after the given number of interruptions.
// The history is whole then, as the record shows all versions that were in service before,
// unless it was interrupted since.
func (h *History) Merge(now time.Time, recorded []Sighting, interruptions int) {
	whole := h.merged
	h.recorded, h.merged = nil, interruptions == h.interruptions
	for _, s := range recorded {
		if s.Listed {
			h.recorded = append(h.recorded, s.Version)
		}
		own, known := h.lastListed[s.Version]
		if slices.Contains(h.listed, s.Version) || known && whole {
			continue
		}
		if last := now.Add(-s.Unlisted); own.Before(last) {
			h.lastListed[s.Version] = last
		}
	}
}

// NeedsMerge reports whether the record has to be merged: the history was interrupted, and
// observed again, since that was last done.
func (h *History) NeedsMerge() bool { return !h.merged && !h.since.IsZero() }

// RecordLacks reports whether the record lacks a change that this process knows as of a moment up
// to which its list is complete.
func (h *History) RecordLacks(asOf time.Time) bool {
	if h.since.IsZero() {
		return false
	}
	for _, v := range h.listed {
		if v != 0 && !slices.Contains(h.recorded, v) {
			return true
		}
	}
	for _, v := range h.recorded {
		last, unlisted := h.lastListed[v]
		if unlisted && asOf.Sub(last) >= CloseAfter {
			return true
		}
	}
	return false
}

// Only returns the only version that was in service in the time before now; 0: there were
// several, or it is not known, with the reason.
func (h *History) Only(now time.Time, within time.Duration) (streamorigin.Version, string) {
	if h.since.IsZero() || !h.merged && now.Sub(h.since) < within {
		return 0, "versions before the start are not known"
	}
	if len(h.listed) != 1 || h.listed[0] == 0 {
		return 0, "servers of several versions or none"
	}
	for _, last := range h.lastListed {
		if now.Sub(last) < within {
			return 0, "servers of another version not long ago"
		}
	}
	return h.listed[0], "the only version in service"
}

// MergeRecord returns a record with what one process knows, and whether that changes it.
func MergeRecord(recorded, own []Sighting) (merged []Sighting, changed bool) {
	byVersion := map[streamorigin.Version]Sighting{}
	for _, s := range recorded {
		byVersion[s.Version] = s
	}
	for _, s := range own {
		old, known := byVersion[s.Version]
		switch {
		case known && old.Listed == s.Listed, known && !s.Listed && s.Unlisted < CloseAfter, s.Version == 0:
			continue
		}
		byVersion[s.Version], changed = s, true
	}
	for v, s := range byVersion {
		if s.Unlisted > keepTime {
			changed = true
			delete(byVersion, v)
			continue
		}
		merged = append(merged, s)
	}
	return sorted(merged), changed
}

func sorted(all []Sighting) []Sighting {
	slices.SortFunc(all, func(a, b Sighting) int { return cmp.Compare(a.Version, b.Version) })
	return all
}
