package gateway

import (
	"context"
	"errors"
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
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/shard"
	"github.com/jayproxy/jayproxy/internal/upstream"
	"github.com/jayproxy/jayproxy/internal/waitqueue"
	"github.com/jayproxy/jayproxy/internal/weights"
)

var ownerTestStart = time.Unix(1000, 0)

// newOwner returns an entry that owns a part of 32 engines together with three others.
func newOwner(node string) *state {
	s := newState(Settings{Node: node, DataCentre: "a", LeaseTime: 3 * time.Second, VersionBound: 10 * time.Second}, func(string) {})
	engines := &routetable.Service{Name: "engines", Engine: &routetable.Engine{Slots: 8, KVCapacityTokens: 100000}}
	s.table.Store(&routetable.Table{Version: 1, Services: map[string]*routetable.Service{"engines": engines}})
	for i := range 32 {
		s.putBackend(ownerTestStart, &fleet.Backend{
			Incarnation: fleet.Incarnation{Instance: fmt.Sprint("e", i), StartedMS: 1}, Service: "engines", Address: fmt.Sprintf("10.0.0.%d:1", i+1), Slots: 8,
			Versions: map[string]uint64{"m": 1},
		})
	}
	var entries []shard.Entry
	for i := range 4 {
		entries = append(entries, shard.Entry{Name: fmt.Sprint("gw", i), Address: fmt.Sprintf("10.1.0.%d:1", i), Cores: 1})
	}
	s.setOwners(entries)
	s.setOperatorsRead()
	s.setTarget(ownerTestStart, weights.Target{Model: "m", Version: 1}, "test")
	return s
}

func newAsk(key uint64, document string) *jayv1.PlacementAsk {
	return &jayv1.PlacementAsk{
		Key: key, Service: "engines", Model: "m", Part: []string{document}, PartTokens: []uint32{5000}, Tokens: 6000,
		OutputTokens: 100, MemoryPercent: percent, LeftMs: 10000,
	}
}

func serverByHash(s *state, hash uint32) string {
	b := s.list.ByHash(nameHash)[hash]
	if b == nil {
		return ""
	}
	return b.ID
}

// Guards against the prefill of one prefix on two engines when two entries ask for it at
// the same moment.
func TestOwnerPlacesSamePrefixOnSameServer(t *testing.T) {
	s := newOwner("gw1")
	first, second := s.offer(ownerTestStart, newAsk(1, "aa")), s.offer(ownerTestStart, newAsk(2, "aa"))
	require.Equal(t, jayv1.PlacementOffer_OUTCOME_SERVER, first.GetOutcome())
	assert.Equal(t, first.GetServer(), second.GetServer())
}

// An owner must offer every server of its own shards, and none that were tried already.
func TestOwnerOffersOnlyItsServers(t *testing.T) {
	s := newOwner("gw1")
	own := map[string]bool{}
	for i, b := range s.list.OfService("engines") {
		own[b.ID] = s.assignmentLocked(ownerTestStart, "engines").Owns("gw1", i)
	}
	var tried []uint32
	for key := range uint64(32) {
		ask := newAsk(key, "aa")
		ask.Tried = tried
		offer := s.offer(ownerTestStart, ask)
		if offer.GetOutcome() != jayv1.PlacementOffer_OUTCOME_SERVER {
			break
		}
		assert.True(t, own[serverByHash(s, offer.GetServer())])
		assert.NotContains(t, tried, offer.GetServer())
		tried = append(tried, offer.GetServer())
	}
	count := 0
	for _, mine := range own {
		if mine {
			count++
		}
	}
	assert.Len(t, tried, count, "every owned server is offered once")
}

// Guards against every entry having to find a crashed engine with a request of its own.
func TestOwnerAppliesEvidenceFromOtherEntries(t *testing.T) {
	s := newOwner("gw1")
	offer := s.offer(ownerTestStart, newAsk(1, "aa"))
	s.applyProgress(ownerTestStart, &jayv1.PlacementProgress{Key: 1, Ended: true, NotListening: true})
	assert.NotEqual(t, offer.GetServer(), s.offer(ownerTestStart, newAsk(2, "aa")).GetServer())
}

// Guards against a request being counted for good when the message of its end is lost, or
// its entry crashed.
func TestOwnerForgetsRequestWithoutEndReport(t *testing.T) {
	s := newOwner("gw1")
	server := serverByHash(s, s.offer(ownerTestStart, newAsk(1, "aa")).GetServer())
	require.Equal(t, 1, s.shardRouter.Running(server))
	s.tick(ownerTestStart.Add(9 * time.Second))
	assert.Equal(t, 1, s.shardRouter.Running(server), "the request may still be running")
	s.tick(ownerTestStart.Add(11 * time.Second))
	assert.Zero(t, s.shardRouter.Running(server))
}

