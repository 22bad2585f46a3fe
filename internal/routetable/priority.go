package routetable

import (
	"slices"
	"sort"
)

// PriorityLevels is the number of priorities that a backend server distinguishes.
const PriorityLevels = 10

// requestPriority orders requests: by the priority of the workspace, or of the route if
// the workspace has none, and among equals by that of the route. So routes of one
// workspace still differ in priority.
type requestPriority struct{ primary, route int }

func (p requestPriority) before(q requestPriority) bool {
	if p.primary != q.primary {
		return p.primary < q.primary
	}
	return p.route < q.route
}

func requestPriorityOf(route *Route, workspace *Workspace) requestPriority {
	p := requestPriority{primary: route.Priority, route: route.Priority}
	if workspace != nil && workspace.HasPriority {
		p.primary = workspace.Priority
	}
	return p
}

// rankPriorities numbers all priorities that requests to model engines can have under
// this table, from the highest on.
func (t *Table) rankPriorities() {
	t.priorityRanks = map[requestPriority]int{}
	priorities := map[int]bool{}
	for _, routes := range t.byHost {
		for _, route := range routes {
			if !t.usesEngine(route) {
				continue
			}
			priorities[route.Priority] = true
			t.priorityRanks[requestPriorityOf(route, nil)] = 0
			for i := range t.Workspaces {
				t.priorityRanks[requestPriorityOf(route, &t.Workspaces[i])] = 0
			}
		}
	}
	for priority := range priorities {
		t.enginePriorities = append(t.enginePriorities, priority)
	}
	sorted := make([]requestPriority, 0, len(t.priorityRanks))
	for p := range t.priorityRanks {
		sorted = append(sorted, p)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].before(sorted[j]) })
	for i, p := range sorted {
		t.priorityRanks[p] = i
	}
}

func (t *Table) usesEngine(route *Route) bool {
	for _, target := range route.Targets {
		if service := t.Services[target.Service]; service != nil && service.Engine != nil {
			return true
		}
	}
	return false
}

// PriorityLevel returns the priority of a request on a route to model engines, from 0,
// the highest, to PriorityLevels-1. If the table has more priorities than there are
// levels, adjacent ones share a level.
func (t *Table) PriorityLevel(route *Route, workspace *Workspace) int {
	rank, total := t.priorityRanks[requestPriorityOf(route, workspace)], len(t.priorityRanks)
	if total <= PriorityLevels {
		return rank
	}
	return rank * PriorityLevels / total
}

// RanksWorkspaces reports whether any workspace has a priority or a usage cap, and requests
// to model engines differ in priority.
func (t *Table) RanksWorkspaces() bool {
	return len(t.priorityRanks) > 1 && slices.ContainsFunc(t.Workspaces, func(w Workspace) bool { return w.HasPriority || w.Usage.Cap.Limited() })
}

// RoutePriorityRank returns the rank of the route's priority among the priorities of
// all routes to model engines, 0 for the highest, and how many of these there are.
func (t *Table) RoutePriorityRank(route *Route) (rank, count int) {
	for _, priority := range t.enginePriorities {
		if priority < route.Priority {
			rank++
		}
	}
	return rank, len(t.enginePriorities)
}
