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

// command implements a script command; an error fails the script.
type command func(w *scenario, args []string) error

// commands returns the commands of the scripts:
//
//	site entries=N engines=N portals=N vendor=V [engine:--flag=v] [portal:--flag=v]
//	                                starts the platform, entries, and engines and services (portals) with their agents
//	start NAME [BINARY ARGS...]     starts a process; without a binary, restarts it with its previous arguments
//	hold ENTRY                      opens the callers' socket of a stopped entry and passes it to the entry at each start
//	sigkill|freeze|thaw|term NAME   SIGKILL, SIGSTOP, SIGCONT, SIGTERM
//	exited NAME                     waits until the process has exited with status 0
//	fault NAME PATH?QUERY           sets a fault of a stand-in
//	vm NAME STATE                   changes the platform's list of VMs
//	cutlink|heallink AGENT          drops all datagrams between the entries and an agent, or passes them again
//	call ID ENTRY chat PROMPT [tokens=N] [plain]
//	                                sends a model request in the background; plain: not streamed
//	call ID ENTRY METHOD PATH [key=K] [body=B]
//	                                sends a request to the service in the background
//	resume ID ENTRY OF              resumes the stream of the call OF as a new call
//	progress ID N                   waits until N events have been received
//	expect ID OUTCOME|... [CODE]    waits for the end and checks the outcome: whole, done, error, not_run, unknown or broken
//	retry ID ENTRY ...              repeats a call until the answer is complete; until then only refusals are allowed
//	runs NAME KEY N                 checks how often stand-ins ran a key; NAME is a pattern, KEY * counts all
//	watch NAME / quiet NAME SINCE D checks that no run began at an engine later than D after a mark
//	considered ENTRY SERVER         waits until an entry's latest decision has the server as a candidate
//	busy NAME                       waits until another run begins at a stand-in
//	mark MOMENT                     stores the current time under a name
//	since MOMENT D                  checks that at most D has passed since a mark
//	logged NAME TEXT                waits until the log of a process contains a text
//	ready ENTRY D                   checks that the entry becomes ready within D
//	freezeserving / thawserving     freezes (thaws) the agent of the only engine that has run a request
//	eventually COMMAND ARGS...      repeats a command until it succeeds
//	load ID / endload ID            runs callers behind a load balancer; no request may fail
//	loadmore ID N                   waits until a load has sent N more requests
//	openai ENTRY PROMPT             calls the entry through the OpenAI client library
//	jayctl ARGS...                  runs jayctl as operator
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]command{
		"site":     (*scenario).cmdSite,
		"start":    (*scenario).cmdStart,
		"hold":     (*scenario).cmdHold,
		"sigkill":  withProcess((*process).kill),
		"freeze":   withProcess(func(p *process) error { return p.signal(syscall.SIGSTOP) }),
		"thaw":     withProcess(func(p *process) error { return p.signal(syscall.SIGCONT) }),
		"term":     withProcess(func(p *process) error { return p.signal(syscall.SIGTERM) }),
		"exited":   withProcess((*process).exited),
		"fault":    (*scenario).cmdFault,
		"vm":       (*scenario).cmdVM,
		"cutlink":  func(w *scenario, args []string) error { return w.setLink(args, true) },
		"heallink": func(w *scenario, args []string) error { return w.setLink(args, false) },
		"call":     (*scenario).cmdCall,
		"openai":   (*scenario).cmdOpenAI,
		"resume":   (*scenario).cmdResume,
		"progress": (*scenario).cmdProgress,
		"expect":   (*scenario).cmdExpect,
		"retry":    (*scenario).cmdRetry,
		"runs":     (*scenario).cmdRuns,
		"watch":    (*scenario).cmdWatch,
		"quiet":    (*scenario).cmdQuiet,
		"busy":     (*scenario).cmdBusy,

		"considered": (*scenario).cmdConsidered,
		"mark":       (*scenario).cmdMark,
		"since":      (*scenario).cmdSince,
		"logged":     (*scenario).cmdLogged,
		"ready":      (*scenario).cmdReady,
		"loadmore":   (*scenario).cmdLoadMore,
		"load":       (*scenario).cmdLoad,
		"endload":    (*scenario).cmdEndLoad,
		"jayctl":     (*scenario).cmdCtl,

		"freezeserving": (*scenario).cmdFreezeServing,
		"thawserving":   (*scenario).cmdThawServing,
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
		bind(ts, false, "eventually "+args[0], func(w *scenario, args []string) error {
			return poll(func() error { return run(w, args) })
		}, args[1:])
	}
	return bound
}

