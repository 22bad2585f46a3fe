package routetable_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/routetable"
)

func tableWithPriorities(routePriorities, workspacePriorities []int) *routetable.Table {
	var routes []routetable.Route
	for _, p := range routePriorities {
		routes = append(routes, routetable.Route{Host: "h", Prefix: fmt.Sprintf("/%d/", p), Priority: p, Targets: []routetable.Target{{Service: "engines", Weight: 1}}})
	}
	var workspaces []routetable.Workspace
	for _, p := range workspacePriorities {
		workspaces = append(workspaces, routetable.Workspace{Name: fmt.Sprint(p), Priority: p, HasPriority: true})
	}
	services := []routetable.Service{{Name: "engines", Engine: &routetable.Engine{}}}
	return routetable.New(1, routetable.Limits{}, routes, services, workspaces)
}

// Under load, calls of 2,000 tokens that their operator ranked first waited
// behind prompts of 12,000 of the same workspace: the workspace's priority took
// the place of the route's, so that the engine saw both as equals.
func TestAmongEqualsOfAWorkspaceTheRoutesPriorityDecides(t *testing.T) {
	table := tableWithPriorities([]int{0, 1}, []int{0, 2})
	urgent, patient := table.Match("h", "/0/"), table.Match("h", "/1/")
	first, last := &table.Workspaces[0], &table.Workspaces[1]
	order := []int{table.PriorityLevel(urgent, first), table.PriorityLevel(patient, first), table.PriorityLevel(urgent, last), table.PriorityLevel(patient, last)}
	assert.IsIncreasing(t, order, "the workspace's priority first, then the route's")
	assert.Equal(t, table.PriorityLevel(urgent, first), table.PriorityLevel(urgent, nil), "a request without a workspace has its route's")
}

func TestUrgencyKeepsItsOrderWithMorePairsThanDegrees(t *testing.T) {
	table := tableWithPriorities([]int{0, 1, 2, 3}, []int{0, 1, 2, 3, 4, 5})
	before := 0
	for w := range table.Workspaces {
		for p := range 4 {
			now := table.PriorityLevel(table.Match("h", fmt.Sprintf("/%d/", p)), &table.Workspaces[w])
			assert.GreaterOrEqual(t, now, before)
			assert.Less(t, now, routetable.PriorityLevels)
			before = now
		}
	}
	assert.Positive(t, before)
}
