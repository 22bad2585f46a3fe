package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/fleet"
)

// Guards against an entry that serves no requests for seconds after its start, because it
// updates the members once for each of thousands of servers.
func TestChangeBackendsHandlesLongList(t *testing.T) {
	s := newRestartFixture()
	var changes []backendChange
	for i := range 3000 {
		changes = append(changes, backendChange{backend: &fleet.Backend{
			Incarnation: fleet.Incarnation{Instance: fmt.Sprint("e", i), StartedMS: 1}, Service: "engines", Address: fmt.Sprint("10.0.", i/250, ".", i%250, ":1"),
			Versions: map[string]uint64{"m": 1},
		}})
	}
	start := time.Now()
	s.changeBackends(start, changes, "test")
	assert.Less(t, time.Since(start), time.Second)
	assert.True(t, s.members.Usable("e7@1"), "the members were updated")
	s.changeBackends(start, []backendChange{{removed: "e7"}}, "test")
	assert.Nil(t, s.list.Get("e7@1"))
}
