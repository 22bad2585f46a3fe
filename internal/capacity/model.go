package capacity

import "fmt"

// Verdict is the result of comparing a row's value with its bound.
type Verdict string

// The verdicts. A NoBound row is informative only; a NotKnown row needs a slope that
// is missing.
const (
	Holds      Verdict = "holds"
	FallsShort Verdict = "falls short"
	NotKnown   Verdict = "not known"
	NoBound    Verdict = ""
)

// Row is one figure of a role at the forecast size.
type Row struct {
	Role string
	What string
	// Value in Unit; Known is false when a slope that it needs is missing.
	Value float64
	Unit  string
	Known bool
	// Bound in Unit; 0 means none.
	Bound float64
	// From says how the value was computed, with the names of the slopes.
	From string
	// Mechanism says which design decision determines the value.
	Mechanism string
}

// Verdict compares the value with the bound.
func (r Row) Verdict() Verdict {
	switch {
	case !r.Known:
		return NotKnown
	case r.Bound == 0:
		return NoBound
	case r.Value <= r.Bound:
		return Holds
	}
	return FallsShort
}

// Roles, in the order of the page.
const (
	RoleEntry          = "entry"
	RoleAgent          = "agent"
	RoleLeaseHolder    = "lease holder (an entry's share)"
	RoleOperator       = "operators' calls (an entry)"
	RolePlatform       = "platform"
	RoleDataCentreLoss = "loss of a data centre, its load on the others of its region"
)

// builder computes rows from a set of slopes.
type builder struct {
	sizes  Sizes
	slopes Set
	rows   []Row
}

// Rows computes all rows of the page.
func Rows(sizes Sizes, slopes Set) []Row {
	b := &builder{sizes: sizes, slopes: slopes}
	b.entry()
	b.agent()
	b.leaseHolder()
	b.operators()
	b.platform()
	b.lostDataCentre()
	return b.rows
}

// term is one summand of a row: the slope's value per unit, or its line's value at a
// count, times a factor.
type term struct {
	slope string
	// at is the count at which the line is evaluated; perUnit takes the value per unit
	// instead.
	at      float64
	perUnit bool
	factor  float64
}

// sum appends the row with the sum of the terms as its value, or as not known when a
// slope is missing.
func (b *builder) sum(row Row, terms ...term) {
	row.Known = true
	for _, t := range terms {
		slope, ok := b.slopes[t.slope]
		if !ok {
			row.Known = false
			row.From += fmt.Sprintf(" (%s not measured)", t.slope)
			continue
		}
		value := slope.PerUnit
		if !t.perUnit {
			value = slope.Fixed + slope.PerUnit*t.at
		}
		row.Value += value * t.factor
	}
	b.rows = append(b.rows, row)
}

const (
	megabyte    = 1 << 20
	nanoseconds = 1e-9
	percent     = 100
)

