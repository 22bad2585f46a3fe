package catalog_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
)

const examples = "../../examples"

// Guards against example deployments that are invalid or have other sizes or
// names than documented.
func TestExampleDeploymentsAreValid(t *testing.T) {
	tests := []struct {
		folder, pool, kv, app string
		servers               int
		centres               []string
	}{
		{"association", "modelos-lenguaje", "memoria-prompts", "reservas-app", 12, []string{"quito-sala-a", "quito-sala-b", "ibarra-sala"}},
		{"darovnica", "claim-models", "rulebook-cache", "claims-portal", 9, []string{"zg-hall-a", "zg-hall-b", "ka-hall"}},
	}
	for _, test := range tests {
		t.Run(test.folder, func(t *testing.T) {
			resources, found, err := catalog.LoadDir(filepath.Join(examples, test.folder))
			require.NoError(t, err)
			require.Empty(t, found)
			table := catalog.Build(&jayv1.Snapshot{Resources: resources})
			assert.Len(t, table.Workspaces(), 8)
			assert.Len(t, table.BackendServersOfPool(test.pool), test.servers)
			assert.Len(t, table.BackendServersOfService(test.app), 3)
			store, _ := table.Service(test.kv)
			assert.True(t, store.GetKvStore())
			app, _ := table.Service(test.app)
			assert.NotEmpty(t, app.GetNonRepeatable())
			for _, server := range table.BackendServers() {
				assert.Contains(t, test.centres, server.GetDataCentre())
			}
		})
	}
}

const invalidDeclarations = `[[workspace]]
name = "w 1"
wieght = 3
default_class = "urgent"
[[workspace.keys]]
id = "k"
salt = "zz"

[[pool]]
name = "p"
model = "m"
versions = [{ name = "1", digest = "d1" }]
active_version = "2"
recompute_weight = -1.0
kv_service = "nowhere"

[[pool]]
name = "p"

[[backend_server]]
name = "b1"
pool = "q"
agent_address = "localhost"
data_centre = "a"
region = "r"
vendor = "acme"

[[backend_server]]
name = "b2"
pool = "p"
data_centre = "a"
region = "s"
vendor = "merle"

[[rule]]
name = "all"
priority = 9
class = "batch"

[[rule]]
name = "late"
priority = 1
workspaces = ["w 1"]
engine_priority = 101
[[gadget]]
name = "x"
`

func TestAllErrorsAreReportedWithTheirLines(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "a.toml"), []byte(invalidDeclarations), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "b.toml"), []byte("[[service]]\nname = \"s\"\n[[service\n"), 0o600))
	_, found, err := catalog.LoadDir(dir)
	require.NoError(t, err)
	var got []string
	for _, finding := range found {
		got = append(got, strings.TrimPrefix(finding.String(), dir+"/"))
	}
	report := strings.Join(got, "\n")
	for _, want := range []string{
		`a.toml:2: workspace/w 1.name: name "w 1" must be`,
		`a.toml:3: workspace.wieght: unknown key`,
		`a.toml:4: workspace.default_class:`,
		`a.toml:13: pool/p.active_version: active_version "2" is none`,
		`a.toml:14: pool/p.recompute_weight: value -1 must be`,
		`a.toml:15: pool/p.kv_service: service "nowhere" is not declared`,
		`a.toml:18: pool/p: declared twice, first at`,
		`a.toml:22: backend_server/b1.pool: pool "q" is not declared`,
		`a.toml:23: backend_server/b1.agent_address: "localhost" is not of the form IP:port`,
		`a.toml:26: backend_server/b1.vendor: vendor "acme" is none of`,
		`backend_server/b2.agent_address: the engine does not check fencing numbers and has no agent`,
		`a.toml:32: backend_server/b2.region: data centre "a" is in region "r" according to another backend server`,
		`rule/late: can never match: rule "all" comes before it`,
		`a.toml:44: rule/late.engine_priority: engine_priority 101 is above the maximum of 100`,
		`a.toml:45: gadget: unknown table`,
		`b.toml:3:`,
	} {
		assert.Contains(t, report, want)
	}
	assert.NotContains(t, report, "no key", "no finding about the empty value of a key that could not be decoded")
}

