package gateway

import (
	"cmp"
	"errors"
	"io"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/bodymemory"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

const (
	// bodyMemoryShare is the share of the process's memory for bodies of requests, and of
	// responses that are held whole. The rest is for connections and state, and for what the
	// garbage collector has not freed yet.
	bodyMemoryShare = 1.0 / 3
	// usableMemoryShare is the share of the process's memory that is in use at most, with
	// processBytes for the process itself and connectionBytes for each connection: its buffers,
	// goroutines and the headers of its request.
	usableMemoryShare = 7.0 / 8
	processBytes      = 16 << 20
	connectionBytes   = 20 << 10
	// maxMemoryWait bounds the wait for memory: callers give a request up that is not read
	// within a second. memoryWaitShare bounds it as a share of the time left.
	maxMemoryWait   = 800 * time.Millisecond
	memoryWaitShare = 0.25
	// memoryRetryAfter is the retry delay of a request for which there is no memory.
	memoryRetryAfter = 500 * time.Millisecond
	// giveWayInterval is the pause between two looks for bodies that must give way.
	giveWayInterval = 100 * time.Millisecond
	// firstBodyBytes is the first buffer of a body without a length.
	firstBodyBytes = 16 << 10
	// bodyGrowth is by how much that buffer grows at a time.
	bodyGrowth = 4
	// minBufferedBytes of a response are held whether or not there is memory for them.
	minBufferedBytes = 4 << 10
)

// bodyMemory is the memory for bodies of this process. It is safe for concurrent use.
type bodyMemory struct {
	// limit is the memory of the process in bytes; 0: not bounded. connections returns how many
	// are open.
	limit       int64
	connections func() int64

	mu     sync.Mutex
	budget *bodymemory.Budget
	// holds are those of claims that wait, and of large bodies that are read.
	holds map[*bodymemory.Claim]*memoryHold
}

// newBodyMemory returns the memory for bodies in a process with so many bytes, 0: not bounded,
// and so many open connections.
func newBodyMemory(limit int64, connections func() int64) *bodyMemory {
	m := &bodyMemory{limit: limit, connections: connections, budget: bodymemory.New(0, 0), holds: map[*bodymemory.Claim]*memoryHold{}}
	m.fitToConnections()
	return m
}

// fitToConnections sets the memory for bodies to what the open connections leave. m must be
// locked.
func (m *bodyMemory) fitToConnections() {
	m.budget.SetTotal(bodyMemoryBytes(m.limit, m.connections(), m.budget.Configured()))
}

// bodyMemoryBytes returns the memory for bodies in a process with so many bytes and connections:
// a share of it, or what the connections leave, but room for two of the largest bodies.
func bodyMemoryBytes(limit, connections, largest int64) int64 {
	share := int64(float64(limit) * bodyMemoryShare)
	left := int64(float64(limit)*usableMemoryShare) - processBytes - connections*connectionBytes
	return min(share, max(left, 2*largest))
}

// setLargest sets the size of the largest body that a configuration allows; 0: any.
func (m *bodyMemory) setLargest(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.SetLargest(bytes)
	if most := m.budget.Largest(); most < bytes {
		klog.InfoS("The configuration allows larger bodies than this entry has memory for; these are rejected", "configuredBytes", bytes, "mostBytes", most)
	}
}

// largest returns what is claimed for a body without a length; 0: that is not known.
func (m *bodyMemory) largest() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Largest()
}

// sums returns the bytes held, and those that are waited for.
func (m *bodyMemory) sums() (held, asked int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Held(), m.budget.Asked()
}

// wake tells the holds of claims that they were granted. m must be locked.
func (m *bodyMemory) wake(granted []*bodymemory.Claim) {
	for _, c := range granted {
		close(m.holds[c].granted)
	}
}

// endSlow lets bodies that arrive too slowly give way to those that wait.
func (m *bodyMemory) endSlow(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.budget.Slow(now) {
		m.budget.EndReading(c)
		m.holds[c].source.stopReading()
	}
}

// memoryHold is the memory of one body.
type memoryHold struct {
	memory *bodyMemory
	bodymemory.Claim
	// source is the body. reading: the budget knows that it is read.
	source  interruptible
	reading bool
	// granted is closed when the claim, which waits, is granted.
	granted chan struct{}
}

// interruptible is a body whose reader can be stopped.
type interruptible interface {
	io.Reader
	// allowStop is called before stopReading may be.
	allowStop()
	// stopReading makes reads fail with errGivesWay.
	stopReading()
}

// errGivesWay says that a body must give way to others that wait for its memory.
var errGivesWay = errors.New("request body arrives too slowly while others wait for memory")

// newMemoryHold returns a hold that lasts until the job ends.
func (j *job) newMemoryHold() *memoryHold {
	h := &memoryHold{memory: j.gateway.bodies}
	j.held = append(j.held, h)
	return h
}

// claim asks for bytes and waits for them, at most for the given time.
func (h *memoryHold) claim(wait time.Duration, bytes int64) bodymemory.Verdict {
	m := h.memory
	m.mu.Lock()
	m.fitToConnections()
	verdict := m.budget.Claim(&h.Claim, bytes)
	if verdict == bodymemory.Waiting {
		m.holds[&h.Claim] = h
		h.granted = make(chan struct{})
	}
	m.mu.Unlock()
	if verdict != bodymemory.Waiting {
		return verdict
	}
	timeout, slow := time.NewTimer(wait), time.NewTicker(giveWayInterval)
	defer timeout.Stop()
	defer slow.Stop()
	for {
		select {
		case <-h.granted:
			return bodymemory.Granted
		case now := <-slow.C:
			m.endSlow(now)
		case <-timeout.C:
			return h.withdraw()
		}
	}
}

