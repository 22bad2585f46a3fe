package gateway

import (
	"context"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/platform"
)

// controlLoadInterval is the time between two log lines on what a process spends on
// control. Its counts are totals, so that a lost line loses nothing.
const controlLoadInterval = 10 * time.Second

// traffic counts messages and their bytes in one direction.
type traffic struct{ messages, bytes atomic.Int64 }

func (t *traffic) add(bytes int) {
	t.messages.Add(1)
	t.bytes.Add(int64(bytes))
}

// controlLoad counts what this process spends on the store and on other entries, apart
// from callers' requests.
type controlLoad struct {
	// storeReads and storeWrites count calls, with the bytes of the rows read or written.
	storeReads, storeWrites traffic
	// tablesServed are tables passed on to other entries, tablesRead those received.
	tablesServed, tablesRead  traffic
	datagramsIn, datagramsOut traffic
	// requests counts callers' requests.
	requests atomic.Int64
}

// logControlLoad logs the totals at intervals, and once more when the process stops.
func (g *Gateway) logControlLoad(ctx context.Context) {
	start := time.Now()
	report := func(now time.Time) {
		l := &g.load
		klog.InfoS("Control load", "node", g.settings.Node, "roles", strings.Join(g.roles(now), ","), "upMS", now.Sub(start).Milliseconds(), "requests", l.requests.Load(),
			"storeReads", l.storeReads.messages.Load(), "storeReadBytes", l.storeReads.bytes.Load(), "storeWrites", l.storeWrites.messages.Load(), "storeWriteBytes", l.storeWrites.bytes.Load(),
			"tablesServed", l.tablesServed.messages.Load(), "tableBytesServed", l.tablesServed.bytes.Load(), "tablesRead", l.tablesRead.messages.Load(), "tableBytesRead", l.tablesRead.bytes.Load(),
			"datagramsIn", l.datagramsIn.messages.Load(), "datagramBytesIn", l.datagramsIn.bytes.Load(), "datagramsOut", l.datagramsOut.messages.Load(), "datagramBytesOut", l.datagramsOut.bytes.Load(),
			"cpuMS", processorTime().Milliseconds(), "memoryBytes", memoryBytes(), "goroutines", runtime.NumGoroutine(), "connections", g.pool.Opened())
	}
	g.every(ctx, controlLoadInterval, report)
	report(time.Now())
}

// Roles of an entry, as they are logged. An entry may have several.
const (
	roleReader   = "reader"   // reads the store's tables
	roleRelay    = "relay"    // passes them on
	roleOwner    = "owner"    // owns shards of engines
	rolePlain    = "plain"    // owns shards of plain services
	roleHolder   = "holder"   // holds the rollout lease
	roleOrdinary = "ordinary" // none of these
)

// roles returns the roles of this entry at a time.
func (g *Gateway) roles(now time.Time) []string {
	var roles []string
	add := func(has bool, role string) {
		if has {
			roles = append(roles, role)
		}
	}
	relays, _ := g.peers.relays(now)
	engines, plain := g.state.ownsShards(now)
	_, holds := g.keeper.Held()
	add(len(relays) == 0, roleReader)
	add(g.peers.isRelay(), roleRelay)
	add(g.sharded() && engines, roleOwner)
	add(g.sharded() && plain, rolePlain)
	add(holds, roleHolder)
	if len(roles) == 0 {
		return []string{roleOrdinary}
	}
	return roles
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryBytes returns the memory that the process has from the operating system.
func memoryBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// countedTables counts the reads of the store's tables.
type countedTables struct {
	Tables
	load *controlLoad
}

// Snapshot implements Tables. It counts a table as one read.
func (c countedTables) Snapshot(ctx context.Context, table string) (mirror.Batch, error) {
	batch, err := c.Tables.Snapshot(ctx, table)
	c.load.storeReads.add(batch.Size())
	return batch, err
}

// Changes implements Tables.
func (c countedTables) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (mirror.Batch, error) {
	batch, err := c.Tables.Changes(ctx, table, after, wait)
	c.load.storeReads.add(batch.Size())
	return batch, err
}

// countedTable counts calls on the entries' own rows.
type countedTable struct {
	platform.Table
	load *controlLoad
}

// Get implements platform.Table.
func (c countedTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := c.Table.Get(ctx, keys...)
	for range keys {
		c.load.storeReads.add(0)
	}
	return rows, err
}

// Commit implements platform.Table.
func (c countedTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	size := 0
	for _, put := range txn.Puts {
		size += len(put.Key) + len(put.Value)
	}
	c.load.storeWrites.add(size)
	return c.Table.Commit(ctx, txn)
}
