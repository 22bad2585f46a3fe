//go:build review

// Command stand plays the cases of the review: it starts gateways as the deploy file does,
// and stands in for their platform, runners and clients. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jayproxy/jayproxy/platform/standin"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases are the cases by their names.
var cases = map[string]func(*site) (int, error){
	"late-extra": lateExtra,
	"stop":       stopInOutage,
	"memory":     largeBodies,
}

// Gateways are to end with this process, that is with the thread that started them.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(unable)
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.close()
		os.Exit(unable)
	}()
	code, err := cases[os.Args[1]](s)
	if err != nil {
		s.record("could not run: %v", err)
		code = unable
	}
	s.record("exit code %d", code)
	s.close()
	os.Exit(code)
}

// site is one small deployment.
type site struct {
	started time.Time
	// trouble is false for the run without the disruption.
	trouble bool
	folder  string
	temp    string
	store   *standin.Store
	// endpoint is the address of the store for the gateways.
	endpoint *standin.Endpoint
	gateways []*gateway

	mu   sync.Mutex
	file *os.File
}

func newSite(folder string) (*site, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", folder: folder, temp: temp, store: standin.NewStore(), file: file}
	s.endpoint = s.store.NewEndpoint()
	s.record("disruption: %v", s.trouble)
	return s, nil
}

// record writes a line to record.txt.
func (s *site) record(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.file, "%8.3f s  "+format+"\n", append([]any{time.Since(s.started).Seconds()}, values...)...)
}

// close ends all processes that the case started.
func (s *site) close() {
	for _, g := range s.gateways {
		g.kill()
	}
	s.endpoint.Close()
	_ = os.RemoveAll(s.temp)
	_ = s.file.Close()
}

// gateway is one process of the deploy file's role.
type gateway struct {
	site                    *site
	name, ip                string
	callers, ready, control string
	settings                string
	command                 *exec.Cmd
	done                    chan struct{}
}

// newGateway writes the settings of a gateway.
func (s *site) newGateway(seeds ...string) (*gateway, error) {
	n := len(s.gateways) + 1
	pid := os.Getpid()
	g := &gateway{site: s, name: fmt.Sprintf("front-%d", n), ip: fmt.Sprintf("127.%d.%d.%d", 16+pid>>8%112, pid&0xff, 10+n)}
	ports, err := freePorts(g.ip, 3)
	if err != nil {
		return nil, err
	}
	g.callers, g.ready, g.control = ports[0], ports[1], ports[2]
	g.settings = filepath.Join(s.temp, g.name+".conf")
	text := strings.Join([]string{
		"node_name=" + g.name, "role=entry", "machine_class=front", "serves=front,control_plane", "ip=" + g.ip, "zone=hall-a", "region=r", "zones.hall-a=r",
		"listen.front=" + g.callers, "listen.ready_addr=" + g.ready, "listen.control=" + g.control, "port_range=17340,17355",
		"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "limits.cpu_share=0.304", "limits.cores=1", fmt.Sprintf("limits.memory_mb=%d", memoryMB), "limits.max_fds=4100",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000",
		"bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_ms=2000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10",
		"bounds.budget_slack=56", "bounds.fencing_enforced=true", "bounds.lease_ms=3000", "bounds.thaw_slack_ms=300", "bounds.version_ms=10000", "bounds.version_all_ms=14000",
		"provider.address=" + s.endpoint.Address(), "provider.form=table", "provider.writes_per_s=400", "provider.reads_per_s=2000", "",
	}, "\n")
	s.gateways = append(s.gateways, g)
	return g, os.WriteFile(g.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	out, err := os.Create(filepath.Join(g.site.temp, g.name+".log"))
	if err != nil {
		return err
	}
	g.command = exec.Command("target/jay-gateway")
	g.command.Env = append(os.Environ(), "JAYPROXY_CONFIG="+g.settings)
	g.command.Stdout, g.command.Stderr = out, out
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	g.done = make(chan struct{})
	command, done := g.command, g.done
	go func() { _ = command.Wait(); _ = out.Close(); close(done) }()
	g.site.record("%s starts, pid %d", g.name, command.Process.Pid)
	return nil
}

func (g *gateway) kill() {
	if g.command == nil {
		return
	}
	_ = g.command.Process.Kill()
	<-g.done
	g.keepLog()
}

// keepLog copies the process's log beside record.txt if REVIEW_LOGS is set.
func (g *gateway) keepLog() {
	if folder := os.Getenv("REVIEW_LOGS"); folder != "" {
		text, _ := os.ReadFile(filepath.Join(g.site.temp, g.name+".log"))
		_ = os.WriteFile(filepath.Join(folder, g.name+".log"), text, 0o600)
	}
}

// awaitReady waits until the process reports that it is ready.
func (g *gateway) awaitReady() error {
	for range 500 {
		if readyStatus(g.ready) == 200 {
			g.site.record("%s is ready", g.name)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready within 10 s", g.name)
}
