//go:build review

// Command stand-2 plays the script cases of the second review: it starts target/jay-gateway as
// separate processes on loopback addresses, with stand-ins for the platform's store, runners and
// clients, and exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

// bounds are the bounds of a small deployment (aeat-flota).
var bounds = []string{
	"seed_lag_s=3", "reuse_after_s=2", "contact_ms=3000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2000", "grace_s=8",
	"loss_slack_ms=200", "config_ms=2000", "downgrade_slack_ms=250", "max_skew_ms=5000", "fail_closed=false", "revoke_ms=5000",
	"retry_budget_ratio=0.2", "budget_window_s=10", "budget_slack=52", "recover_s=12", "transit_ms=120", "reuse_window_s=10",
	"fencing_enforced=true", "lease_ms=3000", "thaw_slack_ms=300", "version_ms=10000", "version_all_ms=14000",
}

const (
	configBound  = 2 * time.Second
	contactBound = 3 * time.Second
	heartbeat    = 1200 * time.Millisecond
)

// must ends the program with noRun if the case can't run.
func must(err error) {
	if err != nil {
		stopAll()
		fmt.Fprintln(os.Stderr, "can't run:", err)
		os.Exit(noRun)
	}
}

// record is the file record.txt of a case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	must(err)
	return &record{file: file, started: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

var (
	processesMu sync.Mutex
	processes   []*exec.Cmd
)

// start starts a process that stopAll ends.
func start(command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(command.Start())
	processesMu.Lock()
	defer processesMu.Unlock()
	processes = append(processes, command)
}

// stopAll ends the processes that this program started.
func stopAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		_ = p.Process.Kill()
	}
	for _, p := range processes {
		_ = p.Wait()
	}
	processes = nil
}

// gateway is one entry process.
type gateway struct {
	name, ip, front, ready, control, file string
	log                                   *os.File
	process                               *exec.Cmd
}

// newGateway prepares an entry with a loopback address of its own and free ports. It names
// itself in the settings as the platform does.
func newGateway(dir string, n int, s *store, bootstrap bool) *gateway {
	pid := os.Getpid()
	g := &gateway{name: fmt.Sprint("front-a-", n), ip: fmt.Sprintf("127.%d.%d.%d", 16+pid>>8%100, pid&0xff, n)}
	var listeners []net.Listener
	for range 4 {
		l, err := net.Listen("tcp", g.ip+":0")
		must(err)
		listeners = append(listeners, l)
	}
	g.front, g.ready, g.control = listeners[0].Addr().String(), listeners[1].Addr().String(), listeners[2].Addr().String()
	_, port, _ := net.SplitHostPort(listeners[3].Addr().String())
	for _, l := range listeners {
		_ = l.Close()
	}
	g.file = filepath.Join(dir, g.name+".conf")
	lines := []string{
		"node_name=" + g.name, "role=entry", "machine_class=front", "serves=front,control_plane", "ip=" + g.ip,
		"zone=zone-a", "region=region-a", "zones.zone-a=region-a", "listen.front=" + g.front, "listen.ready_addr=" + g.ready,
		"listen.control=" + g.control, "port_range=" + port + "," + port, "seeds=" + g.control, "bootstrap=" + strconv.FormatBool(bootstrap),
		"limits.cpu_share=0.304", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform",
		"provider.address=" + s.address, "provider.form=table", "provider.writes_per_s=400", "provider.reads_per_s=2000", "provider.tx_ms=3.0",
		"provider.part_writes_s=300", "provider.row_bytes=65536", "provider.across=true", "provider.history_s=20",
	}
	for _, b := range bounds {
		lines = append(lines, "bounds."+b)
	}
	must(os.WriteFile(g.file, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	var err error
	g.log, err = os.Create(filepath.Join(dir, g.name+".log"))
	must(err)
	return g
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() {
	g.process = exec.Command("target/jay-gateway")
	g.process.Env = append(os.Environ(), "JAYPROXY_CONFIG="+g.file)
	g.process.Stdout, g.process.Stderr = g.log, g.log
	start(g.process)
}

// awaitReady waits until the entry says that it is ready.
func (g *gateway) awaitReady(timeout time.Duration) {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + g.ready + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
	must(fmt.Errorf("%s is not ready after %v", g.name, timeout))
}

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   string
	// whole: the answer ended as a complete one.
	whole bool
	err   error
}

// send sends a request on a new connection, as a client of the platform does.
func send(front, method, host, path string, header map[string]string, body string) reply {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	request, err := http.NewRequest(method, "http://"+host+path, strings.NewReader(body))
	must(err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if err := request.Write(conn); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), whole: err == nil, err: err}
}

// limits are those of a configuration.
func limits(headerBytes int) map[string]any {
	return map[string]any{"max_header_bytes": headerBytes, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		serveRunner(os.Args[2:])
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(noRun)
	}
	cases := map[string]func(dir string, r *record) int{"restarted": restartedRunner, "headers": headerLimit, "isolated": isolatedTenant, "leaving": leavingRunner}
	play := cases[os.Args[1]]
	if play == nil {
		must(fmt.Errorf("no case %q", os.Args[1]))
	}
	r := newRecord(os.Args[2])
	dir, err := os.MkdirTemp("", "stand-2-")
	must(err)
	code := play(dir, r)
	stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	r.line("exit code %d", code)
	os.Exit(code)
}
