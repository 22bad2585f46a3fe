package gateway

import (
	"maps"
	"time"

	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/rollout"
	"github.com/jayproxy/jayproxy/internal/routing"
)

// rolloutRowsLifetime is how long rows are kept that are not used: this entry has lost the
// lease.
const rolloutRowsLifetime = 10 * time.Second

// rolloutRows holds what the input of one model's rollout is gathered from, while this entry
// holds the lease. Looking up each server in the list, the versions and the loads takes
// milliseconds at 7,000 servers, which is too long for each tick.
type rolloutRows struct {
	model  string
	usedAt time.Time
	// all holds the servers that run the model and don't drain, sorted by ID, as of a
	// generation of the list.
	all        []*rolloutRow
	generation uint64
	// byID holds these, and servers that were listed when the loads were last measured: one
	// that is listed again has its load.
	byID map[string]*rolloutRow
	// capacity in use, and the work of each server, as of measuredAt.
	measuredAt time.Time
	capacity   rollout.Capacity
	// servers and live are the buffers of the servers that may be ordered and of the loads
	// of those that are up.
	servers []rollout.Server
	live    []routing.ServerLoad
}

// rolloutRow is one server.
type rolloutRow struct {
	id, address string
	startedMS   int64
	version     uint64
	load        routing.ServerLoad
	workMS      float64
	backend     *fleet.Backend
	// ended: the incarnation has ended and the router has dropped its load.
	ended bool
	// at is the index in all, generation that of the list which last had the server.
	at         int
	generation uint64
}

// updateRowsLocked applies changes of the list. A backend that is still listed is the same
// incarnation with the same properties, so that its row stays as it is.
func (s *state) updateRowsLocked(now time.Time, rows *rolloutRows) {
	before, next := rows.all, 0
	rows.all, rows.generation = make([]*rolloutRow, 0, len(before)), s.list.Generation()
	for _, b := range s.list.All() {
		if b.Draining {
			continue
		}
		var r *rolloutRow
		if next < len(before) && before[next].backend == b && !before[next].ended {
			r = before[next]
			next++
		} else if _, has := b.Versions[rows.model]; has {
			r = s.rowLocked(rows, b)
			next = max(next, r.at+1)
		} else {
			continue
		}
		r.at, r.generation = len(rows.all), rows.generation
		rows.all = append(rows.all, r)
	}
	if now.Sub(rows.measuredAt) >= rolloutLoadsInterval {
		rows.dropUnlisted()
	}
}

// rowLocked returns the row of a backend, a new one if the backend has changed. Such a server
// keeps its measured work until the next measurement.
func (s *state) rowLocked(rows *rolloutRows, b *fleet.Backend) *rolloutRow {
	r := rows.byID[b.ID]
	if r != nil && r.backend == b && !r.ended {
		return r
	}
	changed := &rolloutRow{
		id: b.ID, address: b.Address, startedMS: b.StartedMS, version: s.versions[versionKey{b.ID, rows.model}],
		load: s.router.ServerLoad(b.ID), backend: b, at: -1,
	}
	if r != nil {
		changed.workMS, changed.at = r.workMS, r.at
	}
	rows.byID[b.ID] = changed
	return changed
}

// dropUnlisted drops the rows of servers that are no longer among all.
func (r *rolloutRows) dropUnlisted() {
	if len(r.byID) > len(r.all) {
		maps.DeleteFunc(r.byID, func(_ string, row *rolloutRow) bool { return row.generation != r.generation })
	}
}

// rolloutVersionLocked passes a new version of a server to the rows.
func (s *state) rolloutVersionLocked(server, model string, version uint64) {
	if rows := s.rolloutRows[model]; rows != nil && rows.byID[server] != nil {
		rows.byID[server].version = version
	}
}

// rolloutEndedLocked marks the rows of an incarnation that has ended.
func (s *state) rolloutEndedLocked(server string) {
	for _, rows := range s.rolloutRows {
		if r := rows.byID[server]; r != nil {
			r.ended = true
		}
	}
}

// expireRolloutRowsLocked drops rows that are no longer used.
func (s *state) expireRolloutRowsLocked(now time.Time) {
	maps.DeleteFunc(s.rolloutRows, func(_ string, rows *rolloutRows) bool { return now.Sub(rows.usedAt) >= rolloutRowsLifetime })
}
