package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/fleet"
)

// An entry of a fleet with 3,000 backend servers started, and served nobody for
// half a minute: with each entry of the list it worked the members out anew, and
// its VM has a third of a core. A router that restarts serves at once.
func TestChangeBackendsHandlesLongList(t *testing.T) {
	s := newRestartSite()
	var changes []backendChange
	for i := range 3000 {
		changes = append(changes, backendChange{backend: &fleet.Backend{
			Lifetime: fleet.Lifetime{Instance: fmt.Sprint("e", i), Born: 1}, Service: "engines", Address: fmt.Sprint("10.0.", i/250, ".", i%250, ":1"),
			Versions: map[string]uint64{"m": 1},
		}})
	}
	begun := time.Now()
	s.changeBackends(begun, changes)
	assert.Less(t, time.Since(begun), time.Second)
	assert.True(t, s.members.Usable("e7@1"), "membership knows them")
	s.changeBackends(begun, []backendChange{{removed: "e7"}})
	assert.Nil(t, s.list.Get("e7@1"))
}
