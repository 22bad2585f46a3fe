package agent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
)

const (
	// engineRetryAfter is the Retry-After sent while the engine or service is
	// unavailable or full.
	engineRetryAfter = 2 * time.Second
	// statePollTimeout bounds one read of the engine's state.
	statePollTimeout = 2 * time.Second
)

// modelBackend is the model engine beside the agent, with its last observed
// state and cache contents.
type modelBackend struct {
	engine       engine.Engine
	cache        *engineCache
	kv           *kvStore
	pollInterval time.Duration

	mu    sync.Mutex
	up    bool
	state engine.State
}

func newModelBackend(e engine.Engine, s Settings) *modelBackend {
	return &modelBackend{engine: e, cache: newEngineCache(e, time.Now()), kv: newKVStore(s), pollInterval: millis(s.Engine.PollMS)}
}

// poll reads the engine's state until the context ends.
func (m *modelBackend) poll(ctx context.Context) {
	ticker := time.NewTicker(m.pollInterval)
	defer ticker.Stop()
	for {
		m.readState(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *modelBackend) readState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statePollTimeout)
	defer cancel()
	state, err := m.engine.State(ctx)
	if err != nil {
		m.markDown(err)
		return
	}
	m.cache.observeIncarnation(state.Incarnation)
	m.mu.Lock()
	defer m.mu.Unlock()
	if state.Incarnation < m.state.Incarnation {
		return // A late report of an earlier incarnation.
	}
	if !m.up || state.Incarnation != m.state.Incarnation {
		klog.InfoS("engine is up", "incarnation", state.Incarnation, "versions", state.Versions)
	}
	m.up, m.state = true, state
}

// incarnation returns the latest incarnation observed of the engine.
func (m *modelBackend) incarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnationLocked()
}

func (m *modelBackend) incarnationLocked() uint64 {
	return max(m.state.Incarnation, m.cache.incarnation())
}

// crashed reports whether an incarnation of the engine is proven to have ended:
// its port refuses connections, or a later incarnation responds.
func (m *modelBackend) crashed(ctx context.Context, incarnation uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, statePollTimeout)
	defer cancel()
	state, err := m.engine.State(ctx)
	if err != nil {
		return errors.Is(err, engine.ErrNotReached)
	}
	return incarnation != 0 && state.Incarnation > incarnation
}

// markDown refuses offers until the engine's state can be read again.
func (m *modelBackend) markDown(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.up {
		klog.ErrorS(err, "engine is down")
	}
	m.up = false
}

// check refuses offers while the engine is down, and offers whose version or
// adapter is not loaded. A refusal of 0 means that the offer is allowed.
func (m *modelBackend) check(offer *jayv1.Offer) (jayv1.Refusal, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return jayv1.Refusal_REFUSAL_ENGINE_DOWN, "engine is down"
	}
	if digest := offer.GetVersionDigest(); !slices.Contains(m.state.Versions, digest) {
		return jayv1.Refusal_REFUSAL_VERSION, "version is not loaded"
	}
	if adapter := offer.GetAdapter(); adapter != "" && !slices.Contains(m.state.Adapters, adapter) {
		return jayv1.Refusal_REFUSAL_VERSION, "adapter is not loaded"
	}
	return 0, ""
}

// fillState fills in the engine's part of the agent's state.
func (m *modelBackend) fillState(state *jayv1.AgentState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state.Incarnation = m.incarnationLocked()
	state.CacheSurvivalMs = float64(m.cache.retention(time.Now())) / float64(time.Millisecond)
	state.VersionDigests = m.state.Versions
	state.Adapters = m.state.Adapters
	state.Ready = m.up && len(m.state.Versions) > 0
}
