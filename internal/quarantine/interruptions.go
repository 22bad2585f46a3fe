package quarantine

import "time"

const (
	// proofTimeout is how long after an interrupted run the proof that its server
	// crashed may arrive: the server list shows a crash after several missed
	// heartbeats.
	proofTimeout = 10 * time.Second
	// listeningTimeout replaces proofTimeout once the server was found to listen:
	// it may have been probed just before its process ended.
	listeningTimeout = time.Second
	// maxInterrupted limits the number of interrupted runs that await proof.
	maxInterrupted = 8192
)

// earlyPeriod is the time after a run's first event in which the run counts as
// just begun. A request that crashes its server does so during the prefill or
// the first tokens.
const earlyPeriod = time.Second

// JustBegun reports whether a run that was interrupted at now had just begun.
// firstAt is the time of its first event; zero if there was none.
func JustBegun(now, firstAt time.Time) bool {
	return firstAt.IsZero() || now.Sub(firstAt) < earlyPeriod
}

// Interruptions holds runs that were interrupted early until it is known whether
// their servers crashed; a stream can end early for many other reasons.
type Interruptions struct {
	// pending maps server incarnations to the subjects of their interrupted runs and when
	// each expires.
	pending map[string]map[Fingerprint]time.Time
	// headCounts is the number of pending runs with each head.
	headCounts map[Head]int
	count      int
	// crashed maps crashed incarnations to the time at which that is forgotten. An
	// entry may learn of a crash before its own run there is interrupted.
	crashed map[string]time.Time
}

// NewInterruptions returns an empty set.
func NewInterruptions() *Interruptions {
	return &Interruptions{pending: map[string]map[Fingerprint]time.Time{}, headCounts: map[Head]int{}, crashed: map[string]time.Time{}}
}

// Add records that a run was interrupted early. It reports whether the server is
// already known to have crashed; the run is then not kept.
func (n *Interruptions) Add(now time.Time, run Crash) bool {
	if _, ok := n.crashed[run.Server]; ok {
		return true
	}
	if n.count >= maxInterrupted {
		return false
	}
	requests := n.pending[run.Server]
	if requests == nil {
		requests = map[Fingerprint]time.Time{}
		n.pending[run.Server] = requests
	}
	if _, ok := requests[run.Subject]; !ok {
		n.count++
		n.headCounts[run.Subject.Head()]++
	}
	requests[run.Subject] = now.Add(proofTimeout)
	return false
}

// ServerCrashed records the proof that an incarnation crashed and returns the
// crash records of its pending runs.
func (n *Interruptions) ServerCrashed(now time.Time, server string) []Crash {
	n.crashed[server] = now.Add(proofTimeout)
	var crashes []Crash
	for request := range n.pending[server] {
		crashes = append(crashes, Crash{Subject: request, Server: server})
	}
	n.dropServer(server)
	return crashes
}

// Len returns the number of pending runs.
func (n *Interruptions) Len() int { return n.count }

// MayContain reports whether a run of a request with this head may be pending.
func (n *Interruptions) MayContain(head Head) bool { return n.headCounts[head] > 0 }

// Completed records that a request completed: earlier interruptions are no longer
// counted against it.
func (n *Interruptions) Completed(request Fingerprint) {
	for server, requests := range n.pending {
		if _, ok := requests[request]; ok {
			n.remove(server, request)
		}
	}
}

// ServerDrained records that an incarnation ended as planned.
func (n *Interruptions) ServerDrained(server string) { n.dropServer(server) }

// ServerListening records that the server still accepts connections.
func (n *Interruptions) ServerListening(now time.Time, server string) {
	until := now.Add(listeningTimeout)
	for request, expires := range n.pending[server] {
		if expires.After(until) {
			n.pending[server][request] = until
		}
	}
}

// Tick drops pending runs and known crashes that have expired.
func (n *Interruptions) Tick(now time.Time) {
	for server, requests := range n.pending {
		for request, until := range requests {
			if !now.Before(until) {
				n.remove(server, request)
			}
		}
	}
	for server, until := range n.crashed {
		if !now.Before(until) {
			delete(n.crashed, server)
		}
	}
}

func (n *Interruptions) dropServer(server string) {
	for request := range n.pending[server] {
		n.remove(server, request)
	}
}

func (n *Interruptions) remove(server string, request Fingerprint) {
	n.count--
	if n.headCounts[request.Head()]--; n.headCounts[request.Head()] == 0 {
		delete(n.headCounts, request.Head())
	}
	delete(n.pending[server], request)
	if len(n.pending[server]) == 0 {
		delete(n.pending, server)
	}
}
