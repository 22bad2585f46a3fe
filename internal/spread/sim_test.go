package spread

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/virtualtime"
)

// fakeNet runs cores in virtual time, with an event queue, fixed one-way delays, seeded
// loss, and failures of processes and of the store.
type fakeNet struct {
	now      time.Time
	random   *rand.Rand
	queue    virtualtime.Queue
	nodes    map[keys.Identity]*fakeProcess
	order    []*fakeProcess
	listed   []Peer
	lossRate float64
	// head is the head generation in the store; storeDown: reads of the store fail.
	head      uint64
	storeDown bool
	reads     int
	messages  int
	bytes     int
}

type fakeProcess struct {
	net           *fakeNet
	peer          Peer
	core          *Core
	incarnation   int
	generation    uint64
	down          bool
	inForceAt     time.Time // when generation came into force
	reachableRole keys.Role // when set, the process reaches only this role
}

// newFakeNet distributes entries and agents evenly over data centres and regions.
func newFakeNet(seed uint64, centres, regions, entries, agents int) *fakeNet {
	n := &fakeNet{
		now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, seed)),
		nodes: map[keys.Identity]*fakeProcess{},
	}
	var declared []Peer
	for i := range entries + agents {
		id := keys.Identity{Role: keys.RoleEntry, Name: fmt.Sprintf("entry-%03d", i)}
		if i >= entries {
			id = keys.Identity{Role: keys.RoleAgent, Name: fmt.Sprintf("server-%04d", i-entries)}
		}
		centre := i % centres
		peer := Peer{ID: id, Address: fmt.Sprintf("10.0.%d.%d:7443", i>>8, i&255), DataCentre: fmt.Sprintf("dc-%02d", centre), Region: fmt.Sprintf("region-%d", centre%regions)}
		if id.Role == keys.RoleEntry {
			n.listed = append(n.listed, peer)
		} else {
			declared = append(declared, peer)
		}
		p := &fakeProcess{net: n, peer: peer}
		n.nodes[id] = p
		n.order = append(n.order, p)
	}
	for _, p := range n.order {
		p.start(declared)
	}
	return n
}

func (n *fakeNet) after(d time.Duration, do func()) {
	n.queue.Add(n.now.Add(d), do)
}

func (n *fakeNet) run(d time.Duration) { n.runUntil(d, func() bool { return false }) }

// runUntil runs until done returns true, for at most d, and returns the virtual time that
// passed.
func (n *fakeNet) runUntil(d time.Duration, done func() bool) time.Duration {
	began := n.now
	end := n.now.Add(d)
	for n.queue.Len() > 0 && n.queue.NextAt().Before(end) {
		n.now = n.queue.NextAt()
		n.queue.Pop()()
		if done() {
			return n.now.Sub(began)
		}
	}
	n.now = end
	return d
}

func (n *fakeNet) inForce(generation uint64) bool {
	for _, p := range n.order {
		if !p.down && p.generation < generation {
			return false
		}
	}
	return true
}

func (n *fakeNet) resetCounts() { n.messages, n.bytes, n.reads = 0, 0, 0 }

// start starts a new incarnation without a generation in force.
func (p *fakeProcess) start(declared []Peer) {
	p.incarnation++
	p.generation = 0
	p.core = NewCore(p.net.now, p.peer, DefaultSettings())
	if p.peer.ID.Role == keys.RoleEntry {
		p.core.SetAgents(declared)
	}
	p.tick(p.incarnation)
}

func (p *fakeProcess) tick(incarnation int) {
	if p.incarnation != incarnation {
		return
	}
	interval := tickInterval
	if p.peer.ID.Role == keys.RoleAgent {
		interval = agentTickInterval
	}
	if !p.down {
		p.perform(p.core.Tick(p.net.now))
	}
	p.net.after(interval, func() { p.tick(incarnation) })
}

