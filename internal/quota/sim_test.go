package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/jayproxy/jayproxy/internal/quota"
	"github.com/jayproxy/jayproxy/internal/shard"
	"github.com/jayproxy/jayproxy/internal/virtualtime"
)

// simulation plays entries, callers and the network in virtual time. All that the
// entries decide is decided by the package's own types.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	start   time.Time
	events  virtualtime.Queue
	bounds  quota.Bounds
	entries []*simEntry
	names   map[string]*simEntry
	// listed is how many entries every entry counts.
	listed int
	caps   map[quota.Account]quota.Cap
	// admitted are the units admitted, by account, in order of time.
	admitted map[quota.Account][]simUnits
	network  simNetwork
	policy   simPolicy
	stats    map[quota.Account]*simStats
	bytes    int
	reports  int
	messages int
}

type simUnits struct {
	at    time.Time
	units float64
}

// simStats counts one account's units and callers.
type simStats struct {
	asked, refused         float64
	returned, returnServed int
	// requests and served count requests by the rank of their priority.
	requests, served [3]int
}

func (s *simStats) shareServed() float64 {
	return float64(s.returnServed) / float64(max(s.returned, 1))
}

// simNetwork is what happens to messages between entries.
type simNetwork struct {
	delay       time.Duration
	lost, twice float64
	// late messages take a second.
	late float64
}

type simEntry struct {
	sim       *simulation
	name      string
	cores     float64
	group     int
	down      bool
	frozen    bool
	skew      float64
	start     uint64
	key       uint64
	borrower  *quota.Borrower
	lender    *quota.Lender
	directory *quota.Directory
	// received is the newest grant of each lender; known holds the lenders that have
	// this entry's accounts.
	received map[string]uint64
	known    map[string]bool
	told     map[quota.Account]map[string]simUnits
	own      map[quota.Account][]simUnits
}

// simPolicy decides on a request at an entry, and calls done with the result.
type simPolicy func(e *simEntry, r simRequest, done func(admitted bool, retryAfter time.Duration))

type simRequest struct {
	account  quota.Account
	cost     float64
	rank     int
	caller   uint64
	patience time.Duration
	returned bool
}

func newSimulation(seed uint64, entries int, policy simPolicy) *simulation {
	return newSimulationWithin(quota.Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 140_000}, seed, entries, policy)
}

func newSimulationWithin(bounds quota.Bounds, seed uint64, entries int, policy simPolicy) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), listed: entries, policy: policy,
		bounds: bounds, caps: map[quota.Account]quota.Cap{}, names: map[string]*simEntry{},
		admitted: map[quota.Account][]simUnits{}, stats: map[quota.Account]*simStats{},
		network: simNetwork{delay: 700 * time.Microsecond, lost: 0.01},
	}
	s.start = s.now
	for i := range entries {
		s.entries = append(s.entries, s.newEntry(i))
	}
	for _, e := range s.entries {
		e.boot()
	}
	return s
}

func (s *simulation) newEntry(i int) *simEntry {
	e := &simEntry{sim: s, name: fmt.Sprintf("entry-%d", i), cores: 0.144}
	if i%3 == 0 {
		e.cores = 0.8
	}
	s.names[e.name] = e
	return e
}

// list is what the store holds of the entries.
func (s *simulation) list() []shard.Entry {
	var all []shard.Entry
	for _, e := range s.entries[:s.listed] {
		all = append(all, shard.Entry{Name: e.name, Cores: e.cores})
	}
	return all
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events.Add(s.now.Add(d), run)
}

func (s *simulation) runFor(d time.Duration) {
	until := s.now.Add(d)
	for s.events.Len() > 0 && !s.events.NextAt().After(until) {
		s.now = s.events.NextAt()
		s.events.Pop()()
	}
	s.now = until
}

// boot starts an entry's process without any knowledge.
func (e *simEntry) boot() {
	s := e.sim
	e.down = false
	e.start = s.random.Uint64()
	e.key = 0
	e.borrower, e.lender, e.directory = quota.NewBorrower(e.clock(), s.bounds), quota.NewLender(s.bounds), quota.NewDirectory(e.name)
	e.received, e.known = map[string]uint64{}, map[string]bool{}
	e.told, e.own = map[quota.Account]map[string]simUnits{}, map[quota.Account][]simUnits{}
	e.learnList()
	start := e.start
	var loop func()
	loop = func() {
		if e.start != start || e.down {
			return
		}
		if !e.frozen {
			e.exchange()
		}
		s.after(quota.ReportInterval(s.listed), loop)
	}
	s.after(time.Duration(s.random.Int64N(int64(quota.ReportInterval(s.listed)))), loop)
}

// kill ends an entry's process and boots it again after a time.
func (e *simEntry) kill(down time.Duration) {
	e.down, e.start = true, 0
	e.sim.after(down, e.boot)
}

func (e *simEntry) learnList() {
	e.directory.SetEntries(e.sim.list())
	e.borrower.SetEntries(e.sim.listed)
	e.lender.SetEntries(e.sim.listed)
}

