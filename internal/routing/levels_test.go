package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A charity's new rulebook becomes hot: the one server that holds it has a
// queue, and each request that goes elsewhere recomputes it there. The
// prefix's set must grow to the servers that serve it anyway, and shrink again
// so that it does not keep their caches when the rush is over.
func TestHotPrefixWidensAndNarrows(t *testing.T) {
	now := time.Unix(0, 0)
	l := &sharedPrefix{width: 1, minWidth: 1, ranking: ranking{length: 12}}
	feed := func(requests int, inside bool) {
		for range requests {
			now = now.Add(50 * time.Millisecond)
			l.observe(now, inside)
		}
	}
	feed(400, false)
	hot := l.width
	assert.Greater(t, hot, 3)
	assert.LessOrEqual(t, hot, maxWidth)
	feed(20, true)
	assert.Equal(t, hot, l.width, "a short lull does not narrow it")
	feed(4000, true)
	assert.Equal(t, 1, l.width)
}

// All queues are long after a burst. If the shortest queue then beats every
// cached prefix, each request is computed anew at a server that holds nothing
// of it, and the queues stay long although the caches could carry the load.
func TestLongQueuesRaiseTheWeightOfRecomputation(t *testing.T) {
	c := &choice{policy: &PoolPolicy{}}
	cand := &candidate{backend: &backend{byteMS: 0.025}, prefillMS: 400}
	idle := c.recomputeMS(cand)
	c.averageQueueMS = 2000
	assert.Zero(t, idle)
	assert.Greater(t, c.recomputeMS(cand), 2000.0)
}
