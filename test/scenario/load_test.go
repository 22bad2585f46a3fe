package scenario_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// load is a stream of callers behind a balancer that sends new requests only
// to entries that say they are ready.
type load struct {
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
	sent    atomic.Int64
	mu      sync.Mutex
	faults  []string
}

const (
	// loadGap is the time between two requests of a load.
	loadGap = 20 * time.Millisecond
	// loadTokens of each answer; with the engines' default step about half a second.
	loadTokens = 50
)

func (w *world) startLoad() *load {
	l := &load{stop: make(chan struct{}), stopped: make(chan struct{})}
	go l.run(w)
	return l
}

func (l *load) run(w *world) {
	defer close(l.stopped)
	var running sync.WaitGroup
	defer running.Wait()
	client := newClient()
	ticker := time.NewTicker(loadGap)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		base, ok := w.balanced(client, n)
		if !ok {
			l.fault("no entry is ready")
			continue
		}
		r, err := chatRequest(fmt.Sprint("load ", n), loadTokens, true)
		if err != nil {
			l.fault(err.Error())
			continue
		}
		running.Go(func() { l.check(send(client, base, w.callerKey, r)) })
	}
}

func (l *load) check(a *answer) {
	l.sent.Add(1)
	if err := a.wait(); err != nil {
		l.fault(err.Error())
		return
	}
	if word, err := a.outcome(); err != nil || word != "whole" {
		l.fault(fmt.Sprint(word, " ", err, " ", a.describe()))
	}
}

func (l *load) fault(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, text)
}

// end stops sending and waits for the answers under way.
func (l *load) end() {
	l.once.Do(func() { close(l.stop) })
	<-l.stopped
}

// balanced picks an entry that is ready, in turn.
func (w *world) balanced(client *http.Client, n int) (string, bool) {
	names := w.entryNames()
	for i := range names {
		at := w.addresses[names[(n+i)%len(names)]]
		response, err := client.Get("http://" + at.admin + "/readyz")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return "http://" + at.callers, true
		}
	}
	return "", false
}

func (w *world) entryNames() []string {
	names := make([]string, len(w.addresses))
	for i := range names {
		names[i] = fmt.Sprint("entry", i+1)
	}
	return names
}
