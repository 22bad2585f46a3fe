package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against callers that are accepted by a process that can't serve them yet, and against
// callers that wait for ever for one that never can.
func TestInheritedPortOpensOnceCallersCanBeServed(t *testing.T) {
	limits := Limits{Timeout: time.Second}
	for _, tt := range []struct {
		name string
		port Port
		want bool
	}{
		{"own socket", Port{}, true},
		{"nothing known", Port{Inherited: true}, false},
		{"configured, not linked", Port{Inherited: true, Config: Loaded}, false},
		{"linked, not configured", Port{Inherited: true, Linked: true}, false},
		{"configured and linked", Port{Inherited: true, Config: Loaded, Linked: true}, true},
		{"no configuration exists", Port{Inherited: true, Config: NotFound}, true},
		{"just before the timeout", Port{Inherited: true, Age: time.Second - 1}, false},
		{"timeout without configuration", Port{Inherited: true, Age: time.Second}, true},
		{"timeout without links", Port{Inherited: true, Config: Loaded, Age: time.Second}, true},
	} {
		assert.Equal(t, tt.want, limits.Accepts(tt.port), tt.name)
	}
}
