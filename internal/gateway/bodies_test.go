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

func noWait() time.Duration { return 0 }

// Guards against bodies that are changed, or held in more memory than they have claimed.
func TestBodiesAreReadWithinTheMemoryThatTheyHold(t *testing.T) {
	for _, size := range []int{1, 1000, firstBodyBytes, bodymemory.SmallBytes - 1, bodymemory.SmallBytes, bodymemory.SmallBytes + 1, 1 << 20, testLargestBody} {
		for _, length := range []int64{int64(size), -1} {
			m := newBodyMemory(testProcessBytes)
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
	m := newBodyMemory(testProcessBytes)
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

// Guards against a body that arrives slowly and holds the memory that another waits for.
func TestASlowBodyGivesWay(t *testing.T) {
	m := newBodyMemory(3 * 3 * testLargestBody) // Room for two of the largest bodies.
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
