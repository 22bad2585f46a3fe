package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Log lines of two entries; the caller repeated request "ab" at the second one.
const (
	firstLog = `I1202 10:00:01.000100 1 attempt.go:1] "Placed" request="ab" server="s1" send=1
I1202 10:00:01.000200 1 attempt.go:1] "Placed" request="abc" server="s2" send=1
I1202 10:00:03.500000 1 serve.go:1] "Request ended" request="ab" outcome="streamed"
`
	secondLog = `I1202 10:00:02.000000 1 answer.go:1] "Refused by server" request="ab" server="s3" status=503
`
)

// Guards against traces that mix requests or are not in order of time.
func TestTracePrintsOneRequestsLinesInOrderOfTime(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "one"), filepath.Join(dir, "two")
	require.NoError(t, os.WriteFile(one, []byte(firstLog), 0o600))
	require.NoError(t, os.WriteFile(two, []byte(secondLog), 0o600))
	lines, err := traceFiles("ab", []string{one, two}, nil)
	require.NoError(t, err)
	require.Len(t, lines, 3, "lines of request \"abc\" must not match \"ab\"")
	assert.Contains(t, lines[0].text, "Placed")
	assert.Equal(t, two, lines[1].file)
	assert.Contains(t, lines[2].text, "Request ended")
	piped, err := traceFiles("abc", nil, strings.NewReader(firstLog))
	require.NoError(t, err)
	assert.Len(t, piped, 1)
}
