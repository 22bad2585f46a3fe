package catalog

import (
	"math"
	"net/netip"
	"regexp"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/findings"
)

const (
	maxWeight         = 1000
	maxEnginePriority = 100
	minSaltBytes      = 8
	hashBytes         = 32
	vendorPlain       = "plain"
)

// engineVendors are the dialects of model engines.
var engineVendors = []string{"merle", "pica"}

// namePattern: names stand in URLs, keys of rows and metrics.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker looks at a whole set of resources. Findings carry the path
// kind/name.key; who read the set from files adds the place.
type checker struct {
	found  findings.List
	byName map[string]*jayv1.Resource
	models map[string]string
	// poolOf holds the pools by the model that they serve.
	poolOf    map[string]string
	keyIDs    map[string]string
	addresses map[string]string
	regions   map[string]string
	// serversOf counts backend servers by pool; centresOf holds the data
	// centres by pool/ and service/ names.
	serversOf map[string]int
	centresOf map[string]map[string]bool
	rules     []*jayv1.Rule
}

// Check finds what is wrong with a whole set of resources: missing references,
// doubled names, values out of range, rules that never match. The server
// refuses a set with findings, so every accepted generation is sound.
func Check(resources []*jayv1.Resource) findings.List {
	c := &checker{
		byName: map[string]*jayv1.Resource{}, models: map[string]string{}, poolOf: map[string]string{}, keyIDs: map[string]string{},
		addresses: map[string]string{}, regions: map[string]string{}, serversOf: map[string]int{},
		centresOf: map[string]map[string]bool{},
	}
	for _, resource := range resources {
		c.collect(resource)
	}
	for _, resource := range Build(&jayv1.Snapshot{Resources: resources}).Snapshot().GetResources() {
		c.check(resource)
	}
	c.rules = Build(&jayv1.Snapshot{Resources: resources}).rules
	c.shadowedRules()
	return c.found
}

// collect notes what references may point to.
func (c *checker) collect(resource *jayv1.Resource) {
	name := NameOf(resource)
	if name == "" {
		c.found.Add("", "a resource of no kind")
		return
	}
	if _, doubled := c.byName[name]; doubled {
		c.found.Add(name, "declared twice")
	}
	c.byName[name] = resource
	if pool := resource.GetPool(); pool != nil {
		c.poolOf[pool.GetModel()] = name
	}
	server := resource.GetBackendServer()
	if server == nil {
		return
	}
	target := KindService + "/" + server.GetService()
	if server.GetPool() != "" {
		target = KindPool + "/" + server.GetPool()
		c.serversOf[server.GetPool()]++
	}
	if c.centresOf[target] == nil {
		c.centresOf[target] = map[string]bool{}
	}
	c.centresOf[target][server.GetDataCentre()] = true
}

func (c *checker) check(resource *jayv1.Resource) {
	name := NameOf(resource)
	switch kind := resource.GetKind().(type) {
	case *jayv1.Resource_Workspace:
		c.name(name, kind.Workspace.GetName())
		c.workspace(name, kind.Workspace)
	case *jayv1.Resource_Pool:
		c.name(name, kind.Pool.GetName())
		c.pool(name, kind.Pool)
	case *jayv1.Resource_Service:
		c.name(name, kind.Service.GetName())
		c.service(name, kind.Service)
	case *jayv1.Resource_BackendServer:
		c.name(name, kind.BackendServer.GetName())
		c.backendServer(name, kind.BackendServer)
	case *jayv1.Resource_Rule:
		c.name(name, kind.Rule.GetName())
		c.rule(name, kind.Rule)
	}
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.found.Add(path+".name", "name %q must be 1 to 63 letters, digits, '.', '_' or '-', a letter or digit first", name)
	}
}

// amount checks a quantity that may be absent (0) but not negative or no number.
func (c *checker) amount(path string, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		c.found.Add(path, "value %v must be a number from 0 up", value)
	}
}

