package capacity

import (
	_ "embed" // gatewayPart
	"fmt"
	"sort"
	"strings"
)

// Page renders the rows and the slopes that they are computed from as Markdown.
func Page(sizes Sizes, rows []Row, slopes Set) string {
	var p strings.Builder
	p.WriteString(head)
	fmt.Fprintf(&p, "\n%.0f entries before %.0f backend servers in %.0f data centres and %.0f regions: %.0f entries and %.0f backend servers a data centre, "+
		"%.0f requests/s an entry and %.1f a backend server, %.0f cached blocks and %.0f cache events/s a backend server, %.0f open streams at an entry, %.3f changes/s, %.0f declared objects.\n",
		sizes.Entries, sizes.BackendServers, sizes.DataCentres, sizes.Regions, sizes.entriesPerDC(), sizes.serversPerDC(),
		sizes.requestsPerEntry(), sizes.requestsPerServer(), sizes.blocksPerServer(), sizes.eventsPerServer(), sizes.openStreamsPerEntry(),
		sizes.changesPerSecond(), sizes.objects())
	role := ""
	for _, row := range rows {
		if row.Role != role {
			role = row.Role
			fmt.Fprintf(&p, "\n## %s\n\n| what | value | bound | verdict | from | mechanism |\n|---|---|---|---|---|---|\n", strings.ToUpper(role[:1])+role[1:])
		}
		fmt.Fprintf(&p, "| %s | %s | %s | %s | %s | %s |\n", row.What, valueText(row), boundText(row), verdictText(row), row.From, row.Mechanism)
	}
	p.WriteString("\n## Slopes\n\nA value is fixed + per unit x count; R2 is the coefficient of determination of the line.\n\n| slope | per | per unit | fixed | R2 | points (count: value) | command |\n|---|---|---|---|---|---|---|\n")
	for _, name := range names(slopes) {
		s := slopes[name]
		fmt.Fprintf(&p, "| `%s`, %s | %s | %.4g | %.4g | %.3f | %s | `%s` |\n", s.Name, s.YUnit, s.XUnit, s.PerUnit, s.Fixed, s.R2, pointsText(s.Points), s.Command)
	}
	p.WriteString(tail)
	p.WriteString(gatewayPart)
	return p.String()
}

const head = `# Capacity: the size of two years

Computed by ` + "`go run ./tools/capacity`" + ` from docs/slopes.json, which ` + "`make slopes`" + ` writes; CI checks that page and slopes agree.
Nothing here was run at this size: slopes were measured on one machine with small stand-ins and extrapolated linearly.
Timings depend on the machine; the run's machine had 12 cores that other work shared.
`

const tail = `
## What the page does not cover

- Losses of a data centre or a region are computed from spare capacity, not run: 1/22 of the load moved to the other data centres of the
  region raises each of theirs by a half when a region has three, so pools need that spare capacity for the first-token bound to hold.
- The first token within 0.32 s and 34 ms between tokens depend on the users' engines; what entry and agent add is in MEASUREMENTS.md.
- Cross-region links: gossip and polls were measured in one data centre on loopback.

`

// gatewayPart is the part on jay-gateway, which is written by hand: its figures come from
// runs of whole fleets, with the command beside each.
//
//go:embed gateway.md
var gatewayPart string

func names(slopes Set) []string {
	list := make([]string, 0, len(slopes))
	for name := range slopes {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

func valueText(r Row) string {
	if !r.Known {
		return "not known"
	}
	return fmt.Sprintf("%.3g %s", r.Value, r.Unit)
}

func boundText(r Row) string {
	if r.Bound == 0 {
		return ""
	}
	return fmt.Sprintf("%.3g %s", r.Bound, r.Unit)
}

func verdictText(r Row) string {
	if r.Verdict() == FallsShort {
		return fmt.Sprintf("**falls short**, %.1f times the bound", r.Value/r.Bound)
	}
	return string(r.Verdict())
}

func pointsText(points []Point) string {
	texts := make([]string, len(points))
	for i, p := range points {
		texts[i] = fmt.Sprintf("%.0f: %.4g", p.X, p.Y)
	}
	return strings.Join(texts, "; ")
}
