package routetable

import (
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// The first byte of a scope tells the two kinds apart, whatever names workspaces have.
const (
	isolatedScope = "/"
	sharedScope   = "-"
)

// CacheScope returns the text that separates cached prefixes which a request of a workspace may
// use, nil for none, from all others: requests with different scopes share none. It follows from
// this table alone, so that all processes use the same one without having seen earlier tables.
//
// An isolated workspace has a scope of its own. The others share one that names the isolated
// workspaces: what a workspace cached before it became isolated is out of their scope then.
func (t *Table) CacheScope(workspace *Workspace) string {
	if workspace != nil && workspace.Isolated {
		return isolatedScope + workspace.Name
	}
	return t.sharedScope
}

// sharedScopeOf returns the scope of workspaces that are not isolated.
func sharedScopeOf(workspaces []Workspace) string {
	var isolated []string
	for i := range workspaces {
		if workspaces[i].Isolated {
			isolated = append(isolated, strconv.Quote(workspaces[i].Name))
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	return sharedScope + strconv.FormatUint(xxh3.HashString(strings.Join(isolated, ",")), 36)
}
