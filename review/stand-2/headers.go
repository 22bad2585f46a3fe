//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// headerLimit: an entry starts while the store is down. Later it must take what the configuration
// allows.
func headerLimit(dir string, r *record) int {
	const headerBytes = 32768
	s := newStore()
	s.write("op", "config", map[string]any{
		"version": 3, "limits": limits(headerBytes), "tenants": []any{map[string]any{"name": "tenant-a", "api_keys": []string{"key-a"}, "isolated": false}},
		"routes": []any{map[string]any{
			"name": "r-book", "hostname": "book.example", "path_prefix": "/book/", "route_type": "idempotent", "timeout_ms": 3000,
			"target_latency_ms": 300, "priority": 2, "backend": "portal", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "portal", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}},
	})
	newPlainRunner(s, r, "i-one")
	g := newGateway(dir, 1, s, true)
	if trouble() {
		s.silent.Store(true)
		r.line("the store is silent")
	}
	g.start()
	r.line("the entry starts")
	time.Sleep(8 * time.Second)
	s.silent.Store(false)
	r.line("the store answers")
	g.awaitReady(30 * time.Second)
	r.line("the entry says that it is ready")
	time.Sleep(2 * contactBound)
	// The header of each request has 24 KiB, three quarters of what the configuration allows.
	var parts []string
	for n := range 24 << 10 / 14 {
		parts = append(parts, fmt.Sprintf("%08x:%d", n*7919, 1000+n%9000))
	}
	const requests = 40
	denied, served := 0, 0
	for n := range requests {
		id := fmt.Sprintf("%016x", 0xeade0000+n)
		got := send(g.front, http.MethodGet, "book.example", "/book/crane", map[string]string{
			"Request-Id": id, "Deadline-Ms": "3000", "Authorization": "Token key-a", "Prompt-Prefix": strings.Join(parts, ","),
		}, "")
		r.line("client: %s is answered %d, seal %q (%v)", id, got.status, got.header.Get("Server-Seal"), got.err)
		switch {
		case got.status >= 300 && got.status < 500 && got.status != 408 && got.status != 421 && got.status != 429 && got.header.Get("Server-Seal") == "":
			denied++
		case got.status == http.StatusOK && got.body == answerOf(id):
			served++
		}
	}
	r.line("%d proper requests: %d served, %d ended with a 4xx of the entry", requests, served, denied)
	if float64(denied) > 5+float64(requests)/500 {
		r.line("DENIED: more than 5 + one in 500")
		return broken
	}
	if served < requests/2 {
		must(fmt.Errorf("only %d of %d were served", served, requests))
	}
	return held
}