// clock is the entry's steady clock, which may drift.
func (e *simEntry) clock() time.Time {
	return e.sim.now.Add(time.Duration(e.skew * float64(e.sim.now.Sub(e.sim.start))))
}

func (e *simEntry) exchange() {
	now := e.clock()
	for _, lender := range e.directory.Lenders() {
		items := e.borrower.Changes(now, lender.Name, !e.known[lender.Name], func(id quota.Account) bool {
			l, ok := e.directory.LenderOf(id)
			return ok && l.Name == lender.Name
		})
		e.ask(lender.Name, items, func(bool, quota.Loan) {})
	}
	for _, lender := range e.directory.Probes(now) {
		e.ask(lender.Name, nil, func(bool, quota.Loan) {})
	}
	e.lender.Forget(now)
}

// ask sends a report and calls done with the loan for a request that waits, or without
// one when no answer arrives in time.
func (e *simEntry) ask(lender string, items []quota.Position, done func(answered bool, loan quota.Loan)) {
	s := e.sim
	e.key++
	start := e.start
	report := quota.Report{Entry: e.name, Start: e.start, Key: e.key, Received: e.received[lender], Items: items}
	s.bytes += 28 + 24 + 22*len(items)
	s.reports++
	finished := false
	to := s.byName(lender)
	answer := func(grant quota.Grant) {
		if e.start != start || e.down || e.frozen {
			return
		}
		s.bytes += 28 + 16 + 18*len(grant.Items)
		e.directory.Answered(lender)
		e.known[lender] = true
		e.received[lender] = max(e.received[lender], grant.Number)
		e.borrower.Receive(e.clock(), lender, grant)
		if !finished {
			finished = true
			var loan quota.Loan
			if len(grant.Items) > 0 {
				loan = grant.Items[0]
			}
			done(true, loan)
		}
	}
	send := func() {
		s.deliver(e, to, func() {
			grant := to.lender.Handle(to.clock(), report, s.capOf)
			s.deliver(to, e, func() { answer(grant) })
		})
	}
	if to == e {
		grant := e.lender.Handle(e.clock(), report, s.capOf)
		answer(grant)
		return
	}
	send()
	s.after(20*time.Millisecond, func() {
		if !finished {
			send()
		}
	})
	s.after(40*time.Millisecond, func() {
		if !finished && e.start == start {
			finished = true
			e.known[lender] = false
			e.directory.Missing(e.clock(), lender)
			done(false, quota.Loan{})
		}
	})
}

func (s *simulation) capOf(id quota.Account) quota.Cap { return s.caps[id] }

func (s *simulation) byName(name string) *simEntry {
	return s.names[name]
}

func (s *simulation) deliver(from, to *simEntry, run func()) {
	s.messages++
	if to == nil || from.group != to.group || s.random.Float64() < s.network.lost {
		return
	}
	delay := s.network.delay + time.Duration(s.random.Int64N(int64(s.network.delay)+1))
	if s.random.Float64() < s.network.late {
		delay += time.Second
	}
	arrive := func() {
		if !to.down && !to.frozen && from.group == to.group {
			run()
		}
	}
	s.after(delay, arrive)
	if s.random.Float64() < s.network.twice {
		s.after(2*delay, arrive)
	}
}

// pooled is the policy of the product: credit lines of one lender.
func pooled(e *simEntry, r simRequest, done func(bool, time.Duration)) {
	now := e.clock()
	limit := e.sim.caps[r.account]
	verdict, wait := e.borrower.Admit(now, r.account, limit, r.cost)
	if verdict != quota.AskLender {
		done(verdict == quota.Granted, wait)
		return
	}
	e.askFor(r, 2, done)
}

// askFor asks the lender of the moment, and once more if it does not answer.
func (e *simEntry) askFor(r simRequest, attempts int, done func(bool, time.Duration)) {
	lender, ok := e.directory.LenderOf(r.account)
	if !ok || attempts == 0 {
		done(false, 300*time.Millisecond)
		return
	}
	p := e.borrower.Position(e.clock(), r.account, lender.Name)
	p.Need, p.Rank, p.Caller, p.Patience = r.cost, r.rank, r.caller, r.patience
	start := e.start
	e.ask(lender.Name, []quota.Position{p}, func(answered bool, loan quota.Loan) {
		switch {
		case e.start != start:
			return
		case !answered:
			e.askFor(r, attempts-1, done)
		case loan.Admitted:
			e.borrower.Taken(e.clock(), r.account, r.cost)
			done(true, 0)
		default:
			done(false, loan.RetryAfter)
		}
	})
}

// equalShares is a policy to compare with: each entry admits its own part.
func equalShares(e *simEntry, r simRequest, done func(bool, time.Duration)) {
	now := e.clock()
	verdict, wait := e.borrower.Admit(now, r.account, e.sim.caps[r.account], r.cost)
	done(verdict == quota.Granted, wait)
}

