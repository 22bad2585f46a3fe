package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strings"

	"github.com/jayproxy/jayproxy/internal/routetable"
)

func (c *checker) services() {
	used := c.usedServices()
	names := map[string]int{}
	usedModels := map[string]bool{}
	for _, service := range c.table.DeclaredServices() {
		if hasEngine(service) && used[service.Name] {
			for _, model := range service.Engine.Models {
				usedModels[model] = true
			}
		}
	}
	for i, service := range c.table.DeclaredServices() {
		c.name(SectionService, i, service.Name, names)
		c.unused(i, service, used, usedModels)
		c.serviceLimits(i, service)
	}
}

// unused finds services, models and KV cache stores that no route uses. All stores serve
// all engines.
func (c *checker) unused(index int, service routetable.Service, used, usedModels map[string]bool) {
	if c.options.Incomplete {
		return
	}
	at := func(field Field, item int) Place {
		return Place{Section: SectionService, Index: index, Field: field, Item: item}
	}
	switch {
	case service.KVStore != nil:
		if !c.anyEngineUsed(used) {
			c.found.warn(at(FieldStoreAddress, 0), "the KV cache store is not used: no route leads to model engines")
		}
	case !used[service.Name]:
		c.found.warn(at(FieldNone, 0), "is not used: no route sends requests to it")
	}
	if service.Engine == nil {
		return
	}
	for i, model := range service.Engine.Models {
		if !usedModels[model] {
			c.found.warn(at(FieldModel, i), "model %q is not used: no route leads to its engines", model)
		}
	}
}

func (c *checker) serviceLimits(index int, service routetable.Service) {
	at := func(field Field) Place { return Place{Section: SectionService, Index: index, Field: field} }
	if service.MaxConns < 0 {
		c.found.err(at(FieldMaxConns), "%d is negative", service.MaxConns)
	}
	if store := service.KVStore; store != nil {
		if _, err := netip.ParseAddrPort(store.Address); err != nil {
			c.found.err(at(FieldStoreAddress), "%q is not an address IP:port", store.Address)
		}
		if store.CapacityTokens <= 0 {
			c.found.warn(at(FieldStoreTokens), "%d: the store can hold nothing", store.CapacityTokens)
		}
	}
	if service.Engine != nil {
		c.engine(at, service)
	}
}

func (c *checker) engine(at func(Field) Place, service routetable.Service) {
	engine := service.Engine
	type named struct {
		field Field
		value int
	}
	for _, limit := range []named{
		{FieldSlots, engine.Slots}, {FieldEngineTokens, engine.KVCapacityTokens}, {FieldTokenBytes, engine.TokenBytes}, {FieldMaxEventCalls, engine.MaxEventCalls},
	} {
		if limit.value < 0 {
			c.found.err(at(limit.field), "%d is negative", limit.value)
		}
	}
	switch {
	case engine.Slots == 0:
		c.found.warn(at(FieldSlots), "is 0 or missing: the engines run no request")
	case service.MaxConns > 0 && service.MaxConns < engine.Slots:
		c.found.warn(at(FieldMaxConns), "%d connections are fewer than the %d slots of an engine", service.MaxConns, engine.Slots)
	}
	if engine.KVCapacityTokens == 0 {
		c.found.warn(at(FieldEngineTokens), "is 0 or missing: the engines can hold no prompt")
	}
	if service.KVStore != nil {
		c.found.err(at(FieldStoreAddress), "has engines and is a KV cache store")
	}
}

func (c *checker) workspaces() {
	names := map[string]int{}
	owners := map[string]int{}
	for i := range c.table.Workspaces {
		w := &c.table.Workspaces[i]
		c.name(SectionWorkspace, i, w.Name, names)
		c.keys(i, w, owners)
		c.usage(i, w)
		if w.HasPriority {
			c.priority(SectionWorkspace, i, w.Priority)
		}
	}
}

func (c *checker) keys(index int, w *routetable.Workspace, owners map[string]int) {
	if len(w.Keys) == 0 && !c.options.Incomplete {
		c.found.warn(Place{Section: SectionWorkspace, Index: index, Field: FieldKeys}, "has no key, so no caller can use it")
	}
	for i, key := range w.Keys {
		place := Place{Section: SectionWorkspace, Index: index, Field: FieldKey, Item: i}
		owner, known := owners[key]
		switch {
		case key == "":
			c.found.err(place, "is empty: requests without a key would belong to this workspace")
		case known && owner == index:
			c.found.warn(place, "key %s is listed twice", HashKey(key))
		case known:
			c.found.err(place, "key %s is also a key of workspace %q", HashKey(key), c.table.Workspaces[owner].Name)
		case strings.TrimSpace(key) != key:
			c.found.warn(place, "key %s begins or ends with a space", HashKey(key))
		}
		if !known {
			owners[key] = index
		}
	}
}

func (c *checker) usage(index int, w *routetable.Workspace) {
	at := func(field Field) Place { return Place{Section: SectionWorkspace, Index: index, Field: field} }
	usage := w.Usage
	switch {
	case !usage.Cap.Limited():
		if usage.Cap.Burst > 0 {
			c.found.warn(at(FieldBurst), "%g without a rate: the workspace has no cap", usage.Cap.Burst)
		}
	case usage.CountsTokens && usage.DefaultTokens == 0:
		c.found.warn(at(FieldDefaultTokens), "is 0 or missing: requests that state no tokens are not counted")
	case usage.CountsTokens && usage.Cap.Burst < usage.DefaultTokens:
		c.found.warn(at(FieldBurst), "%g tokens are less than one prompt, which counts as %g if it states no tokens", usage.Cap.Burst, usage.DefaultTokens)
	}
}

// keyHashBytes is how much of a key's hash is shown: enough to tell keys apart, too little
// to find a key by trying.
const keyHashBytes = 4

// HashKey returns a short hash by which an API key can be named in messages.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "#" + hex.EncodeToString(sum[:keyHashBytes])
}
