// Package streamorigin keeps which software version of a service began each stream. A
// caller that takes a stream up at another entry names the attempt that brought its first
// event; what two versions write doesn't fit together, so the stream may go on at the
// version that began it only. It does no I/O, starts no goroutine and reads no clock;
// callers provide the locking.
//
// The entry at which a stream begins tells its holders before the caller gets the first
// event: RecordHolders other entries, chosen by the rendezvous order of the stream, so
// that a record outlives its entry and either of them. An entry that does not know a
// stream asks the first AskedHolders. These include the holders also if the entry that
// began the stream is among them, or the list of entries has changed by one. A stream that
// none of them knows must be refused.
package streamorigin

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/shard"
)

const (
	// RecordHolders is the number of other entries that keep a record.
	RecordHolders = 2
	// AskedHolders is the number of other entries that are asked for one.
	AskedHolders = 4
	// recordTime is how long a record is kept after the stream was last begun or taken up,
	// several times the time limit of a caller.
	recordTime = time.Minute
	// maxRecords bounds the records of one entry; the oldest are dropped.
	maxRecords = 1 << 16
)

// Stream identifies a stream by the attempt that brought its first event.
type Stream uint64

// Version identifies a version of a service's software. 0 means that it is not known, or
// that any will do.
type Version uint32

// StreamOf returns the stream of the attempt with a request ID.
func StreamOf(requestID string) Stream { return Stream(xxh3.HashString(requestID)) }

// VersionOf returns the version of a service's software with a name. It is never 0.
func VersionOf(service, software string) Version {
	return Version(uint32(xxh3.HashString(service+"\x00"+software)) | 1) //nolint:gosec // the low half of a hash
}

// Records are the streams that one entry knows.
type Records struct {
	byStream map[Stream]record
	// order holds the streams as recorded, oldest first; one recorded again occurs twice.
	order []entry
}

type record struct {
	version Version
	until   time.Time
}

type entry struct {
	stream Stream
	until  time.Time
}

// NewRecords returns Records without a stream.
func NewRecords() *Records { return &Records{byStream: map[Stream]record{}} }

// Put records the version that began a stream. A stream that is said to have begun at two
// versions counts as unknown.
func (r *Records) Put(now time.Time, stream Stream, version Version) {
	r.expire(now)
	until := now.Add(recordTime)
	if old, ok := r.byStream[stream]; ok && old.version != version {
		version = 0
	}
	r.byStream[stream] = record{version: version, until: until}
	r.order = append(r.order, entry{stream: stream, until: until})
}

// Get returns the version that began a stream; 0: not known.
func (r *Records) Get(now time.Time, stream Stream) Version {
	if known, ok := r.byStream[stream]; ok && now.Before(known.until) {
		return known.version
	}
	return 0
}

// Len returns the number of streams that are kept.
func (r *Records) Len() int { return len(r.byStream) }

func (r *Records) expire(now time.Time) {
	drop := 0
	for drop < len(r.order) && (!now.Before(r.order[drop].until) || len(r.order)-drop >= maxRecords) {
		if e := r.order[drop]; r.byStream[e.stream].until.Equal(e.until) {
			delete(r.byStream, e.stream)
		}
		drop++
	}
	r.order = r.order[drop:]
}

// Holders returns the first entries other than self in the rendezvous order of a stream.
func Holders(stream Stream, entries []shard.Entry, self string, count int) []shard.Entry {
	type ranked struct {
		entry shard.Entry
		rank  uint64
	}
	first := make([]ranked, 0, count+1)
	for _, e := range entries {
		if e.Name == self {
			continue
		}
		one := ranked{e, routing.Rendezvous(uint64(stream), xxh3.HashString(e.Name))}
		at, _ := slices.BinarySearchFunc(first, one, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.entry.Name, b.entry.Name))
		})
		if at < count {
			first = slices.Insert(first, at, one)[:min(len(first)+1, count)]
		}
	}
	holders := make([]shard.Entry, len(first))
	for i := range first {
		holders[i] = first[i].entry
	}
	return holders
}
