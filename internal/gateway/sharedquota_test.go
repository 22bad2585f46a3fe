package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/metrics"
)

// Guards against an entry that has just started and admits everything as a lender, since it
// knows no caps yet.
func TestLenderWithoutConfigurationAnswersNothing(t *testing.T) {
	listener, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	g := &Gateway{settings: Settings{Node: "gw1"}, metrics: metrics.New(8), peers: newPeers(Settings{Node: "gw1"})}
	g.state = newState(g.settings, func(string) {})
	g.datagrams = &datagrams{gateway: g, conn: listener}
	g.usage = newSharedQuota(g, usageSource(g))
	to, ok := listener.LocalAddr().(*net.UDPAddr)
	require.True(t, ok)
	g.usage.receiveReport(&jayv1.QuotaReport{Entry: "gw2", Key: 1, Items: []*jayv1.QuotaPosition{{Account: 1, Need: 100}}}, to)
	require.NoError(t, listener.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, _, err = listener.ReadFromUDP(make([]byte, maxDatagramBytes))
	assert.Error(t, err)
}
