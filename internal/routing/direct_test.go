package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/routing"
)

var directStart = time.Unix(1000, 0)

func directServers(n int) []routing.DirectServer {
	var servers []routing.DirectServer
	for i := range n {
		servers = append(servers, routing.DirectServer{
			ID: fmt.Sprintf("s%d", i), Hash: routing.ServerHash(fmt.Sprintf("s%d", i)), Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: "a", Slots: 64, Version: 1, Usable: true, Weight: 1,
		})
	}
	return servers
}

func prompt(id, document string) *routing.DirectRequest {
	return &routing.DirectRequest{
		ID: id, Tokens: 10000, OutputTokens: 50,
		Prefix: []call.Part{{ID: "common", Tokens: 500}, {ID: document, Tokens: 5000}},
	}
}

func newDirect() *routing.Direct {
	return routing.NewDirect(routing.DirectOptions{DataCentre: "a", MaxVersionAge: 8 * time.Second})
}

func choose(t *testing.T, d *routing.Direct, at time.Duration, req *routing.DirectRequest, servers []routing.DirectServer) routing.DirectChoice {
	t.Helper()
	choice, err := d.Choose(directStart.Add(at), req, servers, nil)
	require.NoError(t, err)
	return choice
}

func served(d *routing.Direct, at time.Duration, id string) {
	d.FirstToken(directStart.Add(at), id)
	d.Finished(directStart.Add(at), id, true)
}

func TestSecondRequestGoesWherePrefixIsCached(t *testing.T) {
	d, servers := newDirect(), directServers(8)
	first := choose(t, d, 0, prompt("r1", "contract"), servers)
	served(d, 300*time.Millisecond, "r1")
	second := choose(t, d, time.Second, prompt("r2", "contract"), servers)
	assert.Equal(t, first.Server.ID, second.Server.ID)
	assert.Equal(t, routing.SourceHeld, second.Source)
	assert.Less(t, second.Terms.PrefillMS, first.Terms.PrefillMS)
}

// A server that does not hold a prefix must fetch the deepest level that another server holds;
// otherwise a frequent prefix is prefilled at every server.
func TestAServerThatLacksThePrefixFetchesIt(t *testing.T) {
	d, servers := newDirect(), directServers(2)
	first := choose(t, d, 0, prompt("r1", "contract"), servers)
	served(d, 300*time.Millisecond, "r1")
	req := prompt("r2", "contract")
	other, err := d.Choose(directStart.Add(time.Second), req, servers, []string{first.Server.ID})
	require.NoError(t, err)
	assert.Equal(t, first.Server.Address, other.FetchFrom)
	assert.Equal(t, routing.SourceHolder, other.Source)
}

// A prefix that is being prefilled can't be fetched yet: a second request must
// go to the same server, or the prefix is prefilled twice.
func TestConcurrentFirstRequestsGoToOneServer(t *testing.T) {
	d, servers := newDirect(), directServers(8)
	first := choose(t, d, 0, prompt("r1", "contract"), servers)
	second := choose(t, d, 20*time.Millisecond, prompt("r2", "contract"), servers)
	assert.Equal(t, first.Server.ID, second.Server.ID)
}

// Without hints, each entry knows only its own requests, and prefixes are
// prefilled once per entry.
func TestAnotherEntrysHintCountsAsOurOwnRequest(t *testing.T) {
	one, two, servers := newDirect(), newDirect(), directServers(8)
	first := choose(t, one, 0, prompt("r0", "contract"), servers[:1]) // the only candidate, which may not be the preferred one of the eight
	hints := one.TakePrefixHints()
	require.Len(t, hints, 2, "one for each level of the prefix")
	for i := range hints {
		hints[i].Address = first.Server.Address
	}
	two.ReceivePrefixHints(directStart, hints)
	choice := choose(t, two, 2*time.Second, prompt("r1", "contract"), servers)
	assert.Contains(t, []routing.PrefixSource{routing.SourceHeld, routing.SourceHolder}, choice.Source)
	assert.Empty(t, one.TakePrefixHints(), "a hint is returned once")
}

// All entries see a server with new weights as idle, and would send to it at
// once.
func TestPendingPrefillOfOtherEntriesCounts(t *testing.T) {
	d, servers := newDirect(), directServers(2)
	d.SetEntries(4)
	first := choose(t, d, 0, prompt("r1", "one"), servers[:1])
	alone := choose(t, d, time.Millisecond, prompt("r2", "two"), servers[:1])
	assert.Greater(t, alone.Terms.QueueMS, 2*first.Terms.PrefillMS, "prefill of other entries is estimated from our own")
	d.ReceiveLoadHints(directStart, 7, []routing.LoadHint{{Server: "s1", PrefillMS: 5000}})
	choice := choose(t, d, 2*time.Millisecond, prompt("r3", "three"), servers)
	assert.Equal(t, "s0", choice.Server.ID)
}

func TestSaltSeparatesVersionsAndScopes(t *testing.T) {
	salts := map[string]bool{}
	for _, version := range []uint64{1, 2} {
		for _, scope := range []string{"", "-1", "/1", "/2"} {
			salts[routing.Salt(version, scope)] = true
		}
	}
	assert.Len(t, salts, 8)
}

