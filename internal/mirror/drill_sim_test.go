package mirror_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/feedsource"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/roster"
	"github.com/jayproxy/jayproxy/internal/virtualtime"
)

// The simulation plays drills of the store in virtual time: it is away for a moment, comes
// back from a copy some seconds old and gives versions out again, while the operator and the
// servers go on writing, entries start, are killed or cut off, and answers get lost or come
// late. Entries read as the gateway does, with its copies, sources, roster and list.

// The tables.
const (
	opTable = iota
	serverTable
	tableCount
)

const (
	drillConfigBound = 2 * time.Second
	drillDrainBound  = 2 * time.Second
	listGrace        = 2500 * time.Millisecond
	serverPause      = 700 * time.Millisecond
	relayPause       = 350 * time.Millisecond
	relayMargin      = 300 * time.Millisecond
	storeRetryPause  = 250 * time.Millisecond
	opRetryPause     = time.Second
	drillStartPause  = 50 * time.Millisecond
	storeAnswerTime  = 3 * time.Millisecond
	storeCallTimeout = 1200 * time.Millisecond
	deadPeerTime     = 250 * time.Millisecond
	heartbeat        = time.Second
	registerTime     = 2 * time.Second
	askPeerRounds    = 3
	askedPeers       = 3
	// outOfTouchTime is how long an entry that is cut off or lost an answer may take to read
	// from elsewhere or again: the time-out, the pause and the bound.
	outOfTouchTime = storeCallTimeout + opRetryPause + drillConfigBound
	// drillReadsPerS is what the store accepts from all entries, readerCallsPerS what one of
	// them may call in any second: some four in calm times.
	drillReadsPerS  = 2000
	readerCallsPerS = 12
	drillMaxFlat    = 26
)

// The guards that a play may go without.
const (
	withoutEras    = "eras in versions"
	withoutOrder   = "the writers' order"
	withoutLasting = "operators' rows that stay"
	withoutPeers   = "asking other entries"
	withoutGrace   = "the list's grace period"
	withoutPause   = "the pause without history"
)

// history is how long the store keeps its changes.
type history int

const (
	longHistory history = iota
	shortHistory
	noHistory
)

type drillPlay struct {
	entries, seed int
	without       string
	history       history
}

// storeState is what the store's copies hold.
type storeState struct {
	commit uint64
	tables [tableCount]map[string]mirror.Row
}

func (s storeState) copied() storeState {
	for i := range s.tables {
		s.tables[i] = maps.Clone(s.tables[i])
	}
	return s
}

type simStore struct {
	storeState
	era, forgotten uint64
	log            [tableCount][]mirror.Row
	away           bool
	saved          []storeState
	savedAt        []time.Time
	// waiting are the blocking reads of the operator's table.
	waiting []func(lost bool)
}

type simServer struct {
	id         string
	seq        int
	draining   bool
	gone       bool
	drainingAt time.Time
	goneAt     time.Time
}

type simConfig struct {
	version int
	ackedAt time.Time
}

type simEntry struct {
	node, dc  string
	roster    *roster.Roster
	life      int
	up        bool
	startedAt time.Time
	// cut: nothing is in reach; storeCut: only the store is not. disturbedAt is when one of
	// them began or ended, or an answer was lost.
	cut, storeCut bool
	disturbedAt   time.Time
	feeds         [tableCount]*simFeed
	list          *fleet.List
	config        int
	target        int
	seenEra       uint64
	// listed are the servers that the entry has listed, dropped those of them that it does
	// not list any more.
	listed, dropped map[string]bool
	calls           []time.Time
}

type simFeed struct {
	table        int
	copy         mirror.Copy
	source       feedsource.Source
	lastResponse time.Time
	failing      bool
	gone         int
	// reading identifies the read in progress; a new one makes the answer of an earlier one
	// void.
	reading int
	// blocked: the read in progress waits for changes.
	blocked bool
}

type drillSim struct {
	drillPlay

	t          *testing.T
	rng        *rand.Rand
	now, begin time.Time
	queue      virtualtime.Queue
	store      simStore
	entries    []*simEntry
	byAddress  map[string]*simEntry
	servers    []*simServer
	configs    []simConfig
	targets    []simConfig
	models     int
	restoredAt time.Time
	drilledAt  time.Time
	failures   map[string]string
	calls      []time.Time
	maxCalls   int
}

