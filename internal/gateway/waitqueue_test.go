package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/routetable"
)

// A request must not wait beyond the route's event timeout: its caller abandons a
// stream without events long before the deadline.
func TestFirstEventDeadlineIsBoundedByEventTimeout(t *testing.T) {
	arrived := time.Unix(1000, 0)
	deadline := arrived.Add(15 * time.Second)
	for name, c := range map[string]struct {
		eventTimeout, want time.Duration
	}{
		"event timeout before deadline": {6 * time.Second, 6 * time.Second},
		"event timeout after deadline":  {20 * time.Second, 15 * time.Second},
		"no event timeout":              {0, 15 * time.Second},
	} {
		j := &job{arrived: arrived, deadline: deadline, route: &routetable.Route{EventTimeout: c.eventTimeout}}
		assert.Equal(t, arrived.Add(c.want), j.firstEventDeadline(), name)
	}
}
