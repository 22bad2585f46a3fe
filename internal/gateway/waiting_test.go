package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/routetable"
)

// Long prompts waited in the entry for six tenths of their deadline, and 493 of
// them were sent when their callers had left: a stream that shows nothing is
// left long before its deadline.
func TestAStreamWaitsAsLongAsItsCallerStays(t *testing.T) {
	arrived := time.Unix(1000, 0)
	deadline := arrived.Add(15 * time.Second)
	for name, c := range map[string]struct {
		quiet, want time.Duration
	}{
		"left before its deadline": {6 * time.Second, 6 * time.Second},
		"left after its deadline":  {20 * time.Second, 15 * time.Second},
		"no stream":                {0, 15 * time.Second},
	} {
		j := &job{arrived: arrived, deadline: deadline, route: &routetable.Route{EventTimeout: c.quiet}}
		assert.Equal(t, arrived.Add(c.want), j.firstBy(), name)
	}
}
