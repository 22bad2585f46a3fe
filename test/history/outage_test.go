package history_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/agent"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/standin/cluster"
)

// heldListener accepts no connection until it is closed. Callers wait in the queue of the socket.
type heldListener struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *heldListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Guards against 404 for callers that had read events: every entry is replaced before it accepts
// callers, for longer than replay.abandon_ms, and the responses are complete meanwhile.
func TestStreamsOutliveEntriesThatAcceptNobody(t *testing.T) {
	const (
		callers = 12
		tokens  = 2 * answerTokens
		reading = 300 * time.Millisecond // Before the first replacement, at least.
		pause   = 300 * time.Millisecond // Between replacements.
		abandon = 8 * time.Second        // Far more than a run takes.
	)
	var held atomic.Bool
	c, err := cluster.Start(t.Context(), cluster.Options{
		Entries: 3, Engines: 3,
		Agent: func(s *agent.Settings) { s.Replay.AbandonMS = int(abandon.Milliseconds()) },
		Entry: func(s *entry.Settings) {
			if held.Load() {
				s.CallersListener = &heldListener{Listener: s.CallersListener, closed: make(chan struct{})}
			}
		},
	})
	require.NoError(t, err)
	defer c.Close()
	readers := make([]*reader, callers)
	var wg sync.WaitGroup
	for i := range readers {
		readers[i] = &reader{cluster: c, random: rand.New(rand.NewPCG(3, uint64(i))), tokens: tokens, began: make(chan struct{})}
		wg.Go(func() { readers[i].ask(t, fmt.Sprintf("Review contract %d.", i)) })
	}
	time.Sleep(reading)
	for i, r := range readers {
		select {
		case <-r.began:
		case <-time.After(10 * time.Second):
			require.Fail(t, "no event within 10 s", "caller %d", i)
		}
	}
	held.Store(true)
	for began := time.Now(); time.Since(began) < abandon+time.Second; time.Sleep(pause) {
		require.NoError(t, c.RestartEntries(t.Context()))
	}
	held.Store(false)
	require.NoError(t, c.RestartEntries(t.Context()))
	wg.Wait()
	for i, r := range readers {
		assert.Empty(t, r.failure, "caller %d", i)
		assert.True(t, r.complete, "caller %d", i)
		assert.GreaterOrEqual(t, len(r.texts), tokens, "caller %d", i)
		assert.Positive(t, r.resumes, "caller %d had no event before the entries were replaced", i)
	}
}
