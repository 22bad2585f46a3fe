package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

var (
	// message matches the time, the message and the rest of a klog line.
	message = regexp.MustCompile(`[IWE]\d{4} (\d\d:\d\d:\d\d\.\d{6}) .*?\] "(Control load|Configuration in force|Started)" (.*)`)
	field   = regexp.MustCompile(`(\w+)=("[^"]*"|\S+)`)
)

// lifetime is one process: its first and its last line "Control load".
type lifetime struct {
	role        string
	first, last map[string]float64
}

// report collects what the lines say.
type report struct {
	// lives are the processes, by node; a node may have had several.
	lives map[string][]*lifetime
	// inForce holds the times at which entries put a configuration in force, by version.
	inForce map[string][]time.Time
	// starts holds the times from the start of a process until it served, in ms.
	starts []float64
}

func newReport() *report {
	return &report{lives: map[string][]*lifetime{}, inForce: map[string][]time.Time{}}
}

func (r *report) read(from io.Reader) error {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		r.add(lines.Text())
	}
	return lines.Err()
}

// add takes one line. Lines of other messages are ignored.
func (r *report) add(line string) {
	parts := message.FindStringSubmatch(line)
	if parts == nil {
		return
	}
	texts, numbers := fieldsOf(parts[3])
	switch parts[2] {
	case "Control load":
		r.addLoad(texts["node"], texts["roles"], numbers)
	case "Configuration in force":
		if at, err := time.Parse("15:04:05.000000", parts[1]); err == nil {
			r.inForce[texts["version"]] = append(r.inForce[texts["version"]], at)
		}
	case "Started":
		if took, ok := numbers["tookMS"]; ok {
			r.starts = append(r.starts, took)
		}
	}
}

func fieldsOf(text string) (texts map[string]string, numbers map[string]float64) {
	texts, numbers = map[string]string{}, map[string]float64{}
	for _, match := range field.FindAllStringSubmatch(text, -1) {
		value := strings.Trim(match[2], `"`)
		texts[match[1]] = value
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			numbers[match[1]] = number
		}
	}
	return texts, numbers
}

func (r *report) addLoad(node, role string, totals map[string]float64) {
	lives := r.lives[node]
	if len(lives) == 0 || totals["upMS"] < lives[len(lives)-1].last["upMS"] {
		r.lives[node] = append(lives, &lifetime{role: role, first: totals, last: totals})
		return
	}
	now := lives[len(lives)-1]
	now.role, now.last = role, totals
}

// rate returns the mean of a total's growth per second between the first and the last line.
func (l *lifetime) rate(names ...string) (perSecond float64, ok bool) {
	const msPerSecond = 1000
	seconds := (l.last["upMS"] - l.first["upMS"]) / msPerSecond
	if seconds <= 0 {
		return 0, false
	}
	for _, name := range names {
		perSecond += (l.last[name] - l.first[name]) / seconds
	}
	return perSecond, true
}

// row is a quantity of the table. value returns it for one process; ok is false if the
// process's lines do not tell it.
type row struct {
	name  string
	value func(*lifetime) (value float64, ok bool)
}

// rateRow is a row of totals that are shown per second, in units of scale.
func rateRow(name string, scale float64, totals ...string) row {
	return row{name, func(l *lifetime) (float64, bool) {
		perSecond, ok := l.rate(totals...)
		return perSecond / scale, ok
	}}
}

const kilobyte, megabyte = 1e3, 1e6

// rows of the table.
var rows = []row{
	rateRow("callers' requests/s", 1, "requests"),
	rateRow("control received, KB/s", kilobyte, "storeReadBytes", "tableBytesRead", "datagramBytesIn"),
	rateRow("control sent, KB/s", kilobyte, "storeWriteBytes", "tableBytesServed", "datagramBytesOut"),
	rateRow("datagrams in and out/s", 1, "datagramsIn", "datagramsOut"),
	rateRow("tables read and served/s", 1, "tablesRead", "tablesServed"),
	rateRow("store reads/s", 1, "storeReads"),
	rateRow("store writes/s", 1, "storeWrites"),
	{"store reads until the first line", func(l *lifetime) (float64, bool) { return l.first["storeReads"], true }},
	{"store writes until the first line", func(l *lifetime) (float64, bool) { return l.first["storeWrites"], true }},
	rateRow("processor, requests included, % of a core", 10, "cpuMS"),
	{"memory, MB", func(l *lifetime) (float64, bool) { return l.last["memoryBytes"] / megabyte, true }},
	{"goroutines", func(l *lifetime) (float64, bool) { return l.last["goroutines"], true }},
}

func (r *report) markdown() string {
	var text strings.Builder
	byRole := map[string][]*lifetime{}
	for _, lives := range r.lives {
		for _, l := range lives {
			byRole[l.role] = append(byRole[l.role], l)
		}
	}
	roles := slices.SortedFunc(maps.Keys(byRole), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(byRole[b]), len(byRole[a])), cmp.Compare(a, b))
	})
	text.WriteString("| mean (most) of a process |")
	for _, role := range roles {
		fmt.Fprintf(&text, " %s (%d) |", role, len(byRole[role]))
	}
	text.WriteString("\n|---|" + strings.Repeat("---|", len(roles)) + "\n")
	for _, row := range rows {
		text.WriteString("| " + row.name + " |")
		for _, role := range roles {
			text.WriteString(" " + meanAndMost(row, byRole[role]) + " |")
		}
		text.WriteString("\n")
	}
	r.writeTimes(&text)
	return text.String()
}

func meanAndMost(row row, lives []*lifetime) string {
	sum, most, count := 0.0, 0.0, 0
	for _, l := range lives {
		if value, ok := row.value(l); ok {
			sum, most, count = sum+value, max(most, value), count+1
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("%.3g (%.3g)", sum/float64(count), most)
}

// writeTimes writes how long a change took from the first entry to the last, and a start.
func (r *report) writeTimes(text *strings.Builder) {
	slices.Sort(r.starts)
	if n := len(r.starts); n > 0 {
		fmt.Fprintf(text, "\n%d starts took %.0f ms in the median until they served, %.0f at most.\n", n, r.starts[n/2], r.starts[n-1])
	}
	for _, version := range slices.Sorted(maps.Keys(r.inForce)) {
		times := r.inForce[version]
		fmt.Fprintf(text, "Configuration %s: in force at %d processes within %v of the first.\n", version, len(times), slices.MaxFunc(times, time.Time.Compare).Sub(slices.MinFunc(times, time.Time.Compare)))
	}
}