func (s *drillSim) after(d time.Duration, do func()) { s.queue.Add(s.now.Add(d), do) }

func (s *drillSim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)+1))
}

func (s *drillSim) chance(p float64) bool { return s.rng.Float64() < p }

func (s *drillSim) fail(kind, format string, args ...any) {
	if _, ok := s.failures[kind]; !ok {
		s.failures[kind] = fmt.Sprintf("%.3f s: ", s.now.Sub(s.begin).Seconds()) + fmt.Sprintf(format, args...)
	}
}

const (
	drillTime   = 60 * time.Second
	settledTime = 8 * time.Second
)

// play runs a minute with three drills and returns the first failure of each kind.
func (p drillPlay) play(t *testing.T) *drillSim {
	start := time.Unix(1_000_000, 0)
	s := &drillSim{
		drillPlay: p, t: t, rng: rand.New(rand.NewPCG(uint64(p.seed), uint64(p.entries))), now: start, begin: start,
		byAddress: map[string]*simEntry{}, failures: map[string]string{},
	}
	for i := range s.store.tables {
		s.store.tables[i] = map[string]mirror.Row{}
	}
	s.writeConfig()
	s.writeTarget()
	for i := range 24 {
		s.addServer(fmt.Sprint("i-", i))
	}
	s.addEntries()
	s.schedule()
	for s.queue.Len() > 0 && s.now.Before(start.Add(drillTime)) {
		s.now = s.queue.NextAt()
		s.queue.Pop()()
	}
	return s
}

func (s *drillSim) addEntries() {
	rows := map[string]roster.Row{}
	for i := range s.drillPlay.entries {
		node := fmt.Sprint("gw", i)
		row := roster.Row{Address: node, DataCentre: fmt.Sprint("dc", i%max(2, s.drillPlay.entries/160)), Cores: float64(1 + i%3)}
		rows[node] = row
		e := &simEntry{node: node, dc: row.DataCentre, roster: roster.New(node, row, nil, drillMaxFlat, 0)}
		s.entries = append(s.entries, e)
		s.byAddress[node] = e
	}
	for _, e := range s.entries {
		for node, row := range rows {
			e.roster.Put(node, row)
		}
		s.after(s.between(0, 300*time.Millisecond), func() { s.startEntry(e) })
	}
}

func (s *drillSim) schedule() {
	s.every(250*time.Millisecond, 0, s.save)
	s.every(100*time.Millisecond, 0, s.check)
	s.every(300*time.Millisecond, 900*time.Millisecond, s.operate)
	s.every(400*time.Millisecond, time.Second, s.changeServer)
	s.every(300*time.Millisecond, 2*time.Second, s.disturb)
	for i := range 3 {
		s.after(time.Duration(10+15*i)*time.Second+s.between(0, 3*time.Second), s.drill)
	}
}

// every does something at intervals, of a random length up to period+spread.
func (s *drillSim) every(period, spread time.Duration, do func()) {
	s.after(period+s.between(0, spread), func() {
		do()
		s.every(period, spread, do)
	})
}

// calm reports whether the play is about to end: nothing new happens, so that all copies
// have to agree.
func (s *drillSim) calm() bool { return s.now.Sub(s.begin) > drillTime-settledTime }

// The store.

func (s *drillSim) version(commit uint64) uint64 {
	if s.without == withoutEras {
		return commit
	}
	return at(s.store.era, commit)
}

func (s *drillSim) put(table int, key, value string, removed bool) {
	s.store.commit++
	row := mirror.Row{Key: key, Value: []byte(value), Version: s.store.commit, Removed: removed}
	if removed {
		delete(s.store.tables[table], key)
	} else {
		s.store.tables[table][key] = row
	}
	s.store.log[table] = append(s.store.log[table], row)
	if s.history == shortHistory && len(s.store.log[table]) > 40 {
		s.store.forgotten = max(s.store.forgotten, s.store.log[table][0].Version)
		s.store.log[table] = s.store.log[table][1:]
	}
	if table == opTable {
		s.wake(false)
	}
}

func (s *drillSim) wake(lost bool) {
	waiting := s.store.waiting
	s.store.waiting = nil
	for _, wake := range waiting {
		wake(lost)
	}
}

