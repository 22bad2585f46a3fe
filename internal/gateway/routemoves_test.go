package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/routetable"
)

// Guards against streams joined from two services after a configuration has moved their route.
func TestARouteThatMovedHadSeveralServices(t *testing.T) {
	const within = 6 * time.Second
	start := time.Unix(1_000_000, 0)
	route := func(prefix string, services ...string) routetable.Route {
		r := routetable.Route{Host: "a", Prefix: prefix, Kind: routetable.Stream, Resumable: true}
		for _, s := range services {
			r.Targets = append(r.Targets, routetable.Target{Service: s, Weight: 1})
		}
		return r
	}
	table := func(routes ...routetable.Route) *routetable.Table {
		return routetable.New(1, routetable.Limits{}, routes, nil, nil)
	}
	moves := routeMoves{}
	one, other, split := route("/x/", "s"), route("/x/", "t"), route("/x/", "s", "t")
	assert.True(t, moves.hadOnlyService(start, &one, within))
	assert.False(t, moves.hadOnlyService(start, &split, within))
	moves.note(start, table(one), table(one))
	assert.True(t, moves.hadOnlyService(start, &one, within))
	moves.note(start, table(one), table(other))
	assert.False(t, moves.hadOnlyService(start.Add(within-1), &other, within))
	assert.True(t, moves.hadOnlyService(start.Add(within), &other, within))
	longer := route("/x/y/", "t")
	moves.note(start, table(one), table(one, longer))
	assert.False(t, moves.hadOnlyService(start.Add(within-1), &longer, within), "the shorter prefix had its paths")
	moves.note(start.Add(routeMoveTime+1), table(one), table(one))
	assert.Empty(t, moves)
}
