package scenario_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// load sends requests at a constant rate, as through a load balancer that selects only
// entries that report ready.
type load struct {
	stop     chan struct{}
	stopped  chan struct{}
	once     sync.Once
	sent     atomic.Int64
	mu       sync.Mutex
	failures []string
}

const (
	// loadInterval is the time between two requests of a load.
	loadInterval = 20 * time.Millisecond
	// loadTokens is the length of each answer, about half a second at the engines' default
	// decode step.
	loadTokens = 50
)

func (w *scenario) startLoad() *load {
	l := &load{stop: make(chan struct{}), stopped: make(chan struct{})}
	go l.run(w)
	return l
}

func (l *load) run(w *scenario) {
	defer close(l.stopped)
	var running sync.WaitGroup
	defer running.Wait()
	client := newClient()
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		base, ok := w.pickReadyEntry(client, n)
		if !ok {
			l.addFailure("no entry is ready")
			continue
		}
		r, err := chatRequest(fmt.Sprint("load ", n), loadTokens, true)
		if err != nil {
			l.addFailure(err.Error())
			continue
		}
		running.Go(func() { l.check(send(client, base, w.callerKey, r)) })
	}
}

func (l *load) check(a *answer) {
	l.sent.Add(1)
	if err := a.wait(); err != nil {
		l.addFailure(err.Error())
		return
	}
	if outcome, err := a.outcome(); err != nil || outcome != "whole" {
		l.addFailure(fmt.Sprint(outcome, " ", err, " ", a.describe()))
	}
}

func (l *load) addFailure(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, text)
}

// end stops sending and waits for the running answers.
func (l *load) end() {
	l.once.Do(func() { close(l.stop) })
	<-l.stopped
}

// pickReadyEntry returns the URL of an entry that is ready, round-robin.
func (w *scenario) pickReadyEntry(client *http.Client, n int) (string, bool) {
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

func (w *scenario) entryNames() []string {
	names := make([]string, len(w.addresses))
	for i := range names {
		names[i] = fmt.Sprint("entry", i+1)
	}
	return names
}
