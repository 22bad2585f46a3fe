package gateway

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/shard"
	"github.com/jayproxy/jayproxy/internal/weights"
)

var ownStart = time.Unix(1000, 0)

// newOwner is an entry that owns its part of 32 engines beside three others.
func newOwner(node string) *state {
	s := newState(Settings{Node: node, DataCentre: "a", LeaseTime: 3 * time.Second, VersionBound: 10 * time.Second}, func(string) {})
	engines := &routetable.Service{Name: "engines", Engine: &routetable.Engine{Slots: 8, KVCapacityTokens: 100000}}
	s.table.Store(&routetable.Table{Version: 1, Services: map[string]*routetable.Service{"engines": engines}})
	for i := range 32 {
		s.putBackend(ownStart, &fleet.Backend{
			Incarnation: fleet.Incarnation{Instance: fmt.Sprint("e", i), StartedMS: 1}, Service: "engines", Address: fmt.Sprintf("10.0.0.%d:1", i+1), Slots: 8,
			Versions: map[string]uint64{"m": 1},
		})
	}
	var entries []shard.Entry
	for i := range 4 {
		entries = append(entries, shard.Entry{Name: fmt.Sprint("gw", i), Address: fmt.Sprintf("10.1.0.%d:1", i), Cores: 1})
	}
	s.setOwners(entries)
	s.nameVersion(ownStart, weights.Target{Model: "m", Version: 1}, "test")
	return s
}

func askFor(key uint64, document string) *jayv1.PlacementAsk {
	return &jayv1.PlacementAsk{
		Key: key, Service: "engines", Model: "m", Part: []string{document}, PartTokens: []uint32{5000}, Tokens: 6000,
		OutputTokens: 100, MemoryPercent: percent, LeftMs: 10000,
	}
}

func serverNamed(s *state, hash uint32) string {
	b := s.list.ByHash(nameHash)[hash]
	if b == nil {
		return ""
	}
	return b.ID
}

// Two entries asked for the same prefix at the same moment. Each chose by itself
// before, and the prefix was read at two engines.
func TestAnOwnerKeepsRequestsWithOnePrefixTogether(t *testing.T) {
	s := newOwner("gw1")
	first, second := s.offer(ownStart, askFor(1, "aa")), s.offer(ownStart, askFor(2, "aa"))
	require.Equal(t, jayv1.PlacementOffer_OUTCOME_SERVER, first.GetOutcome())
	assert.Equal(t, first.GetServer(), second.GetServer())
}

// The owner's servers are its own part of the list, and those that were tried
// are left out.
func TestAnOwnerOffersItsOwnServersOnly(t *testing.T) {
	s := newOwner("gw1")
	own := map[string]bool{}
	for i, b := range s.list.OfService("engines") {
		own[b.ID] = s.divisionLocked(ownStart, "engines").Owns("gw1", i)
	}
	var tried []uint32
	for key := range uint64(32) {
		ask := askFor(key, "aa")
		ask.Tried = tried
		offer := s.offer(ownStart, ask)
		if offer.GetOutcome() != jayv1.PlacementOffer_OUTCOME_SERVER {
			break
		}
		assert.True(t, own[serverNamed(s, offer.GetServer())])
		assert.NotContains(t, tried, offer.GetServer())
		tried = append(tried, offer.GetServer())
	}
	count := 0
	for _, mine := range own {
		if mine {
			count++
		}
	}
	assert.Len(t, tried, count, "each is offered before there is none")
}

// An engine crashed. Each of a hundred entries found that out by itself, with
// requests of its own, until the list showed it some seconds later.
func TestWhatOneEntrySawOfAServerCountsForAll(t *testing.T) {
	s := newOwner("gw1")
	offer := s.offer(ownStart, askFor(1, "aa"))
	s.progress(ownStart, &jayv1.PlacementProgress{Key: 1, Ended: true, NotListening: true})
	assert.NotEqual(t, offer.GetServer(), s.offer(ownStart, askFor(2, "aa")).GetServer())
}

// A word that a request ended was lost, or its entry died. The owner must not
// count the request at the server for ever.
func TestARequestWhoseEndIsNotToldIsForgotten(t *testing.T) {
	s := newOwner("gw1")
	server := serverNamed(s, s.offer(ownStart, askFor(1, "aa")).GetServer())
	require.Equal(t, 1, s.own.Running(server))
	s.tick(ownStart.Add(9 * time.Second))
	assert.Equal(t, 1, s.own.Running(server), "it may still run")
	s.tick(ownStart.Add(11 * time.Second))
	assert.Zero(t, s.own.Running(server))
}

