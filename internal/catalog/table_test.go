package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

func pool(name string) *jayv1.Resource {
	return &jayv1.Resource{Kind: &jayv1.Resource_Pool{Pool: &jayv1.Pool{Name: name, Model: "m-" + name}}}
}

// Guards against a late table of an older generation that replaces a newer one.
func TestHolderIgnoresOlderGenerations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder := catalog.NewHolder()
		highest := uint64(0)
		for _, generation := range rapid.SliceOf(rapid.Uint64Range(0, 9)).Draw(t, "arrivals") {
			adopted := holder.Adopt(catalog.Build(&jayv1.Snapshot{Generation: generation}))
			assert.Equal(t, generation > highest, adopted)
			highest = max(highest, generation)
			assert.Equal(t, highest, holder.Current().Generation())
		}
	})
}

func TestApplyChangeAcceptsOnlyTheNextGeneration(t *testing.T) {
	table := catalog.Build(&jayv1.Snapshot{Generation: 4, Resources: []*jayv1.Resource{pool("a"), pool("b")}})
	_, err := table.ApplyChange(&jayv1.Change{Generation: 6})
	require.Error(t, err)
	_, err = table.ApplyChange(&jayv1.Change{Generation: 4})
	require.Error(t, err)
	next, err := table.ApplyChange(&jayv1.Change{Generation: 5, Put: []*jayv1.Resource{pool("c")}, Delete: []string{"pool/a"}})
	require.NoError(t, err)
	_, hasA := next.PoolOfModel("m-a")
	_, hasC := next.PoolOfModel("m-c")
	assert.False(t, hasA)
	assert.True(t, hasC)
	_, stillA := table.PoolOfModel("m-a")
	assert.True(t, stillA, "ApplyChange must not modify its receiver")
}

func TestMatchReturnsTheFirstRuleByPriority(t *testing.T) {
	rule := func(r *jayv1.Rule) *jayv1.Resource {
		return &jayv1.Resource{Kind: &jayv1.Resource_Rule{Rule: r}}
	}
	table := catalog.Build(&jayv1.Snapshot{Generation: 1, Resources: []*jayv1.Resource{
		rule(&jayv1.Rule{Name: "all", Priority: 1}),
		rule(&jayv1.Rule{Name: "calls", Priority: 5, Models: []string{"m"}, ClassLabel: "breakdown"}),
		rule(&jayv1.Rule{Name: "bookings", Priority: 5, Services: []string{"reservas-app"}, Workspaces: []string{"w"}}),
	}})
	tests := []struct {
		traffic catalog.Traffic
		want    string
	}{
		{catalog.Traffic{Workspace: "w", Model: "m", ClassLabel: "breakdown"}, "calls"},
		{catalog.Traffic{Workspace: "w", Model: "m"}, "all"},
		{catalog.Traffic{Workspace: "w", Service: "reservas-app"}, "bookings"},
		{catalog.Traffic{Workspace: "v", Service: "reservas-app"}, "all"},
	}
	for _, test := range tests {
		assert.Equal(t, test.want, table.Match(test.traffic).GetName())
	}
}

func TestNonRepeatableMatchesWholePathElements(t *testing.T) {
	service := &jayv1.Service{NonRepeatable: []*jayv1.NonRepeatableCall{{Method: "POST", PathPrefix: "/bookings"}}}
	assert.True(t, catalog.NonRepeatable(service, "POST", "/bookings"))
	assert.True(t, catalog.NonRepeatable(service, "post", "/bookings/7/confirm"))
	assert.False(t, catalog.NonRepeatable(service, "POST", "/bookingsearch"))
	assert.False(t, catalog.NonRepeatable(service, "GET", "/bookings"))
}
