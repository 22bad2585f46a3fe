package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jayproxy/jayproxy/internal/cacheindex"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/ledger"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
	"github.com/jayproxy/jayproxy/internal/relay"
)

const (
	// blocksPerEvent is the number of blocks that one cache event stores or removes.
	blocksPerEvent = 1
	// claimants is the number of goroutines that take claims concurrently.
	claimants = 512
	// writeDelay simulates the round trip to the platform's table.
	writeDelay = 2 * time.Millisecond
	// chunkBytes is the size of the event of one token.
	chunkBytes = 200
)

func agentMeasurements() []measurement {
	return []measurement{
		{
			name: "index_block_memory", xUnit: "cached block", yUnit: "bytes of memory",
			counts: doubled(5750, 4),
			measure: func(n int) (float64, error) {
				return heapOf(func() (any, error) { return filledIndex(n), nil })
			},
		},
		{
			name: "index_event_cpu", xUnit: "cached block", yUnit: "nanoseconds an event",
			counts: doubled(5750, 4), measure: eventCPU,
		},
		{
			name: "relay_chunk_memory", xUnit: "chunk of 200 bytes kept", yUnit: "bytes of memory",
			counts: doubled(64, 4),
			measure: func(n int) (float64, error) {
				const answers = 500
				cost, err := heapOf(func() (any, error) {
					buffers := make([]*relay.Buffer, answers)
					for i := range buffers {
						buffers[i] = relay.NewBuffer(1 << 20)
						for range n {
							if err := buffers[i].Append(make([]byte, chunkBytes)); err != nil {
								return buffers, err
							}
						}
					}
					return buffers, nil
				})
				return cost / answers, err
			},
		},
		{
			name: "writes_per_claim", xUnit: "claim (512 wait at once)", yUnit: "transactions of the table",
			counts: doubled(2048, 4), measure: claimWrites,
		},
	}
}

func storeEvent(seq uint64, block int) engine.CacheEvent {
	blocks := make([]engine.BlockHash, blocksPerEvent)
	for i := range blocks {
		blocks[i] = engine.BlockHash(uint64(block+i) * 0x9e3779b97f4a7c15)
	}
	return engine.CacheEvent{Incarnation: 1, Seq: seq, Kind: engine.BlocksStored, Blocks: blocks}
}

func removeEvent(seq uint64, block int) engine.CacheEvent {
	event := storeEvent(seq, block)
	event.Kind = engine.BlocksRemoved
	return event
}

func filledIndex(n int) *cacheindex.Index {
	now := time.Unix(1000, 0)
	index := cacheindex.New(now, cacheindex.Options{})
	index.Snapshot(now, engine.CacheSnapshot{Incarnation: 1})
	for i := range n {
		index.Apply(now, []engine.CacheEvent{storeEvent(uint64(i+1), i)})
	}
	return index
}

// eventCPU returns the nanoseconds per event at n cached blocks. Each store is
// followed by a removal, so that the number stays constant.
func eventCPU(n int) (float64, error) {
	index := filledIndex(n)
	now, seq, oldest := time.Unix(1000, 0), uint64(n), 0
	cost := nanosecondsPer(shortRun, func() {
		now = now.Add(time.Millisecond)
		index.Apply(now, []engine.CacheEvent{storeEvent(seq+1, n+oldest), removeEvent(seq+2, oldest)})
		seq, oldest = seq+2, oldest+1
	})
	if index.Len() != n {
		return 0, fmt.Errorf("index holds %d blocks, want %d", index.Len(), n)
	}
	const eventsPerRun = 2
	return cost / eventsPerRun, nil
}

// slowTable delays each commit by writeDelay.
type slowTable struct{ platform.Table }

// Commit implements platform.Table.
func (t slowTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	time.Sleep(writeDelay)
	return t.Table.Commit(ctx, txn)
}

func claimWrites(n int) (float64, error) {
	memory := platformtest.New()
	claims := ledger.New(slowTable{memory}, ledger.Options{})
	defer claims.Close()
	var wg sync.WaitGroup
	errs := make(chan error, claimants)
	for worker := range claimants {
		wg.Go(func() {
			for i := worker; i < n; i += claimants {
				if _, err := claims.Acquire(context.Background(), "w", fmt.Sprint("key-", i), "request"); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	close(errs)
	_, writes := memory.Counts()
	return float64(writes), <-errs
}
