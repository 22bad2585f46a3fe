package routing_test

import (
	"sort"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/routing"

	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

// modelStore simulates a KV cache store in virtual time. Transfers to it run
// one after another over its link, one that would wait longer than
// modelTransferWaitMS is not started, and the least recently used parts are
// evicted.
type modelStore struct {
	memory, used int
	perMS        float64
	freeAt       float64
	// readyAt and usedAt by salt and part.
	readyAt, usedAt map[string]float64
	tokens          map[string]int
	// names are salt and part by key; updates have not been sent yet.
	names   map[string][2]string
	updates []modelStoreUpdate
}

// modelStoreUpdate is a store's update on a part, sent at a time.
type modelStoreUpdate struct {
	at         float64
	salt, part string
	held       bool
}

// modelUpdateDelayMS is the delay of a store's updates.
const modelUpdateDelayMS = 500

const modelTransferWaitMS = 2000

func newModelStore(memory int, tokensPerSecond float64) *modelStore {
	return &modelStore{memory: memory, perMS: tokensPerSecond / 1000, readyAt: map[string]float64{}, usedAt: map[string]float64{}, tokens: map[string]int{}, names: map[string][2]string{}}
}

func (s *modelStore) has(key string, now float64) bool {
	at, ok := s.readyAt[key]
	if !ok || at > now {
		return false
	}
	s.usedAt[key] = now
	return true
}

// save begins the transfer of a prefilled prompt.
func (s *modelStore) save(run *modelRun, now float64) {
	if s.freeAt > now+modelTransferWaitMS {
		return
	}
	s.freeAt = max(s.freeAt, now) + float64(run.request.tokens())/s.perMS
	for _, part := range run.request.chain() {
		key := run.salt + part.ID
		if _, ok := s.readyAt[key]; !ok {
			s.used += part.Tokens
			s.tokens[key] = part.Tokens
		}
		s.readyAt[key], s.usedAt[key] = s.freeAt, s.freeAt
		s.names[key] = [2]string{run.salt, part.ID}
		s.queueUpdate(key, s.freeAt, true)
	}
	s.evict(now)
}

func (s *modelStore) queueUpdate(key string, at float64, held bool) {
	name := s.names[key]
	s.updates = append(s.updates, modelStoreUpdate{at: at + modelUpdateDelayMS, salt: name[0], part: name[1], held: held})
}

// sendStoreUpdates sends the stores' due updates to the entries.
func (f *modelFleet) sendStoreUpdates(now float64) {
	for i := range f.routerStores {
		store := f.stores[f.routerStores[i].Address]
		var later []modelStoreUpdate
		for _, update := range store.updates {
			if update.at > now {
				later = append(later, update)
				continue
			}
			for _, entry := range f.entries {
				entry.UpdateStoredPart(modelTime(now), &f.routerStores[i], update.salt, update.part, update.held)
			}
		}
		store.updates = later
	}
}

func (s *modelStore) evict(now float64) {
	keys := make([]string, 0, len(s.usedAt))
	for key := range s.usedAt {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	sort.SliceStable(keys, func(i, j int) bool { return s.usedAt[keys[i]] < s.usedAt[keys[j]] })
	for _, key := range keys {
		if s.used <= s.memory {
			return
		}
		s.queueUpdate(key, now, false)
		s.used -= s.tokens[key]
		delete(s.readyAt, key)
		delete(s.usedAt, key)
		delete(s.tokens, key)
	}
}

// crashAt empties the caches of a third of the engines when a crash is due.
func (f *modelFleet) crashAt(now float64) {
	if len(f.crashes) == 0 || now < f.crashes[0] {
		return
	}
	f.crashes = f.crashes[1:]
	for _, e := range f.ordered[:len(f.ordered)/3] {
		for key, at := range e.parts {
			if part := at.Value.(*modelPart); part.refs == 0 {
				e.order.Remove(at)
				delete(e.parts, key)
				e.used -= part.tokens
			}
		}
	}
	for i := range f.servers[:len(f.servers)/3] {
		for _, entry := range f.entries {
			entry.ForgetCache(f.servers[i].ID)
		}
	}
}

// reportsAndQuestions is a mix of short prompts and long ones that are two
// thirds shared. It fills the engines' memory within seconds.
func reportsAndQuestions() []*modelClass {
	return []*modelClass{
		{
			name: "question", perSecond: 72, own: 628, spread: 1, largest: 3300, commonTokens: 119, commons: 40, documentTokens: 79, documents: 614,
			output: 73, targetMS: 800, timeoutMS: 15000, firstTokenTimeoutMS: 3200, credit: 2, lateCredit: 0.6, priority: 0,
		},
		{
			name: "report", perSecond: 46, own: 2890, spread: 1, largest: 39600, commonTokens: 2520, commons: 4, documentTokens: 3780, documents: 250,
			output: 13, targetMS: 600, timeoutMS: 5000, firstTokenTimeoutMS: 2400, credit: 3, lateCredit: 0.9, priority: 1,
		},
	}
}

func playWithStores(t *testing.T, stores int) *modelFleet {
	t.Helper()
	f := newModelFleet(1, 18, 5, 106000, reportsAndQuestions())
	f.mayWait, f.crashes = true, []float64{6000, 10000, 14000}
	f.stores = map[string]*modelStore{}
	for _, address := range []string{"store1", "store2"}[:stores] {
		f.stores[address] = newModelStore(1000000, 290000)
		f.routerStores = append(f.routerStores, routing.NewKVStore(address, "a", 290000))
	}
	f.play(20000)
	r := f.results()["all"]
	t.Logf("stores %d: net %.3f, in time %d, late %d; prefilled %d k, recomputed %d k", stores,
		r.share()-float64(f.recomputed)/1000/r.possible, r.inTime, r.late, f.prefilled/1000, f.recomputed/1000)
	return f
}

// Engines evict prefixes within seconds and lose them in crashes. Without a
// store, a tenth of all prefill repeats earlier prefill.
func TestLostPrefixesComeFromStore(t *testing.T) {
	before, after := playWithStores(t, 0), playWithStores(t, 1)
	assert.Less(t, after.recomputed, before.recomputed/2)
	assert.Less(t, after.prefilled, before.prefilled)
	assert.GreaterOrEqual(t, after.results()["all"].share(), before.results()["all"].share()-0.005)
	assert.LessOrEqual(t, playWithStores(t, 2).recomputed, after.recomputed*11/10, "two stores share the prefixes")
}
