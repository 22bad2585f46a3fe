package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/roster"
	"github.com/jayproxy/jayproxy/internal/weights"
)

func newTestPeers(node string, n int) *peers {
	p := newPeers(Settings{Node: node, DataCentre: "a"})
	for i := range n {
		p.put(fmt.Sprint("gw", i), roster.Row{Address: fmt.Sprint("10.0.0.", i, ":1"), DataCentre: []string{"a", "b"}[i%2]})
	}
	return p
}

// Guards against all entries of a large fleet contending for the lease while its holder
// rolls out new weights, which may take longer than contendAfter.
func TestOthersContendOnlyWithoutActiveHolder(t *testing.T) {
	settings := Settings{Node: "gw9", DataCentre: "a"}
	g := &Gateway{settings: settings, state: newState(settings, func(string) {}), peers: newTestPeers("gw9", 20)}
	now := time.Now()
	g.state.setTarget(now.Add(-time.Minute), weights.Target{Model: "m", Version: 1}, "test")
	g.state.setTarget(now.Add(-2*contendAfter), weights.Target{Model: "m", Version: 2}, "test")
	g.state.versions[versionKey{"s1", "m"}] = 1
	assert.True(t, g.contends(), "no other holder was seen")
	g.state.recordHolderActivity(now)
	assert.False(t, g.contends(), "another holder is active")
	g.state.recordHolderActivity(now.Add(-2 * holderTimeout))
	assert.True(t, g.contends(), "the other holder is no longer active")
}
