//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	engines = "engines"
	portal  = "portal"
)

// configure writes a configuration like that of a small site; limits replace the usual ones.
func (s *site) configure(version int, limits map[string]any) {
	if limits == nil {
		limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	}
	route := func(name, kind, service string, timeout, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "a.example", "path_prefix": "/" + name + "/", "route_type": kind, "timeout_ms": timeout, "target_latency_ms": 600, "priority": 1,
			"backend": service, "max_attempts": attempts, "public": false, "sticky": service == engines, "resumable": false, "gap_target_ms": 800,
		}
	}
	s.store.Put("op", "config", map[string]any{
		"version": version,
		"routes":  []any{route("review", "streaming", engines, 15000, 1), route("book", "non_idempotent", portal, 3000, 1), route("notice", "idempotent", portal, 3000, 2)},
		"services": []any{
			map[string]any{"name": engines, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 244711, "token_kv_bytes": 18432, "link_mbps": 130000.0, "max_inflight": 12, "models": []any{map[string]any{"name": model}},
			}},
			map[string]any{"name": portal, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  limits,
		"tenants": []any{map[string]any{"name": "w1", "api_keys": []string{"key1"}, "priority": 1, "isolated": false}},
	})
	s.record("configuration %d acknowledged", version)
}

// nameVersion names new weights.
func (s *site) nameVersion(version int) {
	s.store.Put("op", "version/"+model, map[string]any{"model": model, "version": version})
	s.record("version %d of the weights named", version)
}

// startGateways starts gateways and waits until they are ready.
func (s *site) startGateways(count int) error {
	var seeds []string
	for range count {
		g, err := s.newGateway(seeds...)
		if err != nil {
			return err
		}
		seeds = append(seeds, g.control)
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) runners(service string, isModel bool, count int) ([]*runner, error) {
	var runners []*runner
	for i := range count {
		r, err := s.newRunner(fmt.Sprintf("i-%s%d", service, i), service, isModel)
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	return runners, nil
}

func runsOf(runners []*runner) map[string][]run {
	byID := map[string][]run{}
	for _, r := range runners {
		r.mu.Lock()
		for _, one := range r.runs {
			byID[one.id] = append(byID[one.id], one)
		}
		r.mu.Unlock()
	}
	return byID
}

const (
	// The largest doses of the site for garble extra late.
	garbleShare   = 0.6
	garbleAnswers = 0.03
	garbleFor     = 5 * time.Second
	// lateShare of the orders get no answer and are carried out 2 to 12 s later.
	lateShare = 0.5
	lateFor   = 7 * time.Second
)

// garble lets the faulty runners send some of their answers once more: no more than the given
// share of those that they give from now on.
type garble struct {
	mu              sync.Mutex
	on              bool
	answers, extras int
}

func (g *garble) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.on, g.answers, g.extras = true, 0, 0
}

func (g *garble) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.on = false
}

// answered counts an answer, and reports whether it is sent once more.
func (g *garble) answered(status int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.on {
		return false
	}
	g.answers++
	again := status == 421 && float64(g.extras+1) <= garbleAnswers*float64(g.answers)
	if again {
		g.extras++
	}
	return again
}

// lateOrders decides which orders get no answer and are carried out late.
type lateOrders struct {
	mu                 sync.Mutex
	on                 bool
	orders, late, left int
}

func (l *lateOrders) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on, l.orders, l.late, l.left = true, 0, 0, 0
}

// skip lets the next orders be late.
func (l *lateOrders) skip(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left = count
}

func (l *lateOrders) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on = false
}

// next says whether the next order is late, and how much later it is carried out.
func (l *lateOrders) next() (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.on {
		return false, 0
	}
	l.orders++
	if l.left == 0 || float64(l.late+1) > lateShare*float64(l.orders) {
		return false, 0
	}
	l.left--
	l.late++
	return true, 2600 * time.Millisecond
}

