package gateway

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/rollout"
	"github.com/jayproxy/jayproxy/internal/routetable"
)

const (
	// freshTime is how long after its start, by its own clock, a server counts as just
	// started. Clocks that differ only change the order of loads.
	freshTime = 3 * time.Second
	// rolloutLoadsInterval is the time for which loads of servers are used again: with
	// 7,000 servers it takes milliseconds to gather them.
	rolloutLoadsInterval = 500 * time.Millisecond
)

// rollingModel is a model with what the rollout of its newest weights is decided from. The
// servers are those that may be ordered to load them.
type rollingModel struct {
	name string
	rollout.Input
}

func (s *state) rollingModels(now time.Time) []rollingModel {
	table := s.table.Load()
	if table == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rolling []rollingModel
	for _, name := range s.targets.Models() {
		rolling = append(rolling, s.rollingModelLocked(now, table, name))
	}
	return rolling
}

func (s *state) rollingModelLocked(now time.Time, table *routetable.Table, name string) rollingModel {
	model := rollingModel{name: name, Input: rollout.Input{Target: s.targets.Newest(name)}}
	if bound := s.settings.VersionBound; bound > 0 {
		model.Bounds = rollout.Bounds{Version: bound, Fleet: s.settings.VersionFleetBound}
	}
	for _, version := range s.targets.Ages(now, name) {
		if version.Version == model.Target {
			model.TargetAge = version.Age
		}
	}
	rows := s.rolloutRows[name]
	if rows == nil {
		rows = &rolloutRows{model: name, byID: map[string]*rolloutRow{}}
		s.rolloutRows[name] = rows
		s.updateRowsLocked(now, rows)
	}
	rows.usedAt = now
	if rows.generation != s.list.Generation() {
		s.updateRowsLocked(now, rows)
	}
	old := s.hasOldRowLocked(now, rows, model.Target)
	if old {
		s.addLoadsLocked(now, table, &model, rows)
	}
	model.Servers = s.serversLocked(now, rows, model.Target, old)
	return model
}

// hasOldRowLocked reports whether a server that may be ordered has older weights than the target.
func (s *state) hasOldRowLocked(now time.Time, rows *rolloutRows, target uint64) bool {
	return slices.ContainsFunc(rows.all, func(r *rolloutRow) bool { return r.version < target && s.mayOrderLocked(now, r.backend) })
}

// mayOrderLocked reports whether a listed server may be ordered to load: it has not ended, and no
// other holder has ordered it recently.
func (s *state) mayOrderLocked(now time.Time, b *fleet.Backend) bool {
	return !s.list.Ended(now, b.ID) && now.Sub(s.orderedAt[b.Instance]) >= s.settings.LeaseTime
}

// serversLocked returns the servers that may be ordered, with the work of each if old weights are
// in use. The slice is valid until the next call for the same model.
func (s *state) serversLocked(now time.Time, rows *rolloutRows, target uint64, old bool) []rollout.Server {
	servers, n, nowMS := rows.servers, 0, now.UnixMilli()
	lastVersion, lastAge := target, time.Duration(0)
	excludes := s.list.AnyEnded() || len(s.orderedAt) > 0
	for _, r := range rows.all {
		if excludes && !s.mayOrderLocked(now, r.backend) {
			continue
		}
		if n == len(servers) {
			servers = append(servers, rollout.Server{})
		}
		server := &servers[n]
		n++
		// Mostly these are the texts of the last tick: writing them takes as long as the rest.
		if server.ID != r.id || server.Address != r.address {
			server.ID, server.Address = r.id, r.address
		}
		server.Version, server.Running = r.version, r.load.Running()
		server.Age, server.Fresh, server.WorkMS = 0, false, 0
		if old {
			server.WorkMS = r.workMS
		}
		if r.version < target {
			if r.version != lastVersion {
				lastVersion, lastAge = r.version, s.targets.Age(now, rows.model, r.version)
			}
			server.Age, server.Fresh = lastAge, server.Running == 0 && hasJustStarted(nowMS, r.startedMS)
		}
	}
	rows.servers = servers[:n]
	return rows.servers
}

func hasJustStarted(nowMS, startedMS int64) bool {
	return startedMS > 0 && max(nowMS-startedMS, startedMS-nowMS) < freshTime.Milliseconds()
}

// addLoadsLocked sets the loads of the servers and the capacity in use. It is left out while
// all servers have the newest weights.
func (s *state) addLoadsLocked(now time.Time, table *routetable.Table, model *rollingModel, rows *rolloutRows) {
	if now.Sub(rows.measuredAt) >= rolloutLoadsInterval {
		s.measureLoadsLocked(now, table, rows)
	}
	model.Capacity = rows.capacity
	model.Capacity.Waiting += s.waitQueue.Len() * s.entryCount
}

// measureLoadsLocked sets the work of each server and the capacity in use.
func (s *state) measureLoadsLocked(now time.Time, table *routetable.Table, rows *rolloutRows) {
	rows.dropUnlisted()
	rows.measuredAt, rows.capacity = now, rollout.Capacity{}
	live, memory := rows.live[:0], 0
	for _, r := range rows.all {
		r.workMS = 0
		service := table.Services[r.backend.Service]
		if service == nil || service.Engine == nil || s.list.Ended(now, r.id) {
			continue
		}
		work := s.router.Work(now, r.load)
		r.workMS = work.MS
		if s.members.Usable(r.id) {
			live, memory = append(live, r.load), memory+service.Engine.KVCapacityTokens
			rows.capacity.Waiting += work.Waiting
		}
	}
	rows.live = live
	// Servers that load count as capacity: the pace is chosen so that the others can do
	// the work.
	prefill := s.router.PrefillUse(now, s.entryCount, len(live))
	rows.capacity.Used = max(prefill, s.router.MemoryUse(now, s.entryCount, memory, live))
}

// logPace logs and counts a change of how many servers may load at a time.
func (r *rollouts) logPace(model *rollingModel, before, pace rollout.Pace) {
	if pace.Reason == before.Reason {
		return
	}
	r.gateway.metrics.Count("rollout_pace", pace.Reason.String(), 1)
	klog.InfoS("Rollout pace changed", "model", model.name, "version", model.Target, "reason", pace.Reason.String(), "loads", pace.Loads, "needed", pace.Needed, "most", pace.Most,
		"usedPercent", int(percent*model.Capacity.Used), "waiting", model.Capacity.Waiting, "oldestAgeMS", pace.Oldest.Milliseconds())
}
