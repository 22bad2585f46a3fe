package cli_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/cli"
)

// stalled is a reader of logs that stops to read, until it is let go.
type stalled struct {
	let  chan struct{}
	text strings.Builder
}

// Write implements io.Writer.
func (s *stalled) Write(p []byte) (int, error) {
	<-s.let
	return s.text.Write(p)
}

// All requests hang. The collector of the logs stopped reading, the pipe filled
// up, and every line waited for room in it.
func TestAReaderThatStopsReadingStopsNothing(t *testing.T) {
	to := &stalled{let: make(chan struct{})}
	stop := cli.LogTo(to)
	begun := time.Now()
	const lines = 20000
	for i := range lines {
		klog.InfoS("A line", "number", i)
	}
	assert.Less(t, time.Since(begun), 5*time.Second)
	close(to.let)
	klog.InfoS("After")
	stop()
	assert.Contains(t, to.text.String(), "Log lines dropped count=")
	assert.Less(t, strings.Count(to.text.String(), "\n"), lines, "bounded")
	klog.SetOutput(io.Discard)
}
