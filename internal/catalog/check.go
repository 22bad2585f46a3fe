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
	plainVendor       = "plain"
)

// engineVendors are the vendors whose engine protocols are supported.
var engineVendors = []string{"merle", "pica"}

// namePattern allows only characters that are valid in URLs, row keys and metric
// labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker checks a whole set of resources. The path of a finding is
// kind/name.key; the loader adds file and line.
type checker struct {
	found  findings.List
	byName map[string]*jayv1.Resource
	// models, keyIDs and addresses map a value to the path that declares it, to
	// find duplicates. poolOf maps a model to the pool/name that serves it.
	models    map[string]string
	poolOf    map[string]string
	keyIDs    map[string]string
	addresses map[string]string
	// regionOf maps a data centre to its region.
	regionOf map[string]string
	// serversOf counts the backend servers by name of the pool. dataCentresOf is
	// the set of data centres by pool/name or service/name.
	serversOf     map[string]int
	dataCentresOf map[string]map[string]bool
	rules         []*jayv1.Rule
}

// Check returns the findings of a whole set of resources: missing references,
// duplicate names, values out of range and rules that can never match. A set
// with findings is not accepted, so every accepted generation is valid.
func Check(resources []*jayv1.Resource) findings.List {
	c := &checker{
		byName: map[string]*jayv1.Resource{}, models: map[string]string{}, poolOf: map[string]string{}, keyIDs: map[string]string{},
		addresses: map[string]string{}, regionOf: map[string]string{}, serversOf: map[string]int{},
		dataCentresOf: map[string]map[string]bool{},
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

// collect records the resources that others may refer to.
func (c *checker) collect(resource *jayv1.Resource) {
	name := NameOf(resource)
	if name == "" {
		c.found.Add("", "resource has no kind")
		return
	}
	if _, duplicate := c.byName[name]; duplicate {
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
	if c.dataCentresOf[target] == nil {
		c.dataCentresOf[target] = map[string]bool{}
	}
	c.dataCentresOf[target][server.GetDataCentre()] = true
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
		c.found.Add(path+".name", "name %q must be 1 to 63 letters, digits, '.', '_' or '-', and begin with a letter or digit", name)
	}
}

// checkQuantity adds a finding if a quantity is negative or not finite; 0 means
// that it is not declared.
func (c *checker) checkQuantity(path string, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		c.found.Add(path, "value %v must be a finite number of 0 or more", value)
	}
}

func (c *checker) workspace(path string, w *jayv1.Workspace) {
	if w.GetWeight() > maxWeight {
		c.found.Add(path+".weight", "weight %d is above the maximum of %d", w.GetWeight(), maxWeight)
	}
	c.checkQuantity(path+".limits.requests_per_second", w.GetLimits().GetRequestsPerSecond())
	c.checkQuantity(path+".limits.tokens_per_second", w.GetLimits().GetTokensPerSecond())
	if len(w.GetKeys()) == 0 {
		c.found.Add(path+".keys", "workspace has no key, so no caller can use it; make one with jayctl keys caller")
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
	if owner, duplicate := c.keyIDs[key.GetId()]; duplicate {
		c.found.Add(path, "key id %q is already used by %s", key.GetId(), owner)
	}
	c.keyIDs[key.GetId()] = path
	if len(key.GetSalt()) < minSaltBytes {
		c.found.Add(path, "salt of key %q is shorter than the minimum of %d bytes", key.GetId(), minSaltBytes)
	}
	if len(key.GetHash()) != hashBytes {
		c.found.Add(path, "hash of key %q must be a SHA-256 hash of %d bytes", key.GetId(), hashBytes)
	}
}

func (c *checker) pool(path string, p *jayv1.Pool) {
	if p.GetModel() == "" {
		c.found.Add(path+".model", "model is missing: it is the name by which requests select the pool")
	} else if other, duplicate := c.models[p.GetModel()]; duplicate {
		c.found.Add(path+".model", "model %q is already served by %s", p.GetModel(), other)
	}
	c.models[p.GetModel()] = path
	c.versions(path, p)
	c.adapters(path, p)
	c.checkQuantity(path+".recompute_weight", p.GetRecomputeWeight())
	c.checkQuantity(path+".bytes_per_token", p.GetBytesPerToken())
	c.checkQuantity(path+".prefill_tokens_per_second", p.GetPrefillTokensPerSecond())
	if servers := c.serversOf[p.GetName()]; servers > 0 && int(p.GetMinReady()) > servers {
		c.found.Add(path+".min_ready", "min_ready is %d, but the pool has only %d backend servers", p.GetMinReady(), servers)
	} else if servers > 1 && int(p.GetMinReady()) == servers {
		c.found.Add(path+".min_ready", "min_ready equals the number of backend servers (%d): none could be taken out of service for a rollout", servers)
	}
	if kv := p.GetKvService(); kv != "" {
		service := c.byName[KindService+"/"+kv].GetService()
		if service == nil {
			c.found.Add(path+".kv_service", "service %q is not declared", kv)
		} else if !service.GetKvStore() {
			c.found.Add(path+".kv_service", "service %q is not declared with kv_store = true", kv)
		}
	}
}

func (c *checker) versions(path string, p *jayv1.Pool) {
	names, digests := map[string]bool{}, map[string]bool{}
	for _, version := range p.GetVersions() {
		if version.GetName() == "" || version.GetDigest() == "" {
			c.found.Add(path+".versions", "a version has no name or no digest")
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
		c.found.Add(path+".versions", "pool declares no version")
	} else if !names[p.GetActiveVersion()] {
		c.found.Add(path+".active_version", "active_version %q is none of the declared versions", p.GetActiveVersion())
	}
}

func (c *checker) adapters(path string, p *jayv1.Pool) {
	names := map[string]bool{}
	for _, adapter := range p.GetAdapters() {
		if adapter.GetName() == "" || adapter.GetDigest() == "" {
			c.found.Add(path+".adapters", "an adapter has no name or no digest")
		}
		if names[adapter.GetName()] {
			c.found.Add(path+".adapters", "adapter %q is declared twice", adapter.GetName())
		}
		names[adapter.GetName()] = true
	}
}

// callMethods are the methods allowed in a non-repeatable call; empty means any.
var callMethods = map[string]bool{"": true, "GET": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

func (c *checker) service(path string, s *jayv1.Service) {
	calls := map[string]bool{}
	for _, call := range s.GetNonRepeatable() {
		if !callMethods[call.GetMethod()] {
			c.found.Add(path+".non_repeatable", "method %q is none of GET, POST, PUT, PATCH, DELETE; leave it empty for any method", call.GetMethod())
		}
		id := call.GetMethod() + " " + call.GetPathPrefix()
		if calls[id] {
			c.found.Add(path+".non_repeatable", "call %q is declared twice", id)
		}
		calls[id] = true
	}
	if s.GetKvStore() && len(s.GetNonRepeatable()) > 0 {
		c.found.Add(path+".kv_store", "a KV cache store can't have non_repeatable calls")
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
	c.checkRegion(path, b)
	isEngine := b.GetPool() != ""
	if isEngine && !emptyOrContains(engineVendors, b.GetVendor()) {
		c.found.Add(path+".vendor", "vendor %q is none of %v", b.GetVendor(), engineVendors)
	}
	if !isEngine && b.GetVendor() != plainVendor && b.GetVendor() != "" {
		c.found.Add(path+".vendor", "vendor %q is not allowed for a backend server of a service; it must be %q or empty", b.GetVendor(), plainVendor)
	}
}

func (c *checker) agentAddress(path string, b *jayv1.BackendServer) {
	path += ".agent_address"
	switch address, err := netip.ParseAddrPort(b.GetAgentAddress()); {
	case b.GetAgentAddress() == "" && b.GetPool() != "" && !b.GetChecksFencing():
		// Such an engine also executes the orders of an entry whose lease has
		// expired; only an agent in front of it can refuse them.
		c.found.Add(path, "the engine does not check fencing numbers and has no agent that does: set agent_address")
	case b.GetAgentAddress() == "":
		c.found.Add(path, "agent_address is missing: requests reach a backend server through its agent")
	case err != nil:
		c.found.Add(path, "%q is not of the form IP:port", b.GetAgentAddress())
	case address.Port() == 0 || address.Addr().IsUnspecified():
		c.found.Add(path, "%q can't be dialled: the port must not be 0 and the address must not be unspecified", b.GetAgentAddress())
	default:
		if other, duplicate := c.addresses[address.String()]; duplicate {
			c.found.Add(path, "address %s is already used by %s", address, other)
		}
		c.addresses[address.String()] = path
	}
}

// checkRegion checks that data centre and region are set and that each data
// centre is in one region.
func (c *checker) checkRegion(path string, b *jayv1.BackendServer) {
	if b.GetDataCentre() == "" {
		c.found.Add(path+".data_centre", "data_centre is missing")
	}
	if b.GetRegion() == "" {
		c.found.Add(path+".region", "region is missing")
	}
	if region, known := c.regionOf[b.GetDataCentre()]; known && region != b.GetRegion() {
		c.found.Add(path+".region", "data centre %q is in region %q according to another backend server", b.GetDataCentre(), region)
		return
	}
	c.regionOf[b.GetDataCentre()] = b.GetRegion()
}
