package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against stale lines, which would hide the next failure of a test that
// passes again, and against rejecting tests that fail only at times.
func TestListedTestsMayFail(t *testing.T) {
	const name = "p.T"
	passed := run{failed: map[string]bool{}, passed: map[string]bool{name: true}}
	failed := run{failed: map[string]bool{name: true}, passed: map[string]bool{"p.Other": true}}
	always := map[string]string{name: name + " | go test | seen | cause | issue"}
	sometimes := map[string]string{name: name + " | at times: go test | seen | cause | issue"}
	assert.False(t, report(passed, always), "its line must be removed")
	assert.True(t, report(failed, always))
	assert.True(t, report(passed, sometimes))
	assert.True(t, report(failed, sometimes))
	assert.False(t, report(failed, nil), "nothing else may fail")
}
