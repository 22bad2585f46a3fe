package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/engine"
)

// importRecorder is an engine that records what it imports.
type importRecorder struct {
	engine.Engine
	imported []string
}

func (r *importRecorder) ImportKV(_ context.Context, kv []byte) error {
	r.imported = append(r.imported, string(kv))
	return nil
}

// Guards against KV cache that was cut off on its way and is imported as complete.
func TestKVCacheThatIsCutOffIsNotImported(t *testing.T) {
	for name, text := range map[string]string{
		"no length":    "HTTP/1.0 200 OK\r\n\r\n12345",
		"other length": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n12345",
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if assert.NoError(t, err) {
					_, _ = io.WriteString(conn, text)
					_ = conn.Close()
				}
			}))
			defer server.Close()
			into := &importRecorder{}
			store := newKVStore(Settings{Engine: EngineSettings{KVURL: server.URL}})
			err := store.fetch(t.Context(), into, &jayv1.PrefixPoint{Hash: 1, Bytes: 100}, 10)
			assert.ErrorContains(t, err, "5 bytes, expected 10")
			assert.Empty(t, into.imported)
		})
	}
}
