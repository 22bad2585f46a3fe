package transport_test

import (
	"context"
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/transport"
)

func credentials(t *testing.T, authority *keys.Authority, role keys.Role, name string) *transport.Credentials {
	t.Helper()
	dir := t.TempDir()
	cert, err := authority.Issue(keys.Identity{Role: role, Name: name}, time.Hour)
	require.NoError(t, err)
	require.NoError(t, cert.Save(dir))
	creds, err := transport.LoadCredentials(dir)
	require.NoError(t, err)
	return creds
}

func authority(t *testing.T) *keys.Authority {
	t.Helper()
	a, err := keys.NewAuthority(time.Hour)
	require.NoError(t, err)
	return a
}

func listen(t *testing.T, creds *transport.Credentials, handler transport.Handler) *transport.Node {
	t.Helper()
	node, err := transport.Listen(transport.Options{Address: "127.0.0.1:0"}, creds, handler)
	require.NoError(t, err)
	t.Cleanup(func() { _ = node.Close() })
	return node
}

func echo(_ context.Context, peer keys.Identity, s *transport.Stream) {
	var in jayv1.ClientFrame
	for s.Receive(&in) == nil {
		_ = s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_Chunk{Chunk: &jayv1.Chunk{
			Seq: 1, Data: append([]byte(peer.Name+":"), in.GetBody().GetData()...),
		}}})
	}
}

func body(text string) *jayv1.ClientFrame {
	return &jayv1.ClientFrame{Frame: &jayv1.ClientFrame_Body{Body: &jayv1.Data{Data: []byte(text)}}}
}

func TestStreamsGoBothWaysOnOneConnection(t *testing.T) {
	a := authority(t)
	server := listen(t, credentials(t, a, keys.RoleAgent, "b1"), echo)
	client := listen(t, credentials(t, a, keys.RoleEntry, "e1"), echo)

	s, err := client.Open(t.Context(), server.Address(), keys.RoleAgent)
	require.NoError(t, err)
	require.NoError(t, s.Send(body("hello")))
	var out jayv1.ServerFrame
	require.NoError(t, s.Receive(&out))
	assert.Equal(t, "e1:hello", string(out.GetChunk().GetData()))
	require.NoError(t, s.CloseSend())
	require.ErrorIs(t, s.Receive(&out), io.EOF)

	back, err := server.OpenPeer(t.Context(), keys.Identity{Role: keys.RoleEntry, Name: "e1"})
	require.NoError(t, err)
	require.NoError(t, back.Send(body("pull")))
	require.NoError(t, back.Receive(&out))
	assert.Equal(t, "b1:pull", string(out.GetChunk().GetData()))

	live := client.Traffic()
	assert.NotZero(t, live.BytesSent)
	assert.NotZero(t, live.PacketsReceived)
	require.NoError(t, server.Close())
	require.Eventually(t, func() bool { return len(client.Peers()) == 0 }, 5*time.Second, time.Millisecond)
	assert.GreaterOrEqual(t, client.Traffic().BytesSent, live.BytesSent, "traffic of closed connections is included")
}

func TestWrongRoleOrAuthorityIsRejected(t *testing.T) {
	a := authority(t)
	server := listen(t, credentials(t, a, keys.RoleAgent, "b1"), echo)
	tests := map[string]*transport.Credentials{
		"operator on the data path": credentials(t, a, keys.RoleOperator, "ana"),
		"viewer on the data path":   credentials(t, a, keys.RoleViewer, "ivo"),
		"another authority":         credentials(t, authority(t), keys.RoleEntry, "e1"),
	}
	for name, creds := range tests {
		t.Run(name, func(t *testing.T) {
			client := listen(t, creds, echo)
			s, err := client.Open(t.Context(), server.Address(), keys.RoleAgent)
			if err == nil { // The client's handshake completes before the server rejects the certificate.
				_ = s.Send(body("x"))
				var out jayv1.ServerFrame
				err = s.Receive(&out)
			}
			require.Error(t, err)
			assert.False(t, errors.Is(err, io.EOF))
		})
	}
	client := listen(t, credentials(t, a, keys.RoleEntry, "e1"), echo)
	_, err := client.Open(t.Context(), server.Address(), keys.RoleEntry)
	require.Error(t, err, "an agent must not be accepted as an entry")
}