func (s *drillSim) save() {
	if s.store.away {
		return
	}
	s.store.saved = append(s.store.saved, s.store.copied())
	s.store.savedAt = append(s.store.savedAt, s.now)
}

func (s *drillSim) drill() {
	s.store.away, s.drilledAt = true, s.now
	s.wake(true)
	s.after(s.between(50*time.Millisecond, 1500*time.Millisecond), s.restore)
}

// restore brings the store back from a copy that is two to five seconds old. The operator
// and the servers write again what they had written.
func (s *drillSim) restore() {
	until := s.drilledAt.Add(-s.between(2*time.Second, 5*time.Second))
	i := len(s.store.saved) - 1
	for i > 0 && s.store.savedAt[i].After(until) {
		i--
	}
	s.store.storeState = s.store.saved[i].copied()
	s.store.saved, s.store.savedAt = s.store.saved[:i+1], s.store.savedAt[:i+1]
	for table, log := range s.store.log {
		n := len(log)
		for n > 0 && log[n-1].Version > s.store.commit {
			n--
		}
		s.store.log[table] = log[:n:n]
	}
	s.store.forgotten = min(s.store.forgotten, s.store.commit)
	s.store.era++
	s.store.away, s.restoredAt = false, s.now
	s.after(s.between(50*time.Millisecond, 500*time.Millisecond), func() {
		if s.store.away {
			return
		}
		s.configs[len(s.configs)-1].ackedAt, s.targets[len(s.targets)-1].ackedAt = s.now, s.now
		s.put(opTable, "config", fmt.Sprint(s.configs[len(s.configs)-1].version), false)
		s.put(opTable, "version", fmt.Sprint(s.targets[len(s.targets)-1].version), false)
		for n := range s.models {
			s.put(opTable, fmt.Sprint("version/", n+1), "1", false)
		}
	})
	for _, server := range s.servers {
		if _, listed := s.store.tables[serverTable][server.id]; server.gone && listed {
			s.after(s.between(100*time.Millisecond, registerTime), func() {
				if !s.store.away {
					s.put(serverTable, server.id, "", true)
				}
			})
		}
	}
}

// read answers a read of a table after a version, as the store's client does: gone means that
// there is no history. It counts the call.
func (s *drillSim) read(e *simEntry, table int, after uint64) (batch mirror.Batch, era uint64, gone bool) {
	commit := after
	if s.without != withoutEras {
		commit = platform.CommitOf(after)
	}
	batch = mirror.Batch{Version: s.version(s.store.commit)}
	if after == 0 {
		batch.Snapshot = true
		for _, row := range s.store.tables[table] {
			row.Version = s.version(row.Version)
			batch.Rows = append(batch.Rows, row)
		}
		return batch, s.store.era, false
	}
	otherEra := s.without != withoutEras && platform.EraOf(after) != s.store.era
	if otherEra || commit > s.store.commit || commit < s.store.forgotten || s.history == noHistory {
		return mirror.Batch{}, s.store.era, true
	}
	for _, row := range s.store.log[table] {
		if row.Version > commit {
			row.Version = s.version(row.Version)
			batch.Rows = append(batch.Rows, row)
		}
	}
	return batch, s.store.era, false
}

func (s *drillSim) countCall(e *simEntry) {
	window := func(calls []time.Time) []time.Time {
		for len(calls) > 0 && s.now.Sub(calls[0]) >= time.Second {
			calls = calls[1:]
		}
		return append(calls, s.now)
	}
	e.calls, s.calls = window(e.calls), window(s.calls)
	s.maxCalls = max(s.maxCalls, len(s.calls))
	if len(e.calls) > readerCallsPerS {
		s.fail("calls", "%s made %d calls in a second", e.node, len(e.calls))
	}
	if len(s.calls) > drillReadsPerS {
		s.fail("calls", "all entries made %d calls in a second", len(s.calls))
	}
}

// The operator and the servers.

func (s *drillSim) operate() {
	if s.store.away || s.calm() {
		return
	}
	switch {
	case s.chance(0.7):
		s.writeConfig()
	case s.chance(0.7):
		s.writeTarget()
	default:
		s.models++
		s.put(opTable, fmt.Sprint("version/", s.models), "1", false)
	}
}

