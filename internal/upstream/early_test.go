package upstream_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// earlyServer answers each connection with a text as soon as the head of a request is there, and
// then ends it. It reads at most some bytes of the request.
func earlyServer(t *testing.T, text string, read int, pause time.Duration, end func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			accepted, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				c := accepted.(*net.TCPConn)
				defer c.Close()
				buffer := make([]byte, 4<<10)
				for got := 0; got <= read; {
					n, err := c.Read(buffer)
					if err != nil {
						return
					}
					got += n
				}
				_, _ = c.Write([]byte(text))
				time.Sleep(pause)
				end(c)
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against the begun body of a response without a length being taken for all of it, where the
// server responds while the request is still written and then ends the connection.
func TestAnEarlyResponseThatBreaksOffIsNotWhole(t *testing.T) {
	ends := map[string]func(*net.TCPConn){
		"reset":  func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"closed": func(c *net.TCPConn) { _ = c.Close() },
		"half closed": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(400 * time.Millisecond)
		},
	}
	heads := map[string]string{
		"HTTP/1.1": "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n\r\n",
		"closing":  "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
		"HTTP/1.0": "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n",
		"stream":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n",
		"after":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	}
	upload := strings.Repeat("u", 16<<20) // More than the sockets hold.
	for end, endConn := range ends {
		for head, text := range heads {
			for _, pause := range []time.Duration{0, 30 * time.Millisecond} {
				for _, read := range []int{0, 1 << 20} {
					t.Run(fmt.Sprint(end, " ", head, " ", pause, " ", read), func(t *testing.T) {
						t.Parallel()
						address := earlyServer(t, text+"half of", read, pause, endConn)
						body, _, err := send(newPool(), address, "1", upload)
						assert.Error(t, err, "%q was taken for the whole body", body)
					})
				}
			}
		}
	}
}
