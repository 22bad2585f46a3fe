// Package relay keeps the stream of a response complete and in order across reconnects: the
// sender's replay buffer, the receiver's sequence checks and the validation of engine events.
// It has no I/O, goroutine or clock; callers lock.
package relay

import "errors"

// Errors of the sender.
var (
	// ErrFull means that the buffer has no space until the receiver acknowledges more chunks.
	ErrFull = errors.New("replay buffer full")
	// ErrEvicted means that the requested chunk is no longer kept.
	ErrEvicted = errors.New("chunk no longer kept for resume")
	// ErrAhead means that the requested chunk was never appended.
	ErrAhead = errors.New("resume point is beyond the chunks that were appended")
)

// chunkOverhead is the memory of a chunk besides its data, in bytes: slice header and
// allocation.
const chunkOverhead = 48

// Buffer keeps the chunks of one response for replay, within a bound of bytes. Chunks are numbered
// from 0.
type Buffer struct {
	maxBytes int
	bytes    int
	// first is the number of the oldest chunk, chunks[0].
	first  uint64
	chunks [][]byte
	// cursor is the number of the next chunk to send on the current link.
	cursor uint64
	// acked: all chunks below it were acknowledged. It is never above cursor.
	acked uint64
}

// NewBuffer returns a buffer of at most maxBytes, including the overhead per chunk.
func NewBuffer(maxBytes int) *Buffer { return &Buffer{maxBytes: maxBytes} }

// Append adds the next chunk. To make space it evicts the oldest acknowledged chunks. Chunks
// that were only sent may have been lost with their link and are not evicted. If there is
// nothing to evict, Append returns ErrFull, and the caller waits for Ack. A chunk larger than
// the bound is accepted when the buffer is empty.
func (b *Buffer) Append(data []byte) error {
	size := len(data) + chunkOverhead
	for b.bytes+size > b.maxBytes && len(b.chunks) > 0 {
		if b.first >= b.acked {
			return ErrFull
		}
		b.dropFirst()
	}
	b.chunks = append(b.chunks, data)
	b.bytes += size
	return nil
}

// Next returns the next chunk to send and advances the cursor. It returns false if there is none.
func (b *Buffer) Next() (seq uint64, data []byte, ok bool) {
	if b.cursor >= b.Count() {
		return 0, nil, false
	}
	seq = b.cursor
	b.cursor++
	return seq, b.chunks[seq-b.first], true
}

// Ack records that the receiver has forwarded all chunks below next. They are kept for a later
// resume until their space is needed. Numbers beyond the chunks sent are ignored.
func (b *Buffer) Ack(next uint64) {
	if next <= b.cursor {
		b.acked = max(b.acked, next)
	}
}

// Resume moves the cursor to next, the first chunk that the receiver lacks. It acknowledges
// nothing: a receiver that reconnects has passed on the chunks before next, but its caller may
// lack them and resume through another receiver. Chunks from next on are needed again, even if
// they were acknowledged before. It returns ErrEvicted or ErrAhead if the buffer can't continue
// there.
func (b *Buffer) Resume(next uint64) error {
	if next < b.first {
		return ErrEvicted
	}
	if next > b.Count() {
		return ErrAhead
	}
	b.cursor = next
	b.acked = min(b.acked, next)
	return nil
}

// Count returns the number of chunks appended so far.
func (b *Buffer) Count() uint64 { return b.first + uint64(len(b.chunks)) }

// Bytes returns the memory used by the chunks, including the overhead per chunk.
func (b *Buffer) Bytes() int { return b.bytes }

func (b *Buffer) dropFirst() {
	b.bytes -= len(b.chunks[0]) + chunkOverhead
	b.chunks[0] = nil
	b.chunks = b.chunks[1:]
	b.first++
}
