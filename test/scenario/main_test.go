// Package scenario_test runs scripts in testdata that inject failures into real
// processes. Function commands documents the commands of the scripts.
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

// scriptsAtOnce is the number of concurrent scripts. Each runs about ten processes.
const scriptsAtOnce = 4

// binaries is the folder that contains the programs under test.
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
			w := newScenario(env)
			env.Values[scenarioKey{}] = w
			env.Defer(w.close)
			return nil
		},
		Cmds: commands(),
	})
}
