package main

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/catalogstore"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
)

// shortRun is long enough to average operations that take microseconds.
const shortRun = 300 * time.Millisecond

func catalogMeasurements() []measurement {
	return []measurement{
		{
			name: "catalog_object_memory", xUnit: "backend server declared", yUnit: "bytes of memory",
			counts: doubled(1000, 4),
			measure: func(n int) (float64, error) {
				return heapOf(func() (any, error) { return catalog.Build(declared(n)), nil })
			},
		},
		{
			name: "catalog_snapshot_bytes", xUnit: "backend server declared", yUnit: "bytes of a snapshot",
			counts:  doubled(1000, 4),
			measure: func(n int) (float64, error) { return float64(proto.Size(declared(n))), nil },
		},
		{
			name: "catalog_change_cpu", xUnit: "object in the catalog", yUnit: "nanoseconds to adopt a change",
			counts: doubled(1000, 4),
			measure: func(n int) (float64, error) {
				table := catalog.Build(declared(n))
				change := &jayv1.Change{Generation: 2, Put: []*jayv1.Resource{backendServer(0)}}
				var lastErr error
				cost := nanosecondsPer(shortRun, func() { _, lastErr = table.ApplyChange(change) })
				return cost, lastErr
			},
		},
		{
			name: "accept_change_cpu", xUnit: "object in the catalog", yUnit: "nanoseconds to accept a change",
			counts: doubled(1000, 4), measure: acceptCPU,
		},
		{
			name: "catalog_change_bytes", xUnit: "object in a change", yUnit: "bytes of the change",
			counts: doubled(1, 4),
			measure: func(n int) (float64, error) {
				change := &jayv1.Change{Generation: 1 << 20, ChangeId: "0b0e7a3e-5d0c-4c53-9a4f-7a3f6a1c9d10", Operator: "ana"}
				for i := range n {
					change.Put = append(change.Put, backendServer(i))
				}
				return float64(proto.Size(change)), nil
			},
		},
	}
}

func declared(n int) *jayv1.Snapshot {
	snapshot := &jayv1.Snapshot{Generation: 1}
	for i := range n {
		snapshot.Resources = append(snapshot.Resources, backendServer(i))
	}
	return snapshot
}

func backendServer(i int) *jayv1.Resource {
	return &jayv1.Resource{Kind: &jayv1.Resource_BackendServer{BackendServer: &jayv1.BackendServer{
		Name:         fmt.Sprintf("runner-%05d", i),
		Pool:         fmt.Sprintf("pool-%02d", i%poolCount),
		AgentAddress: fmt.Sprintf("10.%d.%d.%d:7443", i>>16&255, i>>8&255, i&255),
		DataCentre:   fmt.Sprintf("dc-%02d", i%22),
		Region:       fmt.Sprintf("region-%d", i%22%7),
		Vendor:       "merle",
	}}}
}

// acceptCPU returns the nanoseconds to accept a change of one object in a catalog of n
// backend servers, including the check of the complete catalog, with an in-memory
// table.
func acceptCPU(n int) (float64, error) {
	memory := platformtest.New()
	store := catalogstore.New(memory, memory, catalogstore.Options{Check: catalog.Check})
	proposals := 0
	propose := func(resources []*jayv1.Resource) error {
		proposals++
		_, err := store.Accept(context.Background(), catalogstore.Proposal{
			ChangeID: fmt.Sprint("change-", proposals),
			Edit: func(table *catalog.Table) (catalog.Difference, error) {
				return catalog.Diff(table, resources, false), nil
			},
		})
		return err
	}
	resources := declared(n).GetResources()
	for i := range poolCount {
		resources = append(resources, declaredPool(i, 1))
	}
	if err := propose(resources); err != nil {
		return 0, err
	}
	var lastErr error
	cost := nanosecondsPer(shortRun, func() {
		if err := propose([]*jayv1.Resource{declaredPool(0, uint32(proposals))}); err != nil {
			lastErr = err
		}
	})
	return cost, lastErr
}

// poolCount is the number of pools that backendServer assigns servers to.
const poolCount = 26

func declaredPool(i int, minReady uint32) *jayv1.Resource {
	return &jayv1.Resource{Kind: &jayv1.Resource_Pool{Pool: &jayv1.Pool{
		Name: fmt.Sprintf("pool-%02d", i), Model: fmt.Sprintf("model-%02d", i), MinReady: minReady % 30,
		Versions: []*jayv1.ModelVersion{{Name: "v1", Digest: "sha256:0"}}, ActiveVersion: "v1",
	}}}
}
