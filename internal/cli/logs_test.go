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

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	text    strings.Builder
}

// Write implements io.Writer.
func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

// Guards against a process that blocks because its log reader stops reading.
func TestABlockedLogReaderDoesNotBlockLogging(t *testing.T) {
	to := &blockedWriter{release: make(chan struct{})}
	stop := cli.LogTo(to)
	begun := time.Now()
	const lines = 20000
	for i := range lines {
		klog.InfoS("A line", "number", i)
	}
	assert.Less(t, time.Since(begun), 5*time.Second)
	close(to.release)
	klog.InfoS("After")
	stop()
	assert.Contains(t, to.text.String(), "Log lines dropped count=")
	assert.Less(t, strings.Count(to.text.String(), "\n"), lines, "all lines were written, none dropped")
	klog.SetOutput(io.Discard)
}
