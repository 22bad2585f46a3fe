package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against rates that include a process's start, or mix two processes of one node.
func TestReportSeparatesStartsAndProcesses(t *testing.T) {
	r := newReport()
	require.NoError(t, r.read(strings.NewReader(strings.Join([]string{
		`  1.0 gw1 I1005 12:00:10.000000 1 controlload.go:5] "Control load" node="gw1" roles="ordinary" upMS=10000 requests=10 storeReads=4 datagramBytesIn=1000`,
		`  2.0 gw1 I1005 12:00:20.000000 1 controlload.go:5] "Control load" node="gw1" roles="ordinary" upMS=20000 requests=30 storeReads=4 datagramBytesIn=21000`,
		`  3.0 gw1 I1005 12:00:40.000000 1 controlload.go:5] "Control load" node="gw1" roles="reader,relay" upMS=10000 requests=0 storeReads=9 datagramBytesIn=0`,
		`  3.1 gw1 I1005 12:00:40.500000 1 state.go:5] "Configuration in force" version=7 source="store"`,
		`  3.2 gw2 I1005 12:00:41.250000 1 state.go:5] "Configuration in force" version=7 source="10.0.0.1:1"`,
		`  3.3 gw2 I1005 12:00:41.300000 1 gateway.go:5] "Started" node="gw2" ready=true tookMS=120`,
		`  3.4 gw2 anything else "Control load" storeReads=1`,
	}, "\n"))))
	text := r.markdown()
	assert.Contains(t, text, "| ordinary (1) | reader,relay (1) |")
	assert.Contains(t, text, "| callers' requests/s | 2 (2) |  |")
	assert.Contains(t, text, "| control received, KB/s | 2 (2) |  |")
	assert.Contains(t, text, "| store reads until the first line | 4 (4) | 9 (9) |")
	assert.Contains(t, text, "1 starts took 120 ms in the median")
	assert.Contains(t, text, "Configuration 7: in force at 2 processes within 750ms of the first.")
}
