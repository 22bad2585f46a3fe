package upstream_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/upstream"
)

// cutForm is a response in one of the forms that a server may choose.
type cutForm struct {
	text, body string
	// unframed: the body ends with the connection, so that only a cut in the head shows.
	unframed bool
	method   string
}

const cutHead = "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n"

// cutForms are responses to the request with the ID 1.
var cutForms = map[string]cutForm{
	"length":               {text: cutHead + "Content-Length: 12\r\n\r\nwhole answer", body: "whole answer"},
	"length 0":             {text: cutHead + "Content-Length: 0\r\n\r\n"},
	"length first":         {text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: 1\r\nLoad: 1,2,3\r\n\r\nok", body: "ok"},
	"no content":           {text: "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n"},
	"not modified":         {text: "HTTP/1.1 304 Not Modified\r\nId: 1\r\nContent-Length: 12\r\n\r\n"},
	"head":                 {text: cutHead + "Content-Length: 12\r\n\r\n", method: http.MethodHead},
	"chunks":               {text: cutHead + "Transfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n", body: "whole answer"},
	"long chunk size":      {text: cutHead + "Transfer-Encoding: chunked\r\n\r\n0000000c;name=value\r\nwhole answer\r\n000;last\r\n\r\n", body: "whole answer"},
	"trailer":              {text: cutHead + "Trailer: Sum, Id\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\nSum: 1\r\nId: 1\r\n\r\n", body: "whole answer"},
	"no chunk but trailer": {text: cutHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nSum: 1\r\n\r\n"},
	"event stream":         {text: cutHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\ne\r\nid: 1\ndata: \n\n\r\n0\r\n\r\n", body: "id: 1\ndata: \n\n"},
	"line feeds only":      {text: strings.ReplaceAll(cutHead, "\r", "") + "Content-Length: 12\n\nwhole answer", body: "whole answer"},
	"folded line":          {text: cutHead + "Folded: a\r\n \t\r\n  b\r\nContent-Length: 12\r\n\r\nwhole answer", body: "whole answer"},
	"after 100":            {text: "HTTP/1.1 100 Continue\r\n\r\n" + cutHead + "Content-Length: 12\r\n\r\nwhole answer", body: "whole answer"},
	"after 103":            {text: "HTTP/1.1 103 Early Hints\r\nId: 1\r\nLink: </a>\r\nContent-Length: 0\r\n\r\n" + cutHead + "Content-Length: 12\r\n\r\nwhole answer", body: "whole answer"},
	"after 100 and 103":    {text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + cutHead + "Transfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\n\r\n", body: "whole answer"},
	"after 101":            {text: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\nConnection: Upgrade\r\nId: 1\r\n\r\n" + cutHead + "Content-Length: 2\r\n\r\nok", body: "ok"},
	"after a stray":        {text: "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n0\r\nSum: 1\r\n\r\n" + cutHead + "Content-Length: 2\r\n\r\nok", body: "ok"},
	"HTTP/1.0, length":     {text: "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\nwhole answer", body: "whole answer"},
	"HTTP/1.0":             {text: "HTTP/1.0 200 OK\r\nId: 1\r\nSignature: s\r\n\r\nwhole answer", body: "whole answer", unframed: true},
	"closing":              {text: cutHead + "Connection: close\r\n\r\nwhole answer", body: "whole answer", unframed: true},
	"closing, chunks":      {text: cutHead + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\n\r\n", body: "whole answer"},
	"neither":              {text: cutHead + "\r\nwhole answer", body: "whole answer", unframed: true},
}

// cut is where and how a server breaks off a response.
type cut struct {
	after int
	reset bool
	pause time.Duration
}

// cutServer answers the first request of a connection whole if warm is set, and others with
// the text up to the cut. It returns its address and sets text and cut.
func cutServer(t *testing.T, warm bool) (address string, set func(text string, at cut)) {
	t.Helper()
	type answer struct {
		text string
		at   cut
	}
	var current atomic.Pointer[answer]
	address = server(t, func(n int, r *http.Request, c net.Conn) bool {
		if warm && n == 1 {
			reply(c, r.Header.Get("Id"), "before")
			return true
		}
		a := current.Load()
		_, _ = io.WriteString(c, a.text[:a.at.after])
		time.Sleep(a.at.pause)
		if a.at.reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	return address, func(text string, at cut) { current.Store(&answer{text, at}) }
}

// readCut sends a request and reads its response to its end.
func readCut(t *testing.T, p *upstream.Pool, address, method string, warm bool) (string, upstream.Framing, error) {
	t.Helper()
	response, err := sendCut(t, p, address, method, warm)
	for try := 0; warm && err == nil && !response.Reused && try < 5; try++ {
		// A busy machine took longer to send the second request than the pool keeps connections.
		response.Close()
		response, err = sendCut(t, p, address, method, warm)
	}
	if err != nil {
		return "", 0, err
	}
	defer response.Close()
	require.Equal(t, warm, response.Reused)
	body, err := io.ReadAll(response.Body)
	return string(body), response.Framing, err
}

// sendCut sends a request; with warm, one that is answered whole goes first.
func sendCut(t *testing.T, p *upstream.Pool, address, method string, warm bool) (*upstream.Response, error) {
	t.Helper()
	if warm {
		_, _, err := send(p, address, "0", "")
		require.NoError(t, err)
	}
	request := &upstream.Request{Method: method, Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, HeadTime: time.Second}
	return p.Send(context.Background(), address, request, upstream.ReusePolicy{MaxIdle: time.Second},
		func(h http.Header, _ bool) bool { return h.Get("Id") == "1" })
}

// cutsAt returns the cuts after so many bytes. Few of them pause before the connection ends.
func cutsAt(after int) []cut {
	cuts := []cut{{after: after}, {after: after, reset: true}}
	if after%8 == 0 {
		cuts = append(cuts, cut{after: after, pause: time.Millisecond}, cut{after: after, reset: true, pause: time.Millisecond})
	}
	return cuts
}

// Guards against a response that its server broke off, in any head, chunk or trailer, and that
// is read as a whole one with an empty or short body.
func TestAResponseThatBreaksOffIsNotWhole(t *testing.T) {
	for name, form := range cutForms {
		for _, warm := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/warm=%v", name, warm), func(t *testing.T) {
				t.Parallel()
				form.try(t, warm)
			})
		}
	}
}

// Guards against a whole response that ends with its connection and counts as broken off, because
// the request was still being written a moment after it.
func TestAResponseThatEndsWithItsConnectionIsWholeOnceItsRequestIsWritten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, cutHead+"\r\nwhole answer")
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(80 * time.Millisecond)
		_, _ = io.Copy(io.Discard, c)
	}()
	request := &upstream.Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, HeadTime: time.Second, Body: make([]byte, 16<<20), HasBody: true}
	response, err := newPool().Send(t.Context(), listener.Addr().String(), request, upstream.ReusePolicy{}, func(http.Header, bool) bool { return true })
	require.NoError(t, err)
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "whole answer", string(body))
}

// try breaks the response off after each of its bytes, and checks that all of it is whole. With
// warm, the connection has served another request before.
func (f cutForm) try(t *testing.T, warm bool) {
	t.Helper()
	method := cmp.Or(f.method, http.MethodPost)
	headEnd := len(f.text) - len(f.body)
	address, set := cutServer(t, warm)
	p := newPool()
	for after := range len(f.text) {
		for _, at := range cutsAt(after) {
			set(f.text, at)
			body, framing, err := readCut(t, p, address, method, warm)
			if f.unframed && after >= headEnd && !at.reset {
				// Its end has to be proved.
				require.NoError(t, err)
				assert.Equal(t, upstream.FramedByConnection, framing)
				continue
			}
			assert.Error(t, err, "%q gave %q", f.text[:after], body)
		}
	}
	set(f.text, cut{after: len(f.text)})
	body, _, err := readCut(t, p, address, method, warm)
	require.NoError(t, err)
	assert.Equal(t, f.body, body)
}
