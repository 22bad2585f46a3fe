package scenario_test

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/platform"
)

// Names in the site's declaration.
const (
	siteModel   = "modelos-lenguaje"
	siteService = "reservas-app"
	siteDigest  = "sha256:one"
	siteCentre  = "quito-sala-a"
	siteRegion  = "sierra-norte"
)

type scenarioKey struct{}

// scenario is the state of one script, with everything that it has started.
type scenario struct {
	env       *testscript.Env
	dir       string
	processes map[string]*process
	order     []string
	links     map[string]*link
	answers   map[string]*answer
	loads     map[string]*load
	addresses map[string]entryAddresses
	callerKey string
	resources strings.Builder
	authority *keys.Authority
	moments   map[string]time.Time
	watches   map[string]*watch
	// frozen is the agent that freezeserving froze.
	frozen string
}

// entryAddresses are the addresses of one entry, which it keeps across restarts.
type entryAddresses struct {
	callers, operators, admin, quic string
}

func newScenario(env *testscript.Env) *scenario {
	return &scenario{
		env: env, dir: env.WorkDir,
		processes: map[string]*process{}, links: map[string]*link{}, answers: map[string]*answer{},
		loads: map[string]*load{}, addresses: map[string]entryAddresses{},
		moments: map[string]time.Time{}, watches: map[string]*watch{},
	}
}

// close ends all processes. If the script failed it logs the last lines of their logs
// and the entries' latest decisions.
func (w *scenario) close() {
	t, ok := w.env.T().(interface{ Failed() bool })
	failed := ok && t.Failed()
	for name, at := range w.addresses {
		if failed && w.processes[name].alive() {
			w.env.T().Log(name+" latest decisions:", latestDecisions(at.admin, 2))
		}
	}
	for _, l := range w.loads {
		l.end()
	}
	for _, watched := range w.watches {
		watched.end()
	}
	for _, p := range w.processes {
		if p.alive() {
			_ = p.kill()
		}
	}
	for _, l := range w.links {
		l.close()
	}
	if failed {
		for _, name := range w.order {
			w.env.T().Log(w.processes[name].tail())
		}
	}
}

// Ports of the processes under test are below the ephemeral port range, so that no
// other socket takes one while its process is down. Each run of the test program uses
// its own loopback address and assigns every port once, so that concurrent scripts and
// runs do not collide.
const (
	firstPort = 20000
	ports     = 10000
	// octet is the number of values used in one part of the loopback address.
	octet = 250
)

var (
	loopback = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/octet%octet, 1+os.Getpid()%octet)
	nextPort atomic.Int32
)

// freeAddress returns an unused address that is free for TCP and UDP.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("%s:%d", loopback, firstPort+nextPort.Add(1)%ports)
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = tcp.Close()
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = udp.Close()
		return address, nil
	}
	return "", fmt.Errorf("no free port found in 100 attempts")
}

// run starts a process under a name and waits until it is ready.
func (w *scenario) run(name, binary string, args ...string) (*process, error) {
	p := &process{name: name, binary: binary, args: args, log: filepath.Join(w.dir, name+".log")}
	w.processes[name] = p
	w.order = append(w.order, name)
	return p, p.start()
}

// size is the number and kind of a site's processes.
type size struct {
	entries, engines, portals int
	vendor                    string
	engineArgs                []string
	portalArgs                []string
}

// build starts the platform, the backend servers with their agents and the entries,
// and declares them through jayctl.
func (w *scenario) build(s size) error {
	authority, err := keys.NewAuthority(24 * time.Hour)
	if err != nil {
		return err
	}
	w.authority = authority
	if err := w.issue(keys.RoleOperator, "operator"); err != nil {
		return err
	}
	if _, err := w.run("platform", "jay-standin", "platform"); err != nil {
		return err
	}
	if err := w.declareBasics(); err != nil {
		return err
	}
	for i := range s.engines {
		if err := w.startEngine(i+1, s); err != nil {
			return err
		}
	}
	for i := range s.portals {
		if err := w.startPortal(i+1, s); err != nil {
			return err
		}
	}
	for i := range s.entries {
		if err := w.startEntry(i+1, s.entries); err != nil {
			return err
		}
	}
	return w.declare()
}

func (w *scenario) issue(role keys.Role, name string) error {
	cert, err := w.authority.Issue(keys.Identity{Role: role, Name: name}, time.Hour)
	if err != nil {
		return err
	}
	return cert.Save(w.keysDir(name))
}

func (w *scenario) keysDir(name string) string { return filepath.Join(w.dir, "keys", name) }

func (w *scenario) declareBasics() error {
	plain, key, err := catalog.NewCallerKey()
	if err != nil {
		return err
	}
	w.callerKey = plain
	fmt.Fprintf(&w.resources, `
[[workspace]]
name = "canteras"
[[workspace.keys]]
id = %q
salt = %q
hash = %q

[[pool]]
name = "modelos"
model = %q
active_version = "uno"
versions = [{name = "uno", digest = %q}]
concurrency = 64

[[service]]
name = %q
non_repeatable = [{method = "POST", path_prefix = "/confirm"}]
`, key.GetId(), hex.EncodeToString(key.GetSalt()), hex.EncodeToString(key.GetHash()), siteModel, siteDigest, siteService)
	return nil
}

