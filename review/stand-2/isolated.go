//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cachedPart is a part of a prompt in a model runner's memory.
type cachedPart struct{ tenant, request string }

// use is one use of a cached part by a request of another tenant than the one that made it.
type use struct {
	request, tenant, part, madeBy, maker string
	at                                   time.Time
}

// modelRunner is a model runner with a KV cache: parts are found only under the salt under which
// they were made, and if all parts before them are cached too.
type modelRunner struct {
	id, address string
	record      *record
	mu          sync.Mutex
	cache       map[string]cachedPart
	uses        []use
	ran         int
}

func newModelRunner(s *store, r *record, id string) *modelRunner {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	m := &modelRunner{id: id, address: listener.Addr().String(), record: r, cache: map[string]cachedPart{}}
	server := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go func() {
		for seq := 1; ; seq++ {
			s.write("servers", id, map[string]any{
				"backend": "models", "address": m.address, "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
				"phase": "unified", "models": []any{map[string]any{"name": "model-a", "version": 1, "adapters": []any{}}}, "seq": seq,
			})
			time.Sleep(heartbeat)
		}
	}()
	return m
}

// ServeHTTP implements http.Handler.
func (m *modelRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Instance-Id", m.id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"phase": "unified", "models": []any{map[string]any{"name": "model-a", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 0,
			"queued": 0, "running": 0, "kv_used": 0, "kv_total": 244711, "handles": 0,
		})
	case r.URL.Path == "/health":
		w.Header().Set("Server-Load", "0,0,64")
	case r.URL.Path == "/order":
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/kv-events", r.URL.Path == "/kv-list":
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		m.run(w, r)
	}
}

func (m *modelRunner) run(w http.ResponseWriter, r *http.Request) {
	id, tenant, salt := r.Header.Get("Request-Id"), r.Header.Get("Tenant"), r.Header.Get("Cache-Salt")
	m.mu.Lock()
	m.ran++
	found := true
	for _, part := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		name, _, _ := strings.Cut(part, ":")
		key := salt + "\x00" + name
		kept, ok := m.cache[key]
		if found = found && ok; found {
			if kept.tenant != tenant {
				m.uses = append(m.uses, use{request: id, tenant: tenant, part: name, madeBy: kept.tenant, maker: kept.request, at: time.Now()})
			}
			m.record.line("runner %s: %s of %s, salt %q, goes on from part %s that %s of %s made", m.id, id, tenant, salt, name, kept.request, kept.tenant)
			continue
		}
		m.cache[key] = cachedPart{tenant: tenant, request: id}
		m.record.line("runner %s: %s of %s, salt %q, reads part %s", m.id, id, tenant, salt, name)
	}
	m.mu.Unlock()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Seal", "seal-"+id)
	w.Header().Set("Server-Load", "1,0,64")
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= 3; event++ {
		_, _ = io.WriteString(w, "id: "+strconv.Itoa(event)+"\ndata: token "+strconv.Itoa(event)+"\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// isolatedTenant: a configuration declares a tenant to be isolated. From then on it must share no
// cached part with another tenant.
func isolatedTenant(dir string, r *record) int {
	s := newStore()
	config := func(version int, isolated bool) {
		s.write("op", "config", map[string]any{
			"version": version, "limits": limits(16384),
			"tenants": []any{
				map[string]any{"name": "tenant-a", "api_keys": []string{"key-a"}, "priority": 1, "isolated": isolated},
				map[string]any{"name": "tenant-b", "api_keys": []string{"key-b"}, "priority": 1, "isolated": false},
			},
			"routes": []any{map[string]any{
				"name": "r-review", "hostname": "review.example", "path_prefix": "/review/", "route_type": "streaming", "timeout_ms": 15000,
				"target_latency_ms": 1000, "priority": 1, "backend": "models", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 800,
			}},
			"services": []any{map[string]any{
				"name": "models", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kv_capacity_tokens": 244711, "token_kv_bytes": 18432, "link_mbps": 130000.0, "stride": 6, "max_inflight": 12,
					"models": []any{map[string]any{"name": "model-a"}},
				},
			}},
		})
		r.line("configuration %d is acknowledged: tenant-a isolated: %v, tenant-b isolated: false", version, isolated)
	}
	config(3, false)
	runner := newModelRunner(s, r, "i-engine")
	g := newGateway(dir, 1, s, true)
	g.start()
	g.awaitReady(10 * time.Second)
	time.Sleep(2 * time.Second)
	n, served := 0, 0
	ask := func(key, own string) string {
		n++
		id := fmt.Sprintf("%016x", 0x15000000+n)
		got := send(g.front, http.MethodPost, "review.example", "/review/contract", map[string]string{
			"Request-Id": id, "Deadline-Ms": "15000", "Authorization": "Token " + key, "Model": "model-a", "Token-Usage": "1460,12",
			"Prompt-Prefix": "5c1e07a2:800,91bd3f06:410," + own + ":250",
		}, strings.Repeat("p", 1460))
		r.line("client: %s with %s is answered %d (%v)", id, key, got.status, got.err)
		if got.status == http.StatusOK && got.whole {
			served++
		}
		return id
	}
	for i := range 5 {
		ask("key-a", fmt.Sprintf("a%07x", i))
	}
	if trouble() {
		config(7, true)
	}
	// Well after the bound by which the configuration is in force everywhere.
	time.Sleep(configBound + 2*time.Second)
	after := time.Now()
	for i := range 10 {
		ask("key-b", fmt.Sprintf("b%07x", i))
	}
	if served < 12 {
		must(fmt.Errorf("only %d of %d requests were served", served, n))
	}
	runner.mu.Lock()
	defer runner.mu.Unlock()
	count := 0
	for _, u := range runner.uses {
		if trouble() && u.at.After(after) && (u.tenant == "tenant-a" || u.madeBy == "tenant-a") {
			count++
			r.line("WALL: %s of %s uses part %s, which %s of %s made; tenant-a is isolated", u.request, u.tenant, u.part, u.maker, u.madeBy)
		}
	}
	r.line("%d uses of parts across the wall", count)
	if count > 0 {
		return broken
	}
	return held
}
