// Package control does an entry's share of control work: for each pool whose
// lease the entry holds, it observes the backend servers and gives the orders
// that internal/orders plans. Nothing runs here without a lease.
package control

import (
	"context"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// LeasePrefix stands before a pool's name in the name of its lease.
const LeasePrefix = "pool/"

// releaseTimeout bounds giving leases back at the end.
const releaseTimeout = 500 * time.Millisecond

// Options of the service.
type Options struct {
	// Name of this entry.
	Name string
	// Incarnation differs between two boots of the entry.
	Incarnation string
	Settings    Settings
	Node        *transport.Node
	Holder      *catalog.Holder
	Table       platform.Table
	// Candidates returns the first live entries in rendezvous order under the
	// key, this one among them if it is one.
	Candidates func(key string, count int) []string
	// Clock is lease.BootClock but in tests.
	Clock platform.Clock
}

// Service contends for leases and works for those it holds. Safe for concurrent use.
type Service struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	mu    sync.Mutex
	pools map[string]*worker
}

// Start runs the service until Close or the end of the context.
func Start(ctx context.Context, options Options) (*Service, error) {
	if options.Node == nil || options.Holder == nil || options.Table == nil || options.Candidates == nil {
		return nil, eris.New("control needs a node, a holder, a table and the candidates")
	}
	if options.Settings == (Settings{}) {
		options.Settings = DefaultSettings()
	}
	if options.Clock == nil {
		options.Clock = lease.BootClock
	}
	s := &Service{options: options, done: make(chan struct{}), pools: map[string]*worker{}}
	s.ctx, s.cancel = context.WithCancel(ctx)
	go s.run()
	return s, nil
}

// Close stops all work and then gives the leases back.
func (s *Service) Close() {
	s.cancel()
	<-s.done
}

// Leases returns the names of the leases that are held now.
func (s *Service) Leases() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held []string
	for pool, w := range s.pools {
		if _, ok := w.keeper.Held(); ok {
			held = append(held, LeasePrefix+pool)
		}
	}
	sort.Strings(held)
	return held
}

func (s *Service) run() {
	defer close(s.done)
	ticker := time.NewTicker(s.options.Settings.Interval)
	defer ticker.Stop()
	for {
		s.assign()
		select {
		case <-s.ctx.Done():
			s.dropAll()
			return
		case <-ticker.C:
		}
	}
}

// assign contends for the pools that this entry is a candidate of, and lets go
// of the others.
func (s *Service) assign() {
	wanted := map[string]bool{}
	for _, pool := range s.options.Holder.Current().Pools() {
		for _, name := range s.options.Candidates(LeasePrefix+pool.GetName(), s.options.Settings.Candidates) {
			if name == s.options.Name {
				wanted[pool.GetName()] = true
			}
		}
	}
	s.mu.Lock()
	var dropped []*worker
	for pool, w := range s.pools {
		if !wanted[pool] {
			dropped = append(dropped, w)
			delete(s.pools, pool)
		}
	}
	for pool := range wanted {
		if s.pools[pool] == nil {
			s.pools[pool] = startWorker(s.ctx, s.options, pool)
		}
	}
	s.mu.Unlock()
	drop(dropped)
}

func (s *Service) dropAll() {
	s.mu.Lock()
	var all []*worker
	for _, w := range s.pools {
		all = append(all, w)
	}
	s.pools = map[string]*worker{}
	s.mu.Unlock()
	drop(all)
}

func drop(workers []*worker) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, w := range workers {
		wg.Go(func() { w.close(ctx) })
	}
	wg.Wait()
}

// loadedParallel bounds the probes of one count.
const loadedParallel = 32

// CountLoaded counts the backend servers of a pool that are ready and have the
// weights with the digest, by asking each of them now. One that does not
// answer does not count.
func (s *Service) CountLoaded(ctx context.Context, pool, digest string) int {
	var loaded atomic.Int64
	var group errgroup.Group
	group.SetLimit(loadedParallel)
	for _, server := range s.options.Holder.Current().BackendServersOfPool(pool) {
		group.Go(func() error {
			state, err := probe(ctx, s.options, pool, server)
			if err == nil && state.GetReady() && !state.GetLeaving() && slices.Contains(state.GetVersionDigests(), digest) {
				loaded.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(loaded.Load())
}