// withdraw ends a wait. The claim may have been granted meanwhile.
func (h *memoryHold) withdraw() bodymemory.Verdict {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !h.IsWaiting() {
		return bodymemory.Granted
	}
	if !h.reading {
		delete(m.holds, &h.Claim)
	}
	m.wake(m.budget.Release(&h.Claim))
	return bodymemory.Waiting
}

// tryClaim asks for bytes and reports whether they are held. It does not wait.
func (h *memoryHold) tryClaim(bytes int64) bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.fitToConnections()
	return h.memory.budget.TryClaim(&h.Claim, bytes)
}

func (h *memoryHold) shrinkTo(bytes int64) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.wake(h.memory.budget.ShrinkTo(&h.Claim, bytes))
}

func (h *memoryHold) release() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	delete(h.memory.holds, &h.Claim)
	h.memory.fitToConnections()
	h.memory.wake(h.memory.budget.Release(&h.Claim))
}

// noMemoryError says that there is no memory for the rest of a body.
type noMemoryError struct{ verdict bodymemory.Verdict }

// Error implements error.
func (e *noMemoryError) Error() string {
	return "no memory for the rest of the request body: " + e.verdict.String()
}

// initialBodyBytes is what is claimed before a body is read; length -1: it is not known.
func initialBodyBytes(length int64) int64 {
	if length < 0 {
		return bodymemory.SmallBytes
	}
	return length
}

// read reads a body within the memory that is held, in a buffer of its length. A body whose
// length is not known (-1) is read in a buffer that grows; when it is longer than what is held,
// memory for the largest body is claimed, for at most the time that wait returns.
func (h *memoryHold) read(length int64, wait func() time.Duration) ([]byte, error) {
	h.beginReading()
	defer h.endReading()
	reader := &bodyReader{h}
	if length >= 0 {
		whole := make([]byte, length)
		_, err := io.ReadFull(reader, whole)
		return whole, err
	}
	buffer := make([]byte, 0, firstBodyBytes)
	for {
		n, err := reader.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			h.shrinkTo(int64(cap(buffer)))
			return buffer, nil
		}
		if err == nil && len(buffer) == cap(buffer) {
			buffer, err = h.grow(buffer, wait)
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns the buffer with a larger capacity.
func (h *memoryHold) grow(buffer []byte, wait func() time.Duration) ([]byte, error) {
	size := int64(cap(buffer))
	if size >= h.Held() {
		if verdict := h.claim(wait(), cmp.Or(h.memory.largest(), size)); verdict != bodymemory.Granted {
			return nil, &noMemoryError{verdict}
		}
		h.beginReading()
	}
	larger := make([]byte, len(buffer), min(size*bodyGrowth, h.Held()))
	copy(larger, buffer)
	return larger, nil
}

// beginReading says that the body is read from now on. Only large bodies may have to give way.
func (h *memoryHold) beginReading() {
	if h.Held() <= bodymemory.SmallBytes || h.reading {
		return
	}
	h.reading = true
	h.source.allowStop()
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.holds[&h.Claim] = h
	h.memory.budget.BeginReading(&h.Claim, time.Now())
}

func (h *memoryHold) endReading() {
	if !h.reading {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.budget.EndReading(&h.Claim)
}

// bodyReader reads a body and reports how much of it has arrived.
type bodyReader struct{ hold *memoryHold }

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.hold.source.Read(p)
	if r.hold.reading {
		r.hold.memory.mu.Lock()
		r.hold.memory.budget.Received(&r.hold.Claim, n)
		r.hold.memory.mu.Unlock()
	}
	return n, err
}

// memoryWait is how long the request may wait for memory.
func (j *job) memoryWait() time.Duration {
	left := float64(time.Until(j.deadline))
	return min(maxMemoryWait, time.Duration(left*memoryWaitShare))
}

// rejectForMemory rejects a request for whose body there is no memory. It always returns false.
func (j *job) rejectForMemory(verdict bodymemory.Verdict) bool {
	held, asked := j.gateway.bodies.sums()
	retryAfter := spread(memoryRetryAfter, j.head.ID)
	if verdict == bodymemory.TooLarge {
		retryAfter = 0
	}
	j.gateway.metrics.Count("body_memory_rejected", verdict.String(), 1)
	klog.InfoS("Request rejected: no memory for its body", "request", j.head.ID, "length", j.inbound.ContentLength, "verdict", verdict.String(),
		"heldBytes", held, "waitedForBytes", asked, "waitedMS", time.Since(j.arrived).Milliseconds(), "retryAfterMS", retryAfter.Milliseconds())
	return j.respondUnavailable("no memory for the request body", retryAfter)
}

// letBodyGo releases the body of a request that cannot be sent again, if it is large and was
// sent completely.
func (j *job) letBodyGo(response *upstream.Response) {
	if j.bodyBytes <= bodymemory.SmallBytes || !response.RequestSent() {
		return
	}
	j.fingerprint() // It is computed from the body, and kept.
	j.hashes.Identity.Body, j.outbound.Body = nil, nil
	j.held[0].shrinkTo(0)
}

// bufferBytes returns how many bytes of a response of the given length (-1: unknown) may be held
// before the caller gets any of it: fewer than maxBufferedBytes where there is no memory.
func (j *job) bufferBytes(length int64) int64 {
	bytes := int64(maxBufferedBytes)
	if length >= 0 {
		bytes = min(bytes, length)
	}
	if bytes <= minBufferedBytes || j.newMemoryHold().tryClaim(bytes) {
		return maxBufferedBytes
	}
	j.gateway.metrics.Count("body_memory_rejected", "response buffer", 1)
	return minBufferedBytes
}

// releaseMemory ends all holds of the job.
func (j *job) releaseMemory() {
	for _, h := range j.held {
		h.release()
	}
}
