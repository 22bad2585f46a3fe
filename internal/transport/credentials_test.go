package transport

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// Guards against an authority file with two certificates that is read half written, and without
// the second: processes with its certificates are then refused.
func TestReloadRefusesAnAuthorityFileThatEndsInsideACertificate(t *testing.T) {
	first, err := keys.NewAuthority(time.Hour)
	require.NoError(t, err)
	cert, err := first.Issue(keys.Identity{Role: keys.RoleEntry, Name: "e1"}, time.Hour)
	require.NoError(t, err)
	second, err := keys.NewAuthority(time.Hour)
	require.NoError(t, err)
	other, err := second.Issue(keys.Identity{Role: keys.RoleEntry, Name: "e1"}, time.Hour)
	require.NoError(t, err)

	both := append(append([]byte{}, cert.Authority...), other.Authority...)
	dir := t.TempDir()
	require.NoError(t, cert.Save(dir))
	write := func(text []byte) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, keys.AuthorityFile), text, 0o600))
	}
	write(both)
	creds, err := LoadCredentials(dir)
	require.NoError(t, err)
	inForce := creds.current.Load()
	// A file cut between the two certificates is one that a change of authority begins with.
	for cut := len(cert.Authority) + 1; cut < len(both)-1; cut++ {
		write(both[:cut])
		require.Error(t, creds.Reload(), "%d of %d bytes", cut, len(both))
	}
	assert.Same(t, inForce, creds.current.Load())
	write(both)
	require.NoError(t, creds.Reload())
	assert.True(t, inForce.roots.Equal(creds.current.Load().roots))
}
