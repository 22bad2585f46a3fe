package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// When one server can't serve all requests with a prefix, its set must grow to the servers that
// serve them anyway, and shrink after the peak so that it no longer occupies their caches.
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

// With long queues everywhere, the shortest queue must not outweigh every cached prefix: each
// request would be prefilled from scratch, and the queues would stay long.
func TestLongQueuesRaiseTheWeightOfRecomputation(t *testing.T) {
	c := &choice{policy: &PoolPolicy{}}
	cand := &candidate{backend: &backend{byteMS: 0.025}, prefillMS: 400}
	idle := c.recomputeMS(cand)
	c.averageQueueMS = 2000
	assert.Zero(t, idle)
	assert.Greater(t, c.recomputeMS(cand), 2000.0)
}