// After a request went to another owner's engine, the next one with the same prefix must
// fetch the prefix from there instead of repeating its prefill.
func TestOwnerOffersFetchFromOtherOwnersServer(t *testing.T) {
	s := newOwner("gw1")
	first := s.offer(ownerTestStart, newAsk(1, "aa"))
	var other *fleet.Backend
	for i, b := range s.list.OfService("engines") {
		if !s.assignmentLocked(ownerTestStart, "engines").Owns("gw1", i) {
			other = b
		}
	}
	s.applyProgress(ownerTestStart, &jayv1.PlacementProgress{Key: 1, Ended: true, Elsewhere: &jayv1.Held{Address: other.Address, Version: 1, ReadyMs: 100}})
	next := s.offer(ownerTestStart.Add(time.Second), newAsk(2, "aa"))
	assert.Equal(t, other.Address, next.GetFetchFrom())
	assert.Less(t, next.GetReadMs(), first.GetReadMs())
}

// datagramPair returns two entries with open datagram ports.
func datagramPair(t *testing.T) (one, other *Gateway) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	open := func(node, ip string) *Gateway {
		g := &Gateway{settings: Settings{Node: node, HintAddress: ip}, metrics: metrics.New(8), state: newOwner(node), peers: newPeers(Settings{Node: node})}
		g.placements, g.hints = newPlacementClient(g), newHints(g)
		g.startDatagrams(ctx)
		require.NotNil(t, g.datagrams.conn)
		return g
	}
	one = open("gw1", "127.0.0.1:0")
	_, port, err := net.SplitHostPort(one.datagrams.conn.LocalAddr().String())
	require.NoError(t, err)
	return one, open("gw2", net.JoinHostPort("127.0.0.2", port))
}

// askInTime asks an owner until an offer comes before the timeout. Each offer that comes
// later must be given back.
func askInTime(t *testing.T, g *Gateway, owner shard.Entry) *jayv1.PlacementOffer {
	t.Helper()
	const maxLate = 10
	for late := range maxLate {
		if offer := g.placements.askOwner(t.Context(), owner, newAsk(uint64(late+1), "aa")); offer != nil {
			return offer
		}
		require.Eventually(t, func() bool { return countOf(g, "placement_late") == int64(late+1) }, time.Second, time.Millisecond, "no offer at all")
	}
	require.Fail(t, "no offer before the timeout", "%d came later", maxLate)
	return nil
}

// countOf returns the sum of a counter over its labels.
func countOf(g *Gateway, counter string) (n int64) {
	for _, sample := range g.metrics.Samples() {
		if sample.Name == counter {
			n += sample.Count
		}
	}
	return n
}

// An ask, its offer and the report of the request's end must reach the right process and
// request.
func TestAskAndOfferByDatagram(t *testing.T) {
	one, other := datagramPair(t)
	owner := shard.Entry{Name: "gw2", Address: "127.0.0.2:1"}
	offer := askInTime(t, one, owner)
	require.Equal(t, jayv1.PlacementOffer_OUTCOME_SERVER, offer.GetOutcome())
	running := func() int { return runningAt(other.state, offer) }
	assert.Equal(t, 1, running())
	one.placements.releaseOffer(&ownerOffer{owner: owner, PlacementOffer: offer}, nil)
	assert.Eventually(t, func() bool { return running() == 0 }, time.Second, time.Millisecond)
}

// runningAt returns the requests that an owner counts at the offered server.
func runningAt(s *state, offer *jayv1.PlacementOffer) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shardRouter.Running(serverByHash(s, offer.GetServer()))
}

// Guards against counting a request that was rejected after an owner had offered a server.
func TestOfferOfARejectedRequestIsReturned(t *testing.T) {
	one, other := datagramPair(t)
	owner, now := shard.Entry{Name: "gw2", Address: "127.0.0.2:1"}, time.Now()
	offer := askInTime(t, one, owner)
	w := &waiter{granted: make(chan grant, 1), offer: &ownerOffer{owner: owner, PlacementOffer: offer}}
	one.state.waiters["r"] = w
	_, ok := one.state.waitQueue.Add(now, waitqueue.Request{ID: "r", Arrived: now, Deadline: now.Add(time.Minute), WaitUntil: now})
	require.True(t, ok)
	one.serveWaitQueue(now)
	require.ErrorIs(t, (<-w.granted).err, errRejected)
	assert.Eventually(t, func() bool { return runningAt(other.state, offer) == 0 }, time.Second, time.Millisecond)
}