func next(all []simConfig, now time.Time, step int) []simConfig {
	version := 1
	if len(all) > 0 {
		version = all[len(all)-1].version + step
	}
	return append(all, simConfig{version: version, ackedAt: now})
}

func (s *drillSim) writeConfig() {
	s.configs = next(s.configs, s.now, 1+s.rng.IntN(3))
	s.put(opTable, "config", fmt.Sprint(s.configs[len(s.configs)-1].version), false)
}

func (s *drillSim) writeTarget() {
	s.targets = next(s.targets, s.now, 1)
	s.put(opTable, "version", fmt.Sprint(s.targets[len(s.targets)-1].version), false)
}

func (s *drillSim) addServer(id string) {
	server := &simServer{id: id}
	s.servers = append(s.servers, server)
	s.writeServer(server)
	s.beat(server)
}

func (s *drillSim) beat(server *simServer) {
	s.after(heartbeat, func() {
		if server.gone {
			return
		}
		s.writeServer(server)
		s.beat(server)
	})
}

func (s *drillSim) writeServer(server *simServer) {
	server.seq++
	if s.store.away {
		return
	}
	state := "ready"
	if server.draining {
		state = "draining"
		// What the store has lost counts from when it is written again.
		if server.drainingAt.IsZero() {
			server.drainingAt = s.now
		}
	}
	s.put(serverTable, server.id, fmt.Sprint(server.seq, ":", state), false)
}

// changeServer starts a server, or lets one drain and end, or end without a word.
func (s *drillSim) changeServer() {
	if s.store.away || s.calm() {
		return
	}
	server := s.servers[s.rng.IntN(len(s.servers))]
	switch {
	case server.gone || server.draining:
	case s.chance(0.4):
		server.draining = true
		s.writeServer(server)
		s.after(s.between(time.Second, 6*time.Second), func() { s.endServer(server) })
	case s.chance(0.3):
		s.endServer(server)
	}
	s.addServer(fmt.Sprint("i-", len(s.servers)))
}

func (s *drillSim) endServer(server *simServer) {
	if s.store.away {
		s.after(heartbeat, func() { s.endServer(server) })
		return
	}
	server.gone, server.goneAt = true, s.now
	s.put(serverTable, server.id, "", true)
}

// disturb kills and starts entries, and cuts links.
func (s *drillSim) disturb() {
	if s.calm() {
		return
	}
	e := s.entries[s.rng.IntN(len(s.entries))]
	switch {
	case !e.up || e.cut || e.storeCut:
	case s.chance(0.5):
		e.up = false
		s.after(s.between(100*time.Millisecond, 1500*time.Millisecond), func() { s.startEntry(e) })
	case s.chance(0.5):
		e.cut, e.disturbedAt = true, s.now
		s.after(s.between(time.Second, 6*time.Second), func() { e.cut, e.disturbedAt = false, s.now })
	default:
		e.storeCut, e.disturbedAt = true, s.now
		s.after(s.between(time.Second, 6*time.Second), func() { e.storeCut, e.disturbedAt = false, s.now })
	}
}

// The entries.

func (s *drillSim) startEntry(e *simEntry) {
	e.life++
	e.up, e.startedAt, e.seenEra, e.config, e.target, e.calls = true, s.now, 0, 0, 0, nil
	e.list, e.listed, e.dropped = fleet.NewList(s.grace()), map[string]bool{}, map[string]bool{}
	older, lasting := olderNumber, s.without != withoutLasting
	if s.without == withoutOrder {
		older = nil
	}
	for table := range tableCount {
		f := &simFeed{table: table, source: feedsource.New(feedsource.Settings{ReadsPerSecond: drillReadsPerS, Spread: s.rng.Float64()})}
		f.copy = mirror.NewCopy(mirror.Policy{Older: older, Lasting: lasting})
		if table == serverTable {
			f.copy = mirror.NewCopy(mirror.Policy{Same: sameText, Older: older})
		}
		e.feeds[table] = f
		s.runFeed(e, f)
	}
	life := e.life
	s.while(e, life, storeRetryPause, func() {
		if e.feeds[serverTable].failing {
			for _, f := range e.feeds {
				s.pull(e, f)
			}
		}
		e.list.Tick(s.now)
	})
}

func (s *drillSim) grace() time.Duration {
	if s.without == withoutGrace {
		return 0
	}
	return listGrace
}

