package cluster

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/engine/dialect"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/keys"
	platformapi "github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/standin/engine"
	"github.com/jayproxy/jayproxy/internal/standin/platform"
	"github.com/jayproxy/jayproxy/internal/standin/service"
)

// keysValid is the validity of the certificates of a cluster.
const keysValid = 7 * 24 * time.Hour

// Cluster is a running system. Agents[i] serves Engines[i]; the agents of Services
// follow those of the engines.
type Cluster struct {
	Options  Options
	Platform *platform.Platform
	Engines  []*engine.Engine
	Services []*service.Service
	Agents   []*agent.Agent
	// KeysDir contains one folder of keys for each process and for the operator.
	KeysDir string

	mu        sync.Mutex
	entries   []*entry.Entry
	authority *keys.Authority
	// agentCatalogs hold the catalogs in force at the agents, in the order of Agents.
	agentCatalogs []*catalog.Holder
	agentSettings []agent.Settings
	// sockets are the entries' listening sockets for callers.
	sockets *sockets
}

// Start starts a cluster that runs until Close, and applies its declaration.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "jay-cluster-")
	if err != nil {
		return nil, eris.Wrap(err, "make folder for keys")
	}
	c := &Cluster{Options: options.withDefaults(), KeysDir: dir, sockets: newSockets()}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	var err error
	if c.authority, err = keys.NewAuthority(keysValid); err != nil {
		return err
	}
	if err := c.issue(keys.RoleOperator, operatorName); err != nil {
		return err
	}
	if c.Platform, err = platform.Start(platform.Options{Weights: map[string]int64{Digest: 1 << 20}}); err != nil {
		return err
	}
	for i := range c.Options.Engines {
		if err := c.startEngine(ctx, i); err != nil {
			return err
		}
	}
	for i := range c.Options.Services {
		if err := c.startService(ctx, i); err != nil {
			return err
		}
	}
	if err := c.startEntries(ctx); err != nil {
		return err
	}
	return c.Apply(ctx, c.Declaration())
}

// issue creates the keys of a process or operator and writes them to its folder. A
// process that starts again has its keys already.
func (c *Cluster) issue(role keys.Role, name string) error {
	if _, err := os.Stat(c.keysOf(name)); err == nil {
		return nil
	}
	cert, err := c.authority.Issue(keys.Identity{Role: role, Name: name}, keysValid)
	if err != nil {
		return err
	}
	return cert.Save(c.keysOf(name))
}

func (c *Cluster) keysOf(name string) string { return filepath.Join(c.KeysDir, name) }

// EngineName returns the name of the backend server of Engines[i].
func EngineName(i int) string { return fmt.Sprintf("runner-%02d", i) }

// ServiceName returns the name of the backend server of Services[i].
func ServiceName(i int) string { return fmt.Sprintf("app-%02d", i) }

// EntryName returns the name of the entry with index i.
func EntryName(i int) string { return fmt.Sprintf("entry-%02d", i) }

func (c *Cluster) vendor(i int) string { return c.Options.Vendors[i%len(c.Options.Vendors)] }

func (c *Cluster) dataCentre(i int) string {
	return c.Options.DataCentres[i%len(c.Options.DataCentres)]
}

func (c *Cluster) startEngine(ctx context.Context, i int) error {
	options := engine.Options{Vendor: c.vendor(i), Name: EngineName(i), Engine: c.Options.Engine}
	options.Engine.Seed += uint64(i)
	started, err := engine.Start(options)
	if err != nil {
		return err
	}
	c.Engines = append(c.Engines, started)
	return c.startAgent(ctx, EngineName(i), i, func(s *agent.Settings) {
		s.Engine.Vendor, s.Engine.URL = c.vendor(i), started.URL()
	})
}

func (c *Cluster) startService(ctx context.Context, i int) error {
	started, err := service.Start(service.Options{Name: ServiceName(i)})
	if err != nil {
		return err
	}
	c.Services = append(c.Services, started)
	return c.startAgent(ctx, ServiceName(i), i, func(s *agent.Settings) {
		s.Service.Name, s.Service.URL = Service, started.URL()
	})
}

