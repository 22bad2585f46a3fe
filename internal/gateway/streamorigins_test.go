package gateway

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/metrics"
	"github.com/jayproxy/jayproxy/internal/shard"
	"github.com/jayproxy/jayproxy/internal/streamorigin"
)

// originHolder answers each question for a stream's version, after a pause and so many times.
type originHolder struct {
	version uint32
	after   time.Duration
	times   int
}

func (h originHolder) serve(conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		message := &jayv1.Datagram{}
		if proto.Unmarshal(buffer[:n], message) != nil {
			continue
		}
		answer, _ := proto.Marshal(&jayv1.Datagram{Body: &jayv1.Datagram_StreamOriginAnswer{
			StreamOriginAnswer: &jayv1.StreamOriginAnswer{Key: message.GetStreamOriginAsk().GetKey(), Version: h.version},
		}})
		time.Sleep(h.after)
		for range h.times {
			_, _ = conn.WriteToUDP(answer, from)
		}
	}
}

// Guards against a stream that is refused because one holder says twice that it does not know
// it, or because the one that does is slow.
func TestALookupWaitsForEachHolder(t *testing.T) {
	for name, c := range map[string]struct {
		holders []originHolder
		known   bool
		within  time.Duration
	}{
		"repeated answer, slow holder": {holders: []originHolder{{times: 4}, {version: 7, after: 60 * time.Millisecond, times: 1}}, known: true, within: 2 * originTimeout},
		"nobody knows it":              {holders: []originHolder{{times: 1}, {times: 1}}, within: originTimeout},
		"one is silent":                {holders: []originHolder{{times: 1}, {}}, within: 2 * originTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{settings: Settings{Node: "gw1"}, metrics: metrics.New(8)}
			own, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			require.NoError(t, err)
			defer func() { _ = own.Close() }()
			g.datagrams, g.origins = &datagrams{gateway: g, conn: own}, newStreamOrigins(g)
			go g.datagrams.receive()
			var entries []shard.Entry
			for i, h := range c.holders {
				ip := net.IPv4(127, 0, 0, byte(2+i)) //nolint:gosec // small
				conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip, Port: own.LocalAddr().(*net.UDPAddr).Port})
				require.NoError(t, err)
				defer func() { _ = conn.Close() }()
				go h.serve(conn)
				entries = append(entries, shard.Entry{Name: fmt.Sprint("holder", i), Address: ip.String() + ":1"})
			}
			g.origins.setEntries(entries)
			started := time.Now()
			version, source := g.origins.find(context.Background(), streamorigin.StreamOf("r1"))
			assert.Equal(t, c.known, version != 0, source)
			assert.Less(t, time.Since(started), c.within)
		})
	}
}
