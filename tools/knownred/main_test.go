package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A line that stays when its test passes hides the next fault of that test, unless
// the fault shows only at times.
func TestWhatAListedTestMayDo(t *testing.T) {
	const name = "p.T"
	passed := run{failed: map[string]bool{}, passed: map[string]bool{name: true}}
	failed := run{failed: map[string]bool{name: true}, passed: map[string]bool{"p.Other": true}}
	always := map[string]string{name: name + " | go test | seen | cause | issue"}
	sometimes := map[string]string{name: name + " | at times: go test | seen | cause | issue"}
	assert.False(t, report(passed, always), "its line must go")
	assert.True(t, report(failed, always))
	assert.True(t, report(passed, sometimes))
	assert.True(t, report(failed, sometimes))
	assert.False(t, report(failed, nil), "nothing else may fail")
}