func (c *Cluster) startAgent(ctx context.Context, name string, i int, backend func(*agent.Settings)) error {
	if err := c.issue(keys.RoleAgent, name); err != nil {
		return err
	}
	settings := agent.Default()
	settings.Name = name
	settings.Keys = c.keysOf(name)
	settings.Platform = c.Platform.URL()
	settings.DataCentre, settings.Region = c.dataCentre(i), c.Options.Region
	settings.OpenEngine = dialect.Open
	settings.Catalog = catalog.NewHolder()
	c.agentCatalogs = append(c.agentCatalogs, settings.Catalog)
	backend(&settings)
	if c.Options.Agent != nil {
		c.Options.Agent(&settings)
	}
	started, err := agent.Start(ctx, settings)
	if err != nil {
		return err
	}
	c.Agents = append(c.Agents, started)
	settings.Listen = started.Address()
	c.agentSettings = append(c.agentSettings, settings)
	return nil
}

// RestartAgent kills an agent and starts it again at its address. Its engine or
// service keeps running.
func (c *Cluster) RestartAgent(ctx context.Context, i int) error {
	c.Agents[i].Close()
	settings := c.agentSettings[i]
	settings.Catalog = catalog.NewHolder()
	started, err := agent.Start(ctx, settings)
	if err != nil {
		return eris.Wrapf(err, "restart agent %s", settings.Name)
	}
	c.Agents[i], c.agentCatalogs[i] = started, settings.Catalog
	return nil
}

// maxSeeds bounds the agents that an entry can request the configuration from.
const maxSeeds = 3

func (c *Cluster) seeds() []string {
	var seeds []string
	for i := 0; i < len(c.Agents) && i < maxSeeds; i++ {
		seeds = append(seeds, c.agentSettings[i].Listen)
	}
	return seeds
}

func (c *Cluster) startEntries(ctx context.Context) error {
	started := make([]*entry.Entry, c.Options.Entries)
	var group errgroup.Group
	for i := range started {
		group.Go(func() error {
			one, err := c.startEntry(ctx, i)
			started[i] = one
			return err
		})
	}
	err := group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = started
	return err
}

func (c *Cluster) startEntry(ctx context.Context, i int) (*entry.Entry, error) {
	name := EntryName(i)
	if err := c.issue(keys.RoleEntry, name); err != nil {
		return nil, err
	}
	settings := entry.Default()
	settings.Name = name
	settings.KeysDir = c.keysOf(name)
	settings.PlatformURL = c.Platform.URL()
	settings.DataCentre, settings.Region = c.dataCentre(i), c.Options.Region
	settings.Policy = c.Options.Policy
	settings.Seeds = c.seeds()
	settings.Timeouts.GraceMS = 0
	listener, err := c.sockets.listener(name)
	if err != nil {
		return nil, err
	}
	settings.CallersListener = listener
	if c.Options.Entry != nil {
		c.Options.Entry(&settings)
	}
	started, err := entry.Start(ctx, settings)
	if err != nil {
		return nil, err
	}
	c.Platform.SetVM(platformapi.VM{
		Name: name, Address: started.Address(), DataCentre: settings.DataCentre,
		Region: settings.Region, Role: "entry", State: platformapi.VMLive, Incarnation: uint64(time.Now().UnixNano()),
	})
	return started, nil
}

// Entries returns the current entries; an entry that failed to restart is nil.
func (c *Cluster) Entries() []*entry.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*entry.Entry(nil), c.entries...)
}

// RestartEntries replaces all entries at once, without carrying over any state. It
// starts the new entries after the old ones have ended. The callers' sockets stay
// open: connections made in between wait for the new entries.
func (c *Cluster) RestartEntries(ctx context.Context) error {
	closeEntries(c.Entries())
	return c.startEntries(ctx)
}

// Close stops all processes of the cluster and removes the keys.
func (c *Cluster) Close() {
	closeEntries(c.Entries())
	c.sockets.close()
	for _, one := range c.Agents {
		one.Close()
	}
	for _, one := range c.Engines {
		one.Close()
	}
	for _, one := range c.Services {
		one.Close()
	}
	if c.Platform != nil {
		c.Platform.Close()
	}
	_ = os.RemoveAll(c.KeysDir)
}

func closeEntries(entries []*entry.Entry) {
	var wg sync.WaitGroup
	for _, one := range entries {
		if one != nil {
			wg.Go(one.Close)
		}
	}
	wg.Wait()
}