// A request went to another owner's engine, as the first owner's were busy. The
// next one with its prefix is to fetch it there rather than read it once more.
func TestAnOwnerKnowsWhoHoldsAPrefixElsewhere(t *testing.T) {
	s := newOwner("gw1")
	first := s.offer(ownStart, askFor(1, "aa"))
	var other *fleet.Backend
	for i, b := range s.list.OfService("engines") {
		if !s.divisionLocked(ownStart, "engines").Owns("gw1", i) {
			other = b
		}
	}
	s.progress(ownStart, &jayv1.PlacementProgress{Key: 1, Ended: true, Elsewhere: &jayv1.Held{Address: other.Address, Version: 1, ReadyMs: 100}})
	next := s.offer(ownStart.Add(time.Second), askFor(2, "aa"))
	assert.Equal(t, other.Address, next.GetFetchFrom())
	assert.Less(t, next.GetReadMs(), first.GetReadMs())
}

// datagramPair are two entries with open ports.
func datagramPair(t *testing.T) (one, other *Gateway) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	open := func(node, ip string) *Gateway {
		g := &Gateway{settings: Settings{Node: node, HintAddress: ip}, metrics: metrics.New(8), state: newOwner(node), peers: newPeers(Settings{Node: node})}
		g.placements = newPlacementClient(g)
		g.startDatagrams(ctx)
		require.NotNil(t, g.datagrams.conn)
		return g
	}
	one = open("gw1", "127.0.0.1:0")
	_, port, err := net.SplitHostPort(one.datagrams.conn.LocalAddr().String())
	require.NoError(t, err)
	return one, open("gw2", net.JoinHostPort("127.0.0.2", port))
}

// A question goes to another process and back; a word on it later reaches the
// same request there.
func TestAnOwnerIsAskedByDatagram(t *testing.T) {
	one, other := datagramPair(t)
	owner := shard.Entry{Name: "gw2", Address: "127.0.0.2:1"}
	offer := one.placements.askOwner(context.Background(), owner, askFor(7, "aa"))
	require.NotNil(t, offer)
	require.Equal(t, jayv1.PlacementOffer_OUTCOME_SERVER, offer.GetOutcome())
	running := func() int {
		other.state.mu.Lock()
		defer other.state.mu.Unlock()
		return other.state.own.Running(serverNamed(other.state, offer.GetServer()))
	}
	assert.Equal(t, 1, running())
	one.placements.releaseOffer(&ownerOffer{owner: owner, PlacementOffer: offer}, nil)
	assert.Eventually(t, func() bool { return running() == 0 }, time.Second, time.Millisecond)
}

// An owner answered when the entry that asked had gone on alone. The owner must
// hear that its offer is not used: it would count a request that never comes.
func TestALateOfferIsGivenBack(t *testing.T) {
	one, other := datagramPair(t)
	offer := other.state.offer(time.Now(), askFor(9, "aa"))
	server := serverNamed(other.state, offer.GetServer())
	from := other.datagrams.conn.LocalAddr().(*net.UDPAddr)
	one.placements.receiveOffer(offer, from)
	assert.Eventually(t, func() bool {
		other.state.mu.Lock()
		defer other.state.mu.Unlock()
		return other.state.own.Running(server) == 0
	}, time.Second, time.Millisecond)
}

// A request asks an owner that is gone. It must wait for some milliseconds only,
// and the owner is passed over from then on.
func TestASilentOwnerCostsLittle(t *testing.T) {
	one, _ := datagramPair(t)
	gone := shard.Entry{Name: "gw3", Address: "127.0.0.9:1"}
	begun := time.Now()
	assert.Nil(t, one.placements.askOwner(context.Background(), gone, askFor(1, "aa")))
	assert.Less(t, time.Since(begun), 10*ownerTimeout)
	time.Sleep(ownerTimeout)
	assert.Nil(t, one.placements.askOwner(context.Background(), gone, askFor(2, "aa")))
	one.state.mu.Lock()
	defer one.state.mu.Unlock()
	for _, owner := range one.state.divisionLocked(time.Now(), "engines").Owners {
		assert.NotEqual(t, gone.Name, owner.Name)
	}
}

// A rollout's news came to the owners by datagram, one of which was lost.
func TestSwitchesComeByDatagram(t *testing.T) {
	s := newOwner("gw1")
	b := s.list.OfService("engines")[3]
	news := []switchNews{{Server: b.ID, Model: "m", Version: 2, ForMS: 1500, Ordered: true}}
	words := switchWords(news)
	require.Len(t, words, 1)
	assert.Equal(t, news, s.switchesOf(words[0].GetSwitches()))
	assert.Len(t, switchWords(make([]switchNews, 2*switchesPerWord+1)), 3)
}
