package capacity

import (
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

## The gateway on the users' platform

Computed by hand from runs of 4, 5, 31 and 103 entries (12, 9, 56 and 180 engines) and from benchmarks; not run at the size of two years.

| what | measured | at 810 entries, 7,000 backend servers | bound | verdict | mechanism |
|---|---|---|---|---|---|
| one decision, up to 26 entries | 13, 14, 16 microseconds at 12, 56, 318 servers (` + "`go test -run xxx -bench DirectChoice ./internal/routing`" + `) | not used there | 10 | | few servers scored; the filter reads all |
| one decision, an owner's | 10.5 microseconds at the 12 servers of a shard (` + "`-bench DirectChoice`" + `) | 9 servers a shard: 10.5 at most | 10 | **short** | shards of eight servers or more |
| choice of the owner, each request | 0.5, 2.3, 16.6 microseconds at 180, 1,000, 7,000 servers (` + "`go test -run xxx -bench OwnersFor ./internal/shard`" + `) | 160 requests/s: 0.27% of a core | | | reads all servers |
| assignment of servers to owners, each change of the list | 0.009, 0.23, 8.7 ms at 180, 1,000, 7,000 servers and 15, 100, 810 owners (` + "`-bench Assignment`" + `) | three batches of changes a second during a rollout: 2.6% of a core | 1.4% | **does not hold** | the assignment could be kept while the owners stay the same; a list by data centre |
| owner queries, offers and progress | four datagrams a request of 43 to 118 bytes with headers, 300 bytes together, some 250 more where a second owner is asked (` + "`go test -v -run DatagramBytesPerRequest ./internal/gateway`" + `): 3 to 6 KB/s at 10 requests/s, at any number of entries | 160 requests/s: 48 to 88 KB/s, part of the requests (0.3 KB beside a body of 12 KB) | | | a request asks one owner, at times two |
| processor, requests and control | 0.011, 0.015, 0.024, 0.0185 cores at 5, 4, 31, 103 entries with about 25, 36, 13 and 15 requests/s an entry | not separated | 1.4% for control | not measured | |
| memory of a process | 10.4, 11.6, 23.5, 24.3 MB peak at 5, 4, 31, 103 entries (69 MB at 103 when each entry sent everything to every other) | list and routes: under 64 MB by the entries' slope above | 64 MB | not measured | one immutable table, bounded cache observations |
| calls to the store, all entries | 9 to 11/s at 4 and 5 entries, 15/s at 31, 19/s at 103 (57/s before), starts included | three readers: about 20/s besides the entries' own rows | 2,000/s | holds | three readers, two relays a data centre, long-polled feeds, two contenders |
| list of backend servers, a reader | a row of about 300 bytes a heartbeat: 3 KB/s at 15 servers | 7,000 heartbeats in 1.2 s: 1.7 MB/s | 2 KB/s | **does not hold** | needs a list by data centre, or changes without heartbeats; three entries carry it |
| list, the other entries | changes without heartbeats only | some changes a minute | 2 KB/s | holds | relays forward only changes other than heartbeats |
| rollout updates, an owner | about 90 bytes a server and version, twice | 7,000 servers: 0.6 MB for each version | 2 KB/s | holds up to one version in five minutes | to owners only; could be sent to the owner of the server only |
| hints of an entry, up to 26 entries | at most 1.3 KB/s for each other entry, 32 KB/s in all | none are sent | 2 KB/s | holds there | owners of shards instead |
| KV cache stores, queried by an owner | each 0.5 s, or 0.05 s for each entry that may own shards where that is longer | each 40 s: 0.1 KB/s, and 20 queries a second at a store | 2 KB/s | holds, but evictions by a store are detected late | pause that grows with the number of entries that query |
| requests under which servers crash, one more crash record in a full registry of 4,096 | 0.11 ms (` + "`go test -run xxx -bench Recompute ./internal/quarantine`" + `); only a feed while no server crashes | a rack of 30 servers lost, ten requests each that had just begun: 300 rows, once; 47 servers a day: about 1 byte/s | 2 KB/s | holds, computed | only requests that may be quarantined are evaluated; few datagrams in large fleets |
| a configuration in force | one feed, 0.35 s more through a relay | the same | 5 s | holds while the store is up | |

### Slopes of the users' sweep

` + "`fleetbench sweep large/aeat-flota-large.toml --jobs 2`" + ` plays one day at 30, 100 and 298 entries before 300, 1,000 and 3,000 backend servers, traffic scaled down; busiest entry, and its slope
extrapolated to 815. No rule broken; served 0.960, 0.950, 0.979. Before the list was applied in one batch the day at 298 entries served 0.273 with a rule broken, at 85% of the processor.

| busiest entry | 30 | 100 | 298 | at 815, computed | bound | verdict |
|---|---|---|---|---|---|---|
| processor, % of its VM's share, requests included | 8.3 | 8.6 | 13.2 | 16.1 | 1.4 for control | not separated from requests |
| memory, MB | 11.0 | 13.2 | 20.2 | 26.2 | 64 | holds |
| KB a second, requests included | 54 | 233 | 902 | 3,059 | 2 for control | **does not hold** for the three readers and the relays; the median entry has 41, 33, 44 |
| connections | 126 | 81 | 82 | 82 | | |
| a configuration in force after its acknowledgement, ms, longest | 0 | 178 | 12 | 12 | 5,000 | holds |
| serving again after all were killed, ms | 500 | 1,000 | 7,500 | 24,064 | 15,000 | **does not hold** at 815: each entry reads the whole list from the store |

` + "`fleetbench sweep shifted/aeat-flota-now-grown.toml --jobs 2`" + `, with usage caps over all entries, at d17aa18; no rule broken, worth 0.897, 0.873, 0.858:

| busiest entry | 31 | 98 | 299 | at 815, computed | bound | verdict |
|---|---|---|---|---|---|---|
| processor, % of its VM's share, requests included | 11.1 | 8.3 | 24.7 | 34.6 | 1.4 for control | not separated from requests |
| memory, MB | 11.9 | 13.6 | 25.8 | 35.9 | 64 | holds |
| KB a second, requests included | 66 | 229 | 1,601 | 6,349 | 2 for control | **does not hold** for readers and relays; the median entry has 44, 29, 51 |
| connections | 158 | 88 | 122 | 122 | | |
| a configuration in force after its acknowledgement, ms, longest | 0 | 271 | 52 | 54 | 5,000 | holds |
| serving again after all were killed, ms | 500 | 1,500 | 2,000 | 3,669 | 15,000 | holds |

One deployment of each kind besides, the day at about 300 entries; no rule broken:

| deployment | worth at 30, 100, 300 | busiest entry, KB/s | serving again after all were killed, ms |
|---|---|---|---|
| sites/aeat-flota | 0.901, 0.911, 0.879 | 137, 174, 1,335 | 1,000, 1,000, 5,500 |
| further/ckex-platform | 0.886, 0.909, 0.857 | 174, 137, 862 | 1,000, 1,000, 1,500 |
| grown/aeat-flota-grown | 0.899, 0.890, 0.853 | 73, 207, 1,318 | 500, 1,500, 6,500 |
| further-grown/ckex-platform-grown | 0.886, 0.852, 0.776 | 59, 174, 999 | 500, 1,000, 30,000 (docs/OPEN.md) |
| usage caps, the exchange alone | | 0.32 KB/s an entry at 299 entries and 16 workspaces, 1.5 at 810 and 220 with 13 requests/s (computed by a simulation); a lender there 78 | |
`

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