func (w *scenario) startEngine(i int, s size) error {
	args := append([]string{"engine", "--vendor", s.vendor, "--version", siteDigest, "--max-running", "64"}, s.engineArgs...)
	engine, err := w.run(fmt.Sprint("engine", i), "jay-standin", args...)
	if err != nil {
		return err
	}
	// Restarts must use the same address, which is in the settings of the agent.
	engine.args = append(engine.args, "--listen", strings.TrimPrefix(engine.url, "http://"))
	backend := fmt.Sprintf("[engine]\nvendor = %q\nurl = %q\n", s.vendor, engine.url)
	return w.startAgent(fmt.Sprint("agent", i), backend, fmt.Sprintf("pool = %q\nvendor = %q\n", "modelos", s.vendor))
}

func (w *scenario) startPortal(i int, s size) error {
	portal, err := w.run(fmt.Sprint("portal", i), "jay-standin", append([]string{"service", "--name", siteService}, s.portalArgs...)...)
	if err != nil {
		return err
	}
	backend := fmt.Sprintf("[service]\nname = %q\nurl = %q\n", siteService, portal.url)
	return w.startAgent(fmt.Sprint("portalagent", i), backend, fmt.Sprintf("service = %q\nvendor = %q\n", siteService, "plain"))
}

// startAgent starts the agent of a backend server behind a link that can be cut, and
// adds the backend server to the declaration.
func (w *scenario) startAgent(name, backend, declared string) error {
	if err := w.issue(keys.RoleAgent, name); err != nil {
		return err
	}
	address, err := freeAddress()
	if err != nil {
		return err
	}
	admin, err := freeAddress()
	if err != nil {
		return err
	}
	front, err := newLink(address)
	if err != nil {
		return err
	}
	w.links[name] = front
	settings := fmt.Sprintf("name = %q\nlisten = %q\nadmin = %q\nkeys = %q\nplatform = %q\ndata_centre = %q\nregion = %q\n%s",
		name, address, admin, w.keysDir(name), w.processes["platform"].url, siteCentre, siteRegion, backend)
	fmt.Fprintf(&w.resources, "\n[[backend_server]]\nname = %q\nagent_address = %q\ndata_centre = %q\nregion = %q\n%s",
		name, front.address(), siteCentre, siteRegion, declared)
	if err := w.setVM(platform.VM{Name: name, Address: front.address(), Role: "backend"}); err != nil {
		return err
	}
	file, err := w.writeSettings(name, settings)
	if err != nil {
		return err
	}
	_, err = w.run(name, "jay-agent", "--settings", file, "--v", "2")
	return err
}

func (w *scenario) startEntry(i, of int) error {
	name := fmt.Sprint("entry", i)
	if err := w.issue(keys.RoleEntry, name); err != nil {
		return err
	}
	for n := range of {
		if err := w.reserveEntry(fmt.Sprint("entry", n+1)); err != nil {
			return err
		}
	}
	at := w.addresses[name]
	seeds := []string{}
	for other, addresses := range w.addresses {
		if other != name {
			seeds = append(seeds, fmt.Sprintf("%q", addresses.quic))
		}
	}
	for _, agent := range w.links {
		seeds = append(seeds, fmt.Sprintf("%q", agent.address()))
	}
	settings := fmt.Sprintf("name = %q\ndata_centre = %q\nregion = %q\ncallers = %q\noperators = %q\nadmin = %q\nlisten = %q\nkeys = %q\nplatform = %q\n%s[timeouts]\ngrace_ms = 500\n",
		name, siteCentre, siteRegion, at.callers, at.operators, at.admin, at.quic,
		w.keysDir(name), w.processes["platform"].url, seedsLine(seeds))
	if err := w.setVM(platform.VM{Name: name, Address: at.quic, Role: "entry"}); err != nil {
		return err
	}
	file, err := w.writeSettings(name, settings)
	if err != nil {
		return err
	}
	_, err = w.run(name, "jay-entry", "--settings", file, "--v", "2")
	return err
}

// seedsLine returns the setting that lists the other entries and the agents, from which
// an entry gets the configuration while the platform is down.
func seedsLine(seeds []string) string {
	return fmt.Sprintf("seeds = [%s]\n", strings.Join(seeds, ", "))
}

func (w *scenario) reserveEntry(name string) error {
	if _, ok := w.addresses[name]; ok {
		return nil
	}
	var at entryAddresses
	for _, address := range []*string{&at.callers, &at.operators, &at.admin, &at.quic} {
		free, err := freeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	w.addresses[name] = at
	return nil
}

func (w *scenario) writeSettings(name, text string) (string, error) {
	file := filepath.Join(w.dir, name+".toml")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// setVM changes the platform's list of VMs.
func (w *scenario) setVM(vm platform.VM) error {
	if vm.State == "" {
		vm.State = platform.VMLive
	}
	vm.DataCentre, vm.Region = siteCentre, siteRegion
	if vm.Incarnation == 0 {
		vm.Incarnation = 1
	}
	body := fmt.Sprintf(`{"name":%q,"address":%q,"data_centre":%q,"region":%q,"role":%q,"state":%q,"incarnation":%d}`,
		vm.Name, vm.Address, vm.DataCentre, vm.Region, vm.Role, vm.State, vm.Incarnation)
	return post(w.processes["platform"].url+"/faults/vm", body)
}

// declare applies the declaration of the site as one change and waits until it is in
// force in every process.
func (w *scenario) declare() error {
	folder := filepath.Join(w.dir, "declared")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "site.toml"), []byte(w.resources.String()), 0o600); err != nil {
		return err
	}
	if out, err := w.ctl("apply", folder, "--wait", "20s"); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}
