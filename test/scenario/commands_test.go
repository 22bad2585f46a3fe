package scenario_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jayproxy/jayproxy/internal/platform"
)

// command does something in a world; its error fails the script.
type command func(w *world, args []string) error

// commands of the scripts:
//
//	site entries=N engines=N portals=N vendor=V [engine:--flag=v] [portal:--flag=v]
//	start NAME [BINARY ARGS...]     starts a process, again as it was without a binary
//	hold ENTRY                      holds the callers' socket of an entry that does not run, from its next start on
//	sigkill|freeze|thaw|term NAME   SIGKILL, SIGSTOP, SIGCONT, SIGTERM
//	exited NAME                     waits for a clean end
//	fault NAME PATH?QUERY           switches a fault of a stand-in
//	vm NAME STATE                   changes the platform's list of VMs
//	cutlink|heallink AGENT          the entries' link to an agent
//	call ID ENTRY chat PROMPT [tokens=N] [plain]
//	call ID ENTRY METHOD PATH [key=K] [body=B]
//	resume ID ENTRY OF              continues the stream of another call, as its caller
//	progress ID N                   waits for so many events
//	expect ID WORD [CODE]           whole, done, error, not_run, unknown or broken
//	retry ID ENTRY ...              calls until the answer is whole; until then only refusals
//	runs NAME KEY N                 how often stand-ins ran a key; NAME may end in *, KEY * counts all
//	watch NAME / quiet NAME SINCE D no run began at an engine later than D after a marked moment
//	considered ENTRY SERVER         waits until an entry's latest decision has the server as a candidate
//	busy NAME                       waits until a further run begins at a stand-in
//	mark MOMENT                     names this moment
//	since MOMENT D                  no more than a time has passed since a marked moment
//	logged NAME TEXT                waits until a process logs a text
//	ready ENTRY D                   the entry is ready within a time
//	freezeserving                   freezes the agent of the one engine that has work; thawserving
//	eventually COMMAND ARGS...      waits until a command succeeds
//	load ID / endload ID            callers behind a balancer; no request may fail
//	loadmore ID N                   waits until a load has sent N more requests
//	jayctl ARGS...                  as operator
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]command{
		"site":     (*world).cmdSite,
		"start":    (*world).cmdStart,
		"hold":     (*world).cmdHold,
		"sigkill":  withProcess((*process).kill),
		"freeze":   withProcess(func(p *process) error { return p.signal(syscall.SIGSTOP) }),
		"thaw":     withProcess(func(p *process) error { return p.signal(syscall.SIGCONT) }),
		"term":     withProcess(func(p *process) error { return p.signal(syscall.SIGTERM) }),
		"exited":   withProcess((*process).exited),
		"fault":    (*world).cmdFault,
		"vm":       (*world).cmdVM,
		"cutlink":  func(w *world, args []string) error { return w.setLink(args, true) },
		"heallink": func(w *world, args []string) error { return w.setLink(args, false) },
		"call":     (*world).cmdCall,
		"openai":   (*world).cmdOpenAI,
		"resume":   (*world).cmdResume,
		"progress": (*world).cmdProgress,
		"expect":   (*world).cmdExpect,
		"retry":    (*world).cmdRetry,
		"runs":     (*world).cmdRuns,
		"watch":    (*world).cmdWatch,
		"quiet":    (*world).cmdQuiet,
		"busy":     (*world).cmdBusy,

		"considered": (*world).cmdConsidered,
		"mark":       (*world).cmdMark,
		"since":      (*world).cmdSince,
		"logged":     (*world).cmdLogged,
		"ready":      (*world).cmdReady,
		"loadmore":   (*world).cmdLoadMore,
		"load":       (*world).cmdLoad,
		"endload":    (*world).cmdEndLoad,
		"jayctl":     (*world).cmdCtl,

		"freezeserving": (*world).cmdFreezeServing,
		"thawserving":   (*world).cmdThawServing,
	}
	bound := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range all {
		bound[name] = func(ts *testscript.TestScript, neg bool, args []string) { bind(ts, neg, name, run, args) }
	}
	bound["eventually"] = func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) == 0 || all[args[0]] == nil {
			ts.Fatalf("usage: eventually COMMAND ARGS...")
		}
		run := all[args[0]]
		bind(ts, false, "eventually "+args[0], func(w *world, args []string) error {
			return poll(func() error { return run(w, args) })
		}, args[1:])
	}
	return bound
}

func bind(ts *testscript.TestScript, neg bool, name string, run command, args []string) {
	w := ts.Value(worldKey{}).(*world)
	err := run(w, args)
	switch {
	case neg && err == nil:
		ts.Fatalf("%s succeeded, which it must not", name)
	case !neg && err != nil:
		ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
	}
}

// need checks the number of arguments.
func need(args []string, n int) error {
	if len(args) < n {
		return final{fmt.Errorf("%d arguments are needed", n)}
	}
	return nil
}

func withProcess(do func(*process) error) command {
	return func(w *world, args []string) error {
		if err := need(args, 1); err != nil {
			return err
		}
		p, ok := w.processes[args[0]]
		if !ok {
			return final{fmt.Errorf("no process %s", args[0])}
		}
		return do(p)
	}
}