// A request must not begin on weights that were superseded too long ago, even
// when the server with the new ones is busy.
func TestServersWithTooOldWeightsAreExcluded(t *testing.T) {
	d, servers := newDirect(), directServers(2)
	servers[0].VersionAge = 9 * time.Second
	servers[1].Version = 2
	for i := range 20 {
		assert.Equal(t, "s1", choose(t, d, 0, prompt(fmt.Sprint(i), "contract"), servers).Server.ID)
	}
	_, err := d.Choose(directStart, prompt("x", "contract"), servers[:1], nil)
	assert.ErrorIs(t, err, routing.ErrNoServer)
}

func TestNewerWeightsArePreferredUnlessOverloaded(t *testing.T) {
	d, servers := newDirect(), directServers(2)
	servers[0].VersionAge = 2 * time.Second
	servers[1].Version = 2
	assert.Equal(t, "s1", choose(t, d, 0, prompt("r1", "contract"), servers).Server.ID)
	d.ReceiveLoadHints(directStart, 7, []routing.LoadHint{{Server: "s1", PrefillMS: 3000}})
	assert.Equal(t, "s0", choose(t, d, time.Millisecond, prompt("r2", "other"), servers).Server.ID)
}

func TestServersLoadingWeightsAreLastResort(t *testing.T) {
	d, servers := newDirect(), directServers(2)
	servers[0].Switching = true
	assert.Equal(t, "s1", choose(t, d, 0, prompt("r1", "contract"), servers).Server.ID)
	assert.Equal(t, "s0", choose(t, d, 0, prompt("r2", "contract"), servers[:1]).Server.ID)
}

// Guards against requests to servers that are certain to refuse them: each costs a retry.
func TestServersThatRefuseAreWaitedFor(t *testing.T) {
	d, servers := newDirect(), directServers(2)
	servers[0].Switching, servers[0].Refusing = true, true
	servers[1].Switching = true
	assert.Equal(t, "s1", choose(t, d, 0, prompt("r1", "contract"), servers).Server.ID)
	waiting := prompt("r2", "contract")
	waiting.MayWait = true
	_, err := d.Choose(directStart, waiting, servers[:1], nil)
	require.ErrorIs(t, err, routing.ErrNoFreeMemory)
	assert.Equal(t, "s0", choose(t, d, 0, prompt("r3", "contract"), servers[:1]).Server.ID, "a request that must not wait is sent")
}

// A server resets connections beyond its limit, whatever runs on them.
func TestServerWithoutFreeConnectionsIsExcluded(t *testing.T) {
	d, servers := newDirect(), directServers(2)
	servers[0].Full = true
	for i := range 10 {
		assert.Equal(t, "s1", choose(t, d, 0, prompt(fmt.Sprint(i), "contract"), servers).Server.ID)
	}
	servers[1].Full = true
	_, err := d.Choose(directStart, prompt("x", "contract"), servers, nil)
	assert.ErrorIs(t, err, routing.ErrNoServer)
}

// The count of requests at a server must not drift: a request that was refused
// there must not stay in its load.
func TestFinishedRequestsLeaveNoLoad(t *testing.T) {
	d, servers := newDirect(), directServers(3)
	for i := range 50 {
		id := fmt.Sprint(i)
		choose(t, d, 0, prompt(id, id), servers)
		if i%2 == 0 {
			d.FirstToken(directStart, id)
		}
		d.Finished(directStart, id, i%3 == 0)
	}
	assert.Empty(t, d.LoadHints())
	for _, s := range servers {
		assert.Zero(t, d.Running(s.ID))
	}
}

func BenchmarkDirectChoice(b *testing.B) {
	for _, n := range []int{12, 56, 318} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, servers := newDirect(), directServers(n)
			now := directStart
			for i := range b.N {
				id := fmt.Sprint(i)
				now = now.Add(time.Millisecond)
				if _, err := d.Choose(now, prompt(id, fmt.Sprint(i%100)), servers, nil); err != nil {
					b.Fatal(err)
				}
				d.FirstToken(now, id)
				d.Finished(now, id, true)
			}
		})
	}
}

// Shared parts without tokens, in a deployment without KV cache stores, must
// not cause a nil dereference.
func TestPromptPartsWithoutTokensArePlaced(t *testing.T) {
	d, servers := newDirect(), directServers(2)
	req := prompt("r1", "contract")
	for i := range req.Prefix {
		req.Prefix[i].Tokens = 0
	}
	assert.NotEmpty(t, choose(t, d, 0, req, servers).Server.ID)
}

// Guards against an entry that fills a server beyond its slots because no response has
// shown its own requests there yet.
func TestAFreeSlotIsOneThatTheServerReportedLately(t *testing.T) {
	d := routing.NewDirect(routing.DirectOptions{})
	now := time.Unix(1_800_000_000, 0)
	server := routing.DirectServer{ID: "a", Slots: 2, Usable: true, Weight: 1}
	assert.False(t, d.HasFreeSlot(now, &server), "nothing reported")
	d.UpdateLoad(now, "a", call.Load{Running: 1, Slots: 2})
	assert.True(t, d.HasFreeSlot(now, &server))
	_, err := d.Choose(now, &routing.DirectRequest{ID: "r1"}, []routing.DirectServer{server}, nil)
	require.NoError(t, err)
	assert.False(t, d.HasFreeSlot(now, &server), "one request of another entry, one of this")
	d.Finished(now, "r1", true)
	assert.True(t, d.HasFreeSlot(now, &server))
	assert.False(t, d.HasFreeSlot(now.Add(3*time.Second), &server), "reported too long ago")
}
