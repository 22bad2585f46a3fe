package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a table that another entry broke off as it ended and that is taken for the
// whole one: servers would be missing.
func TestATableOfAnotherEntryThatBreaksOffIsRefused(t *testing.T) {
	const rows = `{"rows":[{"key":"a","value":"MQ==","version":1}],"version":9,"age_ms":3}`
	for form, text := range map[string]string{
		"length":   fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(rows), rows),
		"chunks":   fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(rows), rows),
		"HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n" + rows,
	} {
		t.Run(form, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			var after atomic.Int64
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(c))
					n := after.Load()
					_, _ = io.WriteString(c, text[:n])
					if n%2 == 1 && int(n) < len(text) {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					_ = c.Close()
				}
			}()
			p := newTestPeers("gw9", 0)
			for n := range len(text) {
				after.Store(int64(n))
				_, err := p.table(t.Context(), peerTimeout, l.Addr().String(), "servers", wholeTable)
				require.Error(t, err, text[:n])
			}
			after.Store(int64(len(text)))
			batch, err := p.table(t.Context(), peerTimeout, l.Addr().String(), "servers", wholeTable)
			require.NoError(t, err)
			require.Len(t, batch.Rows, 1)
		})
	}
}
