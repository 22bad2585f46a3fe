package dev_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/dev"
)

func TestSelfCheckSendsThroughEveryEntry(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, dev.SelfCheck(t.Context(), dev.Options{Engines: 2, Entries: 2, Out: &out}))
	assert.Contains(t, out.String(), "entry-00: ")
	assert.Contains(t, out.String(), "entry-01: ")
}
