package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/routetable"
)

// A request must not wait beyond the route's quiet limit: its caller abandons a
// stream without events long before the deadline.
func TestFirstEventDeadlineIsBoundedByQuietLimit(t *testing.T) {
	arrived := time.Unix(1000, 0)
	deadline := arrived.Add(15 * time.Second)
	for name, c := range map[string]struct {
		quiet, want time.Duration
	}{
		"quiet limit before deadline": {6 * time.Second, 6 * time.Second},
		"quiet limit after deadline":  {20 * time.Second, 15 * time.Second},
		"no quiet limit":              {0, 15 * time.Second},
	} {
		j := &job{arrived: arrived, deadline: deadline, route: &routetable.Route{EventTimeout: c.quiet}}
		assert.Equal(t, arrived.Add(c.want), j.firstEventDeadline(), name)
	}
}