func (b *builder) entry() {
	s := b.sizes
	b.sum(Row{Role: RoleEntry, What: "memory: catalog, two tables during a swap", Unit: "MB", Bound: s.MemoryBytes / megabyte,
		From: fmt.Sprintf("%.0f objects x catalog_object_memory x 2", s.objects()), Mechanism: "immutable table, replaced as a unit"},
		term{slope: "catalog_object_memory", at: s.objects(), factor: 2.0 / megabyte})
	b.sum(Row{Role: RoleEntry, What: "memory: reported state of backend servers", Unit: "MB", Bound: s.MemoryBytes / megabyte,
		From: fmt.Sprintf("%.0f servers x route_server_memory", s.BackendServers), Mechanism: "in-band state, no polling"},
		term{slope: "route_server_memory", perUnit: true, factor: s.BackendServers / megabyte})
	b.sum(Row{Role: RoleEntry, What: "memory: cache observations", Unit: "MB", Bound: s.MemoryBytes / megabyte,
		From: "65,536 points, the table's bound, x route_belief_memory", Mechanism: "bounded table, least recently used removed first"},
		term{slope: "route_belief_memory", perUnit: true, factor: 65536.0 / megabyte})
	const ends = 2
	b.sum(Row{Role: RoleEntry, What: "memory: idle connections to the data centre's agents", Unit: "MB", Bound: s.MemoryBytes / megabyte,
		From: fmt.Sprintf("%.0f connections x connection_idle_bytes / 2 ends", s.serversPerDC()), Mechanism: "opened on use, dropped after 30 s without a packet"},
		term{slope: "connection_idle_bytes", perUnit: true, factor: s.serversPerDC() / ends / megabyte})
	b.sum(Row{Role: RoleEntry, What: "control memory, sum of the above", Unit: "MB", Bound: s.MemoryBytes / megabyte,
		From: "sum", Mechanism: ""},
		term{slope: "catalog_object_memory", at: s.objects(), factor: 2.0 / megabyte},
		term{slope: "route_server_memory", perUnit: true, factor: s.BackendServers / megabyte},
		term{slope: "route_belief_memory", perUnit: true, factor: 65536.0 / megabyte},
		term{slope: "connection_idle_bytes", perUnit: true, factor: s.serversPerDC() / ends / megabyte})
	b.sum(Row{Role: RoleEntry, What: "control bytes (gossip, catalog, homes of agents)", Unit: "bytes/s", Bound: s.BytesPerSec,
		From: fmt.Sprintf("control_entry_bytes at %.0f entries a data centre", s.entriesPerDC()), Mechanism: "digests to three neighbours, changes inside them, one preferred entry an agent and a substitute for one that has failed"},
		term{slope: "control_entry_bytes", at: s.entriesPerDC(), factor: 1})
	b.sum(Row{Role: RoleEntry, What: "control bytes of the busiest entry", Unit: "bytes/s", Bound: s.BytesPerSec,
		From: fmt.Sprintf("control_entry_bytes_most at %.0f entries a data centre", s.entriesPerDC()), Mechanism: "agents divided evenly: no entry has more than 1.1 times the mean, rounded up"},
		term{slope: "control_entry_bytes_most", at: s.entriesPerDC(), factor: 1})
	b.sum(Row{Role: RoleEntry, What: "control messages, sent and received", Unit: "messages/s",
		From: fmt.Sprintf("control_entry_messages at %.0f entries a data centre", s.entriesPerDC()), Mechanism: "as above"},
		term{slope: "control_entry_messages", at: s.entriesPerDC(), factor: 1})
	b.sum(Row{Role: RoleEntry, What: "control CPU, gossip", Unit: "% of a core", Bound: s.CoreShare * percent,
		From: fmt.Sprintf("control_cpu at %.0f entries", s.entriesPerDC()), Mechanism: "as above"},
		term{slope: "control_cpu", at: s.entriesPerDC(), factor: percent})
	b.sum(Row{Role: RoleEntry, What: "control CPU, adopting changes", Unit: "% of a core", Bound: s.CoreShare * percent,
		From:      fmt.Sprintf("%.3f changes/s x catalog_change_cpu at %.0f objects", s.changesPerSecond(), s.objects()),
		Mechanism: "whole table rebuilt"},
		term{slope: "catalog_change_cpu", at: s.objects(), factor: s.changesPerSecond() * nanoseconds * percent})
	b.sum(Row{Role: RoleEntry, What: "routing decisions (request path)", Unit: "% of a core",
		From:      fmt.Sprintf("%.0f requests/s x route_decision_cpu at %.0f servers", s.requestsPerEntry(), s.serversPerDC()),
		Mechanism: "constant number of candidates"},
		term{slope: "route_decision_cpu", at: s.serversPerDC(), factor: s.requestsPerEntry() * nanoseconds * percent})
	b.sum(Row{Role: RoleEntry, What: "one routing decision", Unit: "microseconds", Bound: 10,
		From: fmt.Sprintf("route_decision_cpu at %.0f servers", s.serversPerDC()), Mechanism: "as above"},
		term{slope: "route_decision_cpu", at: s.serversPerDC(), factor: 1e-3})
	const repliesPerRequest = 2.4
	b.sum(Row{Role: RoleEntry, What: "in-band state (request path, apart from control)", Unit: "bytes/s",
		From:      fmt.Sprintf("%.0f requests/s x 2.4 responses x answer_state_bytes at one version", s.requestsPerEntry()),
		Mechanism: "part of responses that are sent anyway"},
		term{slope: "answer_state_bytes", at: 1, factor: s.requestsPerEntry() * repliesPerRequest})
	b.sum(Row{Role: RoleEntry, What: "in-band state, encode, decode and apply (request path)", Unit: "% of a core",
		From:      fmt.Sprintf("%.0f requests/s x 2.4 responses x answer_state_cpu at one version", s.requestsPerEntry()),
		Mechanism: "as above"},
		term{slope: "answer_state_cpu", at: 1, factor: s.requestsPerEntry() * repliesPerRequest * nanoseconds * percent})
	b.sum(Row{Role: RoleEntry, What: "open streams, memory (request path)", Unit: "MB",
		From:      fmt.Sprintf("%.0f streams by Little's law x (connection_open_bytes - connection_idle_bytes) / 2 ends", s.openStreamsPerEntry()),
		Mechanism: "one QUIC stream a request"},
		term{slope: "connection_open_bytes", perUnit: true, factor: s.openStreamsPerEntry() / ends / megabyte},
		term{slope: "connection_idle_bytes", perUnit: true, factor: -s.openStreamsPerEntry() / ends / megabyte})
	b.sum(Row{Role: RoleEntry, What: "a change in force in a data centre", Unit: "s", Bound: s.ChangeSeconds,
		From: fmt.Sprintf("control_spread_seconds at %.0f entries", s.entriesPerDC()), Mechanism: "two pollers a data centre, gossip, push to agents"},
		term{slope: "control_spread_seconds", at: s.entriesPerDC(), factor: 1})
}

