//go:build review

package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// answerOf is the whole body of a plain runner's answer.
func answerOf(id string) string {
	return "booked " + id + " " + strings.Repeat(".", 760) + " end of " + id
}

// downtime is how long after its end a runner begins its next lifetime.
const downtime = time.Second

// halfPause is the time between the two writes of an answer's body.
const halfPause = 60 * time.Millisecond

// serveRunner is the process of one lifetime of a plain runner. It serves the listening socket
// that it inherits, and writes a line for each request that it runs.
func serveRunner(args []string) {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	id := flags.String("id", "", "")
	_ = flags.Parse(args)
	listener, err := net.FileListener(os.NewFile(3, "listener"))
	must(err)
	var out sync.Mutex
	say := func(text string) { out.Lock(); defer out.Unlock(); fmt.Println(text) }
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveConn(conn, *id, say)
	}
}

func serveConn(conn net.Conn, id string, say func(string)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		requestID := request.Header.Get("Request-Id")
		switch {
		case request.Header.Get("Target-Instance") != "" && request.Header.Get("Target-Instance") != id:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id, requestID)
		case request.URL.Path == "/health":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n", id)
		case requestID == "":
			fmt.Fprint(conn, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		default:
			say("runs " + requestID)
			time.Sleep(60 * time.Millisecond)
			body := answerOf(requestID)
			// The answer has no length and ends with its connection.
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal-%s\r\nServer-Load: 1,0,6\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", requestID, requestID, body[:len(body)/2])
			say("half " + requestID)
			time.Sleep(halfPause)
			fmt.Fprint(conn, body[len(body)/2:])
			say("whole " + requestID)
			return
		}
	}
}

// plainRunner keeps a listening socket, and the process of the current lifetime behind it.
type plainRunner struct {
	id       string
	store    *store
	listener *net.TCPListener
	record   *record

	mu      sync.Mutex
	process *exec.Cmd
	born    int64
	seq     int
	ran     map[string]int
	whole   map[string]bool
	// killAt is the request in the middle of whose answer the process is killed.
	killAt string
}

func newPlainRunner(s *store, r *record, id string) *plainRunner {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &plainRunner{id: id, store: s, listener: listener.(*net.TCPListener), record: r, ran: map[string]int{}, whole: map[string]bool{}}
	p.begin()
	go func() {
		for range time.Tick(heartbeat) {
			p.mu.Lock()
			p.beat()
			p.mu.Unlock()
		}
	}()
	return p
}

// beat writes the runner's entry; p must be locked.
func (p *plainRunner) beat() {
	p.seq++
	p.store.write("servers", p.id, map[string]any{
		"backend": "portal", "address": p.listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "models": []any{}, "seq": p.seq, "born": p.born,
	})
}

// begin begins a lifetime under the id that the runner had.
func (p *plainRunner) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	file, err := p.listener.File()
	must(err)
	defer file.Close()
	self, err := os.Executable()
	must(err)
	p.process = exec.Command(self, "runner", "-id", p.id)
	p.process.ExtraFiles = []*os.File{file}
	p.process.Stderr = os.Stderr
	out, err := p.process.StdoutPipe()
	must(err)
	start(p.process)
	p.born, p.seq = time.Now().UnixMilli(), 0
	p.beat()
	p.record.line("runner %s begins a lifetime, born %d, process %d", p.id, p.born, p.process.Process.Pid)
	go p.follow(p.process, out)
}

// follow reads what a lifetime says, kills it where the case asks for that, and begins the next.
func (p *plainRunner) follow(process *exec.Cmd, out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		what, id, _ := strings.Cut(lines.Text(), " ")
		p.mu.Lock()
		kill := false
		switch what {
		case "runs":
			p.ran[id]++
			p.record.line("runner %s runs %s", p.id, id)
		case "half":
			kill = id == p.killAt
		case "whole":
			p.whole[id] = true
		}
		p.mu.Unlock()
		if kill {
			_ = process.Process.Kill()
			p.record.line("runner %s is killed (SIGKILL) in the middle of its answer to %s, and starts again %v later", p.id, id, downtime)
			time.Sleep(downtime)
			p.begin()
			return
		}
	}
}

// restartedRunner: a plain runner crashes in the middle of an answer without a length, and starts
// again under its id. The client must not take the part for the whole answer.
func restartedRunner(dir string, r *record) int {
	s := newStore()
	s.write("op", "config", map[string]any{
		"version": 3, "limits": limits(16384), "tenants": []any{map[string]any{"name": "tenant-a", "api_keys": []string{"key-a"}, "isolated": false}},
		"routes": []any{map[string]any{
			"name": "r-book", "hostname": "book.example", "path_prefix": "/book/", "route_type": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 300, "priority": 2, "backend": "portal", "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "portal", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}},
	})
	one, two := newPlainRunner(s, r, "i-one"), newPlainRunner(s, r, "i-two")
	g := newGateway(dir, 1, s, true)
	g.start()
	g.awaitReady(10 * time.Second)
	time.Sleep(2 * time.Second)
	const requests = 20
	parts, wholes := 0, 0
	for n := range requests {
		id := fmt.Sprintf("%016x", 0xb00c0000+n)
		crash := trouble() && n%2 == 1
		for _, p := range []*plainRunner{one, two} {
			p.mu.Lock()
			if p.killAt = ""; crash {
				p.killAt = id
			}
			p.mu.Unlock()
		}
		got := send(g.front, http.MethodPost, "book.example", "/book/crane", map[string]string{
			"Request-Id": id, "Deadline-Ms": "3000", "Authorization": "Token key-a",
		}, "one cone crusher")
		isWhole := got.body == answerOf(id)
		r.line("client: %s is answered %d, seal %q, %d of %d bytes, ends as a complete answer: %v (%v)", id, got.status, got.header.Get("Server-Seal"), len(got.body), len(answerOf(id)), got.whole, got.err)
		switch {
		case got.status == http.StatusOK && got.whole && !isWhole:
			parts++
			r.line("MIXED: the client takes a part of the answer to %s for the whole", id)
		case got.status == http.StatusOK && got.whole:
			wholes++
		}
		time.Sleep(1500 * time.Millisecond)
	}
	r.line("%d requests: %d whole answers, %d parts that look whole", requests, wholes, parts)
	if parts > 0 {
		return broken
	}
	if wholes < requests/2 {
		must(fmt.Errorf("only %d of %d answers were whole", wholes, requests))
	}
	return held
}
