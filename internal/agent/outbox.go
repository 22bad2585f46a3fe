package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/relay"
)

// errSlowReader means that the reader did not take the answer in time.
var errSlowReader = errors.New("reader too slow, replay buffer full")

// outbox is one answer on its way out: the replay buffer, guarded for the
// goroutine that fills it and the one that sends from it. At most one link
// sends at a time, the latest to attach.
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

// notify wakes all who wait for a change. The caller holds the lock.
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

// append adds a chunk. A full buffer holds the caller, and through it the
// engine, back until the reader goes on; after the stall time the reader
// counts as gone: memory stays bounded whatever a caller does.
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

// finish sets the last frame; it is sent once all chunks are.
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

// attach makes the caller the only sender, from the chunk with the number on.
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

// bytes that the kept chunks take.
func (o *responseBuffer) bytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Bytes()
}

// holds tells whether the link is still the one that sends.
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

// outgoing is what a sender has to do next.
type outgoing struct {
	// frame to send; nil: wait for the channel.
	frame *jayv1.ServerFrame
	wait  <-chan struct{}
	// last: the frame ends the answer.
	last bool
	// replaced: another link has taken over.
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
