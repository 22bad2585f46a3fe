package sim

import (
	"slices"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
)

// adapterShare divides a version's load time to give that of an adapter.
const adapterShare = 10

type loading struct {
	adapter bool
	name    string
	due     time.Time
}

// models holds the versions and adapters that are loaded or loading.
type models struct {
	versions []string
	adapters []string
	role     string
	loads    []loading
}

func newModels(options Options) *models {
	return &models{
		versions: slices.Clone(options.Versions),
		adapters: slices.Clone(options.Adapters),
		role:     options.Role,
	}
}

// resolve returns the digest of the version that a request runs on: the one it
// names, or the one loaded first.
func (m *models) resolve(digest, adapter string) (string, error) {
	if digest == "" && len(m.versions) > 0 {
		digest = m.versions[0]
	}
	if !slices.Contains(m.versions, digest) {
		return "", ErrNotLoaded
	}
	if adapter != "" && !slices.Contains(m.adapters, adapter) {
		return "", ErrNotLoaded
	}
	return digest, nil
}

func (m *models) finish(now time.Time) {
	m.loads = slices.DeleteFunc(m.loads, func(l loading) bool {
		if l.due.After(now) {
			return false
		}
		if l.adapter {
			m.adapters = with(m.adapters, l.name)
		} else {
			m.versions = with(m.versions, l.name)
		}
		return true
	})
}

func (m *models) nextDue() time.Time {
	var due time.Time
	for _, l := range m.loads {
		if due.IsZero() || l.due.Before(due) {
			due = l.due
		}
	}
	return due
}

func (m *models) load(now time.Time, adapter bool, name string, loadTime time.Duration) {
	m.unload(adapter, name, false)
	m.loads = append(m.loads, loading{adapter: adapter, name: name, due: now.Add(loadTime)})
}

// unload cancels a load in progress and, if ready is set, also removes the version
// or adapter when it is already loaded.
func (m *models) unload(adapter bool, name string, ready bool) {
	m.loads = slices.DeleteFunc(m.loads, func(l loading) bool { return l.adapter == adapter && l.name == name })
	if !ready {
		return
	}
	if adapter {
		m.adapters = slices.DeleteFunc(m.adapters, func(a string) bool { return a == name })
	} else {
		m.versions = slices.DeleteFunc(m.versions, func(v string) bool { return v == name })
	}
}

func with(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}

// Order carries out an order. Loads complete later, when State lists the version
// or adapter. It returns ErrStaleFence or ErrInvalid.
func (c *Core) Order(order engine.Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.options.ChecksFencing {
		if order.Fence < c.fence {
			return ErrStaleFence
		}
		c.fence = order.Fence
	}
	now := time.Now()
	switch order.Kind {
	case jayv1.OrderKind_ORDER_KIND_LOAD_VERSION:
		c.models.load(now, false, order.Digest, c.options.LoadTime)
	case jayv1.OrderKind_ORDER_KIND_UNLOAD_VERSION:
		c.models.unload(false, order.Digest, true)
	case jayv1.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		c.models.load(now, true, order.Adapter, c.options.LoadTime/adapterShare)
	case jayv1.OrderKind_ORDER_KIND_UNLOAD_ADAPTER:
		c.models.unload(true, order.Adapter, true)
	case jayv1.OrderKind_ORDER_KIND_SET_ROLE:
		c.models.role = order.Role
	default:
		return ErrInvalid
	}
	c.models.finish(now)
	c.signal()
	return nil
}
