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

// shownViolations bounds the violations that the report lists.
const shownViolations = 20

// recorder records the outcomes that callers received and compares them with the runs
// that the stand-ins counted.
type recorder struct {
	cluster *cluster.Cluster
	began   time.Time

	mu         sync.Mutex
	violations []string
	ends       map[string]int
	injected   map[string]int
	// notRunStreams and notRunBookings are the request ids of streams, and the ids of
	// bookings without a key, that were reported as not run.
	notRunStreams  []string
	notRunBookings []string
	doneKeys       map[string]bool
	recovery       time.Duration
}

func newRecorder(c *cluster.Cluster) *recorder {
	return &recorder{cluster: c, began: time.Now(), ends: map[string]int{}, injected: map[string]int{}, doneKeys: map[string]bool{}}
}

func (r *recorder) violation(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("%s: %s", time.Since(r.began).Round(time.Millisecond), text))
}

func (r *recorder) recordFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injected[name]++
}

func (r *recorder) recordStream(id, ended string, err error) {
	if err != nil {
		r.violation(fmt.Sprintf("stream %s: %v", id, err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends["stream "+ended]++
	if ended == "refused not_run" && id != "" {
		r.notRunStreams = append(r.notRunStreams, id)
	}
	if ended == "refused " {
		r.violations = append(r.violations, "stream "+id+" refused without an outcome")
	}
}

func (r *recorder) recordBooking(key, id, outcome string, err error) {
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

// checkRuns compares the outcomes that callers received with the runs that the
// stand-ins counted.
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
			r.violation(fmt.Sprintf("booking %s ran %d times", id, n))
		}
	}
	for key := range r.doneKeys {
		if serviceRuns[key] != 1 {
			r.violation(fmt.Sprintf("booking %s was reported done and ran %d times", key, serviceRuns[key]))
		}
	}
	for _, id := range r.notRunBookings {
		if serviceRuns[id] > 0 {
			r.violation("booking " + id + " was reported not run and ran")
		}
	}
	for _, id := range r.notRunStreams {
		if engineRuns[id] > 0 {
			r.violation("request " + id + " was reported not run and ran")
		}
	}
}

// checkRecovered waits until every entry serves a complete stream again.
func (r *recorder) checkRecovered(ctx context.Context) {
	start := time.Now()
	for i, one := range r.cluster.Entries() {
		c := &caller{id: i, random: rand.New(rand.NewPCG(1, 1)), recorder: r, client: &http.Client{Timeout: callTimeout}}
		for !c.works(one.CallersURL()) {
			if ctx.Err() != nil {
				r.violation(fmt.Sprintf("entry %d serves no complete stream after the faults", i))
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	r.recovery = time.Since(start)
}

// works reports whether a stream through the entry is complete.
func (c *caller) works(url string) bool {
	r := c.recorder
	r.mu.Lock()
	before := r.ends["stream complete"]
	r.mu.Unlock()
	c.chat(url, -1)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends["stream complete"] > before
}

func (r *recorder) summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%s: %s; violations %d", time.Since(r.began).Round(time.Second), counts(r.ends), len(r.violations))
}

// report prints the results of the run and returns the number of violations.
func (r *recorder) report(out io.Writer) int {
	_, _ = fmt.Fprintln(out, r.summary())
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(out, "faults injected: %s\ncomplete streams at every entry %s after the last fault\n", counts(r.injected), r.recovery.Round(time.Millisecond))
	for i, violation := range r.violations {
		if i == shownViolations {
			_, _ = fmt.Fprintf(out, "and %d more\n", len(r.violations)-shownViolations)
			break
		}
		_, _ = fmt.Fprintln(out, "VIOLATION", violation)
	}
	return len(r.violations)
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
