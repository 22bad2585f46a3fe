// Command capacity generates docs/CAPACITY.md from docs/slopes.json.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/jayproxy/jayproxy/internal/capacity"
)

func main() {
	in := flag.String("in", "docs/slopes.json", "slopes file written by `make slopes`")
	out := flag.String("out", "docs/CAPACITY.md", "page to write")
	flag.Parse()
	slopes, err := capacity.Load(*in)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	sizes := capacity.TwoYearForecast()
	page := capacity.Page(sizes, capacity.Rows(sizes, slopes), slopes)
	if err := os.WriteFile(*out, []byte(page), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
