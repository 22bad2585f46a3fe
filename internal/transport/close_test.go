package transport

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/keys"
)

func testNode(t *testing.T, authority *keys.Authority, role keys.Role, name string) *Node {
	t.Helper()
	return servingNode(t, authority, role, name, func(context.Context, keys.Identity, *Stream) {})
}

func servingNode(t *testing.T, authority *keys.Authority, role keys.Role, name string, handler Handler) *Node {
	t.Helper()
	cert, err := authority.Issue(keys.Identity{Role: role, Name: name}, time.Hour)
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, cert.Save(dir))
	creds, err := LoadCredentials(dir)
	require.NoError(t, err)
	node, err := Listen(Options{Address: "127.0.0.1:0"}, creds, handler)
	require.NoError(t, err)
	t.Cleanup(func() { _ = node.Close() })
	return node
}

// A handshake that completes after Close must not add a connection: nothing would close it or
// wait for its handlers.
func TestConnectionCompletedAfterCloseIsRejected(t *testing.T) {
	authority, err := keys.NewAuthority(time.Hour)
	require.NoError(t, err)
	agent := testNode(t, authority, keys.RoleAgent, "b1")
	dialer := testNode(t, authority, keys.RoleEntry, "e1")
	ready, err := dialer.dial(t.Context(), agent.Address(), []keys.Role{keys.RoleAgent})
	require.NoError(t, err)

	closed := testNode(t, authority, keys.RoleEntry, "e2")
	require.NoError(t, closed.Close())
	_, err = closed.addConnection(ready.conn)
	require.ErrorIs(t, err, ErrClosed)
	assert.Error(t, ready.conn.Context().Err(), "the connection is closed")
	assert.Empty(t, closed.Peers())
}

// Handshakes that run concurrently with Close end and leave no open connection.
func TestConcurrentDialsLeaveNoConnectionAfterClose(t *testing.T) {
	const rounds, agents = 40, 4
	authority, err := keys.NewAuthority(time.Hour)
	require.NoError(t, err)
	var addresses []string
	for range agents {
		addresses = append(addresses, testNode(t, authority, keys.RoleAgent, "b1").Address())
	}
	for round := range rounds {
		node := testNode(t, authority, keys.RoleEntry, "e1")
		var dials sync.WaitGroup
		for _, address := range addresses {
			dials.Go(func() {
				_, err := node.dial(t.Context(), address, []keys.Role{keys.RoleAgent})
				assert.False(t, errors.Is(err, context.DeadlineExceeded), "a dial exceeded its deadline: %v", err)
			})
		}
		time.Sleep(time.Duration(round) * 200 * time.Microsecond)
		require.NoError(t, node.Close())
		dials.Wait()
		node.mu.Lock()
		for l := range node.links {
			assert.Error(t, l.conn.Context().Err(), "round %d: a connection is open after the close", round)
		}
		node.mu.Unlock()
	}
}
