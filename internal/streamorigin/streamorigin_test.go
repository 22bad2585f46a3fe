package streamorigin_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/shard"
	"github.com/jayproxy/jayproxy/internal/streamorigin"
)

var start = time.Unix(1_000_000, 0)

func TestRecords(t *testing.T) {
	r := streamorigin.NewRecords()
	stream, v1, v2 := streamorigin.StreamOf("a"), streamorigin.VersionOf("s", "v1"), streamorigin.VersionOf("s", "v2")
	assert.NotEqual(t, v1, v2)
	assert.NotEqual(t, v1, streamorigin.VersionOf("s2", "v1"))
	assert.Zero(t, r.Get(start, stream))
	r.Put(start, stream, v1)
	assert.Equal(t, v1, r.Get(start.Add(59*time.Second), stream))
	r.Put(start.Add(50*time.Second), stream, v1)
	r.Put(start.Add(70*time.Second), streamorigin.StreamOf("b"), v2)
	assert.Equal(t, v1, r.Get(start.Add(100*time.Second), stream), "it was taken up again")
	assert.Zero(t, r.Get(start.Add(110*time.Second), stream))
	r.Put(start.Add(200*time.Second), streamorigin.StreamOf("c"), v2)
	assert.Equal(t, 1, r.Len(), "those that have lapsed are dropped")
	r.Put(start.Add(200*time.Second), streamorigin.StreamOf("c"), v1)
	assert.Zero(t, r.Get(start.Add(200*time.Second), streamorigin.StreamOf("c")), "it can't have begun at both")
}

// Guards against records that use up the memory of an entry.
func TestRecordsAreBounded(t *testing.T) {
	r := streamorigin.NewRecords()
	for i := range 200_000 {
		r.Put(start, streamorigin.StreamOf(fmt.Sprint(i)), 1)
	}
	assert.LessOrEqual(t, r.Len(), 1<<16)
	assert.Equal(t, streamorigin.Version(1), r.Get(start, streamorigin.StreamOf("199999")))
}

// simEntry is one entry of a simulated fleet. listed are the entries that it knows.
type simEntry struct {
	name    string
	records *streamorigin.Records
	listed  []shard.Entry
}

// Guards against streams that go on at another version, or are refused although an entry
// that was told of them runs, while entries are killed, restarted, added and cut off.
func TestStreamsTakenUpAtOtherEntriesGoOnAtTheirVersion(t *testing.T) {
	for _, size := range []int{2, 4, 31, 810} {
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, uint64(size)))
			fleet := newFleet(size)
			known, streams := 0, 200
			for i := range streams {
				if i%20 == 0 {
					fleet.change(random)
				}
				from := fleet.entries[random.IntN(len(fleet.entries))]
				stream, version := streamorigin.StreamOf(fmt.Sprint("r", i)), streamorigin.VersionOf("s", fmt.Sprint("v", random.IntN(3)))
				from.records.Put(start, stream, version)
				for _, h := range streamorigin.Holders(stream, from.listed, from.name, streamorigin.RecordHolders) {
					if e := fleet.byName(h.Name); e != nil && random.IntN(100) > 0 {
						e.records.Put(start, stream, version)
					}
				}
				fleet.restart(from)
				for range 3 {
					at := fleet.entries[random.IntN(len(fleet.entries))]
					got := fleet.find(at, stream)
					if got == 0 {
						continue
					}
					known++
					assert.Equal(t, version, got, "seed %d", seed)
				}
			}
			assert.GreaterOrEqual(t, known, 3*streams/2, "seed %d of %d entries", seed, size)
		}
	}
}

type fleet struct {
	entries []*simEntry
	next    int
}

func newFleet(size int) *fleet {
	f := &fleet{}
	for range size {
		f.add()
	}
	f.learn(len(f.entries))
	return f
}

func (f *fleet) add() {
	f.entries = append(f.entries, &simEntry{name: fmt.Sprint("e", f.next), records: streamorigin.NewRecords()})
	f.next++
}

// learn lets the first n entries read the list.
func (f *fleet) learn(n int) {
	var all []shard.Entry
	for _, e := range f.entries {
		all = append(all, shard.Entry{Name: e.name})
	}
	for _, e := range f.entries[:n] {
		e.listed = all
	}
}

// change adds or removes an entry, of which only some of the others know for a while.
func (f *fleet) change(random *rand.Rand) {
	f.learn(len(f.entries))
	if len(f.entries) > 2 && random.IntN(2) == 0 {
		i := random.IntN(len(f.entries))
		f.entries = slices.Delete(f.entries, i, i+1)
	} else {
		f.add()
	}
	f.learn(random.IntN(len(f.entries)))
	f.entries[len(f.entries)-1].listed = f.entries[0].listed
}

func (f *fleet) restart(e *simEntry) { e.records = streamorigin.NewRecords() }

func (f *fleet) byName(name string) *simEntry {
	for _, e := range f.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// find returns the version that an entry learns of a stream.
func (f *fleet) find(at *simEntry, stream streamorigin.Stream) streamorigin.Version {
	if v := at.records.Get(start, stream); v != 0 {
		return v
	}
	for _, h := range streamorigin.Holders(stream, at.listed, at.name, streamorigin.AskedHolders) {
		if e := f.byName(h.Name); e != nil {
			if v := e.records.Get(start, stream); v != 0 {
				return v
			}
		}
	}
	return 0
}
