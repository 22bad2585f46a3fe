// Package relay keeps an answer's stream whole and in order while links break:
// the sender's replay buffer, the receiver's sequence checks and the check of
// what an engine delivers. It has no I/O, goroutine or clock; callers lock.
package relay

import "errors"

// Errors of the sending side, to be tested with errors.Is.
var (
	// ErrFull means that the chunk does not fit until the receiver reads on.
	ErrFull = errors.New("replay buffer full")
	// ErrEvicted means that the chunk asked for is no longer kept.
	ErrEvicted = errors.New("chunk no longer kept for resume")
	// ErrAhead means that a chunk was asked for that was never sent.
	ErrAhead = errors.New("resume beyond what was sent")
)

// chunkOverhead is the memory of a kept chunk besides its data, in bytes:
// slice header and allocation.
const chunkOverhead = 48

// Buffer keeps the chunks of one answer until the receiver has them, within a
// bound of bytes. Chunks are numbered from 0.
type Buffer struct {
	maxBytes int
	bytes    int
	// first is the number of the oldest chunk kept, chunks[0].
	first  uint64
	chunks [][]byte
	// cursor is the number of the next chunk to send on the present link.
	cursor uint64
	// acked: the receiver has passed on all chunks below it.
	acked uint64
}

// NewBuffer makes a buffer that holds at most maxBytes.
func NewBuffer(maxBytes int) *Buffer { return &Buffer{maxBytes: maxBytes} }

// Append adds the next chunk. To make room it lets go of the oldest chunks
// that were acknowledged, and of no others: a chunk that was only sent may have
// been lost with its link, and an answer without it could never be made whole.
// ErrFull: the receiver is so far behind that there are none; the caller waits
// for Ack. A chunk larger than the bound is taken when the buffer is empty.
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

// Next returns the next chunk to send and moves on. False: nothing is waiting.
func (b *Buffer) Next() (seq uint64, data []byte, ok bool) {
	if b.cursor >= b.Count() {
		return 0, nil, false
	}
	seq = b.cursor
	b.cursor++
	return seq, b.chunks[seq-b.first], true
}

// Ack tells that the receiver has passed on all chunks below next. They stay
// for a caller that comes back later until their room is needed. Numbers
// beyond what was sent are ignored.
func (b *Buffer) Ack(next uint64) {
	if next <= b.cursor {
		b.acked = max(b.acked, next)
	}
}

// Resume moves the cursor to the first chunk that the receiver lacks, which
// acknowledges all before it.
func (b *Buffer) Resume(next uint64) error {
	if next < b.first {
		return ErrEvicted
	}
	if next > b.Count() {
		return ErrAhead
	}
	b.cursor = next
	b.acked = max(b.acked, next)
	return nil
}

// Count is the number of chunks appended so far.
func (b *Buffer) Count() uint64 { return b.first + uint64(len(b.chunks)) }

// Bytes is the memory that the kept chunks take.
func (b *Buffer) Bytes() int { return b.bytes }

func (b *Buffer) dropFirst() {
	b.bytes -= len(b.chunks[0]) + chunkOverhead
	b.chunks[0] = nil
	b.chunks = b.chunks[1:]
	b.first++
}
