package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jayproxy/jayproxy/internal/standin/cluster"
)

// shownFaults bounds the violations that the report spells out.
const shownFaults = 20

// recorder notes what callers heard and checks it against what ran.
type recorder struct {
	cluster *cluster.Cluster
	began   time.Time

	mu      sync.Mutex
	faults  []string
	ends    map[string]int
	strikes map[string]int
	// notRun holds request ids of streams, and ids of bookings without a key,
	// that were refused as not run.
	notRunStreams  []string
	notRunBookings []string
	doneKeys       map[string]bool
	recovery       time.Duration
}

func newRecorder(c *cluster.Cluster) *recorder {
	return &recorder{cluster: c, began: time.Now(), ends: map[string]int{}, strikes: map[string]int{}, doneKeys: map[string]bool{}}
}

func (r *recorder) fault(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf("%s: %s", time.Since(r.began).Round(time.Millisecond), text))
}

func (r *recorder) struck(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.strikes[name]++
}

func (r *recorder) streamed(id, ended string, err error) {
	if err != nil {
		r.fault(fmt.Sprintf("stream %s: %v", id, err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends["stream "+ended]++
	if ended == "refused not_run" && id != "" {
		r.notRunStreams = append(r.notRunStreams, id)
	}
	if ended == "refused " {
		r.faults = append(r.faults, "stream "+id+" refused without an outcome")
	}
}

func (r *recorder) booked(key, id, outcome string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || outcome == "" {
		outcome = "no answer"
	}
	r.ends["booking "+outcome]++
	switch {
	case outcome == "done" && key != "":
		r.doneKeys[key] = true
	case outcome == "not_run" && key == "":
		r.notRunBookings = append(r.notRunBookings, id)
	}
}

// checkRuns compares what callers heard with what the stand-ins counted.
func (r *recorder) checkRuns() {
	engineRuns, serviceRuns := map[string]int{}, map[string]int{}
	for _, one := range r.cluster.Engines {
		for id, n := range one.Core().Runs() {
			request, _, _ := strings.Cut(id, "/")
			engineRuns[request] += n
		}
	}
	for _, one := range r.cluster.Services {
		for id, n := range one.Runs() {
			serviceRuns[id] += n
		}
	}
	for id, n := range serviceRuns {
		if n > 1 {
			r.fault(fmt.Sprintf("booking %s ran %d times", id, n))
		}
	}
	for key := range r.doneKeys {
		if serviceRuns[key] != 1 {
			r.fault(fmt.Sprintf("booking %s was told done and ran %d times", key, serviceRuns[key]))
		}
	}
	for _, id := range r.notRunBookings {
		if serviceRuns[id] > 0 {
			r.fault("booking " + id + " was told not run and ran")
		}
	}
	for _, id := range r.notRunStreams {
		if engineRuns[id] > 0 {
			r.fault("request " + id + " was told not run and ran")
		}
	}
}

// checkRecovered waits until a stream is whole again at every entry.
func (r *recorder) checkRecovered(ctx context.Context) {
	start := time.Now()
	for i, one := range r.cluster.Entries() {
		c := &caller{id: i, random: rand.New(rand.NewPCG(1, 1)), recorder: r, client: &http.Client{Timeout: callTimeout}}
		for !c.works(one.CallersURL()) {
			if ctx.Err() != nil {
				r.fault(fmt.Sprintf("entry %d serves no whole stream after the faults", i))
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	r.recovery = time.Since(start)
}

// works tells whether a short stream through the entry is whole.
func (c *caller) works(url string) bool {
	r := c.recorder
	r.mu.Lock()
	before := r.ends["stream whole"]
	r.mu.Unlock()
	c.chat(url, -1)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends["stream whole"] > before
}

func (r *recorder) summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%s: %s; violations %d", time.Since(r.began).Round(time.Second), counts(r.ends), len(r.faults))
}

// report prints the end of the run and returns the number of violations.
func (r *recorder) report(out io.Writer) int {
	_, _ = fmt.Fprintln(out, r.summary())
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(out, "faults injected: %s\nwhole streams at every entry %s after the last fault\n", counts(r.strikes), r.recovery.Round(time.Millisecond))
	for i, fault := range r.faults {
		if i == shownFaults {
			_, _ = fmt.Fprintf(out, "and %d more\n", len(r.faults)-shownFaults)
			break
		}
		_, _ = fmt.Fprintln(out, "VIOLATION", fault)
	}
	return len(r.faults)
}

func counts(of map[string]int) string {
	names := make([]string, 0, len(of))
	for name := range of {
		names = append(names, name)
	}
	sort.Strings(names)
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = fmt.Sprintf("%s %d", name, of[name])
	}
	return strings.Join(texts, ", ")
}
