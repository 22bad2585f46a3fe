package routetable_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/routetable"
)

func table() *routetable.Table {
	return routetable.New(3, routetable.Limits{},
		[]routetable.Route{
			{Name: "short", Host: "A.example", Prefix: "/a/"},
			{Name: "long", Host: "a.example", Prefix: "/a/b/"},
			{Name: "other", Host: "b.example", Prefix: "/a/"},
		},
		[]routetable.Service{{Name: "z", KVStore: &routetable.KVStore{Address: "2"}}, {Name: "y", KVStore: &routetable.KVStore{Address: "1"}}},
		[]routetable.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}})
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	for path, want := range map[string]string{"/a/b/c": "long", "/a/bc": "short", "/a/": "short", "/a/b/": "long"} {
		route := table().Match("a.example:8080", path)
		require.NotNil(t, route, path)
		assert.Equal(t, want, route.Name, path)
	}
	assert.Nil(t, table().Match("a.example", "/ab/"), "the slash is part of the prefix")
	assert.Nil(t, table().Match("c.example", "/a/"))
}

func TestKeysBelongToTheirWorkspace(t *testing.T) {
	assert.Equal(t, "w", table().WorkspaceOf("k2").Name)
	assert.Nil(t, table().WorkspaceOf(""))
	assert.True(t, table().RequiresKeys())
}

func TestOnlyIdempotentAndResumableMayBeRepeated(t *testing.T) {
	assert.True(t, (&routetable.Route{Kind: routetable.Idempotent}).Repeatable())
	assert.True(t, (&routetable.Route{Kind: routetable.Stream, Resumable: true}).Repeatable())
	assert.False(t, (&routetable.Route{Kind: routetable.Stream}).Repeatable())
	assert.False(t, (&routetable.Route{Kind: routetable.Once, Resumable: true}).Repeatable())
}
