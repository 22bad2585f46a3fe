//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	model    = "m"
	loadTime = 760 * time.Millisecond
	// heartbeat is the time between two writes of a runner's row.
	heartbeat = 1200 * time.Millisecond
	// reportLag is the age of what a runner reports.
	reportLag = 200 * time.Millisecond
)

// run is one run of a request.
type run struct {
	runner, id string
	at         time.Time
	version    uint64
}

// runner is a model runner, or a server of a plain service where model is false.
type runner struct {
	site        *site
	id, service string
	model       bool
	// work is how long a plain request runs; pieces of a stream come each pieceTime.
	work, pieceTime time.Duration
	pieces          int
	listener        net.Listener

	mu      sync.Mutex
	version uint64
	loading bool
	fence   uint64
	orders  uint64
	seq     int
	runs    []run
	running int
	// history are the states of the last second, for reports.
	history []state
	// orderedBy sent the last order, to load the version ordered.
	orderedBy string
	ordered   uint64
	// extra decides whether an answer of the given status is sent once more, at the point
	// where the next response on its connection is expected.
	extra func(status int) bool
	// late decides whether an order gets no answer and is carried out later.
	late func() (bool, time.Duration)
}

type state struct {
	at      time.Time
	version uint64
	loading bool
	orders  uint64
	running int
}

func (s *site) newRunner(id, service string, isModel bool) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{site: s, id: id, service: service, model: isModel, listener: listener, version: 1, pieces: 5, pieceTime: 5 * time.Millisecond, work: 60 * time.Millisecond}
	go r.accept()
	go func() {
		for {
			r.register()
			time.Sleep(heartbeat)
		}
	}()
	go func() {
		for {
			r.mu.Lock()
			r.history = append(r.history, state{time.Now(), r.version, r.loading, r.orders, r.running})
			r.history = r.history[max(0, len(r.history)-50):]
			r.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return r, nil
}

func (r *runner) register() {
	r.mu.Lock()
	r.seq++
	row := map[string]any{
		"backend": r.service, "address": r.listener.Addr().String(), "zone": "hall-a", "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0, "seq": r.seq,
	}
	if r.model {
		row["phase"], row["models"] = "unified", r.models(r.version)
	}
	r.mu.Unlock()
	r.site.store.Put("servers", r.id, row)
}

func (r *runner) models(version uint64) []any {
	return []any{map[string]any{"name": model, "version": version, "adapters": []string{}}}
}

func (r *runner) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// serve serves the requests of one connection, one at a time.
func (r *runner) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	pending := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if pending != "" {
			r.site.record("%s sends the extra answer, late, where that to %s is expected", r.id, request.Header.Get("Request-Id"))
			_, _ = io.WriteString(conn, pending)
			pending = ""
		}
		status, head, text, keep := r.handle(conn, request, body)
		if status == 0 {
			return
		}
		if status == streamed {
			if r.extra != nil {
				r.extra(http.StatusOK)
			}
			continue
		}
		reply := format(status, head, text)
		if _, err := io.WriteString(conn, reply); err != nil || !keep {
			return
		}
		if r.extra != nil && r.extra(status) {
			pending = reply
		}
	}
}

func format(status int, head map[string]string, text string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(text))
	for name, value := range head {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n" + text)
	return b.String()
}

