package gateway

import (
	"errors"
	"time"

	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/routing"
)

const (
	// connectionShare of a server's connection limit is divided among all entries;
	// each may use at least minConnections.
	connectionShare = 0.9
	minConnections  = 4
	// borrowedShare is the share of that which one entry may use of connections that the
	// others leave. It is kept below 1 for their idle connections.
	borrowedShare = 0.5
)

// chooseServer asks the router for the next server, and waits while none has
// free memory. A stream that has begun does not wait, since its caller would
// see the pause.
func (j *job) chooseServer() (routing.DirectChoice, error) {
	choice, err := j.findServer()
	if late := (*routing.TooLateError)(nil); errors.As(err, &late) {
		j.planReturn(late)
	}
	return choice, err
}

func (j *job) findServer() (routing.DirectChoice, error) {
	j.waited = false
	if j.suspectKey = j.computeSuspectKey(); j.suspectKey != 0 {
		return j.place(false)
	}
	mayWait := j.stream.delivered == 0
	if j.arriveInShare() && mayWait {
		return j.waitForMemory(routing.PrefillTime(j.head.InputTokens), false)
	}
	choice, err := j.placeByOwners(mayWait)
	if errors.Is(err, routing.ErrNoFreeMemory) {
		return j.waitForMemory(routing.PrefillTime(j.head.InputTokens), errors.Is(err, routing.ErrLongQueue))
	}
	return choice, err
}

// place asks the router for a server. With mayWait it returns routing.ErrNoFreeMemory
// rather than a server at which the request would wait for memory.
func (j *job) place(mayWait bool) (routing.DirectChoice, error) {
	s := j.gateway.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.placeLocked(time.Now(), mayWait)
}

func (j *job) placeLocked(now time.Time, mayWait bool) (routing.DirectChoice, error) {
	s := j.gateway.state
	request := j.routingRequest(s)
	request.MayWait = mayWait
	servers := s.candidatesLocked(now, j.service, j.modelName())
	j.markFullServers(servers)
	choice, err := s.router.Choose(now, &request, servers, j.excluded())
	if err == nil {
		s.placedLocked(now, choice.Server.ID)
		j.useShareLocked(now)
	}
	return choice, err
}

// routingRequest returns the request as the router needs it. The state must be
// locked.
func (j *job) routingRequest(s *state) routing.DirectRequest {
	request := routing.DirectRequest{
		ID: j.head.ID, SuspectKey: j.suspectKey, Software: uint32(j.origin), Service: j.service.Name, Bytes: j.bodyBytes,
	}
	if j.modelName() == "" {
		return request
	}
	request.Tokens, request.OutputTokens = j.head.InputTokens, j.head.OutputTokens
	request.Prefix, request.KVStores = j.head.Shared(), s.kvStoresLocked(j.table, j.service.Engine)
	request.Priority, request.Ranked = j.queuePriority(), j.ranked()
	request.TimeLeft = j.timeLeft()
	request.TokenBytes = j.service.Engine.TokenBytes
	request.MemoryShare = routing.MemoryShare(j.table.RoutePriorityRank(j.route))
	request.CacheScope = j.table.CacheScope(j.workspace)
	return request
}

// ranked reports whether prompts are placed by their priority: where a workspace has a
// priority or a cap, and owners know all prompts at their engines. An entry with its own view
// knows a part of those of other entries; prompts of lower priority, of which it knows more,
// then stand for the load of an engine.
func (j *job) ranked() bool { return j.gateway.sharded() && j.table.RanksWorkspaces() }

// queuePriority is the priority by which the pending prefill at engines is counted: that
// which they are sent, or 0 for all where prompts are not ranked.
func (j *job) queuePriority() int {
	if !j.ranked() {
		return 0
	}
	return j.table.PriorityLevel(j.route, j.workspace)
}

// markFullServers marks the servers at which this entry has used its share of
// connections.
func (j *job) markFullServers(servers []routing.DirectServer) {
	for i := range servers {
		servers[i].Full = j.isFull(&servers[i])
	}
}

// isFull reports whether this entry must open no more connections to a server. The state
// must be locked. An entry to which many callers come uses more than its share of the
// connections while the server reports free slots.
func (j *job) isFull(server *routing.DirectServer) bool {
	if j.service.MaxConns <= 0 {
		return false
	}
	busy := j.gateway.pool.Busy(server.Address)
	if busy < j.connectionsLocked() {
		return false
	}
	borrowed := int(connectionShare * borrowedShare * float64(j.service.MaxConns))
	return busy >= borrowed || !j.gateway.state.router.HasFreeSlot(time.Now(), server)
}

// connectionsLocked returns this entry's share of the connections of each server.
func (j *job) connectionsLocked() int {
	return max(minConnections, int(connectionShare*float64(j.service.MaxConns)/float64(j.gateway.state.entryCount)))
}

// keepConnection returns how long the connection of a response is kept. One beyond this
// entry's share is not: it would take the place of the other entries' connections.
func (j *job) keepConnection(address string, announced time.Duration) time.Duration {
	s := j.gateway.state
	s.mu.Lock()
	share := j.connectionsLocked()
	s.mu.Unlock()
	if j.service.MaxConns > 0 && j.gateway.pool.Open(address) > share {
		return 0
	}
	return keepAliveFor(announced)
}

// excluded returns the servers that this request must not be sent to: those tried, and
// those whose limits were used up.
func (j *job) excluded() []string {
	if len(j.overLimit) == 0 {
		return j.tried
	}
	return append(append([]string(nil), j.tried...), j.overLimit...)
}

// continuesAt reports whether a server may begin the stream, or go on with it.
func (j *job) continuesAt(b *fleet.Backend) bool {
	return j.origin == 0 || uint32(j.origin) == b.SoftwareHash
}

// unavailability says why no server can be chosen.
func (j *job) unavailability(err error) string {
	if j.origin != 0 {
		return "no backend server available of the software version that began the stream: " + err.Error()
	}
	return "no backend server available: " + err.Error()
}