func (c *checker) workspace(path string, w *jayv1.Workspace) {
	if w.GetWeight() > maxWeight {
		c.found.Add(path+".weight", "weight %d is above %d", w.GetWeight(), maxWeight)
	}
	c.amount(path+".limits.requests_per_second", w.GetLimits().GetRequestsPerSecond())
	c.amount(path+".limits.tokens_per_second", w.GetLimits().GetTokensPerSecond())
	if len(w.GetKeys()) == 0 {
		c.found.Add(path+".keys", "no key: no caller can use the workspace; make one with jayctl keys caller")
	}
	for _, key := range w.GetKeys() {
		c.apiKey(path, key)
	}
}

func (c *checker) apiKey(path string, key *jayv1.ApiKey) {
	path += ".keys"
	if key.GetId() == "" {
		c.found.Add(path, "a key has no id")
	}
	if owner, doubled := c.keyIDs[key.GetId()]; doubled {
		c.found.Add(path, "key id %q belongs to %s already", key.GetId(), owner)
	}
	c.keyIDs[key.GetId()] = path
	if len(key.GetSalt()) < minSaltBytes {
		c.found.Add(path, "salt of key %q is shorter than %d bytes", key.GetId(), minSaltBytes)
	}
	if len(key.GetHash()) != hashBytes {
		c.found.Add(path, "hash of key %q is not a SHA-256 of %d bytes", key.GetId(), hashBytes)
	}
}

func (c *checker) pool(path string, p *jayv1.Pool) {
	if p.GetModel() == "" {
		c.found.Add(path+".model", "model is missing: callers name it in their requests")
	} else if other, doubled := c.models[p.GetModel()]; doubled {
		c.found.Add(path+".model", "model %q is served by %s already", p.GetModel(), other)
	}
	c.models[p.GetModel()] = path
	c.versions(path, p)
	c.adapters(path, p)
	c.amount(path+".recompute_weight", p.GetRecomputeWeight())
	c.amount(path+".bytes_per_token", p.GetBytesPerToken())
	c.amount(path+".prefill_tokens_per_second", p.GetPrefillTokensPerSecond())
	if servers := c.serversOf[p.GetName()]; servers > 0 && int(p.GetMinReady()) > servers {
		c.found.Add(path+".min_ready", "min_ready is %d, but the pool has %d backend servers", p.GetMinReady(), servers)
	} else if servers > 1 && int(p.GetMinReady()) == servers {
		c.found.Add(path+".min_ready", "min_ready is the number of backend servers (%d): no rollout could ever start", servers)
	}
	if kv := p.GetKvService(); kv != "" {
		service := c.byName[KindService+"/"+kv].GetService()
		if service == nil {
			c.found.Add(path+".kv_service", "service %q is not declared", kv)
		} else if !service.GetKvStore() {
			c.found.Add(path+".kv_service", "service %q is no kv_store", kv)
		}
	}
}

func (c *checker) versions(path string, p *jayv1.Pool) {
	names, digests := map[string]bool{}, map[string]bool{}
	for _, version := range p.GetVersions() {
		if version.GetName() == "" || version.GetDigest() == "" {
			c.found.Add(path+".versions", "a version needs a name and a digest")
		}
		if names[version.GetName()] {
			c.found.Add(path+".versions", "version %q is declared twice", version.GetName())
		}
		if digests[version.GetDigest()] {
			c.found.Add(path+".versions", "digest %q is declared twice", version.GetDigest())
		}
		names[version.GetName()], digests[version.GetDigest()] = true, true
	}
	if len(p.GetVersions()) == 0 {
		c.found.Add(path+".versions", "no version is declared")
	} else if !names[p.GetActiveVersion()] {
		c.found.Add(path+".active_version", "active_version %q is none of the declared versions", p.GetActiveVersion())
	}
}

