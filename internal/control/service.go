// Package control runs the control loops of an entry. For each pool whose lease
// the entry holds, it probes the backend servers and sends them the orders that
// package orders plans. Without the lease it sends no orders.
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

// LeasePrefix and the name of a pool form the name of the pool's lease.
const LeasePrefix = "pool/"

// releaseTimeout bounds the release of leases when workers are closed.
const releaseTimeout = 500 * time.Millisecond

// Options of a Service. Node, Holder, Table and Candidates are required.
type Options struct {
	// Name of this entry.
	Name string
	// Incarnation identifies this run of the entry's process.
	Incarnation string
	Settings    Settings
	Node        *transport.Node
	Holder      *catalog.Holder
	Table       platform.Table
	// Candidates returns the first count live entries in rendezvous order for
	// the key. It may include this entry.
	Candidates func(key string, count int) []string
	// Clock is lease.BootClock if nil; tests set another.
	Clock platform.Clock
}

// Service contends for the leases of pools and controls the pools whose lease
// it holds. It is safe for concurrent use.
type Service struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	mu      sync.Mutex
	workers map[string]*worker
}

// Start runs the service until Close is called or the context ends. Zero
// Settings mean DefaultSettings.
func Start(ctx context.Context, options Options) (*Service, error) {
	if options.Node == nil || options.Holder == nil || options.Table == nil || options.Candidates == nil {
		return nil, eris.New("control: options Node, Holder, Table and Candidates must be set")
	}
	if options.Settings == (Settings{}) {
		options.Settings = DefaultSettings()
	}
	if options.Clock == nil {
		options.Clock = lease.BootClock
	}
	s := &Service{options: options, done: make(chan struct{}), workers: map[string]*worker{}}
	s.ctx, s.cancel = context.WithCancel(ctx)
	go s.run()
	return s, nil
}

// Close stops all workers, then releases their leases.
func (s *Service) Close() {
	s.cancel()
	<-s.done
}

// Leases returns the sorted names of the leases that are currently held.
func (s *Service) Leases() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held []string
	for pool, w := range s.workers {
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
			s.closeAllWorkers()
			return
		case <-ticker.C:
		}
	}
}

// assign starts workers for the pools of which this entry is a candidate, and
// closes the workers of all others.
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
	var removed []*worker
	for pool, w := range s.workers {
		if !wanted[pool] {
			removed = append(removed, w)
			delete(s.workers, pool)
		}
	}
	for pool := range wanted {
		if s.workers[pool] == nil {
			s.workers[pool] = startWorker(s.ctx, s.options, pool)
		}
	}
	s.mu.Unlock()
	closeWorkers(removed)
}

func (s *Service) closeAllWorkers() {
	s.mu.Lock()
	var all []*worker
	for _, w := range s.workers {
		all = append(all, w)
	}
	s.workers = map[string]*worker{}
	s.mu.Unlock()
	closeWorkers(all)
}

func closeWorkers(workers []*worker) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, w := range workers {
		wg.Go(func() { w.close(ctx) })
	}
	wg.Wait()
}

// maxParallelProbes bounds the concurrent probes of one CountLoaded call.
const maxParallelProbes = 32

// CountLoaded probes all backend servers of a pool and counts those that are
// ready, not draining, and have the weights with the digest loaded. A server
// that does not answer is not counted.
func (s *Service) CountLoaded(ctx context.Context, pool, digest string) int {
	var loaded atomic.Int64
	var group errgroup.Group
	group.SetLimit(maxParallelProbes)
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
