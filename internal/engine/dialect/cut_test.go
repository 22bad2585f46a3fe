package dialect_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/engine/dialect"
)

// cutAnswer is the part of a response that is sent before its connection ends.
type cutAnswer struct {
	text  string
	reset bool
	pause time.Duration
}

// openCut opens an engine that answers each call with the current answer.
func openCut(t *testing.T, vendor string, current *atomic.Pointer[cutAnswer]) engine.Engine {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if !assert.NoError(t, err) {
			return
		}
		a := current.Load()
		_, _ = io.WriteString(conn, a.text)
		time.Sleep(a.pause)
		if a.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	opened, err := dialect.Open(vendor, server.URL)
	require.NoError(t, err)
	return opened
}

// engineBodies are bodies of an engine's whole responses: to a request, streamed and not, and to a
// request for its state.
var engineBodies = map[string]map[string]string{
	dialect.Merle: {
		"plain":  `{"usage":{"prompt_tokens":3}}`,
		"stream": "id: 7:0:d1:r1\ndata: {\"a\":1}\n\nid: 7:1:d1:r1\nevent: usage\ndata: {\"usage\":{\"prompt_tokens\":3}}\n\n",
		"state":  `{"boot":7,"kv":{"total":1234},"models":[{"digest":"d1"}]}`,
	},
	dialect.Pica: {
		"plain":  `{"rid":"r1","fin":{"p":3},"chunk":{}}`,
		"stream": "data: {\"rid\":\"r1\",\"n\":0,\"chunk\":{}}\n\ndata: {\"rid\":\"r1\",\"n\":1,\"fin\":{\"p\":3},\"chunk\":{}}\n\n",
		"state":  "pica_boot 7\npica_kv_blocks 1234\npica_weights{digest=\"d1\"} 1\n",
	},
}

// engineForms return whole responses of a content type.
var engineForms = map[string]func(contentType, body string) string{
	"length": func(contentType, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Merle-Id: 7:0:d1:r1\r\nContent-Length: %d\r\nContent-Type: %s\r\n\r\n%s", len(body), contentType, body)
	},
	"chunks and trailer after interim heads": func(contentType, body string) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Merle-Id: 7:0:d1:r1\r\n\r\n" +
			fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Merle-Id: 7:0:d1:r1\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n%x;a=b\r\n%s\r\n0\r\nSum: 1\r\n\r\n",
				contentType, body[:5], len(body)-5, body[5:])
	},
}

// callOf makes the call whose response is of the given kind.
func callOf(t *testing.T, e engine.Engine, kind string) error {
	if kind == "state" {
		_, err := e.State(t.Context())
		return err
	}
	stream, err := e.Submit(t.Context(), request("r1", "prompt", kind == "stream"))
	if err != nil {
		return err
	}
	_, err = collect(t, stream)
	return err
}

// Guards against an engine's response that breaks off, in any head or chunk, and that is taken
// for a whole one.
func TestAnEngineResponseThatBreaksOffIsInterrupted(t *testing.T) {
	for vendor, bodies := range engineBodies {
		for kind, body := range bodies {
			for form, whole := range engineForms {
				t.Run(vendor+"/"+kind+"/"+form, func(t *testing.T) {
					t.Parallel()
					contentType := "application/json"
					if kind == "stream" {
						contentType = "text/event-stream"
					}
					text := whole(contentType, body)
					var current atomic.Pointer[cutAnswer]
					e := openCut(t, vendor, &current)
					// Streams show their end themselves, before the last chunk.
					end := len(text)
					if kind == "stream" {
						end = strings.LastIndex(text, body[len(body)-5:]) + 5
					}
					for after := range end {
						a := &cutAnswer{text: text[:after], reset: after%2 == 1}
						if after%8 == 0 {
							a.pause = time.Millisecond
						}
						current.Store(a)
						require.ErrorIs(t, callOf(t, e, kind), engine.ErrInterrupted, text[:after])
					}
					current.Store(&cutAnswer{text: text})
					require.NoError(t, callOf(t, e, kind))
				})
			}
		}
	}
}

// Guards against a switch of protocols that no call has asked for and whose bytes are taken for a
// state report, for KV cache or for a whole response.
func TestASwitchOfProtocolsByAnEngineIsAnInterruption(t *testing.T) {
	const head = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: a\r\nX-Merle-Id: 7:0:d1:r1\r\n\r\n"
	for vendor, bodies := range engineBodies {
		for kind, body := range bodies {
			e := openRaw(t, vendor, head+body)
			assert.ErrorIs(t, callOf(t, e, kind), engine.ErrInterrupted, "%s: %s", vendor, kind)
		}
		blob, err := openRaw(t, vendor, head+"half of the blo").ExportKV(t.Context(), []engine.BlockHash{1})
		assert.ErrorIs(t, err, engine.ErrInterrupted, "%s: %q", vendor, blob)
	}
}

// Guards against a number below 100 being taken for success.
func TestAResponseOfAnEngineWithAnInvalidStatusIsAnInterruption(t *testing.T) {
	for vendor, bodies := range engineBodies {
		for kind, body := range bodies {
			e := openRaw(t, vendor, "HTTP/1.1 000 Odd\r\nConnection: close\r\nX-Merle-Id: 7:0:d1:r1\r\n\r\n"+body)
			assert.ErrorIs(t, callOf(t, e, kind), engine.ErrInterrupted, "%s: %s", vendor, kind)
		}
	}
}