// while does something at intervals as long as this process of the entry runs.
func (s *drillSim) while(e *simEntry, life int, period time.Duration, do func()) {
	s.after(period, func() {
		if e.up && e.life == life {
			do()
			s.while(e, life, period, do)
		}
	})
}

// then goes on with a process unless it has ended meanwhile.
func (s *drillSim) then(e *simEntry, d time.Duration, do func()) {
	life := e.life
	s.after(d, func() {
		if e.up && e.life == life {
			do()
		}
	})
}

func (s *drillSim) reaches(e, other *simEntry) bool {
	return other != nil && other.up && !other.cut && !e.cut
}

func (s *drillSim) runFeed(e *simEntry, f *simFeed) {
	outcome, took := s.readThroughRelays(e, f)
	s.then(e, took, func() {
		hasData := f.copy.Version() > 0
		if f.source.MayCallStore(s.now, outcome, hasData, len(s.entries)) {
			s.readStore(e, f)
			return
		}
		pause := storeRetryPause
		switch {
		case outcome == feedsource.Fresh:
			pause = relayPause
		case !hasData:
			pause = drillStartPause
		case outcome == feedsource.Stale:
			f.failing = true
		}
		s.then(e, pause, func() { s.runFeed(e, f) })
	})
}

func (s *drillSim) tableAge(e *simEntry, f *simFeed) time.Duration {
	age := s.now.Sub(f.lastResponse)
	if f.table == opTable {
		age = min(age, s.now.Sub(e.feeds[serverTable].lastResponse))
	}
	return age
}

func (s *drillSim) readThroughRelays(e *simEntry, f *simFeed) (feedsource.Outcome, time.Duration) {
	relays, hops := e.roster.Relays(s.now)
	if len(relays) == 0 {
		return feedsource.NoRelay, 0
	}
	outcome, took := feedsource.Unavailable, time.Duration(0)
	for _, address := range relays {
		relay := s.byAddress[address]
		if !s.reaches(e, relay) {
			e.roster.MarkUnresponsive(s.now, address)
			took += deadPeerTime
			continue
		}
		took += time.Millisecond
		batch := relay.feeds[f.table].copy.Since(f.copy.Version())
		behind := platform.EraOf(batch.Version) < platform.EraOf(f.copy.Version())
		age := s.tableAge(relay, relay.feeds[f.table])
		if batch.Version == 0 {
			continue
		}
		if behind || age > serverPause+time.Duration(hops)*relayPause+relayMargin {
			outcome = feedsource.Stale
			continue
		}
		s.succeeded(e, f, age)
		s.apply(e, f, batch)
		return feedsource.Fresh, took
	}
	return outcome, took
}

// readStore makes a read from the store and goes on with its answer.
func (s *drillSim) readStore(e *simEntry, f *simFeed) {
	after := f.copy.Version()
	if s.without != withoutEras && platform.EraOf(after) < e.seenEra {
		s.historyGone(e, f)
		return
	}
	f.reading++
	reading := f.reading
	answered := func(answer func()) func() {
		return func() {
			if f.reading == reading {
				f.blocked = false
				answer()
			}
		}
	}
	s.countCall(e)
	switch {
	case s.store.away:
		s.then(e, storeAnswerTime, answered(func() { s.readFailed(e, f) }))
		return
	case e.cut || e.storeCut || s.chance(0.01):
		e.disturbedAt = s.now
		s.then(e, storeCallTimeout, answered(func() { s.readFailed(e, f) }))
		return
	}
	batch, era, gone := s.read(e, f.table, after)
	if after > 0 && !gone && len(batch.Rows) == 0 && f.table == opTable && !f.failing {
		f.blocked = true
		s.store.waiting = append(s.store.waiting, s.blockedRead(e, f, after, reading))
		return
	}
	late := storeAnswerTime
	if s.chance(0.02) {
		late = s.between(100*time.Millisecond, 500*time.Millisecond)
	}
	s.then(e, late, answered(func() { s.received(e, f, batch, era, gone) }))
}

