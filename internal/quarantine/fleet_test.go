package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The simulated fleet: entries with a registry each, servers that crash 100 ms after they
// begin a request with a bad part, datagrams that get lost, and rows that arrive late.
const (
	simTime      = 14 * time.Second
	simSettle    = 3 * time.Second
	simDowntime  = 2 * time.Second
	simCrashTime = 100 * time.Millisecond
	// A row is written 100 ms after the crash and reaches the other entries with a relay.
	simRowDelay, simRowSpread = 100 * time.Millisecond, 1800 * time.Millisecond
)

type simEvent struct {
	at time.Duration
	do func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any          { old := *q; x := old[len(old)-1]; *q = old[:len(old)-1]; return x }

type simRun struct {
	entry    int
	begun    time.Duration
	subjects []Fingerprint
	life     int
}

type simFleet struct {
	random  *rand.Rand
	now     time.Duration
	queue   simQueue
	entries []*Registry
	// startedAt is when each entry last started.
	startedAt []time.Duration
	// lives counts the incarnations of each server, upAt is when it serves.
	lives []int
	upAt  []time.Duration
	runs  [][]*simRun
	// rows are the records in the store, which is down until storeFrom.
	rows      map[Crash]bool
	storeFrom time.Duration
	// claims are the trials claimed in the store.
	claims       map[string]bool
	lostPercent  int
	crashes      []time.Duration
	badSends     []time.Duration
	sent, served int
}

func (f *simFleet) in(d time.Duration, do func()) { heap.Push(&f.queue, simEvent{f.now + d, do}) }

func (f *simFleet) clock() time.Time { return after(f.now) }

// tell applies a change at all other entries: by datagram at once, and by rows later.
func (f *simFleet) tell(from int, change func(*Registry), row func(), changeByRow func(*Registry)) {
	for i := range f.entries {
		if i != from && f.random.IntN(100) >= f.lostPercent {
			f.in(time.Duration(1+f.random.IntN(30))*time.Millisecond, func() { change(f.entries[i]) })
		}
	}
	f.in(max(simRowDelay, f.storeFrom-f.now), func() {
		row()
		for i := range f.entries {
			f.in(time.Duration(f.random.Int64N(int64(simRowSpread))), func() { changeByRow(f.entries[i]) })
		}
	})
}

func (f *simFleet) crash(server int) {
	life := fmt.Sprint("s", server, "-", f.lives[server])
	f.lives[server]++
	f.upAt[server] = f.now + simDowntime
	f.crashes = append(f.crashes, f.now)
	records := map[int][]Crash{}
	for _, run := range f.runs[server] {
		if f.now-run.begun < earlyPeriod {
			for _, subject := range run.subjects {
				records[run.entry] = append(records[run.entry], Crash{Subject: subject, Server: life})
			}
		}
	}
	f.runs[server] = nil
	for entry := range f.entries {
		all := records[entry]
		if len(all) == 0 {
			continue
		}
		f.entries[entry].Add(f.clock(), all)
		add := func(r *Registry) { r.Add(f.clock(), all) }
		f.tell(entry, add, func() {
			for _, one := range all {
				f.rows[one] = true
			}
		}, add)
	}
}

// allowed reports whether an entry may send a request with these subjects.
func (f *simFleet) allowed(entry int, subjects []Fingerprint) bool {
	for _, subject := range subjects {
		v := f.entries[entry].Verdict(f.clock(), subject)
		if !v.Quarantined {
			continue
		}
		claim := fmt.Sprint(subject, v.Trial)
		if v.Trial == 0 || f.claims[claim] || f.now < f.storeFrom {
			return false
		}
		f.claims[claim] = true
		f.entries[entry].TrialClaimed(f.clock(), subject, v.Trial)
		claimed := func(r *Registry) { r.TrialClaimed(f.clock(), subject, v.Trial) }
		f.tell(entry, claimed, func() {}, claimed)
	}
	return true
}

// send sends one request through an entry to a server that is up.
func (f *simFleet) send(subjects []Fingerprint, bad bool) {
	entry, server := f.random.IntN(len(f.entries)), f.random.IntN(len(f.lives))
	for range f.lives {
		if f.upAt[server] <= f.now {
			break
		}
		server = (server + 1) % len(f.lives)
	}
	counted := !bad && len(f.crashes) >= settleCrashCount && f.now > f.crashes[settleCrashCount-1]+2*simSettle
	if counted {
		f.sent++
	}
	if f.upAt[server] > f.now || f.now-f.startedAt[entry] < 0 || !f.allowed(entry, subjects) {
		return
	}
	run := &simRun{entry: entry, begun: f.now, subjects: subjects, life: f.lives[server]}
	f.runs[server] = append(f.runs[server], run)
	if bad {
		if f.now-f.startedAt[entry] > simSettle || f.startedAt[entry] == 0 {
			f.badSends = append(f.badSends, f.now)
		}
		f.in(simCrashTime, func() {
			if f.lives[server] == run.life {
				f.crash(server)
			}
		})
		return
	}
	f.in(time.Duration(50+f.random.IntN(400))*time.Millisecond, func() {
		if f.lives[server] != run.life {
			return
		}
		f.runs[server] = slices.DeleteFunc(f.runs[server], func(r *simRun) bool { return r == run })
		if counted {
			f.served++
		}
		f.completed(entry, subjects)
	})
}

func (f *simFleet) completed(entry int, subjects []Fingerprint) {
	for _, subject := range subjects[1:] {
		f.entries[entry].WholeRun(f.clock(), subject)
		known, ok := f.entries[entry].Clear(f.clock(), subject)
		if !ok {
			continue
		}
		f.tell(entry, func(r *Registry) { r.Clear(f.clock(), subject) }, func() {
			for _, server := range known.Servers {
				delete(f.rows, Crash{Subject: subject, Server: server})
			}
		}, func(r *Registry) {
			for _, server := range known.Servers {
				r.Remove(f.clock(), Crash{Subject: subject, Server: server})
			}
		})
	}
}

// restart kills an entry, which starts with the rows of the store.
func (f *simFleet) restart(entry int) {
	f.entries[entry] = NewRegistry(DefaultSettings())
	f.startedAt[entry] = f.now
	f.in(max(0, f.storeFrom-f.now), func() {
		for row := range f.rows {
			f.entries[entry].Add(f.clock(), []Crash{row})
		}
	})
}

const settleCrashCount = 5

func newSimFleet(seed uint64, entries, servers int) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, uint64(entries))), rows: map[Crash]bool{}, claims: map[string]bool{}, lives: make([]int, servers), upAt: make([]time.Duration, servers), startedAt: make([]time.Duration, entries)}
	for range entries {
		f.entries = append(f.entries, NewRegistry(DefaultSettings()))
	}
	for range servers {
		f.runs = append(f.runs, nil)
	}
	return f
}

