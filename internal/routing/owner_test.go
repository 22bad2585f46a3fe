package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/routing"
)

func newOwner() *routing.Direct {
	return routing.NewDirect(routing.DirectOptions{DataCentre: "a", MaxVersionAge: 8 * time.Second, ExclusiveServers: true})
}

// Guards against prompts that queue at the preferred server of a new prefix while other
// servers are idle, in a burst of prompts with prefixes that nobody holds yet.
func TestBurstOfNewPrefixesSpreadsOverAnOwnersServers(t *testing.T) {
	owner, servers := newOwner(), directServers(8)
	placed := map[string]int{}
	for i := range 32 {
		choice := choose(t, owner, time.Duration(i)*time.Millisecond, prompt(fmt.Sprint("r", i), fmt.Sprint("document", i)), servers)
		placed[choice.Server.ID]++
	}
	for _, server := range servers {
		assert.InDelta(t, 4, placed[server.ID], 2, server.ID)
	}
}

// Guards against prefixes that are read again elsewhere after the record of their holder
// has expired: the server that every owner prefers for it may still hold it.
func TestUnknownPrefixGoesToItsPreferredServerUnlessThatIsBusy(t *testing.T) {
	servers := directServers(8)
	for i := range 20 {
		document := fmt.Sprint("document", i)
		first := choose(t, newOwner(), 0, prompt("r", document), servers)
		assert.Equal(t, routing.SourcePreferred, first.Source)
		assert.Equal(t, first.Server.ID, choose(t, newOwner(), 0, prompt("s", document), servers).Server.ID)
	}
}

// Guards against two prefills of one prefix while it is being prefilled.
func TestOwnerDoesNotPrefillAPendingPrefixTwice(t *testing.T) {
	owner, servers := newOwner(), directServers(8)
	first := choose(t, owner, 0, prompt("r0", "contract"), servers)
	for i := range 3 {
		choice := choose(t, owner, time.Duration(i)*time.Millisecond, prompt(fmt.Sprint("s", i), "contract"), servers)
		assert.Equal(t, first.Server.ID, choice.Server.ID)
	}
}

// Guards against a prompt of 50,000 tokens at a server with running streams, which get no
// event while it is read, when another server is idle.
func TestLongPromptAvoidsRunningStreams(t *testing.T) {
	owner, servers := newOwner(), directServers(2)
	for i := range 3 {
		id := fmt.Sprint("r", i)
		choice, err := owner.Choose(directStart, prompt(id, "contract"), servers[:1], nil)
		require.NoError(t, err)
		require.Equal(t, "s0", choice.Server.ID)
		owner.FirstToken(directStart.Add(300*time.Millisecond), id)
	}
	long := prompt("long", "contract")
	long.Tokens = 50000
	choice := choose(t, owner, time.Second, long, servers)
	assert.Equal(t, "s1", choice.Server.ID)
	assert.Equal(t, routing.SourceHolder, choice.Source, "the prefix is fetched")
	short := choose(t, owner, 1100*time.Millisecond, prompt("short", "contract"), servers)
	assert.Equal(t, "s0", short.Server.ID, "a prompt of usual length goes where its prefix is")
}