// Guards against counting a request that never arrives: an offer received after the
// timeout must be returned to its owner.
func TestLateOfferIsReturned(t *testing.T) {
	one, other := datagramPair(t)
	offer := other.state.offer(time.Now(), newAsk(9, "aa"))
	server := serverByHash(other.state, offer.GetServer())
	from := other.datagrams.conn.LocalAddr().(*net.UDPAddr)
	one.placements.receiveOffer(offer, from)
	assert.Eventually(t, func() bool {
		other.state.mu.Lock()
		defer other.state.mu.Unlock()
		return other.state.shardRouter.Running(server) == 0
	}, time.Second, time.Millisecond)
}

// An owner that does not answer must cost a request no more than the timeout, and must be
// excluded afterwards.
func TestUnresponsiveOwnerIsExcluded(t *testing.T) {
	one, _ := datagramPair(t)
	unresponsive := shard.Entry{Name: "gw3", Address: "127.0.0.9:1"}
	start := time.Now()
	assert.Nil(t, one.placements.askOwner(context.Background(), unresponsive, newAsk(1, "aa")))
	assert.Less(t, time.Since(start), 10*ownerTimeout)
	time.Sleep(ownerTimeout)
	assert.Nil(t, one.placements.askOwner(context.Background(), unresponsive, newAsk(2, "aa")))
	one.state.mu.Lock()
	defer one.state.mu.Unlock()
	for _, owner := range one.state.assignmentLocked(time.Now(), "engines").Owners {
		assert.NotEqual(t, unresponsive.Name, owner.Name)
	}
}

// Switch updates must survive encoding into datagrams, and be split over several of them.
func TestSwitchUpdatesByDatagram(t *testing.T) {
	s := newOwner("gw1")
	b := s.list.OfService("engines")[3]
	updates := []switchUpdate{{Server: b.ID, Model: "m", Version: 2, ForMS: 1500, Ordered: true}}
	datagrams := switchDatagrams(updates)
	require.Len(t, datagrams, 1)
	assert.Equal(t, updates, s.switchUpdatesOf(datagrams[0].GetSwitches()))
	assert.Len(t, switchDatagrams(make([]switchUpdate, 2*switchesPerDatagram+1)), 3)
}

// Guards against requests that are sent to servers of which this entry knows that they refuse
// connections, and against an entry that takes a shard away from its owner by what it reports.
func TestOwnRefusedConnectionsCountForAnyNumberOfServers(t *testing.T) {
	usable := func(s *state, now time.Time) (n int) {
		for _, b := range s.list.OfService("engines") {
			if usableHere(s, now, b.ID) {
				n++
			}
		}
		return n
	}
	now := ownerTestStart.Add(time.Second)
	own, owner := newOwner("gw0"), newOwner("gw0")
	for _, b := range own.list.OfService("engines")[1:] {
		own.sendFailed(now, b.ID, errors.Join(upstream.ErrNoListener, upstream.ErrNotSent))
	}
	assert.Equal(t, 1, usable(own, now))
	for _, b := range owner.list.OfService("engines")[1:] {
		owner.mu.Lock()
		owner.applyEvidenceLocked(now, b.ID, &jayv1.PlacementProgress{NotListening: true})
		owner.mu.Unlock()
	}
	assert.Equal(t, 22, usable(owner, now), "about a third is left out by reports")
}

// Guards against requests that are given up for refused connections while usable servers are
// left, and against as many tries when there are none.
func TestRefusedConnectionsDoNotUseUpTheSends(t *testing.T) {
	left := routing.DirectChoice{Server: routing.DirectServer{Usable: true}, Candidates: 2}
	sent := func(sends, refused int) *job { return &job{sends: sends, refusedConnections: refused} }
	assert.False(t, sent(maxSends, 1).lastSend())
	assert.True(t, sent(maxSends, 0).lastSend())
	assert.True(t, sent(maxSends+1, 1).lastSend())
	assert.True(t, sent(maxSends+maxRefusedConnections, maxSends+maxRefusedConnections).lastSend(), "bounded in number")
	assert.True(t, sent(1, 0).othersLeft(&left))
	last, down := left, left
	last.Candidates, down.Server.Usable = 1, false
	assert.False(t, sent(1, 0).othersLeft(&last))
	assert.True(t, (&job{offer: &ownerOffer{}}).othersLeft(&last), "an owner may offer another one")
	assert.False(t, sent(1, 0).othersLeft(&down))
}
