// Package testsources makes the cached results of tests that build programs depend
// on the source files of these programs.
package testsources

import (
	"os"
	"path/filepath"
	"sync"
	"testing"
)

var once sync.Once

// dirs are the folders with the sources of the programs, relative to the root of the
// repository.
var dirs = []string{"cmd", "internal", "platform", "charts", "api/gen"}

// TrackSources calls os.Stat on all source files, once per process. The go command
// records the files that a test accesses and reuses the cached result only while
// they are unchanged. Importing the packages of the programs is not enough: a change
// to code that is not linked into the test binary, such as a constant, would not
// invalidate the result. TrackSources must be called from a test, because files
// accessed before the first test starts are not recorded.
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
				t.Fatalf("stat source files in %s: %v", dir, err)
			}
		}
	})
}
