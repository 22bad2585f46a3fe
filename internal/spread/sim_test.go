package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
)

// fakeNet runs cores in virtual time: a queue of events, fixed one-way delays,
// seeded loss, processes that are down, and a table that may be.
type fakeNet struct {
	now    time.Time
	random *rand.Rand
	queue  eventQueue
	seq    int
	nodes  map[keys.Identity]*fakeProcess
	order  []*fakeProcess
	listed []Peer
	loss   float64
	// head of the table; tableDown: reads fail.
	head      uint64
	tableDown bool
	reads     int
	messages  int
	bytes     int
}

type fakeProcess struct {
	net    *fakeNet
	peer   Peer
	core   *Core
	boot   int
	gen    uint64
	down   bool
	at     time.Time // when gen came into force
	onlyTo keys.Role // when set, the process reaches only this role
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// newFakeNet makes entries and agents evenly over data centres and regions.
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
	n.seq++
	heap.Push(&n.queue, event{at: n.now.Add(d), seq: n.seq, do: do})
}

func (n *fakeNet) run(d time.Duration) { n.runUntil(d, func() bool { return false }) }

// runUntil returns the virtual time that passed until done, or all of it.
func (n *fakeNet) runUntil(d time.Duration, done func() bool) time.Duration {
	began := n.now
	end := n.now.Add(d)
	for len(n.queue) > 0 && n.queue[0].at.Before(end) {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.do()
		if done() {
			return n.now.Sub(began)
		}
	}
	n.now = end
	return d
}

func (n *fakeNet) inForce(generation uint64) bool {
	for _, p := range n.order {
		if !p.down && p.gen < generation {
			return false
		}
	}
	return true
}

func (n *fakeNet) resetCounts() { n.messages, n.bytes, n.reads = 0, 0, 0 }

// start boots the process with nothing in force.
func (p *fakeProcess) start(declared []Peer) {
	p.boot++
	p.gen = 0
	p.core = NewCore(p.net.now, p.peer, DefaultSettings())
	if p.peer.ID.Role == keys.RoleEntry {
		p.core.SetAgents(declared)
	}
	p.tick(p.boot)
}

func (p *fakeProcess) tick(boot int) {
	if p.boot != boot {
		return
	}
	every := tickEvery
	if p.peer.ID.Role == keys.RoleAgent {
		every = agentTickEvery
	}
	if !p.down {
		p.perform(p.core.Tick(p.net.now))
	}
	p.net.after(every, func() { p.tick(boot) })
}

// adopt is what the shell does with a newer table.
func (p *fakeProcess) adopt(generation uint64) {
	if generation <= p.gen {
		return
	}
	p.gen, p.at = generation, p.net.now
	p.perform(p.core.Adopted(p.net.now, generation))
}

func (p *fakeProcess) perform(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case SendDigest:
			p.tell(a.To)
		case Pull:
			p.pull(a)
		case ReadHead:
			p.store(func() { p.perform(p.core.HeadRead(p.net.now, p.net.head)) }, func() {})
		case PullStore:
			p.store(func() {
				p.adopt(p.net.head)
				p.perform(p.core.StorePullDone(p.net.now, true))
			}, func() { p.perform(p.core.StorePullDone(p.net.now, false)) })
		case ReadVMs:
			p.store(func() { p.core.SetEntries(p.net.listed) }, func() {})
		}
	}
}

func (p *fakeProcess) store(good, bad func()) {
	p.net.reads++
	boot := p.boot
	p.net.after(2*time.Millisecond, func() {
		switch {
		case p.boot != boot || p.down:
		case p.net.tableDown:
			bad()
		default:
			good()
		}
	})
}

// overhead of one exchange on the wire beside the messages: two datagrams and
// their acknowledgements, each with IP, UDP and short QUIC headers and tag.
const overhead = 4 * (28 + 25)

func digestSize(p *fakeProcess) int {
	return proto.Size(&jayv1.GossipDigest{
		Generation: p.gen, Incarnation: 1 << 60, DataCentre: p.peer.DataCentre,
		Region: p.peer.Region, Address: p.peer.Address,
	})
}

// exchange delivers a question and its answer, or reports failure at the timeout.
func (p *fakeProcess) exchange(to keys.Identity, size int, serve func(*fakeProcess), done, failed func()) {
	p.net.messages++
	p.net.bytes += size + overhead
	boot := p.boot
	target := p.net.nodes[to]
	timeout := func() {
		p.net.after(DefaultSettings().PullTimeout, func() {
			if p.boot == boot && !p.down {
				failed()
			}
		})
	}
	if target == nil || p.net.random.Float64() < p.net.loss || p.onlyTo != "" && p.onlyTo != to.Role || target.onlyTo != "" && target.onlyTo != p.peer.ID.Role {
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
			if p.boot == boot && !p.down {
				done()
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

func (p *fakeProcess) tell(to Peer) {
	var answer uint64
	from, told := p.peer, p.gen
	p.exchange(to.ID, 2*digestSize(p), func(target *fakeProcess) {
		answer = target.gen
		target.perform(target.core.ReceivedDigest(p.net.now, from, told))
	}, func() {
		p.perform(p.core.ReceivedDigest(p.net.now, to, answer))
	}, func() { p.perform(p.core.DigestFailed(p.net.now, to.ID)) })
}

func (p *fakeProcess) pull(a Pull) {
	var answer uint64
	const deltaBytes = 320
	p.exchange(a.From.ID, deltaBytes, func(target *fakeProcess) {
		answer = target.gen
		target.core.PullServed(p.net.now, p.peer, answer)
	}, func() {
		p.adopt(answer)
		p.perform(p.core.PullDone(p.net.now, a.From.ID, true))
	}, func() { p.perform(p.core.PullDone(p.net.now, a.From.ID, false)) })
}
