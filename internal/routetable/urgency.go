package routetable

import "sort"

// PriorityLevels is how many degrees of urgency a backend server tells apart.
const PriorityLevels = 10

// urgency orders requests: a workspace's priority goes first, and among equals
// the route's own decides. With the workspace's alone, short calls that an
// operator ranked first waited behind long prompts of the same workspace.
type urgency struct{ declared, route int }

func (u urgency) before(v urgency) bool {
	if u.declared != v.declared {
		return u.declared < v.declared
	}
	return u.route < v.route
}

func urgencyOf(route *Route, workspace *Workspace) urgency {
	u := urgency{declared: route.Priority, route: route.Priority}
	if workspace != nil && workspace.HasPriority {
		u.declared = workspace.Priority
	}
	return u
}

// rankUrgencies numbers all pairs that the table can bring about, the most
// urgent first.
func (t *Table) rankUrgencies() {
	t.urgencies = map[urgency]int{}
	priorities := map[int]bool{}
	for _, routes := range t.byHost {
		for _, route := range routes {
			if !t.usesEngine(route) {
				continue
			}
			priorities[route.Priority] = true
			t.urgencies[urgencyOf(route, nil)] = 0
			for i := range t.Workspaces {
				t.urgencies[urgencyOf(route, &t.Workspaces[i])] = 0
			}
		}
	}
	for priority := range priorities {
		t.enginePriorities = append(t.enginePriorities, priority)
	}
	order := make([]urgency, 0, len(t.urgencies))
	for u := range t.urgencies {
		order = append(order, u)
	}
	sort.Slice(order, func(i, j int) bool { return order[i].before(order[j]) })
	for i, u := range order {
		t.urgencies[u] = i
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

// PriorityLevel is the degree of a request on a route to model engines, 0 for the
// most urgent, below Levels. Where a table brings about more pairs than there
// are degrees, neighbours share one.
func (t *Table) PriorityLevel(route *Route, workspace *Workspace) int {
	rank, pairs := t.urgencies[urgencyOf(route, workspace)], len(t.urgencies)
	if pairs <= PriorityLevels {
		return rank
	}
	return rank * PriorityLevels / pairs
}

// RoutePriorityRank tells the place of a route's own priority among those of all routes to
// model engines, 0 for the most urgent.
func (t *Table) RoutePriorityRank(route *Route) (rank, of int) {
	for _, priority := range t.enginePriorities {
		if priority < route.Priority {
			rank++
		}
	}
	return rank, len(t.enginePriorities)
}
