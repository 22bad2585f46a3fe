package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/fleet"
	"github.com/jayproxy/jayproxy/internal/membership"
	"github.com/jayproxy/jayproxy/internal/responselimit"
	"github.com/jayproxy/jayproxy/internal/routetable"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

// floodingEntry answers each call with a text and then a piece again and again until the caller
// closes the connection. It returns its address.
func floodingEntry(t *testing.T, text, piece string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, err := io.WriteString(c, text)
				for whole := []byte(strings.Repeat(piece, 1+(8<<10)/len(piece))); err == nil; {
					_, err = c.Write(whole)
					time.Sleep(time.Millisecond) // The entries share the processor with this one.
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a response of another entry without end that is read until the memory is used
// up, or is taken for complete.
func TestResponsesOfOtherEntriesAreBounded(t *testing.T) {
	const calls, maxMB = 80, 24
	kilobyte := strings.Repeat("x", 1<<10)
	for kind, one := range map[string]struct {
		text, piece string
		bound       responselimit.Bound
		calls       int
	}{
		"header line":   {"HTTP/1.1 200 OK\r\nLong: ", kilobyte, responselimit.Head, calls},
		"header fields": {"HTTP/1.1 200 OK\r\n", "Field: value\r\n", responselimit.Head, calls},
		"status line":   {"HTTP/1.1 200 ", kilobyte, responselimit.Head, calls},
		"body":          {"HTTP/1.1 200 OK\r\n\r\n{\"rows\":[", `{"key":"` + kilobyte + `"},`, responselimit.Body, 1},
	} {
		t.Run(kind, func(t *testing.T) {
			p := newPeers(Settings{Node: "gw1"})
			address := floodingEntry(t, one.text, one.piece)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var wait sync.WaitGroup
			for range one.calls {
				wait.Go(func() {
					_, err := p.table(t.Context(), maxPeerTime, address, "op", wholeTable)
					bound, _ := responselimit.Exceeded(err)
					assert.Equal(t, one.bound, bound, "%v", err)
				})
			}
			wait.Wait()
			runtime.ReadMemStats(&after)
			added := (int64(after.HeapSys) - int64(before.HeapSys)) >> 20 //nolint:gosec // bytes of this process
			t.Logf("heap: %d MB more", added)
			assert.LessOrEqual(t, added, int64(maxMB), "MB of heap")
		})
	}
}

// Guards against a bound on the time of a head or a failed response where no other send can
// follow, as the response would have come late, and on responses that are not failed.
func TestTheTimeOfAHeadIsBoundedOnlyWhereAnotherSendMayFollow(t *testing.T) {
	repeatable := &routetable.Route{Kind: routetable.Idempotent, MaxAttempts: 2}
	for name, one := range map[string]struct {
		job        job
		candidates int
		bounded    bool
	}{
		"first of two":               {job{route: repeatable, sends: 1}, 4, true},
		"candidates not known":       {job{route: repeatable, sends: 1}, 0, true},
		"last of two":                {job{route: repeatable, sends: 2, indeterminateSends: 1}, 4, false},
		"last of all sends":          {job{route: repeatable, sends: maxSends}, 4, false},
		"no other server":            {job{route: repeatable, sends: 1}, 1, false},
		"may run once":               {job{route: &routetable.Route{Kind: routetable.Once, MaxAttempts: 2}, sends: 1}, 4, false},
		"stream that cannot go on":   {job{route: &routetable.Route{Kind: routetable.Stream, MaxAttempts: 2}, sends: 1}, 4, false},
		"stream that can be resumed": {job{route: &routetable.Route{Kind: routetable.Stream, Resumable: true, MaxAttempts: 2}, sends: 1}, 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			got := one.job.headTime(&routing.DirectChoice{Candidates: one.candidates})
			assert.Equal(t, one.bounded, got > 0, "%v", got)
			for status, signedBounded := range map[int]bool{200: false, 302: false, 404: false, 500: true} {
				for _, signed := range []bool{true, false} {
					got := one.job.failedTime(&routing.DirectChoice{Candidates: one.candidates}, &call.ResponseHead{Status: status, Sealed: signed})
					assert.Equal(t, one.bounded && status != 200 && (signedBounded || !signed), got > 0, "status %d, signed %v: %v", status, signed, got)
				}
			}
		})
	}
}

// Guards against failed responses that are cut off although their end is known or they are
// signed, and against ones without end that are passed on.
func TestOnlyFailedResponsesWithoutEndAreBounded(t *testing.T) {
	const long = responselimit.MaxFailedBytes + 1
	for name, one := range map[string]struct {
		status int
		sealed bool
		length int64
		bytes  int
		bound  responselimit.Bound
	}{
		"short, no length":           {status: 404, length: -1, bytes: 100},
		"longest without length":     {status: 500, length: -1, bytes: responselimit.MaxFailedBytes},
		"too long without length":    {status: 500, length: -1, bytes: long, bound: responselimit.FailedBody},
		"redirection without end":    {status: 302, length: -1, bytes: long, bound: responselimit.FailedBody},
		"long with a length":         {status: 404, length: long, bytes: long},
		"very long with a length":    {status: 404, length: responselimit.MaxFailedLength + 1, bytes: long, bound: responselimit.FailedBody},
		"signed, without length":     {status: 500, sealed: true, length: -1, bytes: long},
		"signed, with any length":    {status: 404, sealed: true, length: 1 << 40, bytes: long},
		"success, signed, no length": {status: 200, sealed: true, length: -1, bytes: long},
	} {
		t.Run(name, func(t *testing.T) {
			response := &upstream.Response{Status: one.status, Length: one.length, Body: strings.NewReader(strings.Repeat("x", one.bytes))}
			body, err := readBuffered(response, &call.ResponseHead{Status: one.status, Sealed: one.sealed}, maxBufferedBytes)
			bound, exceeded := responselimit.Exceeded(err)
			assert.Equal(t, one.bound, bound)
			assert.Equal(t, one.bound != "", exceeded)
			if !exceeded {
				require.NoError(t, err)
				assert.Len(t, body, min(one.bytes, maxBufferedBytes))
			}
		})
	}
}

// Guards against a server that exceeds a bound and is not told to other entries, as one is that
// is not reached.
func TestAServerThatExceedsABoundIsToldToOtherEntries(t *testing.T) {
	s := newState(Settings{Node: "gw1"}, func(string) {})
	now := time.Now()
	for _, name := range []string{"p1", "p2"} {
		s.putBackend(now, &fleet.Backend{Incarnation: fleet.Incarnation{Instance: name}, Service: "portal", Address: "10.0.0.0:80", Software: "v1"})
	}
	s.mu.Lock()
	s.refreshMembersLocked(now)
	s.mu.Unlock()
	exceeded := fmt.Errorf("%w: %w", upstream.ErrInvalidResponse, &responselimit.Error{Bound: responselimit.Head, Limit: responselimit.MaxHeadBytes})
	s.sendFailed(now, "p1", exceeded)
	s.sendFailed(now, "p2", upstream.ErrInvalidResponse)
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, []string{"p1"}, s.takeUnreachedLocked())
	assert.Equal(t, membership.StateSuspect, s.members.State("p1"))
}
