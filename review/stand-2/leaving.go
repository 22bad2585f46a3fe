//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// link is the network between one entry and the store. While it is cut nothing passes, and a
// connection that was open or opened meanwhile stays silent for good; later ones work.
type link struct {
	mu    sync.Mutex
	cut   bool
	conns map[*linkConn]bool
	to    string
}

type linkConn struct {
	mu     sync.Mutex
	silent bool
}

func (c *linkConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func newLink(to string) (l *link, address string) {
	l = &link{conns: map[*linkConn]bool{}, to: to}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return l, listener.Addr().String()
}

func (l *link) carry(near net.Conn) {
	defer near.Close()
	l.mu.Lock()
	c := &linkConn{silent: l.cut}
	l.conns[c] = true
	l.mu.Unlock()
	far, err := net.Dial("tcp", l.to)
	must(err)
	defer far.Close()
	pass := func(to io.Writer, from io.Reader) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 && !c.isSilent() {
				_, _ = to.Write(buffer[:n])
			}
			if err != nil {
				return
			}
		}
	}
	go pass(near, far)
	pass(far, near)
}

// set cuts the link, or heals it.
func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for c := range l.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// leaver is a plain runner that may leave without saying so.
type leaver struct {
	id, address string
	store       *store
	mu          sync.Mutex
	gone        bool
	arrivals    map[string]time.Time
}

func newLeaver(s *store, id string) *leaver {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	l := &leaver{id: id, address: listener.Addr().String(), store: s, arrivals: map[string]time.Time{}}
	server := &http.Server{Handler: l, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go func() {
		for seq := 1; ; seq++ {
			l.mu.Lock()
			if l.gone {
				l.mu.Unlock()
				return
			}
			s.write("servers", id, map[string]any{
				"backend": "portal", "address": l.address, "zone": "zone-a", "version": "v1", "slots": 6, "state": "ready",
				"cold_remaining_ms": 0, "models": []any{}, "seq": seq,
			})
			l.mu.Unlock()
			time.Sleep(heartbeat)
		}
	}()
	return l
}

// leave removes the runner's entry; it serves on. It returns when the store has accepted that.
func (l *leaver) leave() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gone = true
	l.store.write("servers", l.id, nil)
	return time.Now()
}

// ServeHTTP implements http.Handler.
func (l *leaver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", l.id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Server-Load", "1,0,6")
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Request-Id")
	l.mu.Lock()
	l.arrivals[id] = time.Now()
	l.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Seal", "seal-"+id)
	_, _ = io.WriteString(w, answerOf(id))
}

// leavingRunner: an entry is cut off from the store for some seconds. A runner leaves, by the removal
// of its entry, shortly after the cut has healed. It must get no request drain_ms after that.
func leavingRunner(dir string, r *record) int {
	const cutTime, drainBound, rounds = 6 * time.Second, 2 * time.Second, 7
	s := newStore()
	s.write("op", "config", map[string]any{
		"version": 3, "limits": limits(16384), "tenants": []any{map[string]any{"name": "tenant-a", "api_keys": []string{"key-a"}, "isolated": false}},
		"routes": []any{map[string]any{
			"name": "r-book", "hostname": "book.example", "path_prefix": "/book/", "route_type": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 300, "priority": 2, "backend": "portal", "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "portal", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}},
	})
	network, address := newLink(s.address)
	g := newGateway(dir, 1, &store{address: address}, true)
	g.start()
	runners := []*leaver{newLeaver(s, "i-0"), newLeaver(s, "i-1")}
	g.awaitReady(10 * time.Second)
	n, late, served := 0, 0, 0
	for round := range rounds {
		runners = append(runners, newLeaver(s, fmt.Sprint("i-", round+2)))
		time.Sleep(3 * time.Second)
		if trouble() {
			network.set(true)
			r.line("round %d: %s is cut off from the store", round, g.name)
		}
		time.Sleep(cutTime)
		network.set(false)
		healed := time.Now()
		r.line("round %d: the cut has healed", round)
		time.Sleep(300 * time.Millisecond)
		leaver := runners[round]
		gone := leaver.leave()
		r.line("round %d: the entry of %s is removed, acknowledged by the store", round, leaver.id)
		// From here on the entry is in touch.
		time.Sleep(time.Until(healed.Add(contactBound)))
		for until := healed.Add(contactBound + time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			n++
			id := fmt.Sprintf("%016x", 0x1ea0000+n)
			got := send(g.front, http.MethodPost, "book.example", "/book/crane", map[string]string{
				"Request-Id": id, "Deadline-Ms": "3000", "Authorization": "Token key-a",
			}, "one cone crusher")
			if got.status == http.StatusOK && got.whole && got.body == answerOf(id) {
				served++
			}
			leaver.mu.Lock()
			at, arrived := leaver.arrivals[id]
			leaver.mu.Unlock()
			if arrived && at.Sub(gone) > drainBound {
				late++
				r.line("DRAIN: %s reaches %s %d ms after the store's ack that it is gone, %d ms after the cut has healed", id, leaver.id, at.Sub(gone).Milliseconds(), at.Sub(healed).Milliseconds())
			}
		}
	}
	r.line("%d requests, %d served, %d reached a runner that was gone for longer than drain_ms", n, served, late)
	if late > 0 {
		return broken
	}
	if served < n/2 {
		must(fmt.Errorf("only %d of %d requests were served", served, n))
	}
	return held
}
