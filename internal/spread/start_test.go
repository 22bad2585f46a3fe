package spread

import (
	"context"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// staleStore is a platform whose catalog store is unavailable and whose object store holds an
// old generation.
type staleStore struct{ generation uint64 }

func (staleStore) Head(context.Context) (uint64, error) { return 0, platform.ErrUnavailable }

func (staleStore) After(context.Context, uint64) (*jayv1.CatalogDelta, error) {
	return nil, platform.ErrUnavailable
}

func (s staleStore) LoadSnapshot(context.Context) (*catalog.Table, error) {
	return catalog.Build(&jayv1.Snapshot{Generation: s.generation}), nil
}

func startEntry(t *testing.T, authority *keys.Authority, name string, holder *catalog.Holder, seeds ...string) (*Service, string) {
	t.Helper()
	id := keys.Identity{Role: keys.RoleEntry, Name: name}
	dir := filepath.Join(t.TempDir(), name)
	cert, err := authority.Issue(id, time.Hour)
	require.NoError(t, err)
	require.NoError(t, cert.Save(dir))
	creds, err := transport.LoadCredentials(dir)
	require.NoError(t, err)
	var service atomic.Pointer[Service]
	node, err := transport.Listen(transport.Options{Address: "127.0.0.1:0"}, creds, func(ctx context.Context, peer keys.Identity, stream *transport.Stream) {
		first := &jayv1.ClientFrame{}
		if s := service.Load(); s != nil && stream.Receive(first) == nil {
			s.Handle(ctx, peer, first, stream)
		}
	})
	require.NoError(t, err)
	s, err := Start(t.Context(), Options{
		Self: id, DataCentre: "dc", Region: "r", Address: node.Address(), Node: node, Holder: holder,
		Store: staleStore{generation: 1}, Seeds: seeds,
	})
	require.NoError(t, err)
	service.Store(s)
	t.Cleanup(func() {
		s.Close()
		_ = node.Close()
	})
	return s, node.Address()
}

// An entry that starts while the catalog store is unavailable must not put an old snapshot in
// force before peers answered: withdrawn rules would apply again.
func TestSnapshotIsNotLoadedBeforePeersAnswer(t *testing.T) {
	authority, err := keys.NewAuthority(time.Hour)
	require.NoError(t, err)
	newest := catalog.NewHolder()
	newest.Adopt(catalog.Build(&jayv1.Snapshot{Generation: 5}))
	_, address := startEntry(t, authority, "entry-1", newest)

	holder := catalog.NewHolder()
	first := holder.Next()
	restarted, _ := startEntry(t, authority, "entry-2", holder, address)
	<-first
	assert.Equal(t, uint64(5), holder.Current().Generation(), "the first generation in force is that of the peer")
	<-restarted.Loaded()

	isolated := catalog.NewHolder()
	service, _ := startEntry(t, authority, "entry-3", isolated)
	<-service.Loaded()
	assert.Equal(t, uint64(1), isolated.Current().Generation(), "without peers the snapshot is loaded")
}