func (w *world) cmdSite(args []string) error {
	s := size{entries: 1, engines: 1, vendor: "merle"}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		n, _ := strconv.Atoi(value)
		switch {
		case name == "entries":
			s.entries = n
		case name == "engines":
			s.engines = n
		case name == "portals":
			s.portals = n
		case name == "vendor":
			s.vendor = value
		case strings.HasPrefix(arg, "engine:"):
			s.engineArgs = append(s.engineArgs, strings.TrimPrefix(arg, "engine:"))
		case strings.HasPrefix(arg, "portal:"):
			s.portalArgs = append(s.portalArgs, strings.TrimPrefix(arg, "portal:"))
		default:
			return fmt.Errorf("unknown argument %s", arg)
		}
	}
	return w.build(s)
}

func (w *world) cmdStart(args []string) error {
	if err := need(args, 1); err != nil {
		return err
	}
	if len(args) > 1 {
		_, err := w.run(args[0], args[1], args[2:]...)
		return err
	}
	return withProcess((*process).start)(w, args)
}

func (w *world) cmdFault(args []string) error {
	if err := need(args, 2); err != nil {
		return err
	}
	p, ok := w.processes[args[0]]
	if !ok {
		return fmt.Errorf("no process %s", args[0])
	}
	return post(p.url+"/faults"+args[1], "")
}

func (w *world) cmdVM(args []string) error {
	if err := need(args, 2); err != nil {
		return err
	}
	vm := platform.VM{Name: args[0], State: platform.VMState(args[1]), Role: "backend"}
	if at, ok := w.addresses[args[0]]; ok {
		vm.Role, vm.Address = "entry", at.quic
	} else if l, ok := w.links[args[0]]; ok {
		vm.Address = l.address()
	}
	return w.setVM(vm)
}

func (w *world) setLink(args []string, cut bool) error {
	if err := need(args, 1); err != nil {
		return err
	}
	l, ok := w.links[args[0]]
	if !ok {
		return fmt.Errorf("no link to %s", args[0])
	}
	l.cut.Store(cut)
	return nil
}

func (w *world) cmdRuns(args []string) error {
	if err := need(args, 3); err != nil {
		return err
	}
	got, err := w.runsOf(args[0], args[1])
	if err != nil {
		return err
	}
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	if got != want {
		return fmt.Errorf("%d runs, want %d", got, want)
	}
	return nil
}

// runsOf sums the runs of a key over the stand-ins of a name.
func (w *world) runsOf(name, key string) (int, error) {
	sum, found := 0, false
	for _, p := range w.processes {
		if ok, _ := path.Match(name, p.name); !ok || p.url == "" {
			continue
		}
		found = true
		counts, err := runsAt(p.url)
		if err != nil {
			return 0, err
		}
		for counted, n := range counts {
			if key == "*" || key == counted {
				sum += n
			}
		}
	}
	if !found {
		return 0, final{fmt.Errorf("no stand-in %s", name)}
	}
	return sum, nil
}

func runsAt(url string) (map[string]int, error) {
	response, err := http.Get(url + "/runs")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var counts map[string]int
	return counts, json.NewDecoder(response.Body).Decode(&counts)
}

func (w *world) cmdLoad(args []string) error {
	if err := need(args, 1); err != nil {
		return err
	}
	w.loads[args[0]] = w.startLoad()
	return nil
}

// cmdEndLoad wants that requests were sent and that none failed.
func (w *world) cmdEndLoad(args []string) error {
	if err := need(args, 1); err != nil {
		return err
	}
	l, ok := w.loads[args[0]]
	if !ok {
		return fmt.Errorf("no load %s", args[0])
	}
	l.end()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.faults) > 0 || l.sent.Load() == 0 {
		return fmt.Errorf("%d of %d requests failed, the first: %s", len(l.faults), l.sent.Load(), strings.Join(l.faults[:min(3, len(l.faults))], "; "))
	}
	return nil
}

func (w *world) cmdCtl(args []string) error {
	out, err := w.ctl(args...)
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// ctl runs jayctl as operator against all entries.
// cmdHold opens the callers' socket of an entry and keeps it open to the end.
func (w *world) cmdHold(args []string) error {
	if err := need(args, 1); err != nil {
		return err
	}
	p, ok := w.processes[args[0]]
	if !ok || p.alive() {
		return final{fmt.Errorf("%s is not a stopped process", args[0])}
	}
	listener, err := net.Listen("tcp", w.addresses[args[0]].callers)
	if err != nil {
		return err
	}
	w.env.Defer(func() { _ = listener.Close() })
	p.socket, err = listener.(*net.TCPListener).File()
	return err
}

func (w *world) ctl(args ...string) ([]byte, error) {
	for _, name := range w.entryNames() {
		args = append(args, "--entry", w.addresses[name].operators)
	}
	args = append(args, "--keys", w.keysDir("operator"))
	return exec.Command(filepath.Join(binaries, "jayctl"), args...).CombinedOutput()
}

func post(url, body string) error {
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("%s: status %d: %s", url, response.StatusCode, text)
	}
	return nil
}
