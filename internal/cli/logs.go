package cli

import (
	"flag"
	"io"
	"strconv"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// maxQueuedLines is the maximum number of queued log lines.
const maxQueuedLines = 4096

// lineWriter queues lines for a writer and never blocks, so that a log reader that
// stops reading does not block the process. Lines that do not fit into the queue are
// dropped and counted.
type lineWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// Write implements io.Writer.
func (w *lineWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

func (w *lineWriter) run(to io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = io.WriteString(to, "W Log lines dropped count="+strconv.FormatInt(n, 10)+"\n")
		}
		_, _ = to.Write(line)
	}
}

// LogTo sends all logs of the process to a writer, one line each, without blocking.
// The returned function stops logging and writes the queued lines.
func LogTo(to io.Writer) (stop func()) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Parse([]string{"-logtostderr=false", "-one_output=true", "-stderrthreshold=FATAL", "-legacy_stderr_threshold_behavior=false"})
	w := &lineWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(to)
	klog.SetOutput(w)
	return func() {
		klog.Flush()
		klog.SetOutput(io.Discard)
		close(w.lines)
		<-w.done
	}
}
