// Command slopes measures how costs grow with counts, at three or more counts that
// double each time, and writes the fitted lines as JSON. tools/capacity computes
// docs/CAPACITY.md from that file.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"regexp"
	"time"

	"github.com/jayproxy/jayproxy/internal/capacity"
)

// measurement defines one slope.
type measurement struct {
	name  string
	xUnit string
	yUnit string
	// counts at which to measure, each double the previous one.
	counts []int
	// measure returns the value at a count.
	measure func(count int) (float64, error)
}

func main() {
	out := flag.String("out", "docs/slopes.json", "file to write; slopes in it that are not measured now are kept")
	only := flag.String("only", ".", "regular expression of the names to measure")
	flag.Parse()
	pattern, err := regexp.Compile(*only)
	if err != nil {
		fail(err)
	}
	known, err := capacity.Load(*out)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		fail(err)
	}
	var slopes []capacity.Slope
	for _, m := range allMeasurements() {
		slope, ok := known[m.name]
		if pattern.MatchString(m.name) {
			if slope, err = run(m); err != nil {
				fail(fmt.Errorf("%s: %w", m.name, err))
			}
			ok = true
		}
		if ok {
			slopes = append(slopes, slope)
		}
	}
	if err := capacity.Save(*out, slopes); err != nil {
		fail(err)
	}
}

func allMeasurements() []measurement {
	var list []measurement
	list = append(list, transportMeasurements()...)
	list = append(list, catalogMeasurements()...)
	list = append(list, routingMeasurements()...)
	list = append(list, agentMeasurements()...)
	list = append(list, gossipMeasurements()...)
	list = append(list, controlMeasurements()...)
	return list
}

func run(m measurement) (capacity.Slope, error) {
	start := time.Now()
	slope := capacity.Slope{
		Name: m.name, XUnit: m.xUnit, YUnit: m.yUnit,
		Command: fmt.Sprintf("go run ./tools/slopes -only '^%s$'", m.name),
	}
	for _, count := range m.counts {
		value, err := m.measure(count)
		if err != nil {
			return slope, err
		}
		slope.Points = append(slope.Points, capacity.Point{X: float64(count), Y: value})
	}
	slope, err := capacity.Fit(slope)
	fmt.Printf("%-36s %12.4g %s per %s, fixed %.4g, r2 %.3f (%s)\n",
		m.name, slope.PerUnit, m.yUnit, m.xUnit, slope.Fixed, slope.R2, time.Since(start).Round(time.Millisecond))
	return slope, err
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// doubled returns n counts from first on, each double the previous one.
func doubled(first, n int) []int {
	counts := make([]int, n)
	for i := range counts {
		counts[i] = first << i
	}
	return counts
}
