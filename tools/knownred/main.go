// Command knownred reads the output of `go test -json`, prints failures and a
// summary, and tolerates the failures of exactly the tests that KNOWN-RED.txt lists.
// A listed test that passes counts as a failure, so that stale lines are removed,
// unless its line marks it as failing only at times.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

const maxLineBytes = 16 << 20

type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// run is the outcome of a test run.
type run struct {
	output map[string][]string
	// failed has an entry for each test and package that failed: true for tests.
	failed  map[string]bool
	passed  map[string]bool
	skipped int
}

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "file that lists the tests known to fail")
	flag.Parse()
	known, err := readList(*list)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !report(readEvents(os.Stdin), known) {
		os.Exit(1)
	}
}

// readList returns the lines of the listed tests by package.Test, in the order of
// the file. A test with several known faults has several lines.
func readList(file string) (map[string][]string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	known := map[string][]string{}
	for _, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, "|")
		name = strings.TrimSpace(name)
		known[name] = append(known[name], line)
	}
	return known, nil
}

func readEvents(in io.Reader) run {
	r := run{output: map[string][]string{}, failed: map[string]bool{}, passed: map[string]bool{}}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		r.add(e)
	}
	return r
}

func (r *run) add(e event) {
	name := e.Package
	if e.Test != "" {
		name += "." + e.Test
	}
	switch e.Action {
	case "output", "build-output":
		r.output[name] = append(r.output[name], e.Output)
	case "fail":
		r.failed[name] = e.Test != ""
	case "skip":
		if e.Test != "" {
			r.skipped++
		}
	case "pass":
		if e.Test != "" {
			r.passed[name] = true
		} else {
			fmt.Printf("ok   %s\n", e.Package)
		}
	}
}

// report prints failures and a summary, and returns whether the run passes.
func report(r run, known map[string][]string) bool {
	passes := true
	failedTests := 0
	for _, name := range sorted(r.failed) {
		if tolerated(name, r, known) {
			continue
		}
		passes = false
		if r.failed[name] {
			failedTests++
		}
		fmt.Printf("--- FAIL %s\n%s", name, strings.Join(r.output[name], ""))
	}
	for _, name := range sorted(known) {
		for _, line := range known[name] {
			passes = reportListed(name, line, r) && passes
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", len(r.passed), failedTests, r.skipped)
	return passes && len(r.passed) > 0
}

// reportListed prints a line of the list with what its test did, and returns false
// if the line must be removed.
func reportListed(name, line string, r run) bool {
	switch {
	case r.failed[name]:
		fmt.Printf("known red: %s\n", line)
	case r.passed[name] && failsAtTimes(line):
		fmt.Printf("known red at times, passed now: %s\n", line)
	case r.passed[name]:
		fmt.Printf("%s passes: remove its line from the list: %s\n", name, line)
		return false
	}
	return true
}

// atTimes begins the second field of a line whose test fails only at times, for
// example under load.
const atTimes = "at times:"

func failsAtTimes(line string) bool {
	_, rest, _ := strings.Cut(line, "|")
	return strings.HasPrefix(strings.TrimSpace(rest), atTimes)
}

// tolerated reports whether a failure is tolerated: the test is listed, or it is the
// package or parent of failing tests that are all tolerated.
func tolerated(name string, r run, known map[string][]string) bool {
	if _, ok := known[name]; ok {
		return true
	}
	inside := 0
	for other := range r.failed {
		if !strings.HasPrefix(other, name+".") && !strings.HasPrefix(other, name+"/") {
			continue
		}
		if !tolerated(other, r, known) {
			return false
		}
		inside++
	}
	return inside > 0
}

func sorted[V any](set map[string]V) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