func (b *builder) agent() {
	s := b.sizes
	b.sum(Row{Role: RoleAgent, What: "memory: index of cached blocks", Unit: "MB", Bound: s.MemoryBytes / megabyte,
		From: fmt.Sprintf("%.0f blocks x index_block_memory", s.blocksPerServer()), Mechanism: "exact index beside the engine"},
		term{slope: "index_block_memory", at: s.blocksPerServer(), factor: 1.0 / megabyte})
	b.sum(Row{Role: RoleAgent, What: "CPU: cache events", Unit: "% of a core", Bound: s.CoreShare * percent,
		From: fmt.Sprintf("%.0f events/s x index_event_cpu", s.eventsPerServer()), Mechanism: "events are not sent on by the agent"},
		term{slope: "index_event_cpu", at: s.blocksPerServer(), factor: s.eventsPerServer() * nanoseconds * percent})
	const ends = 2
	b.sum(Row{Role: RoleAgent, What: "memory: connections of the data centre's entries", Unit: "MB", Bound: s.MemoryBytes / megabyte,
		From: fmt.Sprintf("%.0f connections x connection_idle_bytes / 2 ends", s.entriesPerDC()), Mechanism: "dropped when idle"},
		term{slope: "connection_idle_bytes", perUnit: true, factor: s.entriesPerDC() / ends / megabyte})
	b.sum(Row{Role: RoleAgent, What: "memory: catalog, two tables during a swap", Unit: "MB", Bound: s.MemoryBytes / megabyte,
		From: fmt.Sprintf("%.0f objects x catalog_object_memory x 2", s.objects()), Mechanism: "immutable table"},
		term{slope: "catalog_object_memory", at: s.objects(), factor: 2.0 / megabyte})
	b.sum(Row{Role: RoleAgent, What: "control bytes", Unit: "bytes/s", Bound: s.BytesPerSec,
		From: fmt.Sprintf("control_agent_bytes at %.0f entries a data centre", s.entriesPerDC()), Mechanism: "updates from its preferred entry, or from the substitute"},
		term{slope: "control_agent_bytes", at: s.entriesPerDC(), factor: 1})
	b.sum(Row{Role: RoleAgent, What: "control messages, sent and received", Unit: "messages/s",
		From: fmt.Sprintf("control_agent_messages at %.0f entries a data centre", s.entriesPerDC()), Mechanism: "as above"},
		term{slope: "control_agent_messages", at: s.entriesPerDC(), factor: 1})
	b.rows = append(b.rows, Row{Role: RoleAgent, What: "cache events from the engine", Unit: "events/s", Value: s.eventsPerServer(), Known: true,
		From: fmt.Sprintf("%.1f million a second in the fleet", s.EventsPerSec/1e6), Mechanism: "events are not sent on"})
	b.sum(Row{Role: RoleAgent, What: "control CPU, adopting changes", Unit: "% of a core", Bound: s.CoreShare * percent,
		From: fmt.Sprintf("%.3f changes/s x catalog_change_cpu", s.changesPerSecond()), Mechanism: "whole table rebuilt"},
		term{slope: "catalog_change_cpu", at: s.objects(), factor: s.changesPerSecond() * nanoseconds * percent})
	b.sum(Row{Role: RoleAgent, What: "relay replay buffers (request path)", Unit: "MB",
		From:      fmt.Sprintf("%.0f open streams x relay_chunk_memory at 64 buffered chunks", s.requestsPerServer()*s.TokensPerSec/s.RequestsPerSec*s.SecondsBetweenTokens),
		Mechanism: "bounded bytes a request"},
		term{slope: "relay_chunk_memory", at: 64, factor: s.requestsPerServer() * s.TokensPerSec / s.RequestsPerSec * s.SecondsBetweenTokens / megabyte})
}

