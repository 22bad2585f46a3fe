package entry

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/ctl"
	"github.com/jayproxy/jayproxy/internal/keys"
)

// Guards against an apply of a folder with one workspace that deletes all
// undeclared resources without an explicit --prune.
func TestAFolderWithOneWorkspaceDoesNotDeleteTheRest(t *testing.T) {
	p := newControlPlane(t)
	a := p.start(keys.RoleEntry, "entry-1", true)
	ana := p.keysOf(keys.Identity{Role: keys.RoleOperator, Name: "ana"})
	code, _, errs := p.jayctl(ana, []*controlNode{a}, "apply", writeDeclarations(t, "127.0.0.1:9999", "1"))
	require.Equal(t, ctl.ExitOK, code, errs)

	dir := t.TempDir()
	_, key, err := catalog.NewCallerKey()
	require.NoError(t, err)
	text := fmt.Sprintf("[[workspace]]\nname = \"new\"\n[[workspace.keys]]\nid = %q\nsalt = \"%x\"\nhash = \"%x\"\n",
		key.GetId(), key.GetSalt(), key.GetHash())
	require.NoError(t, os.WriteFile(filepath.Join(dir, "new.toml"), []byte(text), 0o600))
	code, _, errs = p.jayctl(ana, []*controlNode{a}, "apply", dir)
	require.Equal(t, ctl.ExitFindings, code)
	assert.Contains(t, errs, "pool/claim-models")
	assert.Contains(t, errs, "--prune=false")
	requireInForce(t, 1, a)
	assert.Equal(t, uint64(1), a.holder.Current().Generation())

	code, _, errs = p.jayctl(ana, []*controlNode{a}, "apply", "--prune=false", dir)
	require.Equal(t, ctl.ExitOK, code, errs)
	requireInForce(t, 2, a)
	_, kept := a.holder.Current().Pool("claim-models")
	assert.True(t, kept)
	code, out, errs := p.jayctl(ana, []*controlNode{a}, "apply", "--prune", dir)
	require.Equal(t, ctl.ExitOK, code, errs)
	assert.Contains(t, out, "- pool/claim-models")
}
