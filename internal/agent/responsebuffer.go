package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/relay"
)

// errSlowReader means that the replay buffer stayed full for the stall timeout.
var errSlowReader = errors.New("reader too slow, replay buffer full")

// responseBuffer is the replay buffer of one response, safe for concurrent use.
// A link is one stream to an entry on which the response is sent; only the link
// that attached last sends.
type responseBuffer struct {
	mu       sync.Mutex
	buffer   *relay.Buffer
	head     *jayv1.ServiceHead
	headSent bool
	end      *jayv1.End
	link     int
	changed  chan struct{}
}

func newResponseBuffer(maxBytes int) *responseBuffer {
	return &responseBuffer{buffer: relay.NewBuffer(maxBytes), changed: make(chan struct{})}
}

// notify unblocks all goroutines that wait for a change. The caller holds the
// lock.
func (r *responseBuffer) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *responseBuffer) setHead(head *jayv1.ServiceHead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = head
	r.notify()
}

// append adds a chunk. When the buffer is full it blocks, which stops reading
// from the engine, until the entry acknowledges chunks. It returns errSlowReader
// after the stall timeout, so that a reader that does not read can't hold memory
// for longer.
func (r *responseBuffer) append(ctx context.Context, data []byte, stall time.Duration) error {
	timer := time.NewTimer(stall)
	defer timer.Stop()
	for {
		r.mu.Lock()
		err := r.buffer.Append(data)
		changed := r.changed
		if err == nil {
			r.notify()
		}
		r.mu.Unlock()
		if err == nil {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return errSlowReader
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// finish sets the last frame, which is sent after all chunks.
func (r *responseBuffer) finish(end *jayv1.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return
	}
	end.Count = r.buffer.Count()
	r.end = end
	r.notify()
}

// attach registers a new link as the only sender, starting at the chunk with the
// number next. It fails when that chunk is no longer in the buffer.
func (r *responseBuffer) attach(next uint64) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.buffer.Resume(next); err != nil {
		return 0, err
	}
	r.link++
	r.headSent = next > 0
	r.notify()
	return r.link, nil
}

// count returns the number of chunks so far.
func (r *responseBuffer) count() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buffer.Count()
}

// bytes returns the size of the buffered chunks.
func (r *responseBuffer) bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buffer.Bytes()
}

// isCurrent reports whether the link is still the one that sends.
func (r *responseBuffer) isCurrent(link int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link == link
}

// ack records an acknowledgement that was received on the link. Those of replaced links
// are ignored: the reader of the current link may lack the chunks.
func (r *responseBuffer) ack(link int, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != link {
		return
	}
	r.buffer.Ack(next)
	r.notify()
}

// outgoing is the next step of a sender.
type outgoing struct {
	// frame is the next frame to send; nil when the sender must wait for the
	// wait channel to be closed.
	frame *jayv1.ServerFrame
	wait  <-chan struct{}
	// last is true when the frame ends the response.
	last bool
	// replaced is true when another link has attached since.
	replaced bool
}

func (r *responseBuffer) next(link int) outgoing {
	r.mu.Lock()
	defer r.mu.Unlock()
	if link != r.link {
		return outgoing{replaced: true}
	}
	if r.head != nil && !r.headSent {
		r.headSent = true
		return outgoing{frame: &jayv1.ServerFrame{Frame: &jayv1.ServerFrame_ServiceHead{ServiceHead: r.head}}}
	}
	if seq, data, ok := r.buffer.Next(); ok {
		r.notify()
		chunk := &jayv1.Chunk{Seq: seq, Data: data}
		return outgoing{frame: &jayv1.ServerFrame{Frame: &jayv1.ServerFrame_Chunk{Chunk: chunk}}}
	}
	if r.end != nil {
		return outgoing{frame: &jayv1.ServerFrame{Frame: &jayv1.ServerFrame_End{End: r.end}}, last: true}
	}
	return outgoing{wait: r.changed}
}
