package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against stale lines, which would hide the next failure of a test that
// passes again, and against rejecting tests that fail only at times.
func TestListedTestsMayFail(t *testing.T) {
	const name = "p.T"
	passed := run{failed: map[string]bool{}, passed: map[string]bool{name: true}}
	failed := run{failed: map[string]bool{name: true}, passed: map[string]bool{"p.Other": true}}
	always := map[string][]string{name: {name + " | go test | seen | cause | issue"}}
	sometimes := map[string][]string{name: {name + " | at times: go test | seen | cause | issue"}}
	assert.False(t, report(passed, always), "its line must be removed")
	assert.True(t, report(failed, always))
	assert.True(t, report(passed, sometimes))
	assert.True(t, report(failed, sometimes))
	assert.False(t, report(failed, nil), "nothing else may fail")
}

// Guards against a fault that is hidden by the line of another fault of the same test.
func TestEachLineOfATestIsKept(t *testing.T) {
	const name = "p.T"
	first, second := name+" | at times: go test | seen", name+" | go test -race | seen as well"
	file := filepath.Join(t.TempDir(), "list")
	require.NoError(t, os.WriteFile(file, []byte("# comment\n"+first+"\n\n"+second+"\n"), 0o600))
	known, err := readList(file)
	require.NoError(t, err)
	assert.Equal(t, map[string][]string{name: {first, second}}, known)
	passed := run{failed: map[string]bool{}, passed: map[string]bool{name: true}}
	assert.False(t, report(passed, known), "the second line says that the test always fails")
}

// Guards against a limit on the number of lines, which is a reason to leave faults off the list.
func TestAnyNumberOfTestsMayBeListed(t *testing.T) {
	const tests = 50
	var lines strings.Builder
	for n := range tests {
		fmt.Fprintf(&lines, "p.T%d | go test | seen\n", n)
	}
	file := filepath.Join(t.TempDir(), "list")
	require.NoError(t, os.WriteFile(file, []byte(lines.String()), 0o600))
	known, err := readList(file)
	require.NoError(t, err)
	assert.Len(t, known, tests)
}

// Guards against a run that fails for a listed subtest alone, as its parent and package fail
// with it and are not listed.
func TestParentsOfListedTestsMayFail(t *testing.T) {
	const packageName, parent, listed, other = "m/p", "m/p.T", "m/p.T/3/drains", "m/p.T/4"
	known := map[string][]string{listed: {listed + " | at times: go test | seen"}}
	failed := func(names ...string) run {
		r := run{failed: map[string]bool{}, passed: map[string]bool{"m/p.Other": true}}
		for _, name := range names {
			r.failed[name] = true
		}
		return r
	}
	assert.True(t, report(failed(packageName, parent, "m/p.T/3", listed), known))
	assert.False(t, report(failed(packageName, parent, listed, other), known), "another subtest fails")
	assert.False(t, report(failed(packageName, parent), known), "no listed test fails")
	assert.False(t, report(failed(packageName), known), "the package fails without a test")
}

// Guards against a summary that does not count the subtests that fail.
func TestFailedSubtestsAreCounted(t *testing.T) {
	r := run{failed: map[string]bool{}}
	for _, name := range []string{"T/3", "T", ""} {
		r.add(event{Action: "fail", Package: "m/p", Test: name})
	}
	assert.Equal(t, map[string]bool{"m/p.T/3": true, "m/p.T": true, "m/p": false}, r.failed)
}