func TestApplyDeltaRejectsAGap(t *testing.T) {
	table := catalog.Build(&jayv1.Snapshot{Generation: 3})
	_, err := table.ApplyDelta(&jayv1.CatalogDelta{Changes: []*jayv1.Change{{Generation: 4}, {Generation: 6}}})
	require.ErrorIs(t, err, catalog.ErrGap)
	next, err := table.ApplyDelta(&jayv1.CatalogDelta{Changes: []*jayv1.Change{{Generation: 2}, {Generation: 3}, {Generation: 4}}})
	require.NoError(t, err)
	assert.Equal(t, uint64(4), next.Generation())
	old, err := next.ApplyDelta(&jayv1.CatalogDelta{Snapshot: &jayv1.Snapshot{Generation: 2}})
	require.NoError(t, err)
	assert.Same(t, next, old)
}

func TestCallerKeyHoldsOnlyTheHashOfTheSecret(t *testing.T) {
	plain, key, err := catalog.NewCallerKey()
	require.NoError(t, err)
	id, secret, ok := catalog.ParseCallerKey(plain)
	require.True(t, ok)
	assert.Equal(t, key.GetId(), id)
	assert.True(t, catalog.SecretMatches(key, secret))
	assert.False(t, catalog.SecretMatches(key, secret+"x"))
	assert.NotContains(t, key.String(), secret)
	for _, bad := range []string{"", "jay_a", "jay_a_", "x_a_b", "jay_a_b_c"} {
		_, _, ok := catalog.ParseCallerKey(bad)
		assert.False(t, ok, bad)
	}
}

func FuzzDeclarations(f *testing.F) {
	f.Add([]byte(invalidDeclarations))
	f.Add([]byte("[[pool]]\nname = 3\nversions = 1\n[pool.x]\n"))
	f.Add([]byte("pool = 1\nrule = [1, 2]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		resources, found := catalog.Parse("f.toml", text)
		for _, finding := range found {
			if finding.Line < 0 {
				t.Fatalf("negative line: %v", finding)
			}
		}
		catalog.Build(&jayv1.Snapshot{Resources: resources})
	})
}

func FuzzDelta(f *testing.F) {
	seed, err := proto.Marshal(&jayv1.CatalogDelta{
		Changes:  []*jayv1.Change{{Generation: 1, Put: []*jayv1.Resource{pool("a"), {}}, Delete: []string{"x", ""}}},
		Snapshot: &jayv1.Snapshot{Generation: 5, Resources: []*jayv1.Resource{pool("b"), {}}},
	})
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, body []byte) {
		delta := &jayv1.CatalogDelta{}
		if proto.Unmarshal(body, delta) != nil {
			return
		}
		table := catalog.Build(&jayv1.Snapshot{Generation: 2})
		next, err := table.ApplyDelta(delta)
		if err == nil && next.Generation() < table.Generation() {
			t.Fatal("the generation of the table decreased")
		}
	})
}

// Guards against a change that activates a version which no backend server can
// have loaded yet, or that removes the previously active version at once.
func TestActiveVersionChangesInSeparateSteps(t *testing.T) {
	pool := func(active string, versions ...string) *jayv1.Resource {
		p := &jayv1.Pool{Name: "p", Model: "m", ActiveVersion: active}
		for _, v := range versions {
			p.Versions = append(p.Versions, &jayv1.ModelVersion{Name: v, Digest: v})
		}
		return &jayv1.Resource{Kind: &jayv1.Resource_Pool{Pool: p}}
	}
	server := &jayv1.Resource{Kind: &jayv1.Resource_BackendServer{BackendServer: &jayv1.BackendServer{Name: "b", Pool: "p"}}}
	step := func(from, to *jayv1.Resource) string {
		table := catalog.Build(&jayv1.Snapshot{Resources: []*jayv1.Resource{from, server}})
		err := catalog.CheckStep(table, []*jayv1.Resource{to}).Err()
		if err == nil {
			return ""
		}
		return err.Error()
	}
	assert.Contains(t, step(pool("1", "1"), pool("2", "1", "2")), `"2" is not declared yet`)
	assert.Contains(t, step(pool("1", "1", "2"), pool("2", "2")), `"1" is active until this change`)
	assert.Empty(t, step(pool("1", "1"), pool("1", "1", "2")))
	assert.Empty(t, step(pool("1", "1", "2"), pool("2", "1", "2")))
	assert.Empty(t, step(pool("2", "1", "2"), pool("2", "2")))
}
