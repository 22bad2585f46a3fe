package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"
	"k8s.io/klog/v2"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/warmup"
)

const (
	// maxFirstLinks bounds the agents that an entry connects to before it accepts
	// callers. The first request for any other agent connects to it.
	maxFirstLinks = 16
	// firstLinksTimeout bounds the wait for those connections, so that agents that
	// don't answer don't delay the start.
	firstLinksTimeout = 500 * time.Millisecond
)

// Names of the metrics of the first connections, labelled with the entry's name.
const (
	metricFirstLinks       = "first_links"
	metricFirstLinksFailed = "first_links_failed"
)

// acceptCallers accepts callers on an inherited socket once requests can be served,
// see warmup.Limits.Accepts.
func (e *Entry) acceptCallers(ctx context.Context) {
	port := warmup.Port{Inherited: true}
	limits := e.startup.limits
	timeout := time.NewTimer(limits.Timeout)
	defer timeout.Stop()
	loaded := e.spread.Loaded()
	var linked <-chan struct{}
	for {
		next := e.holder.Next()
		port.Config, port.Age = e.search(), time.Since(e.started)
		if limits.Accepts(port) {
			break
		}
		if port.Config == warmup.Loaded && linked == nil {
			linked = e.connectFirst()
		}
		select {
		case <-next:
		case <-loaded:
			loaded = nil
		case <-linked:
			port.Linked = true
		case <-timeout.C:
		case <-ctx.Done():
			return
		}
	}
	e.startCallers(port)
}

// startCallers accepts callers from now on.
func (e *Entry) startCallers(port warmup.Port) {
	// Callers have waited in the queue of the socket for this long. Without a
	// configuration by then they are refused at once.
	e.startup.overdue.Store(port.Inherited && port.Config == warmup.Loading)
	e.callers.start()
	e.metrics.Time(metricStartServing, e.settings.Name, time.Since(e.started))
	klog.InfoS("entry accepts callers", "name", e.settings.Name, "afterStart", time.Since(e.started), "inheritedSocket", port.Inherited,
		"configured", port.Config == warmup.Loaded, "linked", port.Linked)
}

// connectFirst connects to the first agents. The channel is closed when every
// connection was made or has failed, or after firstLinksTimeout.
func (e *Entry) connectFirst() <-chan struct{} {
	done := make(chan struct{})
	servers := firstServers(e.settings, e.holder.Current().BackendServers())
	e.runInBackground(func(ctx context.Context) {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, firstLinksTimeout)
		defer cancel()
		began := time.Now()
		failed := e.connectAll(ctx, servers)
		e.metrics.Count(metricFirstLinks, e.settings.Name, int64(len(servers)))
		e.metrics.Count(metricFirstLinksFailed, e.settings.Name, failed)
		klog.InfoS("entry connected to its first agents", "name", e.settings.Name, "agents", len(servers), "failed", failed,
			"took", time.Since(began))
	})
	return done
}

// connectAll connects to the agents of the servers and returns how many failed.
func (e *Entry) connectAll(ctx context.Context, servers []*jayv1.BackendServer) int64 {
	var failed atomic.Int64
	var wg sync.WaitGroup
	for _, server := range servers {
		wg.Go(func() {
			if err := e.node.Connect(ctx, server.GetAgentAddress(), keys.RoleAgent); err != nil {
				failed.Add(1)
				klog.V(1).InfoS("agent not connected before callers are accepted", "server", server.GetName(),
					"address", server.GetAgentAddress(), "error", err.Error())
			}
		})
	}
	wg.Wait()
	return failed.Load()
}

// firstServers returns the servers that an entry connects to first: those of its
// own data centre, then of its region. Among equals each entry has its own order,
// so that entries that start together don't all connect to the same agents.
func firstServers(settings Settings, all []*jayv1.BackendServer) []*jayv1.BackendServer {
	distance := func(b *jayv1.BackendServer) int {
		switch {
		case b.GetDataCentre() == settings.DataCentre:
			return 0
		case b.GetRegion() == settings.Region:
			return 1
		}
		return 2
	}
	servers := slices.Clone(all)
	slices.SortFunc(servers, func(a, b *jayv1.BackendServer) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)),
			cmp.Compare(xxh3.HashString(settings.Name+a.GetName()), xxh3.HashString(settings.Name+b.GetName())))
	})
	return servers[:min(len(servers), maxFirstLinks)]
}
