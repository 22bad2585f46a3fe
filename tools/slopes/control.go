package main

import (
	"context"
	"fmt"
	"os"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/catalogstore"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
	"github.com/jayproxy/jayproxy/internal/spread"
	"github.com/jayproxy/jayproxy/internal/transport"
)

const (
	// agentsPerEntry is the forecast ratio of 7,000 backend servers to 810 entries,
	// rounded up.
	agentsPerEntry = 9
	// changesPerSecond is the forecast rate of 16,000 changes a day.
	changesPerSecond = 16000.0 / 86400
	// controlWarmup lets the processes discover each other and open connections.
	controlWarmup   = 8 * time.Second
	controlInterval = 60 * time.Second
	// headersPerPacket is the size in bytes of the IPv4 and UDP headers, which the
	// traffic counters of transport do not include.
	headersPerPacket = 28
)

// controlCost is the cost of control traffic per process, as the mean of its role
// unless a field says otherwise.
type controlCost struct {
	entryBytes, agentBytes float64 // bytes per second, sent and received
	entryBytesMost         float64 // the same of the entry with the most
	entryFrames            float64 // messages per second, sent and received
	agentFrames            float64
	cpuShare               float64 // share of a core per process, mean of both roles
	reads                  float64 // platform reads per second, all processes
	spreadSeconds          float64 // time until in force in all processes, slowest change
}

var controlRuns = map[int]controlCost{}

func controlMeasurements() []measurement {
	counts := doubled(4, 4)
	of := func(pick func(controlCost) float64) func(int) (float64, error) {
		return func(entries int) (float64, error) {
			cost, ok := controlRuns[entries]
			if !ok {
				var err error
				if cost, err = runControl(entries); err != nil {
					return 0, err
				}
				controlRuns[entries] = cost
			}
			return pick(cost), nil
		}
	}
	return []measurement{
		{name: "control_entry_bytes", xUnit: "entry in the fleet (nine agents each)", yUnit: "control bytes a second of an entry", counts: counts,
			measure: of(func(c controlCost) float64 { return c.entryBytes })},
		{name: "control_entry_bytes_most", xUnit: "entry in the fleet (nine agents each)", yUnit: "control bytes a second of the busiest entry", counts: counts,
			measure: of(func(c controlCost) float64 { return c.entryBytesMost })},
		{name: "control_agent_bytes", xUnit: "entry in the fleet (nine agents each)", yUnit: "control bytes a second of an agent", counts: counts,
			measure: of(func(c controlCost) float64 { return c.agentBytes })},
		{name: "control_entry_messages", xUnit: "entry in the fleet (nine agents each)", yUnit: "control messages a second of an entry, sent and received", counts: counts,
			measure: of(func(c controlCost) float64 { return c.entryFrames })},
		{name: "control_agent_messages", xUnit: "entry in the fleet (nine agents each)", yUnit: "control messages a second of an agent, sent and received", counts: counts,
			measure: of(func(c controlCost) float64 { return c.agentFrames })},
		{name: "control_cpu", xUnit: "entry in the fleet (nine agents each)", yUnit: "share of a core a node", counts: counts,
			measure: of(func(c controlCost) float64 { return c.cpuShare })},
		{name: "control_platform_reads", xUnit: "entry in the fleet (one data centre)", yUnit: "platform reads a second", counts: counts,
			measure: of(func(c controlCost) float64 { return c.reads })},
		{name: "control_spread_seconds", xUnit: "entry in the fleet (nine agents each)", yUnit: "seconds until a change is in force everywhere, slowest seen", counts: counts,
			measure: of(func(c controlCost) float64 { return c.spreadSeconds })},
	}
}

// member is one simulated entry or agent with only the parts that control traffic
// needs: transport node, catalog holder and spread service.
type member struct {
	node   *transport.Node
	holder *catalog.Holder
	spread *spread.Service
	before transport.Traffic
	frames uint64
}

func (m *member) close() {
	if m.spread != nil {
		m.spread.Close()
	}
	_ = m.node.Close()
}

// controlFleet is a set of simulated entries and agents with an in-memory platform.
type controlFleet struct {
	dir       string
	authority *keys.Authority
	platform  *platformtest.Memory
	store     *catalogstore.Store
	entries   []*member
	agents    []*member
}

func runControl(entries int) (controlCost, error) {
	f, err := newControlFleet(entries, entries*agentsPerEntry)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return controlCost{}, err
	}
	time.Sleep(controlWarmup)
	return f.measure()
}

func newControlFleet(entries, agents int) (*controlFleet, error) {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return nil, err
	}
	f := &controlFleet{dir: dir, platform: platformtest.New()}
	f.store = catalogstore.New(f.platform, f.platform, catalogstore.Options{})
	if f.authority, err = keys.NewAuthority(keyValidity); err != nil {
		return f, err
	}
	var vms []platform.VM
	var declared []*jayv1.Resource
	for i := range agents {
		m, err := f.addMember(keys.Identity{Role: keys.RoleAgent, Name: fmt.Sprintf("runner-%05d", i)})
		if err != nil {
			return f, err
		}
		f.agents = append(f.agents, m)
		resource := backendServer(i)
		resource.GetBackendServer().AgentAddress = m.node.Address()
		resource.GetBackendServer().DataCentre = "dc-00"
		declared = append(declared, resource)
	}
	if _, err := f.declare(declared); err != nil {
		return f, err
	}
	for i := range entries {
		name := fmt.Sprintf("entry-%04d", i)
		m, err := f.addMember(keys.Identity{Role: keys.RoleEntry, Name: name})
		if err != nil {
			return f, err
		}
		f.entries = append(f.entries, m)
		vms = append(vms, platform.VM{Name: name, Address: m.node.Address(), DataCentre: "dc-00", Region: "region-0", Role: "entry", State: platform.VMLive, Incarnation: 1})
	}
	f.platform.SetVMs(vms)
	return f, f.startSpread()
}

