package catalogstore_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/catalogstore"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
)

// BenchmarkAccept changes one of n backend servers per operation and reports the
// reads and writes of the platform's table.
func BenchmarkAccept(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			p := platformtest.New()
			store := catalogstore.New(p, p, catalogstore.Options{Check: catalog.Check})
			var all []*jayv1.Resource
			for i := range n {
				all = append(all, benchServer(i, false))
			}
			all = append(all, &jayv1.Resource{Kind: &jayv1.Resource_Pool{Pool: &jayv1.Pool{
				Name: "p", Model: "m", ActiveVersion: "1", Versions: []*jayv1.ModelVersion{{Name: "1", Digest: "1"}},
			}}})
			accept := func(id string, put []*jayv1.Resource) {
				_, err := store.Accept(context.Background(), catalogstore.Proposal{ChangeID: id, Edit: func(t *catalog.Table) (catalog.Difference, error) {
					return catalog.Diff(t, put, false), nil
				}})
				require.NoError(b, err)
			}
			accept("first", all)
			reads, writes := p.Counts()
			step := 0
			for b.Loop() {
				step++
				accept(fmt.Sprint(step), []*jayv1.Resource{benchServer(step%n, step/n%2 == 0)})
			}
			allReads, allWrites := p.Counts()
			b.ReportMetric(float64(allReads-reads)/float64(step), "reads/op")
			b.ReportMetric(float64(allWrites-writes)/float64(step), "writes/op")
		})
	}
}

func benchServer(i int, draining bool) *jayv1.Resource {
	return &jayv1.Resource{Kind: &jayv1.Resource_BackendServer{BackendServer: &jayv1.BackendServer{
		Name: fmt.Sprintf("s%05d", i), Pool: "p", AgentAddress: fmt.Sprintf("10.%d.%d.%d:7443", i>>16, i>>8&255, i&255),
		DataCentre: fmt.Sprintf("dc%d", i%22), Region: fmt.Sprintf("r%d", i%22%7), Vendor: "merle", Draining: draining,
	}}}
}
