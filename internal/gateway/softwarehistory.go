package gateway

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/lease"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/softwarehistory"
	"github.com/jayproxy/jayproxy/internal/streamorigin"
)

const (
	// softwareInterval is the pause between two looks at the versions that are listed.
	softwareInterval = 250 * time.Millisecond
	// versionProofShare of the time that a caller still has is waited for a list of servers, and a
	// record of versions, that were read after it came back, but minVersionProofTimeout at least.
	versionProofShare      = 0.5
	minVersionProofTimeout = 500 * time.Millisecond
	// recordPollInterval is the pause between two looks for a merged record.
	recordPollInterval = 5 * time.Millisecond
	// takeUpTimeouts is how many time limits after a stream began its caller may take it up
	// again: one for the attempt that is broken off, one for those that are refused.
	takeUpTimeouts = 2
)

// softwareRecorder keeps the store's record of the versions of software in step with what this entry
// knows.
type softwareRecorder struct {
	gateway *Gateway
	// retryAt is when the store is called again after it has failed.
	retryAt time.Time
}

func (g *Gateway) keepSoftwareHistory(ctx context.Context) {
	r := softwareRecorder{gateway: g}
	ticker := time.NewTicker(softwareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.mergeSoftware:
		}
		r.look(ctx, time.Now())
	}
}

// look observes the versions that are listed, and merges the record where that is due.
func (r *softwareRecorder) look(ctx context.Context, now time.Time) {
	g := r.gateway
	g.state.observeSoftware()
	if g.ports.Software == nil || now.Before(r.retryAt) {
		return
	}
	writes := !g.sharded() || g.contendsAlways()
	for service, due := range g.state.softwareToMerge(writes, g.backends.complete.moment()) {
		if err := r.merge(ctx, service, due, writes); err != nil {
			r.retryAt = now.Add(otherTablesRetryPause)
			klog.InfoS("Versions of a service's software not merged with the store's record, will retry", "service", service, "retryMS", otherTablesRetryPause.Milliseconds(), "err", err)
			return
		}
	}
}

// merge merges the record of one service. In large fleets only the first entries write it.
func (r *softwareRecorder) merge(ctx context.Context, service string, due dueMerge, writes bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	read := r.gateway.ports.Software.Sightings
	if writes {
		read = func(ctx context.Context, service string) ([]softwarehistory.Sighting, error) {
			return r.gateway.ports.Software.Record(ctx, service, due.own)
		}
	}
	recorded, err := read(ctx, service)
	if err != nil {
		return err
	}
	s := r.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.software[service]; h != nil {
		h.Merge(lease.BootClock(), recorded, due.interruptions)
	}
	klog.InfoS("Versions of a service's software merged with the store's record", "service", service, "own", len(due.own), "recorded", len(recorded))
	return nil
}

// dueMerge is what this entry knows of a service whose record must be merged, and how often
// that was interrupted.
type dueMerge struct {
	own           []softwarehistory.Sighting
	interruptions int
}

// softwareToMerge returns the services whose record must be merged. asOf is the moment up to which
// the list is complete.
func (s *state) softwareToMerge(writes bool, asOf time.Time) map[string]dueMerge {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := map[string]dueMerge{}
	for service, h := range s.software {
		if h.NeedsMerge() || writes && h.RecordLacks(asOf) {
			due[service] = dueMerge{own: h.Sightings(asOf), interruptions: h.Interruptions()}
		}
	}
	return due
}

// noteUnseenServers notes that servers may have come and gone unseen, as changes of the list were
// not read, or that a number of them did.
func (s *state) noteUnseenServers(gap bool, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.software {
		if gap {
			h.Interrupt()
		}
		if count > 0 {
			h.SawUnknown(lease.BootClock())
		}
	}
}

// observeSoftware notes which versions are listed.
func (s *state) observeSoftware() {
	table := s.table.Load()
	if table == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listReady {
		return
	}
	for _, route := range table.DeclaredRoutes() {
		if !isResumable(&route) {
			continue
		}
		for _, target := range route.Targets {
			s.observeServiceLocked(lease.BootClock(), target.Service)
		}
	}
	s.softwareObserved = true
}

func isResumable(r *routetable.Route) bool { return r.Kind == routetable.Stream && r.Resumable }

// observeServiceLocked notes the versions of one service.
func (s *state) observeServiceLocked(now time.Time, service string) {
	h := s.software[service]
	if h == nil {
		h = softwarehistory.New()
		s.software[service] = h
		if s.settings.Bootstrap && !s.softwareObserved {
			h.Merge(now, nil, h.Interruptions()) // No stream has begun before the first start.
		}
	}
	var listed []streamorigin.Version
	for _, b := range s.list.OfService(service) {
		if v := streamorigin.Version(b.SoftwareHash); !slices.Contains(listed, v) {
			listed = append(listed, v)
		}
	}
	h.Observe(now, listed)
}

// onlyVersion returns the only version of the software of a service that was in service while
// a stream that is taken up now may have begun; 0: there were several, or that is not known.
// Servers may have joined until the caller came back, so the list is read once more.
// timeLeft is how long its caller still waits, which may be longer than its route allows.
func (g *Gateway) onlyVersion(ctx context.Context, route *routetable.Route, service string, timeLeft time.Duration) (streamorigin.Version, string) {
	timeout := max(minVersionProofTimeout, time.Duration(versionProofShare*float64(timeLeft)))
	until := time.Now().Add(timeout)
	if !g.awaitCompleteList(ctx, lease.BootClock(), timeout) {
		return 0, "the list of servers could not be read since the caller came back"
	}
	g.state.observeSoftware()
	g.awaitMergedSoftware(ctx, service, until)
	within := takeUpTimeouts * max(g.longestStream(service), timeLeft)
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.software[service]
	if h == nil {
		return 0, "versions in service are not known"
	}
	if !s.routeMoves.hadOnlyService(lease.BootClock(), route, within) {
		return 0, "the route leads to several services, or did not long ago"
	}
	return h.Only(lease.BootClock(), within)
}

// awaitMergedSoftware waits until the record of a service's versions is merged, if that is due.
func (g *Gateway) awaitMergedSoftware(ctx context.Context, service string, until time.Time) {
	if g.ports.Software == nil || !g.state.needsSoftwareMerge(service) {
		return
	}
	select {
	case g.mergeSoftware <- struct{}{}:
	default:
	}
	for g.state.needsSoftwareMerge(service) && time.Now().Before(until) && ctx.Err() == nil {
		sleep(ctx, recordPollInterval)
	}
}

func (s *state) needsSoftwareMerge(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.software[service]
	return h != nil && h.NeedsMerge()
}

// longestStream returns the longest time limit of a service's resumable streams.
func (g *Gateway) longestStream(service string) time.Duration {
	longest := time.Duration(0)
	for _, route := range g.state.table.Load().DeclaredRoutes() {
		serves := func(t routetable.Target) bool { return t.Service == service }
		if !isResumable(&route) || !slices.ContainsFunc(route.Targets, serves) {
			continue
		}
		timeout := route.Timeout
		if timeout <= 0 {
			timeout = defaultTimeout
		}
		longest = max(longest, timeout)
	}
	return longest
}