// blockedRead returns what ends a blocking read: the connection is lost, or there are changes.
func (s *drillSim) blockedRead(e *simEntry, f *simFeed, after uint64, reading int) func(lost bool) {
	life := e.life
	return func(lost bool) {
		if !e.up || e.life != life || f.reading != reading {
			return
		}
		f.blocked = false
		if lost || e.cut || e.storeCut {
			s.then(e, storeAnswerTime, func() { s.readFailed(e, f) })
			return
		}
		batch, era, gone := s.read(e, f.table, after)
		s.then(e, storeAnswerTime, func() {
			if f.reading == reading {
				s.received(e, f, batch, era, gone)
			}
		})
	}
}

// interrupt ends a blocking read.
func (s *drillSim) interrupt(e *simEntry) {
	if f := e.feeds[opTable]; f.blocked {
		f.blocked = false
		f.reading++
		s.then(e, 0, func() { s.runFeed(e, f) })
	}
}

func (s *drillSim) received(e *simEntry, f *simFeed, batch mirror.Batch, era uint64, gone bool) {
	if era < e.seenEra {
		s.readFailed(e, f)
		return
	}
	e.seenEra = max(e.seenEra, era)
	if gone {
		s.historyGone(e, f)
		return
	}
	f.gone = 0
	s.fromStore(e, f, batch)
}

// historyGone reads the complete table instead.
func (s *drillSim) historyGone(e *simEntry, f *simFeed) {
	f.gone++
	f.reading++
	reading := f.reading
	s.countCall(e)
	if s.store.away || e.cut || e.storeCut {
		s.then(e, storeAnswerTime, func() { s.readFailed(e, f) })
		return
	}
	batch, era, _ := s.read(e, f.table, 0)
	s.then(e, storeAnswerTime, func() {
		switch {
		case f.reading != reading:
		case era < e.seenEra:
			s.readFailed(e, f)
		default:
			e.seenEra = max(e.seenEra, era)
			s.fromStore(e, f, batch)
		}
	})
}

func (s *drillSim) fromStore(e *simEntry, f *simFeed, batch mirror.Batch) {
	f.source.Called(s.now, false)
	s.succeeded(e, f, 0)
	held := f.copy.Version()
	if s.without != withoutPeers && platform.EraOf(batch.Version) > platform.EraOf(held) {
		for round := range askPeerRounds {
			s.then(e, time.Duration(round)*time.Second, func() { s.askPeers(e, f) })
		}
	}
	s.apply(e, f, batch)
	if held == 0 && s.without != withoutPeers && platform.EraOf(batch.Version) > 0 {
		s.askPeers(e, f)
	}
	pause := time.Duration(0)
	if f.table == serverTable {
		pause = serverPause
	}
	if f.gone > 1 && s.without != withoutPause {
		pause = max(pause, serverPause)
	}
	s.then(e, pause, func() { s.runFeed(e, f) })
}

func (s *drillSim) readFailed(e *simEntry, f *simFeed) {
	f.failing = true
	f.source.Called(s.now, false)
	pause := opRetryPause
	if f.table == serverTable {
		pause = storeRetryPause
	}
	s.then(e, pause, func() { s.runFeed(e, f) })
}

func (s *drillSim) succeeded(e *simEntry, f *simFeed, age time.Duration) {
	last := f.lastResponse
	f.lastResponse = s.now.Add(-age)
	if !f.failing {
		return
	}
	f.failing = false
	if f.table == serverTable {
		if !last.IsZero() && f.lastResponse.Sub(last) > 1500*time.Millisecond {
			e.list.Restored(f.lastResponse)
		}
		s.interrupt(e)
	}
}

// askPeers asks some other entries for what they know of a table.
func (s *drillSim) askPeers(e *simEntry, f *simFeed) {
	asked := 0
	for _, i := range s.rng.Perm(len(s.entries)) {
		peer := s.entries[i]
		if peer == e {
			continue
		}
		if asked++; asked > askedPeers {
			return
		}
		if s.reaches(e, peer) {
			if batch := peer.feeds[f.table].copy.Known(); batch.Version > 0 {
				s.apply(e, f, batch)
			}
		}
	}
}