func (b *builder) leaseHolder() {
	s := b.sizes
	const renewSeconds = 5
	leases := s.Models
	b.rows = append(b.rows,
		Row{Role: RoleLeaseHolder, What: "lease renewals, all pools", Unit: "writes/s", Value: leases / renewSeconds, Known: true, Bound: s.PlatformWrites,
			From: fmt.Sprintf("%.0f leases, one a pool, renewed every 5 s", leases), Mechanism: "fenced lease a pool"},
		Row{Role: RoleLeaseHolder, What: "orders after a pool's new version, all its servers", Unit: "orders", Value: s.BackendServers / s.Models, Known: true,
			From: "one load and one unload a server, a few at a time", Mechanism: "planner keeps min_ready"})
}

func (b *builder) operators() {
	s := b.sizes
	b.rows = append(b.rows, Row{Role: RoleOperator, What: "changes accepted, whole fleet", Unit: "calls/s", Value: s.changesPerSecond(), Known: true,
		From: "16,000 a day", Mechanism: "any entry, one transaction"})
	b.sum(Row{Role: RoleOperator, What: "CPU, if one entry accepts all changes", Unit: "% of a core", Bound: s.CoreShare * percent,
		From:      fmt.Sprintf("%.3f changes/s x accept_change_cpu at %.0f objects", s.changesPerSecond(), s.objects()),
		Mechanism: "the complete set is checked with each change"},
		term{slope: "accept_change_cpu", at: s.objects(), factor: s.changesPerSecond() * nanoseconds * percent})
	b.sum(Row{Role: RoleOperator, What: "memory of the newest table in addition to the one in force", Unit: "MB", Bound: s.MemoryBytes / megabyte,
		From: fmt.Sprintf("%.0f objects x catalog_object_memory", s.objects()), Mechanism: "shared with the table in force once adopted"},
		term{slope: "catalog_object_memory", at: s.objects(), factor: 1.0 / megabyte})
	b.sum(Row{Role: RoleOperator, What: "a complete catalog to a caller", Unit: "MB",
		From: fmt.Sprintf("catalog_snapshot_bytes at %.0f objects", s.objects()), Mechanism: "list by kind"},
		term{slope: "catalog_snapshot_bytes", at: s.objects(), factor: 1.0 / megabyte})
	b.sum(Row{Role: RoleOperator, What: "watches, bytes a watcher", Unit: "bytes/s",
		From: fmt.Sprintf("%.3f changes/s x catalog_change_bytes at one object", s.changesPerSecond()), Mechanism: "changes, not tables"},
		term{slope: "catalog_change_bytes", at: 1, factor: s.changesPerSecond()})
}