// tellAll is a policy to compare with: each entry tells all others what it admitted, ten
// times a second, and admits while the sum is below the budget.
func tellAll(e *simEntry, r simRequest, done func(bool, time.Duration)) {
	s := e.sim
	limit := s.caps[r.account]
	sum := 0.0
	for _, one := range e.told[r.account] {
		if s.now.Sub(one.at) < s.bounds.Window {
			sum += one.units
		}
	}
	mine := 0.0
	kept := e.own[r.account][:0]
	for _, one := range e.own[r.account] {
		if s.now.Sub(one.at) < s.bounds.Window {
			kept = append(kept, one)
			mine += one.units
		}
	}
	e.own[r.account] = kept
	declared := limit.Rate*s.bounds.Window.Seconds() + limit.Burst
	if sum+mine+r.cost > declared {
		done(false, 500*time.Millisecond)
		return
	}
	e.own[r.account] = append(e.own[r.account], simUnits{at: s.now, units: r.cost})
	mine += r.cost
	s.after(100*time.Millisecond, func() {
		for _, other := range s.entries[:s.listed] {
			if other == e {
				continue
			}
			s.bytes += 28 + 16
			s.deliver(e, other, func() {
				if other.told[r.account] == nil {
					other.told[r.account] = map[string]simUnits{}
				}
				other.told[r.account][e.name] = simUnits{at: s.now, units: mine}
			})
		}
	})
	done(true, 0)
}

// reachable returns the first entry from an index on that runs; nil if none does.
func (s *simulation) reachable(entry int) *simEntry {
	for i := range s.entries {
		if e := s.entries[(entry+i)%len(s.entries)]; !e.down && !e.frozen {
			return e
		}
	}
	return nil
}

// request sends a request to the entry that its caller reaches.
func (s *simulation) request(entry int, r simRequest, retries int) {
	stats := s.stats[r.account]
	e := s.reachable(entry)
	if e == nil {
		return
	}
	if !r.returned {
		stats.asked += r.cost
		stats.requests[r.rank]++
	} else {
		stats.returned++
	}
	s.policy(e, r, func(admitted bool, wait time.Duration) {
		if admitted {
			stats.served[r.rank]++
			s.admitted[r.account] = append(s.admitted[r.account], simUnits{at: s.now, units: r.cost})
			if r.returned {
				stats.returnServed++
			}
			return
		}
		if retries > 0 && wait <= r.patience {
			again := r
			again.returned, again.patience = true, 0
			s.after(wait+time.Duration(s.random.Int64N(int64(8*time.Millisecond))), func() { s.request(entry+1+int(r.caller%7), again, retries-1) })
			return
		}
		stats.refused += r.cost
	})
}

// load sends an account's requests at a rate of units per second until stop, from callers
// that each reach one entry.
type simLoad struct {
	account quota.Account
	rate    func(t time.Duration) float64
	callers int
	// cost is that of each request; 0: as prompt draws it.
	cost float64
}

func (s *simulation) offer(l simLoad) {
	if s.stats[l.account] == nil {
		s.stats[l.account] = &simStats{}
	}
	var next func()
	next = func() {
		cost, rank, patience := s.prompt()
		mean := float64(meanCost)
		if l.cost > 0 {
			cost, rank, patience, mean = l.cost, 0, 0, l.cost
		}
		caller := s.random.IntN(l.callers)
		// A hash of the caller chooses the entry.
		entry := int(uint64(caller+1) * (uint64(l.account) + 7) * 0x9E3779B97F4A7C15 >> 40)
		s.request(entry, simRequest{account: l.account, cost: cost, rank: rank, caller: s.random.Uint64() | 1, patience: patience}, 1)
		rate := max(l.rate(s.now.Sub(s.start)), 1)
		s.after(time.Duration(s.random.ExpFloat64()*mean/rate*float64(time.Second)), next)
	}
	s.after(time.Duration(s.random.Int64N(int64(200*time.Millisecond))), next)
}

const meanCost = 3500

// prompt draws a request: 17% long prompts, 61% short ones, the rest plain calls.
func (s *simulation) prompt() (cost float64, rank int, patience time.Duration) {
	switch x := s.random.Float64(); {
	case x < 0.17:
		return min(5400+3900*math.Exp(s.random.NormFloat64()*1.2), 69_000), 1, 500 * time.Millisecond
	case x < 0.78:
		return min(600+1000*math.Exp(s.random.NormFloat64()), 8_000), 0, 300 * time.Millisecond
	}
	return 200, 2, 60 * time.Millisecond
}

// worst returns the most units that were admitted of an account in one window.
func (s *simulation) worst(id quota.Account) float64 {
	all := s.admitted[id]
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	sum, most, first := 0.0, 0.0, 0
	for _, one := range all {
		sum += one.units
		for one.at.Sub(all[first].at) > s.bounds.Window {
			sum -= all[first].units
			first++
		}
		most = max(most, sum)
	}
	return most
}

// allowed returns the most units that may be admitted of a cap in one window.
func (s *simulation) allowed(c quota.Cap) float64 {
	return (c.Rate*s.bounds.Window.Seconds()+c.Burst)*(1+s.bounds.Overshoot) + s.bounds.Slack
}