// play sends sound requests from the start and bad ones from two seconds on.
func (f *simFleet) play(perSecond int, badEvery time.Duration, turned bool) {
	bad := part("bad")
	number := 0
	shared := func() []Fingerprint {
		number++
		return []Fingerprint{fp(number), part("system"), part(fmt.Sprint("group", f.random.IntN(4))), part(fmt.Sprint("session", number/8))}
	}
	for at := time.Duration(0); at < simTime; at += time.Second / time.Duration(perSecond) {
		f.in(at, func() {
			subjects := shared()
			if turned && f.now < 2*time.Second && f.random.IntN(2) == 0 {
				subjects = append(subjects, bad)
			}
			f.send(subjects, false)
		})
	}
	for at := 2 * time.Second; at < simTime; at += badEvery {
		f.in(at, func() { f.send(append(shared()[:2+f.random.IntN(3)], bad), true) })
	}
	for f.queue.Len() > 0 {
		event := heap.Pop(&f.queue).(simEvent)
		f.now = event.at
		event.do()
	}
}

// Guards against entries that go on sending a part that crashes servers while datagrams
// get lost, the store is away, entries are killed or the part had run well before.
func TestAFleetQuarantinesAPartThatCrashesServers(t *testing.T) {
	for _, one := range []struct {
		name             string
		entries, servers int
		first, seeds     uint64
		lostPercent      int
		storeFrom        time.Duration
		restarts, turned bool
	}{
		{name: "few entries", entries: 4, servers: 12, seeds: 50, lostPercent: 2, restarts: true},
		{name: "few entries, a part that ran before", entries: 4, servers: 12, seeds: 50, lostPercent: 2, turned: true},
		{name: "few entries, a part that ran before, bystanders with few crashes", entries: 4, servers: 12, first: 87, seeds: 1, lostPercent: 2, turned: true},
		{name: "few entries, datagrams lost", entries: 4, servers: 12, seeds: 50, lostPercent: 100, restarts: true},
		{name: "few entries, no store", entries: 4, servers: 12, seeds: 50, lostPercent: 2, storeFrom: time.Hour},
		{name: "31 entries", entries: 31, servers: 48, seeds: 20, lostPercent: 2, restarts: true},
		{name: "31 entries, datagrams lost", entries: 31, servers: 48, seeds: 20, lostPercent: 100},
		{name: "810 entries, datagrams lost", entries: 810, servers: 200, seeds: 2, lostPercent: 100},
	} {
		t.Run(one.name, func(t *testing.T) {
			mostCrashes, mostLate, sent, served := 0, 0, 0, 0
			for seed := one.first; seed < one.first+one.seeds; seed++ {
				f := newSimFleet(seed, one.entries, one.servers)
				f.lostPercent, f.storeFrom = one.lostPercent, one.storeFrom
				if one.restarts {
					for n := range 4 {
						f.in(2500*time.Millisecond+time.Duration(n)*2*time.Second, func() { f.restart(f.random.IntN(one.entries)) })
					}
				}
				f.play(120, 60*time.Millisecond, one.turned)
				late := 0
				for _, at := range f.badSends {
					if len(f.crashes) >= settleCrashCount && at > f.crashes[settleCrashCount-1]+simSettle {
						late++
					}
				}
				assert.LessOrEqual(t, late, 3, "late sends, seed %d", seed)
				mostCrashes, mostLate, sent, served = max(mostCrashes, len(f.crashes)), max(mostLate, late), sent+f.sent, served+f.served
			}
			t.Logf("at most %d crashes and %d late sends; %d of %d sound requests served", mostCrashes, mostLate, served, sent)
			assert.GreaterOrEqual(t, float64(served), 0.9*float64(sent))
		})
	}
}
