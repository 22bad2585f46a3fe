package dialect_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/engine/dialect"
)

// openRaw opens an engine that answers each call with the text and closes the connection in
// order.
func openRaw(t *testing.T, vendor, text string) engine.Engine {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if assert.NoError(t, err) {
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		}
	}))
	t.Cleanup(server.Close)
	opened, err := dialect.Open(vendor, server.URL)
	require.NoError(t, err)
	return opened
}

const noFraming = "HTTP/1.0 200 OK\r\n\r\n"

// Guards against a state report that is cut off between or in its lines and taken for complete:
// the agent then refuses requests for weights that the engine has.
func TestStateReportThatIsCutOffIsRefused(t *testing.T) {
	report := "pica_boot 7\npica_kv_blocks 1234\npica_weights{digest=\"d1\"} 1\n"
	for cut := range len(report) {
		_, err := openRaw(t, dialect.Pica, noFraming+report[:cut]).State(t.Context())
		require.Error(t, err, report[:cut])
	}
}

// Guards against a merle state report that is cut off and taken for complete.
func TestJSONStateReportThatIsCutOffIsRefused(t *testing.T) {
	report := `{"boot":7,"kv":{"total":1234},"models":[{"digest":"d1"}]}`
	for cut := range len(report) {
		_, err := openRaw(t, dialect.Merle, noFraming+report[:cut]).State(t.Context())
		require.Error(t, err, report[:cut])
	}
}

// Guards against KV cache that the engine broke off and that is stored as complete.
func TestExportedKVCacheThatIsCutOffIsRefused(t *testing.T) {
	for _, vendor := range []string{dialect.Merle, dialect.Pica} {
		blob, err := openRaw(t, vendor, noFraming+"half of the blo").ExportKV(t.Context(), []engine.BlockHash{1})
		assert.ErrorIs(t, err, engine.ErrInterrupted, "%s: %q", vendor, blob)
	}
}

// Guards against a stream that ends in order before its last event and is taken for complete:
// at each byte, and with the marker of its end but without the event of the usage.
func TestStreamThatEndsBeforeItsLastEventIsInterrupted(t *testing.T) {
	streams := map[string]string{
		dialect.Merle: "id: 7:0:d1:r1\ndata: {\"a\":1}\n\nid: 7:1:d1:r1\nevent: usage\ndata: {\"usage\":{\"prompt_tokens\":3}}\n\n",
		dialect.Pica:  "data: {\"rid\":\"r1\",\"n\":0,\"chunk\":{}}\n\ndata: {\"rid\":\"r1\",\"n\":1,\"fin\":{\"p\":3},\"chunk\":{}}\n\n",
	}
	for vendor, text := range streams {
		typed := "HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
		for cut := range len(text) {
			assertInterrupted(t, vendor, typed+text[:cut])
		}
		assertInterrupted(t, vendor, typed+"data: [DONE]\n\n")
		events, err := streamOf(t, vendor, typed+text)
		require.NoError(t, err, vendor)
		require.Len(t, events, 2)
		assert.True(t, events[1].Last)
	}
	for vendor, text := range map[string]string{
		dialect.Merle: `{"usage":{"prompt_tokens":3}}`, dialect.Pica: `{"rid":"r1","fin":{"p":3},"chunk":{}}`,
	} {
		for cut := range len(text) {
			assertInterrupted(t, vendor, "HTTP/1.0 200 OK\r\nX-Merle-Id: 7:0:d1:r1\r\n\r\n"+text[:cut])
		}
	}
}

func streamOf(t *testing.T, vendor, text string) ([]engine.Event, error) {
	t.Helper()
	stream, err := openRaw(t, vendor, text).Submit(t.Context(), request("r1", "prompt", true))
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	return collect(t, stream)
}

func assertInterrupted(t *testing.T, vendor, text string) {
	t.Helper()
	_, err := streamOf(t, vendor, text)
	assert.ErrorIs(t, err, engine.ErrInterrupted, "%s: %q", vendor, text)
}
