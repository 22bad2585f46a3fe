//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// row is one row of the platform's store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"row_version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a small platform's store: linearizable, with its whole history. While silent is set
// it answers nothing.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]row
	log     []row
	changed chan struct{}
	started time.Time
	silent  atomic.Bool
	address string
}

// newStore starts a store on a loopback address.
func newStore() *store {
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), started: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return s
}

func rowName(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// apply adds one transaction; the store must be locked.
func (s *store) apply(put, remove []row) {
	s.version++
	for _, r := range put {
		r.Version, r.Tombstone = s.version, false
		s.rows[rowName(r)] = r
		s.log = append(s.log, r)
	}
	for _, r := range remove {
		r.Version, r.Tombstone, r.Value = s.version, true, nil
		delete(s.rows, rowName(r))
		s.log = append(s.log, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a row as the operator or a runner does; value nil removes it. It returns once the
// store has accepted the row.
func (s *store) write(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value == nil {
		s.apply(nil, []row{{Table: table, Key: key}})
		return
	}
	text, err := json.Marshal(value)
	must(err)
	s.apply([]row{{Table: table, Key: key, Value: text}}, nil)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.silent.Load() {
		<-r.Context().Done()
		return
	}
	time.Sleep(3 * time.Millisecond)
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer answers a call; the store must be locked.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, truncated bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": truncated, "row_version": s.version, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, one := range s.rows {
		if one.Table == q.Get("table") && one.Part == q.Get("part") && one.Key >= q.Get("from") && (q.Get("to") == "" || one.Key < q.Get("to")) {
			rows = append(rows, one)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	most := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < most {
		most = n
	}
	s.answer(w, http.StatusOK, rows[:min(most, len(rows))], len(rows) > most)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for over := wait == 0; ; {
		s.mu.Lock()
		var rows []row
		for _, one := range s.log {
			if one.Table == q.Get("table") && one.Version > after {
				rows = append(rows, one)
			}
		}
		if len(rows) > 0 || over {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Put, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []row{}
	for _, want := range tx.Expected {
		have, ok := s.rows[rowName(want)]
		if !ok {
			have = row{Table: want.Table, Part: want.Part, Key: want.Key}
		}
		current = append(current, have)
		failed = failed || have.Version != want.Version
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.apply(tx.Put, tx.Remove)
	s.answer(w, http.StatusOK, nil, false)
}