func (b *builder) platform() {
	s := b.sizes
	b.sum(Row{Role: RolePlatform, What: "reads: heads polled and list of VMs", Unit: "reads/s", Bound: s.PlatformReads,
		From: fmt.Sprintf("%.0f data centres x control_platform_reads; the list's reads are bounded at 100/s over the fleet", s.DataCentres), Mechanism: "two pollers a data centre"},
		term{slope: "control_platform_reads", at: s.entriesPerDC(), factor: s.DataCentres})
	b.rows = append(b.rows, Row{Role: RolePlatform, What: "writes: changes accepted", Unit: "writes/s", Value: s.changesPerSecond(), Known: true,
		Bound: s.PlatformWrites, From: "one transaction a change", Mechanism: "transaction on the head row"})
	b.claims()
	b.sum(Row{Role: RolePlatform, What: "simultaneous restart of all entries of a data centre, snapshots read", Unit: "MB",
		From:      fmt.Sprintf("%.0f entries x catalog_snapshot_bytes", s.entriesPerDC()),
		Mechanism: "table or object store read once each, otherwise peers"},
		term{slope: "catalog_snapshot_bytes", at: s.objects(), factor: s.entriesPerDC() / megabyte})
}

// claims computes the claims per second that group commit can write with half of the
// platform's writes.
func (b *builder) claims() {
	row := Row{Role: RolePlatform, What: "claims of non-repeatable calls that fit into half of the writes", Unit: "claims/s",
		From: fmt.Sprintf("%.0f writes/s / writes_per_claim; one entry's groups, smaller where each entry has few calls", b.sizes.PlatformWrites/2), Mechanism: "group commit"}
	if slope, ok := b.slopes["writes_per_claim"]; ok && slope.PerUnit > 0 {
		row.Known, row.Value = true, b.sizes.PlatformWrites/2/slope.PerUnit
	}
	b.rows = append(b.rows, row)
}

// lostDataCentre computes the load on the other two data centres of a region of
// three after the loss of one, 1.5 times their own, and the messages that the loss
// causes.
func (b *builder) lostDataCentre() {
	s := b.sizes
	const (
		remainingLoadFactor = 1.5
		offersPerServer     = 3
	)
	b.sum(Row{Role: RoleDataCentreLoss, What: "routing decisions (request path)", Unit: "% of a core",
		From: fmt.Sprintf("%.0f requests/s x route_decision_cpu", remainingLoadFactor*s.requestsPerEntry()), Mechanism: "further data centres by expected time"},
		term{slope: "route_decision_cpu", at: 2 * s.serversPerDC(), factor: remainingLoadFactor * s.requestsPerEntry() * nanoseconds * percent})
	b.sum(Row{Role: RoleDataCentreLoss, What: "open streams, memory (request path)", Unit: "MB",
		From: fmt.Sprintf("%.0f streams", remainingLoadFactor*s.openStreamsPerEntry()), Mechanism: "one QUIC stream a request"},
		term{slope: "connection_open_bytes", perUnit: true, factor: remainingLoadFactor * s.openStreamsPerEntry() / 2 / megabyte},
		term{slope: "connection_idle_bytes", perUnit: true, factor: -remainingLoadFactor * s.openStreamsPerEntry() / 2 / megabyte})
	b.rows = append(b.rows,
		Row{Role: RoleDataCentreLoss, What: "requests at a backend server of the region", Unit: "requests/s", Value: remainingLoadFactor * s.requestsPerServer(), Known: true,
			From: "half as much again as on an ordinary day", Mechanism: "pools need a third of their capacity free; admission sheds the lowest class first"},
		Row{Role: RoleDataCentreLoss, What: "offers of one entry to dead servers until all are ejected", Unit: "offers", Value: offersPerServer * s.serversPerDC(), Known: true,
			From: "three failures a server, only for traffic that prefers the lost data centre", Mechanism: "own evidence, then the list of VMs"})
	b.sum(Row{Role: RoleDataCentreLoss, What: "handshakes of one entry with the region's other agents, once", Unit: "MB",
		From:      fmt.Sprintf("%.0f connections x connection_handshake_bytes, spread over the requests that need them", 2*s.serversPerDC()),
		Mechanism: "connections opened on use"},
		term{slope: "connection_handshake_bytes", perUnit: true, factor: 2 * s.serversPerDC() / megabyte})
}