// adopt puts a newer generation in force, as Service.adopt does.
func (p *fakeProcess) adopt(generation uint64) {
	if generation <= p.generation {
		return
	}
	p.generation, p.inForceAt = generation, p.net.now
	p.perform(p.core.Adopted(p.net.now, generation))
}

func (p *fakeProcess) perform(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case SendDigest:
			p.sendDigest(a.To)
		case Pull:
			p.pull(a)
		case ReadHead:
			p.readStore(func() { p.perform(p.core.HeadRead(p.net.now, p.net.head)) }, func() {})
		case PullStore:
			p.readStore(func() {
				p.adopt(p.net.head)
				p.perform(p.core.StorePullDone(p.net.now, true))
			}, func() { p.perform(p.core.StorePullDone(p.net.now, false)) })
		case ReadVMs:
			p.readStore(func() { p.core.SetEntries(p.net.listed) }, func() {})
		}
	}
}

func (p *fakeProcess) readStore(onSuccess, onFailure func()) {
	p.net.reads++
	incarnation := p.incarnation
	p.net.after(2*time.Millisecond, func() {
		switch {
		case p.incarnation != incarnation || p.down:
		case p.net.storeDown:
			onFailure()
		default:
			onSuccess()
		}
	})
}

// exchangeOverheadBytes of one exchange besides its messages: two datagrams and their
// acknowledgements, each with IP, UDP and short QUIC headers and an AEAD tag.
const exchangeOverheadBytes = 4 * (28 + 25)

func digestSize(p *fakeProcess) int {
	return proto.Size(&jayv1.GossipDigest{
		Generation: p.generation, Incarnation: 1 << 60, DataCentre: p.peer.DataCentre,
		Region: p.peer.Region, Address: p.peer.Address,
	})
}

// exchange delivers a request and its answer, or reports failure after the timeout.
func (p *fakeProcess) exchange(to keys.Identity, size int, serve func(*fakeProcess), onAnswer, onFailure func()) {
	p.net.messages++
	p.net.bytes += size + exchangeOverheadBytes
	incarnation := p.incarnation
	target := p.net.nodes[to]
	timeout := func() {
		p.net.after(DefaultSettings().PullTimeout, func() {
			if p.incarnation == incarnation && !p.down {
				onFailure()
			}
		})
	}
	if target == nil || p.net.random.Float64() < p.net.lossRate || p.reachableRole != "" && p.reachableRole != to.Role || target.reachableRole != "" && target.reachableRole != p.peer.ID.Role {
		timeout()
		return
	}
	delay := p.delay(target)
	p.net.after(delay, func() {
		if target.down {
			timeout()
			return
		}
		serve(target)
		p.net.after(delay, func() {
			if p.incarnation == incarnation && !p.down {
				onAnswer()
			}
		})
	})
}

func (p *fakeProcess) delay(to *fakeProcess) time.Duration {
	switch {
	case p.peer.DataCentre == to.peer.DataCentre:
		return 250 * time.Microsecond
	case p.peer.Region == to.peer.Region:
		return time.Millisecond
	}
	return 75 * time.Millisecond
}

func (p *fakeProcess) sendDigest(to Peer) {
	var answer uint64
	from, generation := p.peer, p.generation
	p.exchange(to.ID, 2*digestSize(p), func(target *fakeProcess) {
		answer = target.generation
		target.perform(target.core.ReceivedDigest(p.net.now, from, generation))
	}, func() {
		p.perform(p.core.ReceivedDigest(p.net.now, to, answer))
	}, func() { p.perform(p.core.DigestFailed(p.net.now, to.ID)) })
}

func (p *fakeProcess) pull(a Pull) {
	var answer uint64
	const deltaBytes = 320
	p.exchange(a.From.ID, deltaBytes, func(target *fakeProcess) {
		answer = target.generation
		target.core.PullServed(p.net.now, p.peer, answer)
	}, func() {
		p.adopt(answer)
		p.perform(p.core.PullDone(p.net.now, a.From.ID, true))
	}, func() { p.perform(p.core.PullDone(p.net.now, a.From.ID, false)) })
}
