// Package scenario_test runs scripted failures against real processes. Each
// script in testdata begins with its story; commands_test.go says what the
// commands do.
package scenario_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jayproxy/jayproxy/internal/testsources"
)

// scriptsAtOnce bounds the load on the machine: a script runs some ten processes.
const scriptsAtOnce = 4

// binaries is the folder of the programs built for the scripts.
var binaries string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "jayproxy-scenario-")
	if err != nil {
		return 1, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"../../cmd/jay-entry", "../../cmd/jay-agent", "../../cmd/jayctl", "../../cmd/jay-standin")
	if out, err := build.CombinedOutput(); err != nil {
		return 1, fmt.Errorf("build: %w\n%s", err, out)
	}
	binaries = dir
	return m.Run(), nil
}

func TestScenarios(t *testing.T) {
	testsources.TrackSources(t, "../..")
	slots := make(chan struct{}, scriptsAtOnce)
	testscript.Run(t, testscript.Params{
		Dir:             "testdata",
		ContinueOnError: false,
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			env.Defer(func() { <-slots })
			w := newWorld(env)
			env.Values[worldKey{}] = w
			env.Defer(w.close)
			return nil
		},
		Cmds: commands(),
	})
}
