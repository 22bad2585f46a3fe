package relay

// AckLimits bound what a receiver leaves unacknowledged.
type AckLimits struct {
	// EveryChunks and EveryBytes are the distance between two acknowledgements, whichever is
	// reached first.
	EveryChunks, EveryBytes int
	// HeldChunks and HeldBytes are how far acknowledgements stay behind the last chunk that was
	// passed on, whichever is reached first.
	HeldChunks, HeldBytes int
}

// Acks decides which chunks a receiver acknowledges to the sender. Chunks that were passed on may
// not have reached the caller, who then resumes through another receiver; the last ones are held
// back for it. They stay in the sender's buffer, so both limits in bytes together must be smaller
// than that.
type Acks struct {
	limits AckLimits
	acked  uint64
	// last is the end of the chunks that were passed on, marked the last acknowledgement or mark.
	last, marked mark
	// marks are the positions to be acknowledged next, oldest first.
	marks []mark
}

// mark is a position between two chunks.
type mark struct {
	next  uint64
	bytes int
}

// NewAcks returns the acknowledgements of a receiver whose caller has all chunks below next.
func NewAcks(limits AckLimits, next uint64) Acks {
	return Acks{limits: limits, acked: next, last: mark{next: next}, marked: mark{next: next}}
}

// Passed records that the next chunk, of so many bytes, was passed on. It reports whether an
// acknowledgement of all chunks below Acked is due.
func (a *Acks) Passed(bytes int) (due bool) {
	a.last.next++
	a.last.bytes += bytes + chunkOverhead
	if a.last.isBeyond(a.marked, a.limits.EveryChunks, a.limits.EveryBytes) {
		a.marked = a.last
		a.marks = append(a.marks, a.last)
	}
	for len(a.marks) > 0 && a.last.isBeyond(a.marks[0], a.limits.HeldChunks, a.limits.HeldBytes) {
		a.acked, due = a.marks[0].next, true
		a.marks = a.marks[1:]
	}
	return due
}

// Acked returns the number of the first chunk that is not acknowledged.
func (a *Acks) Acked() uint64 { return a.acked }

// isBeyond reports whether the mark is at least so many chunks or bytes after the other one.
func (m mark) isBeyond(other mark, chunks, bytes int) bool {
	return m.next-other.next >= uint64(chunks) || m.bytes-other.bytes >= bytes //nolint:gosec // limits are not negative
}