// lateExtra: a runner sends one of its answers once more, late. TWICE: a request that isn't
// idempotent runs once at most.
func lateExtra(s *site) (int, error) {
	all, err := s.runners(engines, true, 5)
	if err != nil {
		return unable, err
	}
	spoils, late := &garble{}, &lateOrders{}
	for i, r := range all {
		r.late = late.next
		r.pieces, r.pieceTime = 12, 10*time.Millisecond
		if i < int(garbleShare*float64(len(all))) {
			r.extra = spoils.answered
		}
	}
	s.configure(1, nil)
	s.nameVersion(1)
	time.Sleep(200 * time.Millisecond)
	if err := s.startGateways(2); err != nil {
		return unable, err
	}
	time.Sleep(3 * time.Second)
	t := s.streams(60)
	time.Sleep(4 * time.Second)
	for version := 2; version <= 7; version += 2 {
		if s.trouble {
			late.begin()
		}
		time.AfterFunc(lateFor, late.end)
		s.nameVersion(version)
		time.Sleep(4500 * time.Millisecond)
		late.skip(2)
		s.nameVersion(version + 1)
		time.Sleep(100 * time.Millisecond)
		s.storeOutage()
		time.Sleep(1400 * time.Millisecond)
		if s.trouble && os.Getenv("GARBLE") != "0" {
			spoils.begin()
		}
		time.Sleep(garbleFor)
		spoils.end()
		time.Sleep(11 * time.Second)
	}
	t.end()
	twice, runs := 0, runsOf(all)
	for id, of := range runs {
		if len(of) > 1 {
			twice++
			s.record("TWICE: %s, a stream that can't be resumed, ran at %s, and %v later at %s; its client got %s", id, of[0].runner, of[1].at.Sub(of[0].at), of[1].runner, t.of(id))
		}
	}
	// REFUSED: a request that was answered 503 and has run.
	refused := 0
	for id, a := range t.answers {
		if (a.status == 503 || a.status == 429) && len(runs[id]) > 0 {
			refused++
			s.record("REFUSED: %s was answered %d, and ran at %s", id, a.status, runs[id][0].runner)
		}
	}
	s.record("%d requests, statuses %v, %d ran twice, %d were refused and ran", len(t.answers), t.statuses(), twice, refused)
	if twice+refused > 0 {
		return broken, nil
	}
	return held, nil
}

// traffic is what clients send, each one request after the other.
type traffic struct {
	stop    atomic.Bool
	clients sync.WaitGroup
	count   atomic.Int64
	mu      sync.Mutex
	answers map[string]answer
}

// streams starts clients that send streaming requests to all gateways.
func (s *site) streams(clients int) *traffic {
	t := &traffic{answers: map[string]answer{}}
	for c := range clients {
		t.clients.Go(func() {
			for !t.stop.Load() {
				n := t.count.Add(1)
				r := request{
					method: "POST", path: "/review/x", id: fmt.Sprintf("%016x", n), body: "prompt", deadlineMS: 15000,
					header: []string{"Model: " + model, "Token-Usage: 1460,80", fmt.Sprintf("Prompt-Prefix: %08x:800,%08x:410,%08x:250", n%24, n%24+100, n+1000)},
				}
				g := s.gateways[c%len(s.gateways)]
				a := send(g.callers, r)
				t.mu.Lock()
				t.answers[r.id] = a
				t.mu.Unlock()
				s.record("client: %s sent to %s, answered %d, error %v", r.id, g.name, a.status, a.err)
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	return t
}

func (t *traffic) end() {
	t.stop.Store(true)
	t.clients.Wait()
}

func (t *traffic) of(id string) string {
	a := t.answers[id]
	return fmt.Sprintf("status %d, seal %q, error %v", a.status, a.seal, a.err)
}

func (t *traffic) statuses() map[int]int {
	counts := map[int]int{}
	for _, a := range t.answers {
		counts[a.status]++
	}
	return counts
}
