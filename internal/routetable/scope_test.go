package routetable_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/routetable"
)

func tableWithWorkspaces(version uint64, workspaces ...routetable.Workspace) *routetable.Table {
	return routetable.New(version, routetable.Limits{}, nil, nil, workspaces)
}

// Guards against one workspace using what another had cached before it became isolated.
func TestWhatAWorkspaceCachedBeforeItBecameIsolatedIsOutOfScope(t *testing.T) {
	before := tableWithWorkspaces(1, routetable.Workspace{Name: "a"}, routetable.Workspace{Name: "b"})
	after := tableWithWorkspaces(2, routetable.Workspace{Name: "a", Isolated: true}, routetable.Workspace{Name: "b"})
	cached := before.CacheScope(&before.Workspaces[0])
	assert.NotEqual(t, cached, after.CacheScope(&after.Workspaces[1]))
	assert.NotEqual(t, cached, after.CacheScope(nil), "requests without a workspace")
	assert.Equal(t, cached, before.CacheScope(&before.Workspaces[1]))
}

// Workspaces come, go and are isolated or not, in any order. Nobody finds a part that another
// workspace cached if one of the two is isolated.
func TestNoHistoryOfTablesLetsIsolatedWorkspacesShare(t *testing.T) {
	names := []string{"a", "b", "-", "/a", `a","b`, ""}
	rapid.Check(t, func(t *rapid.T) {
		makers := map[string]map[string]bool{}
		for version := range rapid.IntRange(1, 12).Draw(t, "tables") {
			var workspaces []routetable.Workspace
			isolated := map[string]bool{}
			for _, name := range names {
				if rapid.Bool().Draw(t, fmt.Sprintf("%d has %q", version, name)) {
					isolated[name] = rapid.Bool().Draw(t, fmt.Sprintf("%d isolates %q", version, name))
					workspaces = append(workspaces, routetable.Workspace{Name: name, Isolated: isolated[name]})
				}
			}
			table := tableWithWorkspaces(uint64(version+1), workspaces...)
			for i := range workspaces {
				user := workspaces[i].Name
				for maker := range makers[table.CacheScope(&table.Workspaces[i])] {
					if maker != user {
						assert.False(t, isolated[maker] || isolated[user], "%q uses what %q cached", user, maker)
					}
				}
			}
			for i := range workspaces {
				scope := table.CacheScope(&table.Workspaces[i])
				if makers[scope] == nil {
					makers[scope] = map[string]bool{}
				}
				makers[scope][workspaces[i].Name] = true
			}
		}
	})
}

// Guards against entries that separate prefixes differently: one that starts later has seen no
// earlier table, and may list the workspaces in another order.
func TestScopesFollowFromTheTableAlone(t *testing.T) {
	isolated := routetable.Workspace{Name: "a", Isolated: true}
	other := routetable.Workspace{Name: "c", Isolated: true}
	one := tableWithWorkspaces(2, isolated, other, routetable.Workspace{Name: "b"})
	another := tableWithWorkspaces(9, routetable.Workspace{Name: "d"}, other, isolated)
	assert.Equal(t, one.CacheScope(nil), another.CacheScope(nil))
	assert.Empty(t, tableWithWorkspaces(3, routetable.Workspace{Name: "b"}).CacheScope(nil))
}
