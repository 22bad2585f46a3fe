// Package testsources ties the kept results of tests that build programs to what
// these are built from.
package testsources

import (
	"os"
	"path/filepath"
	"sync"
	"testing"
)

var once sync.Once

// dirs hold all that the programs are built from, below the repository's root.
var dirs = []string{"cmd", "internal", "platform", "charts", "api/gen"}

// TrackSources looks at all sources, once. The go command keeps a test's result until a
// file changes that the running test looked at; an import of the program's
// packages is not enough: what the linker takes out of the test's own binary, a
// constant for one, changes nothing there, and a test passed from the cache that
// failed in fact. It must be called from a test: what is looked at before the
// first one starts does not count.
func TrackSources(t testing.TB, root string) {
	t.Helper()
	once.Do(func() {
		for _, dir := range dirs {
			err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ os.DirEntry, err error) error {
				if err != nil {
					return err
				}
				_, err = os.Stat(path)
				return err
			})
			if err != nil {
				t.Fatalf("look at %s: %v", dir, err)
			}
		}
	})
}
