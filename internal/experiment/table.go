package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/jayproxy/jayproxy/internal/routing"
)

// key identifies the runs that are compared with each other.
type key struct {
	mix     string
	share   float64
	entries int
	fault   Fault
	greedy  float64
}

func keyOf(r Result) key {
	return key{r.MixName, r.Share, r.Entries, r.Fault, r.Greedy}
}

// Compared is a result with its ratios to the baseline policies, least-load and
// ask-all ("full"), in the same configuration.
type Compared struct {
	Result
	// Hit rate divided by that of least-load and of ask-all.
	HitOverLeastLoad, HitOverFull float64
	// p99 time to first token divided by that of least-load and of ask-all.
	P99OverLeastLoad, P99OverFull float64
	// Wasted divided by that of least-load.
	WastedOverLeastLoad float64
}

// Compare returns every result with its ratios to the baselines in the same
// configuration. Ratios to a baseline that did not run are 0.
func (r Report) Compare() []Compared {
	least, full := map[key]Result{}, map[key]Result{}
	for _, result := range r.Results {
		switch result.Policy {
		case routing.PolicyLeastLoad:
			least[keyOf(result)] = result
		case routing.PolicyProbeAll:
			full[keyOf(result)] = result
		}
	}
	compared := make([]Compared, 0, len(r.Results))
	for _, result := range r.Results {
		l, f := least[keyOf(result)], full[keyOf(result)]
		compared = append(compared, Compared{
			Result:              result,
			HitOverLeastLoad:    ratio(result.HitRate, l.HitRate),
			HitOverFull:         ratio(result.HitRate, f.HitRate),
			P99OverLeastLoad:    ratio(result.FirstToken.P99, l.FirstToken.P99),
			P99OverFull:         ratio(result.FirstToken.P99, f.FirstToken.P99),
			WastedOverLeastLoad: ratio(result.Wasted, l.Wasted),
		})
	}
	return compared
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// WriteTable writes the results as a text table, with the ratios to the least-load
// (LL) and ask-all (full) policies.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "mix\tload\tentries\tfault\tpolicy\tcalls\tnot served\thit\tbound\t/LL\t/full\twasted\t/LL\tp50 ms\tp99 ms\t/LL\t/full\tin time\tmsg\tbytes\tbefore\tafter\t")
	for _, c := range r.Compare() {
		_, _ = fmt.Fprintf(table, "%s\t%.2f\t%d\t%s\t%s\t%d\t%d\t%.3f\t%.3f\t%.2f\t%.2f\t%.3f\t%.2f\t%.0f\t%.0f\t%.2f\t%.2f\t%.3f\t%.1f\t%.0f\t%.3f\t%.3f\t\n",
			c.MixName, c.Share, c.Entries, c.Fault, c.Policy, c.Calls, c.Calls-c.Served, c.HitRate, c.Bound,
			c.HitOverLeastLoad, c.HitOverFull, c.Wasted, c.WastedOverLeastLoad, c.FirstToken.P50, c.FirstToken.P99,
			c.P99OverLeastLoad, c.P99OverFull, c.InTime, c.Messages, c.Bytes, c.Before, c.After)
	}
	return table.Flush()
}

func plural(entries int) string {
	if entries == 1 {
		return "1 entry"
	}
	return fmt.Sprintf("%d entries", entries)
}