// pull reads a table from another entry, of which it tries two.
func (s *drillSim) pull(e *simEntry, f *simFeed) {
	tried := 0
	for _, i := range s.rng.Perm(len(s.entries)) {
		peer := s.entries[i]
		if peer == e {
			continue
		}
		if tried++; tried > 2 {
			return
		}
		if s.reaches(e, peer) {
			if batch := peer.feeds[f.table].copy.Since(f.copy.Version()); batch.Version > 0 {
				if f.copy.Version() == 0 {
					// Its first data is as old as what the other entry has.
					e.disturbedAt = s.now
				}
				s.apply(e, f, batch)
			}
			return
		}
	}
}

func (s *drillSim) apply(e *simEntry, f *simFeed, batch mirror.Batch) {
	if held := f.copy.Version(); held > 0 && platform.EraOf(batch.Version) > platform.EraOf(held) && f.table == serverTable {
		e.list.Restored(s.now)
		s.interrupt(e)
	}
	before, rows := s.copiedConfig(f), len(f.copy.Rows())
	changed := f.copy.Apply(batch)
	if f.table == opTable {
		if after := len(f.copy.Rows()); after < rows {
			s.fail("row forgotten", "%s: %d rows of the operator after %d", e.node, after, rows)
		}
		if after := s.copiedConfig(f); after < before {
			s.fail("config goes back", "%s: configuration %d after %d, source %d.%d", e.node, after, before, platform.EraOf(batch.Version), platform.CommitOf(batch.Version))
		}
		s.adopt(e, changed)
		return
	}
	for _, row := range changed {
		if row.Ended {
			e.list.RemoveEnded(row.Key)
			continue
		}
		if row.Removed {
			e.list.Remove(s.now, row.Key)
			continue
		}
		_, state, _ := strings.Cut(string(row.Value), ":")
		e.list.Put(s.now, &fleet.Backend{Incarnation: fleet.Incarnation{Instance: row.Key}, Service: "s", Address: row.Key, Draining: state != "ready"})
	}
}

func (s *drillSim) adopt(e *simEntry, rows []mirror.Row) {
	for _, row := range rows {
		if n, err := strconv.Atoi(string(row.Value)); err == nil && !row.Removed {
			switch row.Key {
			case "config":
				e.config = max(e.config, n)
			case "version":
				e.target = max(e.target, n)
			}
		}
	}
}

func (s *drillSim) copiedConfig(f *simFeed) int {
	if f.table != opTable {
		return 0
	}
	n, _ := strconv.Atoi(valueOf(&f.copy, "config"))
	return n
}

// noteDropped records which ended servers the entry does not list any more, or again.
func (s *drillSim) noteDropped(e *simEntry) {
	for _, server := range s.servers {
		listed := e.list.Named(server.id)
		e.listed[server.id] = e.listed[server.id] || listed != nil
		if !server.gone {
			continue
		}
		if listed == nil {
			e.dropped[server.id] = e.listed[server.id]
		} else if e.dropped[server.id] && !listed.Draining && s.now.Sub(server.goneAt) > drillDrainBound {
			s.fail("revived", "%s lists %s again, which ended %v ago", e.node, server.id, s.now.Sub(server.goneAt))
		}
	}
}

// known reports whether an entry in touch has run since before a time, so that an entry that
// starts can learn what happened then.
func (s *drillSim) known(since time.Time) bool {
	return slices.ContainsFunc(s.entries, func(e *simEntry) bool {
		return e.up && !e.cut && e.startedAt.Before(since) && s.now.Sub(e.disturbedAt) >= outOfTouchTime
	})
}

// inTouch reports whether neither an entry nor one that it reads through was disturbed lately.
func (s *drillSim) inTouch(e *simEntry) bool {
	if e.cut || s.now.Sub(e.disturbedAt) < outOfTouchTime {
		return false
	}
	relays, _ := e.roster.Relays(s.now)
	return !slices.ContainsFunc(relays, func(address string) bool { return !s.inTouch(s.byAddress[address]) })
}

// check compares what the entries in touch have in force with what was accepted.
func (s *drillSim) check() {
	if s.now.Sub(s.begin) < 5*time.Second {
		return
	}
	for _, e := range s.entries {
		if e.up && e.feeds[serverTable].copy.Version() > 0 {
			s.noteDropped(e)
		}
	}
	wantConfig, wantTarget := s.inForce(s.configs), s.inForce(s.targets)
	for _, e := range s.entries {
		ready := e.up && e.config > 0 && e.feeds[serverTable].copy.Version() > 0
		if !ready || !s.inTouch(e) {
			continue
		}
		if e.config < wantConfig || e.target < wantTarget {
			s.fail("config", "%s (up for %v) has configuration %d and weights %d, want %d and %d; store of era %d, restored %v ago", e.node, s.now.Sub(e.startedAt), e.config, e.target, wantConfig, wantTarget, s.store.era, s.now.Sub(s.restoredAt))
		}
		s.checkServers(e)
	}
}

