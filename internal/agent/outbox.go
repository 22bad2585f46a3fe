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

// responseBuffer is the replay buffer of one response, safe for use by the
// goroutine that fills it and those that send from it. A link is one stream to
// an entry that the response is sent on; only the link that attached last sends.
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
func (o *responseBuffer) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *responseBuffer) setHead(head *jayv1.ServiceHead) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.head = head
	o.notify()
}

// append adds a chunk. When the buffer is full it blocks, which stops reading
// from the engine, until the entry acknowledges chunks. It returns errSlowReader
// after the stall timeout, so that a reader that does not read can't hold memory
// for longer.
func (o *responseBuffer) append(ctx context.Context, data []byte, stall time.Duration) error {
	timer := time.NewTimer(stall)
	defer timer.Stop()
	for {
		o.mu.Lock()
		err := o.buffer.Append(data)
		changed := o.changed
		if err == nil {
			o.notify()
		}
		o.mu.Unlock()
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
func (o *responseBuffer) finish(end *jayv1.End) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.end != nil {
		return
	}
	end.Count = o.buffer.Count()
	o.end = end
	o.notify()
}

// attach registers a new link as the only sender, starting at the chunk with the
// number next. It fails when that chunk is no longer in the buffer.
func (o *responseBuffer) attach(next uint64) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.buffer.Resume(next); err != nil {
		return 0, err
	}
	o.link++
	o.headSent = next > 0
	o.notify()
	return o.link, nil
}

// bytes returns the size of the buffered chunks.
func (o *responseBuffer) bytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Bytes()
}

// isCurrent reports whether the link is still the one that sends.
func (o *responseBuffer) isCurrent(link int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.link == link
}

func (o *responseBuffer) ack(next uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.buffer.Ack(next)
	o.notify()
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

func (o *responseBuffer) next(link int) outgoing {
	o.mu.Lock()
	defer o.mu.Unlock()
	if link != o.link {
		return outgoing{replaced: true}
	}
	if o.head != nil && !o.headSent {
		o.headSent = true
		return outgoing{frame: &jayv1.ServerFrame{Frame: &jayv1.ServerFrame_ServiceHead{ServiceHead: o.head}}}
	}
	if seq, data, ok := o.buffer.Next(); ok {
		o.notify()
		chunk := &jayv1.Chunk{Seq: seq, Data: data}
		return outgoing{frame: &jayv1.ServerFrame{Frame: &jayv1.ServerFrame_Chunk{Chunk: chunk}}}
	}
	if o.end != nil {
		return outgoing{frame: &jayv1.ServerFrame{Frame: &jayv1.ServerFrame_End{End: o.end}}, last: true}
	}
	return outgoing{wait: o.changed}
}
