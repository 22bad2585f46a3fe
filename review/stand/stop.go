//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	grace = 8 * time.Second
	// outage is how long the store gives no answer; the site's largest is 8 s.
	outage = 8 * time.Second
	// outageLead is how long before the SIGTERM it begins.
	outageLead = 500 * time.Millisecond
	// idle are the pauses between two requests on one connection: clients reuse one that was
	// idle for up to four fifths of the configuration's 15 s.
	idleMin, idleMax = 2 * time.Second, 10 * time.Second
)

// rotation is the platform's choice of the nodes that get new connections.
type rotation struct {
	site *site
	mu   sync.Mutex
	out  map[*gateway]bool
}

// watch probes each node once a second; two misses in a row take it out.
func (p *rotation) watch(stop *atomic.Bool) {
	missed := map[*gateway]int{}
	for !stop.Load() {
		for _, g := range p.site.gateways {
			status := readyStatus(g.ready)
			if missed[g]++; status == http.StatusOK {
				missed[g] = 0
			}
			p.mu.Lock()
			if out := missed[g] >= 2; out != p.out[g] {
				p.out[g] = out
				p.site.record("platform: %s out of rotation: %v", g.name, out)
			}
			p.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// node returns the node of the client's zone, or that of the next zone if it is out.
func (p *rotation) node(zone int) *gateway {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.site.gateways {
		if g := p.site.gateways[(zone+i)%len(p.site.gateways)]; !p.out[g] {
			return g
		}
	}
	return p.site.gateways[zone]
}

// exchanged is what one client saw of one request.
type exchanged struct {
	id      string
	node    *gateway
	sentAt  time.Time
	endedAt time.Time
	status  int
	err     error
}

// keepingClient sends requests over kept connections, each after a pause.
func (s *site) keepingClient(p *rotation, zone int, next func() string, pause func() time.Duration, stop *atomic.Bool, done func(exchanged)) {
	var conn net.Conn
	var reader *bufio.Reader
	var node *gateway
	for !stop.Load() {
		if conn == nil {
			node = p.node(zone)
			var err error
			if conn, err = net.DialTimeout("tcp", node.callers, time.Second); err != nil {
				conn = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		e := exchanged{id: next(), node: node, sentAt: time.Now()}
		keep := false
		e.status, keep, e.err = exchange(conn, reader, e.id)
		e.endedAt = time.Now()
		done(e)
		if !keep {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(pause())
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// exchange sends one booking and reads its answer.
func exchange(conn net.Conn, reader *bufio.Reader, id string) (status int, keep bool, err error) {
	const limit = 3000
	_ = conn.SetDeadline(time.Now().Add(limit * time.Millisecond))
	body := "booking " + id
	head := strings.Join([]string{
		"POST /book/x HTTP/1.1", "Host: a.example", "Request-Id: " + id, fmt.Sprintf("Deadline-Ms: %d", limit), "Authorization: Token key1", fmt.Sprintf("Content-Length: %d", len(body)),
	}, "\r\n")
	if _, err := io.WriteString(conn, head+"\r\n\r\n"+body); err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return response.StatusCode, false, err
	}
	return response.StatusCode, !response.Close, nil
}

// stopInOutage: the lease holder gets SIGTERM just after the store has stopped to answer. LOST:
// around a SIGTERM no request that was passed on ends without an answer.
func stopInOutage(s *site) (int, error) {
	models, err := s.runners(engines, true, 3)
	if err != nil {
		return unable, err
	}
	plain, err := s.runners(portal, false, 6)
	if err != nil {
		return unable, err
	}
	s.configure(1, nil)
	s.nameVersion(1)
	time.Sleep(200 * time.Millisecond)
	if err := s.startGateways(2); err != nil {
		return unable, err
	}
	p := &rotation{site: s, out: map[*gateway]bool{}}
	var stop atomic.Bool
	var clients sync.WaitGroup
	go p.watch(&stop)
	var count atomic.Int64
	var mu sync.Mutex
	var all []exchanged
	for c := range 480 {
		clients.Go(func() {
			time.Sleep(time.Duration(c) * idleMax / 480)
			s.keepingClient(p, c%2, func() string { return fmt.Sprintf("%016x", count.Add(1)) },
				func() time.Duration {
					return idleMin + time.Duration(hash(count.Load()+int64(c))%uint64(idleMax-idleMin))
				}, &stop,
				func(e exchanged) {
					s.record("client: %s sent to %s, answered %d, error %v", e.id, e.node.name, e.status, e.err)
					mu.Lock()
					defer mu.Unlock()
					all = append(all, e)
				})
		})
	}
	time.Sleep(12 * time.Second)
	s.nameVersion(2)
	holder := s.giver(models, 2)
	if holder == nil {
		return unable, fmt.Errorf("nobody orders the new version")
	}
	time.Sleep(5 * time.Second)
	s.storeOutage()
	time.Sleep(outageLead)
	term := time.Now()
	holder.signal(syscall.SIGTERM)
	select {
	case <-holder.done:
		s.record("%s has ended %v after the SIGTERM", holder.name, time.Since(term).Round(time.Millisecond))
	case <-time.After(grace):
		holder.signal(syscall.SIGKILL)
		<-holder.done
		s.record("%s did not end within the grace time", holder.name)
	}
	time.Sleep(4 * time.Second)
	stop.Store(true)
	clients.Wait()
	runs := runsOf(plain)
	lost, ok := 0, 0
	for _, e := range all {
		switch after := e.sentAt.Sub(term); {
		case e.err == nil:
			ok++
		case e.node == holder && after > 0 && after < grace+time.Second && len(runs[e.id]) > 0:
			lost++
			s.record("LOST: %s, sent to %s %v after its SIGTERM, passed on and run by %s, ended %v after the SIGTERM without an answer: %v",
				e.id, e.node.name, after.Round(time.Millisecond), runs[e.id][0].runner, e.endedAt.Sub(term).Round(time.Millisecond), e.err)
		default:
			s.record("not counted: %s, sent to %s %v after the SIGTERM, runs %d: %v", e.id, e.node.name, after.Round(time.Millisecond), len(runs[e.id]), e.err)
		}
	}
	s.record("%d requests answered, %d lost", ok, lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// storeOutage lets the store give no answer for a while.
func (s *site) storeOutage() {
	if !s.trouble {
		return
	}
	s.record("the store gives no answer")
	s.endpoint.Hang(true)
	time.AfterFunc(outage, func() { s.record("the store answers"); s.endpoint.Hang(false) })
}

// hash spreads the pauses of clients, the same in each run.
func hash(n int64) uint64 {
	x := uint64(n)*0x9e3779b97f4a7c15 + 0x7f4a7c15
	x ^= x >> 31
	return x * 0xbf58476d1ce4e5b9
}

// signal sends a signal to the process.
func (g *gateway) signal(sig syscall.Signal) {
	g.site.record("%s to %s", sig, g.name)
	_ = g.command.Process.Signal(sig)
}

// giver waits until a gateway has given an order to load the version, and returns it.
func (s *site) giver(runners []*runner, version uint64) *gateway {
	for range 500 {
		for _, r := range runners {
			r.mu.Lock()
			by, ordered := r.orderedBy, r.ordered
			r.mu.Unlock()
			for _, g := range s.gateways {
				if ordered == version && g.name == by {
					return g
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