func (c *checker) adapters(path string, p *jayv1.Pool) {
	names := map[string]bool{}
	for _, adapter := range p.GetAdapters() {
		if adapter.GetName() == "" || adapter.GetDigest() == "" {
			c.found.Add(path+".adapters", "an adapter needs a name and a digest")
		}
		if names[adapter.GetName()] {
			c.found.Add(path+".adapters", "adapter %q is declared twice", adapter.GetName())
		}
		names[adapter.GetName()] = true
	}
}

// callMethods may stand in a non-repeatable call; empty means any.
var callMethods = map[string]bool{"": true, "GET": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

func (c *checker) service(path string, s *jayv1.Service) {
	calls := map[string]bool{}
	for _, call := range s.GetNonRepeatable() {
		if !callMethods[call.GetMethod()] {
			c.found.Add(path+".non_repeatable", "method %q is none of GET, POST, PUT, PATCH, DELETE", call.GetMethod())
		}
		id := call.GetMethod() + " " + call.GetPathPrefix()
		if calls[id] {
			c.found.Add(path+".non_repeatable", "call %q is declared twice", id)
		}
		calls[id] = true
	}
	if s.GetKvStore() && len(s.GetNonRepeatable()) > 0 {
		c.found.Add(path+".kv_store", "a store of kept KV cache has no non-repeatable calls")
	}
}

func (c *checker) backendServer(path string, b *jayv1.BackendServer) {
	switch {
	case (b.GetPool() == "") == (b.GetService() == ""):
		c.found.Add(path, "exactly one of pool and service must be set")
	case b.GetPool() != "" && c.byName[KindPool+"/"+b.GetPool()] == nil:
		c.found.Add(path+".pool", "pool %q is not declared", b.GetPool())
	case b.GetService() != "" && c.byName[KindService+"/"+b.GetService()] == nil:
		c.found.Add(path+".service", "service %q is not declared", b.GetService())
	}
	c.agentAddress(path, b)
	c.place(path, b)
	isEngine := b.GetPool() != ""
	if isEngine && !oneOf(engineVendors, b.GetVendor()) {
		c.found.Add(path+".vendor", "vendor %q is none of %v", b.GetVendor(), engineVendors)
	}
	if !isEngine && b.GetVendor() != vendorPlain && b.GetVendor() != "" {
		c.found.Add(path+".vendor", "vendor %q: a server of a plain service is %q", b.GetVendor(), vendorPlain)
	}
}

func (c *checker) agentAddress(path string, b *jayv1.BackendServer) {
	path += ".agent_address"
	switch address, err := netip.ParseAddrPort(b.GetAgentAddress()); {
	case b.GetAgentAddress() == "" && b.GetPool() != "" && !b.GetChecksFencing():
		// An engine that takes orders from anyone would carry out those of a
		// holder whose lease has lapsed; only an agent in front of it stops them.
		c.found.Add(path, "the engine does not check fencing numbers and has no agent that does")
	case b.GetAgentAddress() == "":
		c.found.Add(path, "agent_address is missing: work reaches a backend server through its agent")
	case err != nil:
		c.found.Add(path, "%q is no IP:port", b.GetAgentAddress())
	case address.Port() == 0 || address.Addr().IsUnspecified():
		c.found.Add(path, "%q can't be dialled", b.GetAgentAddress())
	default:
		if other, doubled := c.addresses[address.String()]; doubled {
			c.found.Add(path, "%s is the address of %s already", address, other)
		}
		c.addresses[address.String()] = path
	}
}

// place checks that a data centre lies in one region.
func (c *checker) place(path string, b *jayv1.BackendServer) {
	if b.GetDataCentre() == "" {
		c.found.Add(path+".data_centre", "data_centre is missing")
	}
	if b.GetRegion() == "" {
		c.found.Add(path+".region", "region is missing")
	}
	if region, known := c.regions[b.GetDataCentre()]; known && region != b.GetRegion() {
		c.found.Add(path+".region", "data centre %q is in region %q elsewhere", b.GetDataCentre(), region)
		return
	}
	c.regions[b.GetDataCentre()] = b.GetRegion()
}