func (f *controlFleet) addMember(id keys.Identity) (*member, error) {
	cert, err := f.authority.Issue(id, keyValidity)
	if err != nil {
		return nil, err
	}
	if err := cert.Save(f.dir); err != nil {
		return nil, err
	}
	creds, err := transport.LoadCredentials(f.dir)
	if err != nil {
		return nil, err
	}
	m := &member{holder: catalog.NewHolder()}
	m.node, err = transport.Listen(transport.Options{Address: "127.0.0.1:0"}, creds, func(ctx context.Context, peer keys.Identity, s *transport.Stream) {
		first := &jayv1.ClientFrame{}
		if m.spread != nil && s.Receive(first) == nil {
			m.spread.Handle(ctx, peer, first, s)
		}
	})
	return m, err
}

func (f *controlFleet) startSpread() error {
	for i, m := range append(append([]*member{}, f.entries...), f.agents...) {
		options := spread.Options{
			DataCentre: "dc-00", Region: "region-0", Address: m.node.Address(), Incarnation: 1, Node: m.node, Holder: m.holder,
		}
		if i < len(f.entries) {
			options.Self = keys.Identity{Role: keys.RoleEntry, Name: fmt.Sprintf("entry-%04d", i)}
			options.Store, options.VMs = f.store, f.platform
		} else {
			options.Self = keys.Identity{Role: keys.RoleAgent, Name: fmt.Sprintf("runner-%05d", i-len(f.entries))}
		}
		service, err := spread.Start(context.Background(), options)
		if err != nil {
			return err
		}
		m.spread = service
	}
	return nil
}

// declare applies a change and returns its generation.
func (f *controlFleet) declare(resources []*jayv1.Resource) (uint64, error) {
	accepted, err := f.store.Accept(context.Background(), catalogstore.Proposal{
		ChangeID: fmt.Sprintf("change-%d", time.Now().UnixNano()),
		Edit: func(table *catalog.Table) (catalog.Difference, error) {
			return catalog.Diff(table, resources, false), nil
		},
	})
	return accepted.Generation, err
}

// measure determines the cost of control traffic while changes arrive at
// changesPerSecond.
func (f *controlFleet) measure() (controlCost, error) {
	all := append(append([]*member{}, f.entries...), f.agents...)
	for _, m := range all {
		m.before, m.frames = m.node.Traffic(), m.allFrames()
	}
	readsBefore, _ := f.platform.Counts()
	cpu, start := cpuSeconds(), time.Now()
	cost := controlCost{}
	for n := 1; time.Since(start) < controlInterval; n++ {
		next := start.Add(time.Duration(float64(n) / changesPerSecond * float64(time.Second)))
		changed := time.Now()
		generation, err := f.declare([]*jayv1.Resource{changedPool(n)})
		if err != nil {
			return cost, err
		}
		taken, err := awaitGeneration(all, generation, changed)
		if err != nil {
			return cost, err
		}
		cost.spreadSeconds = max(cost.spreadSeconds, taken.Seconds())
		time.Sleep(time.Until(next))
	}
	seconds := time.Since(start).Seconds()
	reads, _ := f.platform.Counts()
	cost.reads = float64(reads-readsBefore) / seconds
	cost.cpuShare = (cpuSeconds() - cpu) / seconds / float64(len(all))
	for _, m := range f.entries {
		rate := m.bytesSince() / seconds
		cost.entryBytes += rate / float64(len(f.entries))
		cost.entryFrames += float64(m.allFrames()-m.frames) / seconds / float64(len(f.entries))
		cost.entryBytesMost = max(cost.entryBytesMost, rate)
	}
	for _, m := range f.agents {
		cost.agentBytes += m.bytesSince() / seconds / float64(len(f.agents))
		cost.agentFrames += float64(m.allFrames()-m.frames) / seconds / float64(len(f.agents))
	}
	return cost, nil
}

// awaitGeneration waits until the generation is in force in every process and returns
// the time since the change.
func awaitGeneration(all []*member, generation uint64, since time.Time) (time.Duration, error) {
	const limit = 30 * time.Second
	for time.Since(since) < limit {
		oldest := generation
		for _, m := range all {
			oldest = min(oldest, m.holder.Current().Generation())
		}
		if oldest == generation {
			return time.Since(since), nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0, fmt.Errorf("a change was not in force in all processes after %s", limit)
}

// allFrames returns the number of messages sent and received so far.
func (m *member) allFrames() uint64 {
	return m.node.Stats.FramesSent.Load() + m.node.Stats.FramesReceived.Load()
}

// bytesSince returns the bytes sent and received since measure began, with UDP and IP
// headers.
func (m *member) bytesSince() float64 {
	now := m.node.Traffic()
	payload := now.BytesSent - m.before.BytesSent + now.BytesReceived - m.before.BytesReceived
	packets := now.PacketsSent - m.before.PacketsSent + now.PacketsReceived - m.before.PacketsReceived
	return float64(payload + packets*headersPerPacket)
}

func changedPool(n int) *jayv1.Resource {
	return &jayv1.Resource{Kind: &jayv1.Resource_Pool{Pool: &jayv1.Pool{
		Name: "pool-00", Model: "model-00", MinReady: uint32(n),
		Versions: []*jayv1.ModelVersion{{Name: "v1", Digest: "sha256:0"}}, ActiveVersion: "v1",
	}}}
}

func (f *controlFleet) close() {
	for _, m := range append(f.entries, f.agents...) {
		m.close()
	}
	_ = os.RemoveAll(f.dir)
}