func bind(ts *testscript.TestScript, neg bool, name string, run command, args []string) {
	w := ts.Value(scenarioKey{}).(*scenario)
	err := run(w, args)
	switch {
	case neg && err == nil:
		ts.Fatalf("%s succeeded, want an error", name)
	case !neg && err != nil:
		ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
	}
}

// requireArgs checks that there are at least n arguments.
func requireArgs(args []string, n int) error {
	if len(args) < n {
		return permanentError{fmt.Errorf("at least %d arguments are required", n)}
	}
	return nil
}

func withProcess(do func(*process) error) command {
	return func(w *scenario, args []string) error {
		if err := requireArgs(args, 1); err != nil {
			return err
		}
		p, ok := w.processes[args[0]]
		if !ok {
			return permanentError{fmt.Errorf("unknown process %s", args[0])}
		}
		return do(p)
	}
}

func (w *scenario) cmdSite(args []string) error {
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
			return fmt.Errorf("unknown argument %s of site", arg)
		}
	}
	return w.build(s)
}

func (w *scenario) cmdStart(args []string) error {
	if err := requireArgs(args, 1); err != nil {
		return err
	}
	if len(args) > 1 {
		_, err := w.run(args[0], args[1], args[2:]...)
		return err
	}
	return withProcess((*process).start)(w, args)
}

func (w *scenario) cmdFault(args []string) error {
	if err := requireArgs(args, 2); err != nil {
		return err
	}
	p, ok := w.processes[args[0]]
	if !ok {
		return fmt.Errorf("unknown process %s", args[0])
	}
	return post(p.url+"/faults"+args[1], "")
}

func (w *scenario) cmdVM(args []string) error {
	if err := requireArgs(args, 2); err != nil {
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

func (w *scenario) setLink(args []string, cut bool) error {
	if err := requireArgs(args, 1); err != nil {
		return err
	}
	l, ok := w.links[args[0]]
	if !ok {
		return fmt.Errorf("no link to agent %s", args[0])
	}
	l.cut.Store(cut)
	return nil
}

func (w *scenario) cmdRuns(args []string) error {
	if err := requireArgs(args, 3); err != nil {
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

// runsOf returns the runs of a key, or of all keys if it is *, summed over the
// stand-ins whose names match a pattern.
func (w *scenario) runsOf(name, key string) (int, error) {
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
		return 0, permanentError{fmt.Errorf("no stand-in matches %s", name)}
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

func (w *scenario) cmdLoad(args []string) error {
	if err := requireArgs(args, 1); err != nil {
		return err
	}
	w.loads[args[0]] = w.startLoad()
	return nil
}

// cmdEndLoad ends a load and checks that requests were sent and that none failed.
func (w *scenario) cmdEndLoad(args []string) error {
	if err := requireArgs(args, 1); err != nil {
		return err
	}
	l, ok := w.loads[args[0]]
	if !ok {
		return fmt.Errorf("unknown load %s", args[0])
	}
	l.end()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failures) > 0 || l.sent.Load() == 0 {
		return fmt.Errorf("%d of %d requests failed, want none failed and at least one sent; the first failures: %s", len(l.failures), l.sent.Load(), strings.Join(l.failures[:min(3, len(l.failures))], "; "))
	}
	return nil
}

func (w *scenario) cmdCtl(args []string) error {
	out, err := w.ctl(args...)
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// cmdHold opens the callers' socket of a stopped entry and keeps it open to the end of
// the script, as a supervisor with socket activation does.
func (w *scenario) cmdHold(args []string) error {
	if err := requireArgs(args, 1); err != nil {
		return err
	}
	p, ok := w.processes[args[0]]
	if !ok || p.alive() {
		return permanentError{fmt.Errorf("%s is not a stopped process", args[0])}
	}
	listener, err := net.Listen("tcp", w.addresses[args[0]].callers)
	if err != nil {
		return err
	}
	w.env.Defer(func() { _ = listener.Close() })
	p.socket, err = listener.(*net.TCPListener).File()
	return err
}

// ctl runs jayctl as operator with all entries and returns its output.
func (w *scenario) ctl(args ...string) ([]byte, error) {
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