func TestReloadReplacesCredentials(t *testing.T) {
	a := authority(t)
	dir := t.TempDir()
	save := func(name string) {
		cert, err := a.Issue(keys.Identity{Role: keys.RoleEntry, Name: name}, time.Hour)
		require.NoError(t, err)
		require.NoError(t, cert.Save(dir))
	}
	save("old")
	creds, err := transport.LoadCredentials(dir)
	require.NoError(t, err)
	save("new")
	require.NoError(t, creds.Reload())
	assert.Equal(t, "new", creds.Self().Name)
}

// A receiver that waits for a silent peer detects a lost link by missing heartbeats, while a
// peer that is only slow keeps its stream.
func TestSilentPeerIsALostLinkAndSlowPeerIsNot(t *testing.T) {
	a := authority(t)
	const linkTimeout = 900 * time.Millisecond
	options := transport.Options{Address: "127.0.0.1:0", LinkTimeout: linkTimeout}
	release := make(chan struct{})
	slow := func(_ context.Context, _ keys.Identity, s *transport.Stream) {
		<-release // Sends no frame; heartbeats continue.
		_ = s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_End{End: &jayv1.End{Count: 7}}})
	}
	server, err := transport.Listen(options, credentials(t, a, keys.RoleAgent, "b1"), slow)
	require.NoError(t, err)
	defer server.Close()
	proxy := newUDPProxy(t, server.Address())
	client, err := transport.Listen(options, credentials(t, a, keys.RoleEntry, "e1"), echo)
	require.NoError(t, err)
	defer client.Close()

	s, err := client.Open(t.Context(), proxy.address(), keys.RoleAgent)
	require.NoError(t, err)
	require.NoError(t, s.Send(body("x")))
	time.AfterFunc(3*linkTimeout, func() { close(release) })
	var out jayv1.ServerFrame
	require.NoError(t, s.Receive(&out), "a slow peer that sends heartbeats keeps its stream")
	assert.Equal(t, uint64(7), out.GetEnd().GetCount())

	s, err = client.Open(t.Context(), proxy.address(), keys.RoleAgent)
	require.NoError(t, err)
	require.NoError(t, s.Send(body("x")))
	require.NoError(t, s.Receive(&out))
	proxy.dropAll()
	s, err = client.Open(t.Context(), proxy.address(), keys.RoleAgent)
	require.NoError(t, err)
	require.NoError(t, s.Send(body("x")))
	require.ErrorIs(t, s.Receive(&out), transport.ErrLinkLost)
}

func TestReceiveEndsAtReadDeadline(t *testing.T) {
	a := authority(t)
	server := listen(t, credentials(t, a, keys.RoleAgent, "b1"), func(ctx context.Context, _ keys.Identity, _ *transport.Stream) { <-ctx.Done() })
	client := listen(t, credentials(t, a, keys.RoleEntry, "e1"), echo)
	s, err := client.Open(t.Context(), server.Address(), keys.RoleAgent)
	require.NoError(t, err)
	require.NoError(t, s.Send(body("x")))
	require.NoError(t, s.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	var out jayv1.ServerFrame
	require.ErrorIs(t, s.Receive(&out), os.ErrDeadlineExceeded)
	s.Abort()
}

func TestAnEmptyMessageIsRefused(t *testing.T) {
	a := authority(t)
	server := listen(t, credentials(t, a, keys.RoleAgent, "b1"), echo)
	client := listen(t, credentials(t, a, keys.RoleEntry, "e1"), echo)
	s, err := client.Open(t.Context(), server.Address(), keys.RoleAgent)
	require.NoError(t, err)
	require.Error(t, s.Send(&jayv1.ClientFrame{}))
}