// handle carries out one request. Status 0: the connection ends.
func (r *runner) handle(conn net.Conn, request *http.Request, body []byte) (status int, head map[string]string, text string, keep bool) {
	id := request.Header.Get("Request-Id")
	head = map[string]string{"Keep-Alive": "timeout=5"}
	if id != "" {
		head["Request-Id"] = id
	}
	if want := request.Header.Get("Target-Instance"); want != "" && want != r.id {
		head["Instance-Id"], head["Not-Executed"] = r.id, "1"
		return 421, head, "", true
	}
	switch request.URL.Path {
	case "/report":
		return 200, map[string]string{"Content-Type": "application/json"}, r.report(), true
	case "/order":
		if r.late != nil {
			if late, after := r.late(); late {
				r.site.record("%s leaves an order unanswered, to be carried out %v later", r.id, after)
				time.AfterFunc(after, func() { r.site.record("%s: the late order is answered %d", r.id, r.order(body)) })
				_, _ = io.Copy(io.Discard, conn) // Until the caller leaves.
				return 0, nil, "", false
			}
		}
		return r.order(body), head, "", true
	case "/health":
		head["Instance-Id"] = r.id
		return 200, head, "", true
	}
	r.mu.Lock()
	version := r.version
	expect, _ := strconv.ParseUint(request.Header.Get("Expect-Version"), 10, 64)
	switch {
	case r.model && r.loading:
		r.mu.Unlock()
		head["Not-Executed"] = "1"
		return 503, head, "", true
	case r.model && expect != 0 && expect != version:
		r.mu.Unlock()
		r.site.record("%s answers 421 to %s: it has version %d, expected is %d", r.id, id, version, expect)
		head["Not-Executed"], head["Instance-Id"] = "1", r.id
		return 421, head, "", true
	}
	r.running++
	head["Server-Load"] = fmt.Sprintf("%d,0,64", r.running)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	head["Server-Seal"] = "seal." + r.id + "." + id
	if !r.model {
		r.begin(id, version)
		time.Sleep(r.work + time.Duration(hash(int64(len(id)+int(id[len(id)-1])))%uint64(4*r.work)))
		return 200, head, "answer of " + r.id + " to " + id, true
	}
	head["Weight-Versions"] = strconv.FormatUint(version, 10)
	return r.stream(conn, head, version)
}

// begin records that a request begins to run.
func (r *runner) begin(id string, version uint64) {
	r.mu.Lock()
	r.runs = append(r.runs, run{r.id, id, time.Now(), version})
	r.mu.Unlock()
	r.site.record("%s runs %s", r.id, id)
}

// isOpen reports whether the caller has not closed the connection.
func isOpen(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	_ = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = n > 0 || errors.Is(err, syscall.EAGAIN)
		return true
	})
	return open
}

// streamed is the status of an answer that was sent already.
const streamed = -1

// stream sends the events of a run in chunks. The run begins with its first token; a request
// whose caller has left by then is dropped.
func (r *runner) stream(conn net.Conn, head map[string]string, version uint64) (status int, _ map[string]string, text string, keep bool) {
	time.Sleep(r.pieceTime)
	if !isOpen(conn) {
		r.site.record("%s drops %s: its caller has left", r.id, head["Request-Id"])
		return 0, nil, "", false
	}
	r.begin(head["Request-Id"], version)
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	for name, value := range head {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if _, err := io.WriteString(conn, b.String()+"\r\n"); err != nil {
		return 0, nil, "", false
	}
	for i := 1; i <= r.pieces; i++ {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return 0, nil, "", false
		}
		time.Sleep(r.pieceTime)
	}
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		return 0, nil, "", false
	}
	return streamed, nil, "", true
}

// report is the runner's state as of some time ago.
func (r *runner) report() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := state{time.Now(), r.version, r.loading, r.orders, r.running}
	for _, old := range r.history {
		if time.Since(old.at) >= reportLag {
			s = old
		}
	}
	text, _ := json.Marshal(map[string]any{
		"phase": "unified", "models": r.models(s.version), "busy": s.loading, "seq": s.orders, "queued": 0, "running": s.running, "kv_used": 0, "kv_total": 200000, "handles": 0, "state": "ready",
	})
	return string(text)
}

// order takes an order to load weights. It returns the status of the answer.
func (r *runner) order(body []byte) int {
	var order struct {
		Version  uint64  `json:"version"`
		Holder   string  `json:"holder"`
		Fence    uint64  `json:"fencing_token"`
		Expected *uint64 `json:"expected"`
	}
	if err := json.Unmarshal(body, &order); err != nil || order.Holder == "" || order.Fence == 0 {
		return 400
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case order.Fence < r.fence:
		return 412
	case r.loading, order.Expected != nil && *order.Expected != r.orders:
		return 409
	case order.Version <= r.version:
		return 200
	}
	r.fence, r.orderedBy, r.ordered = order.Fence, order.Holder, order.Version
	r.orders++
	r.loading = true
	r.site.record("%s carries out the order of %s, fence %d: version %d", r.id, order.Holder, order.Fence, order.Version)
	time.AfterFunc(loadTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.version, r.loading = order.Version, false
		r.site.record("%s has version %d", r.id, order.Version)
	})
	return 202
}