// inForce returns the newest version whose bound has passed. What was accepted in the last
// second before a drill may be known to nobody, so it counts from when it is written again.
func (s *drillSim) inForce(all []simConfig) int {
	want := 0
	for _, c := range all {
		unknown := !s.drilledAt.IsZero() && s.drilledAt.Sub(c.ackedAt) < time.Second && !c.ackedAt.After(s.drilledAt)
		if s.now.Sub(c.ackedAt) >= drillConfigBound && !unknown {
			want = max(want, c.version)
		}
	}
	return want
}

func (s *drillSim) checkServers(e *simEntry) {
	for _, server := range s.servers {
		listed := e.list.Named(server.id)
		usable := listed != nil && !listed.Draining
		unknown := !server.drainingAt.IsZero() && !server.drainingAt.After(s.drilledAt) && s.drilledAt.Sub(server.drainingAt) < time.Second && s.now.Sub(s.restoredAt) < drillDrainBound+heartbeat
		// It ended before the entry read that it drains: missing rows are kept for the grace period.
		inGrace := server.gone && s.now.Sub(server.goneAt) <= listGrace+storeRetryPause && s.now.Sub(s.restoredAt) <= 2*listGrace
		if usable && !inGrace && !server.drainingAt.IsZero() && s.now.Sub(server.drainingAt) > drillDrainBound && !unknown && s.known(server.drainingAt) {
			s.fail("drain", "%s (up for %v) uses %s, which said %v ago that it leaves (ended: %v)", e.node, s.now.Sub(e.startedAt), server.id, s.now.Sub(server.drainingAt), server.gone)
		}
		settled := s.now.Sub(s.begin) > drillTime-time.Second
		if !server.gone && !server.draining && listed == nil && (settled || e.listed[server.id]) {
			s.fail("missing", "%s does not list %s", e.node, server.id)
		}
		if server.gone && usable && s.now.Sub(server.goneAt) > 2*listGrace && s.now.Sub(e.startedAt) > 2*listGrace && s.known(server.goneAt) {
			s.fail("revived", "%s uses %s, which ended %v ago", e.node, server.id, s.now.Sub(server.goneAt))
		}
	}
}

// drillSeeds multiplies the numbers of plays.
var drillSeeds = flag.Int("drill.seeds", 1, "multiplies the number of plays of each size")

// Guards against entries that go back, forget or revive what they know when the store comes
// back from an older copy, or call it too often.
func TestDrillsOfTheStore(t *testing.T) {
	for _, c := range []struct{ entries, seeds int }{{4, 6 * *drillSeeds}, {31, 2 * *drillSeeds}, {810, *drillSeeds}} {
		for seed := range c.seeds {
			for _, history := range []history{longHistory, shortHistory, noHistory} {
				if c.entries > drillMaxFlat && history == noHistory || c.entries == 810 && history != shortHistory {
					continue // A hop more would exceed the bound; 810 entries take long.
				}
				p := drillPlay{entries: c.entries, seed: seed, history: history}
				s := p.play(t)
				assert.Empty(t, s.failures, "%+v", p)
				t.Logf("%+v: at most %d calls in a second", p, s.maxCalls)
			}
		}
	}
}

// Each guard is needed: without it some play fails.
func TestDrillsFailWithoutAGuard(t *testing.T) {
	for _, guard := range []string{withoutEras, withoutOrder, withoutLasting, withoutPeers, withoutGrace, withoutPause} {
		failures := map[string]string{}
		for _, entries := range []int{4} {
			for seed := 0; seed < 10 && len(failures) == 0; seed++ {
				for _, history := range []history{longHistory, noHistory} {
					maps.Copy(failures, drillPlay{entries: entries, seed: seed, without: guard, history: history}.play(t).failures)
				}
			}
		}
		t.Logf("without %s: %v", guard, failures)
		assert.NotEmpty(t, failures, guard)
	}
}
