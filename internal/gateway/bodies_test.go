package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/bodymemory"
)

const (
	testProcessBytes = 96 << 20
	testLargestBody  = 4 << 20
)

// testSource is a body; stopped is called when its reader is stopped.
type testSource struct {
	io.Reader
	stopped func()
}

func (testSource) allowStop()     {}
func (s testSource) stopReading() { s.stopped() }

func newTestHold(m *bodyMemory, body io.Reader) *memoryHold {
	return &memoryHold{memory: m, source: testSource{body, func() {}}}
}

func noConnections() int64 { return 0 }

func noWait() time.Duration { return 0 }

// Guards against bodies that are changed, or held in more memory than they have claimed.
func TestBodiesAreReadWithinTheMemoryThatTheyHold(t *testing.T) {
	for _, size := range []int{1, 1000, firstBodyBytes, bodymemory.SmallBytes - 1, bodymemory.SmallBytes, bodymemory.SmallBytes + 1, 1 << 20, testLargestBody} {
		for _, length := range []int64{int64(size), -1} {
			m := newBodyMemory(testProcessBytes, noConnections)
			m.setLargest(testLargestBody)
			want := bytes.Repeat([]byte("0123456789abcdef7"), size/17+1)[:size]
			h := newTestHold(m, iotest.HalfReader(bytes.NewReader(want)))
			require.Equal(t, bodymemory.Granted, h.claim(0, initialBodyBytes(length)))
			got, err := h.read(length, noWait)
			require.NoError(t, err)
			assert.True(t, bytes.Equal(want, got))
			assert.GreaterOrEqual(t, h.Held(), int64(cap(got)))
			h.release()
			held, asked := m.sums()
			assert.Zero(t, held+asked)
			assert.Empty(t, m.holds)
		}
	}
}

// Guards against memory that stays held after a body whose rest does not come, or whose rest
// finds no memory.
func TestBodiesThatFailHoldNothing(t *testing.T) {
	m := newBodyMemory(testProcessBytes, noConnections)
	m.setLargest(testLargestBody)
	var others []*memoryHold
	for {
		h := newTestHold(m, nil)
		if h.claim(0, testLargestBody) != bodymemory.Granted {
			break
		}
		others = append(others, h)
	}
	h := newTestHold(m, bytes.NewReader(make([]byte, 1<<20)))
	require.Equal(t, bodymemory.Granted, h.claim(0, initialBodyBytes(-1)))
	_, err := h.read(-1, noWait)
	var noMemory *noMemoryError
	require.ErrorAs(t, err, &noMemory)
	h.release()
	h = newTestHold(m, io.MultiReader(bytes.NewReader(make([]byte, 10)), iotest.ErrReader(errors.New("broken"))))
	require.Equal(t, bodymemory.Granted, h.claim(0, 1000))
	_, err = h.read(1000, noWait)
	require.Error(t, err)
	h.release()
	for _, other := range others {
		other.release()
	}
	held, asked := m.sums()
	assert.Zero(t, held+asked)
	assert.Empty(t, m.holds)
}

// Guards against bodies and connections that together exceed the memory of an entry.
func TestBodiesLeaveMemoryForConnections(t *testing.T) {
	const filesReserved = 200
	for _, one := range []struct{ megabytes, descriptors int64 }{
		{112, 4100}, {134, 4100}, {144, 3075}, {160, 4100}, {184, 4100}, {284, 4100}, {536, 8192}, {536, 10250},
	} {
		limit := one.megabytes << 20
		assert.Equal(t, limit/3, bodyMemoryBytes(limit, 0, testLargestBody), "%d MB at rest", one.megabytes)
		connections := one.descriptors - filesReserved
		bodies := bodyMemoryBytes(limit, connections, testLargestBody)
		assert.GreaterOrEqual(t, bodies, int64(2*testLargestBody))
		assert.Less(t, processBytes+connections*connectionBytes+bodies, limit, "%d MB", one.megabytes)
	}
	open := int64(0)
	m := newBodyMemory(134<<20, func() int64 { return open })
	m.setLargest(testLargestBody)
	granted := func() (count int) {
		for h := newTestHold(m, nil); h.claim(0, testLargestBody) == bodymemory.Granted; h = newTestHold(m, nil) {
			defer h.release()
			count++
		}
		return count
	}
	assert.Equal(t, 8, granted())
	open = 3900
	assert.Equal(t, 4, granted())
	open = 0
	assert.Equal(t, 8, granted())
}

// Guards against a body that arrives slowly and holds the memory that another waits for.
func TestASlowBodyGivesWay(t *testing.T) {
	m := newBodyMemory(3*3*testLargestBody, noConnections) // Room for two of the largest bodies.
	m.setLargest(testLargestBody)
	stopped := make(chan struct{}, 2)
	for range 2 {
		h := newTestHold(m, nil)
		h.source = testSource{stopped: func() { stopped <- struct{}{}; go h.release() }}
		require.Equal(t, bodymemory.Granted, h.claim(0, testLargestBody))
		h.beginReading()
	}
	time.Sleep(bodymemory.RateGrace + 50*time.Millisecond)
	h := newTestHold(m, nil)
	assert.Equal(t, bodymemory.Granted, h.claim(time.Second, testLargestBody))
	assert.NotEmpty(t, stopped)
}
