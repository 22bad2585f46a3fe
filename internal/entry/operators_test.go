package entry

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/catalogstore"
	"github.com/jayproxy/jayproxy/internal/ctl"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/operator"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/platform/platformtest"
	"github.com/jayproxy/jayproxy/internal/spread"
	"github.com/jayproxy/jayproxy/internal/transport"
)

const inForceWithin = 5 * time.Second

// controlNode is the control part of one process: transport, spread and, for an
// entry, the operators' server.
type controlNode struct {
	holder    *catalog.Holder
	node      *transport.Node
	spread    *spread.Service
	operators *operatorServer
}

// controlPlane starts the control parts of processes on one platform.
type controlPlane struct {
	t         *testing.T
	authority *keys.Authority
	platform  *platformtest.Memory
	vms       []platform.VM
}

func newControlPlane(t *testing.T) *controlPlane {
	authority, err := keys.NewAuthority(time.Hour)
	require.NoError(t, err)
	return &controlPlane{t: t, authority: authority, platform: platformtest.New()}
}

func (p *controlPlane) keysOf(id keys.Identity) string {
	dir := filepath.Join(p.t.TempDir(), id.Name)
	cert, err := p.authority.Issue(id, time.Hour)
	require.NoError(p.t, err)
	require.NoError(p.t, cert.Save(dir))
	return dir
}

func (p *controlPlane) start(role keys.Role, name string, reachesPlatform bool, seeds ...string) *controlNode {
	id := keys.Identity{Role: role, Name: name}
	creds, err := transport.LoadCredentials(p.keysOf(id))
	require.NoError(p.t, err)
	n := &controlNode{holder: catalog.NewHolder()}
	var service atomic.Pointer[spread.Service]
	n.node, err = transport.Listen(transport.Options{Address: "127.0.0.1:0"}, creds,
		func(ctx context.Context, peer keys.Identity, stream *transport.Stream) {
			first := &jayv1.ClientFrame{}
			if s := service.Load(); s != nil && stream.Receive(first) == nil {
				s.Handle(ctx, peer, first, stream)
			}
		})
	require.NoError(p.t, err)
	options := spread.Options{
		Self: id, DataCentre: "zg-hall-a", Region: "hr-central", Address: n.node.Address(), Node: n.node, Holder: n.holder, Seeds: seeds,
	}
	var store *catalogstore.Store
	if role == keys.RoleEntry && reachesPlatform {
		store = catalogstore.New(p.platform, p.platform, catalogstore.Options{Check: catalog.Check})
		options.Store, options.VMs = store, p.platform
		p.vms = append(p.vms, platform.VM{Name: name, Address: n.node.Address(), DataCentre: "zg-hall-a", Region: "hr-central", Role: "entry", State: platform.VMLive})
		p.platform.SetVMs(p.vms)
	}
	n.spread, err = spread.Start(p.t.Context(), options)
	require.NoError(p.t, err)
	service.Store(n.spread)
	if store != nil {
		n.operators, err = newOperatorServer(operatorDeps{
			Address: "127.0.0.1:0", Credentials: creds,
			Operator: operator.Options{Store: store, Holder: n.holder, Spread: n.spread},
		})
		require.NoError(p.t, err)
	}
	p.t.Cleanup(n.stop)
	return n
}

func (n *controlNode) stop() {
	if n.operators != nil {
		n.operators.Close()
	}
	n.spread.Close()
	_ = n.node.Close()
}

// jayctl runs the command line with the keys of one operator.
func (p *controlPlane) jayctl(keysDir string, entries []*controlNode, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	for _, entry := range entries {
		args = append(args, "--entry", entry.operators.URL())
	}
	args = append(args, "--keys", keysDir, "--retry-for", "1s")
	code = ctl.Main(p.t.Context(), args, &out, &errs)
	return code, out.String(), errs.String()
}

func writeDeclarations(t *testing.T, agentAddress, activeVersion string) string {
	t.Helper()
	dir := t.TempDir()
	_, key, err := catalog.NewCallerKey()
	require.NoError(t, err)
	text := fmt.Sprintf(`
[[workspace]]
name = "srca"
[[workspace.keys]]
id = %q
salt = "%x"
hash = "%x"

[[pool]]
name = "claim-models"
model = "claims"
versions = [{ name = "1", digest = "sha256:1" }, { name = "2", digest = "sha256:2" }]
active_version = %q

[[backend_server]]
name = "claim-models-1"
pool = "claim-models"
agent_address = %q
data_centre = "zg-hall-a"
region = "hr-central"
vendor = "merle"
`, key.GetId(), key.GetSalt(), key.GetHash(), activeVersion, agentAddress)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "all.toml"), []byte(text), 0o600))
	return dir
}

func requireInForce(t *testing.T, generation uint64, nodes ...*controlNode) {
	t.Helper()
	for _, n := range nodes {
		require.Eventually(t, func() bool { return n.holder.Current().Generation() >= generation }, inForceWithin, 5*time.Millisecond)
	}
}

// A change applied at one of three entries must be in force at every entry and
// agent within inForceWithin, and be shown by status.
func TestAppliedDeclarationsAreInForceEverywhere(t *testing.T) {
	p := newControlPlane(t)
	a, b, c := p.start(keys.RoleEntry, "entry-1", true), p.start(keys.RoleEntry, "entry-2", true), p.start(keys.RoleEntry, "entry-3", true)
	agent := p.start(keys.RoleAgent, "claim-models-1", false)
	ana := p.keysOf(keys.Identity{Role: keys.RoleOperator, Name: "ana"})
	dir := writeDeclarations(t, agent.node.Address(), "1")

	code, out, errs := p.jayctl(ana, []*controlNode{b}, "diff", dir)
	require.Equal(t, ctl.ExitFindings, code, errs)
	assert.Contains(t, out, "+ pool/claim-models")
	code, out, errs = p.jayctl(ana, []*controlNode{b}, "apply", dir)
	require.Equal(t, ctl.ExitOK, code, errs)
	assert.Contains(t, out, "generation 1")
	requireInForce(t, 1, a, b, c, agent)

	code, out, _ = p.jayctl(ana, []*controlNode{a}, "apply", dir)
	require.Equal(t, ctl.ExitOK, code)
	assert.Contains(t, out, "no change; generation 1")

	code, out, errs = p.jayctl(ana, []*controlNode{c}, "drain", "claim-models-1", "--output", "json")
	require.Equal(t, ctl.ExitOK, code, errs)
	assert.Contains(t, out, `"backend_server/claim-models-1"`)
	requireInForce(t, 2, a, b, c, agent)
	code, _, _ = p.jayctl(ana, []*controlNode{a}, "apply", dir)
	require.Equal(t, ctl.ExitOK, code)
	server, _ := a.holder.Current().BackendServer("claim-models-1")
	assert.True(t, server.GetDraining(), "an apply does not undo a drain")

	require.Eventually(t, func() bool {
		code, out, _ = p.jayctl(ana, []*controlNode{a}, "status")
		return code == ctl.ExitOK && !bytes.Contains([]byte(out), []byte("no answer"))
	}, inForceWithin, 50*time.Millisecond, "%s", out)
	for _, name := range []string{"entry-1", "entry-2", "entry-3", "claim-models-1"} {
		assert.Contains(t, out, name)
	}
}

func TestRolesAndUnreachableEntries(t *testing.T) {
	p := newControlPlane(t)
	a := p.start(keys.RoleEntry, "entry-1", true)
	dead := p.start(keys.RoleEntry, "entry-2", true)
	dead.stop()
	viewer := p.keysOf(keys.Identity{Role: keys.RoleViewer, Name: "ivo"})
	agentKeys := p.keysOf(keys.Identity{Role: keys.RoleAgent, Name: "b1"})
	ana := p.keysOf(keys.Identity{Role: keys.RoleOperator, Name: "ana"})
	dir := writeDeclarations(t, "127.0.0.1:9999", "1")

	code, _, errs := p.jayctl(viewer, []*controlNode{a}, "apply", dir)
	assert.Equal(t, ctl.ExitRefused, code)
	assert.Contains(t, errs, "role viewer may not call")
	code, _, _ = p.jayctl(agentKeys, []*controlNode{a}, "list")
	assert.Equal(t, ctl.ExitUnreachable, code, "an agent's certificate is not accepted")
	code, _, errs = p.jayctl(ana, []*controlNode{dead, a}, "apply", dir)
	assert.Equal(t, ctl.ExitOK, code, errs)
	code, _, _ = p.jayctl(ana, []*controlNode{dead}, "list")
	assert.Equal(t, ctl.ExitUnreachable, code)
	code, _, errs = p.jayctl(ana, []*controlNode{a}, "apply", writeDeclarations(t, "127.0.0.1:9999", "7"))
	assert.Equal(t, ctl.ExitFindings, code)
	assert.Contains(t, errs, "all.toml:13: pool/claim-models.active_version")
	code, _, errs = p.jayctl(ana, []*controlNode{a}, "delete", "pool/claim-models")
	assert.Equal(t, ctl.ExitRefused, code)
	assert.Contains(t, errs, "backend_server/claim-models-1.pool: pool \"claim-models\" is not declared")
	code, _, _ = p.jayctl(ana, []*controlNode{a}, "frobnicate")
	assert.Equal(t, ctl.ExitUsage, code)
}

// An entry that starts while the platform is down must serve the newest
// configuration of its peers and must not accept changes.
func TestEntryThatStartsInAnOutageAdoptsFromPeers(t *testing.T) {
	p := newControlPlane(t)
	a := p.start(keys.RoleEntry, "entry-1", true)
	agent := p.start(keys.RoleAgent, "claim-models-1", false)
	ana := p.keysOf(keys.Identity{Role: keys.RoleOperator, Name: "ana"})
	code, _, errs := p.jayctl(ana, []*controlNode{a}, "apply", writeDeclarations(t, agent.node.Address(), "1"))
	require.Equal(t, ctl.ExitOK, code, errs)
	requireInForce(t, 1, a, agent)
	p.platform.SetDown(true)
	b := p.start(keys.RoleEntry, "entry-2", true, a.node.Address())
	requireInForce(t, 1, b)
	code, _, errs = p.jayctl(ana, []*controlNode{b, a}, "drain", "claim-models-1")
	assert.Equal(t, ctl.ExitUnreachable, code, errs)
	code, out, errs := p.jayctl(ana, []*controlNode{b}, "list", "pool")
	assert.Equal(t, ctl.ExitOK, code, errs)
	assert.Contains(t, out, "pool/claim-models")
	p.platform.SetDown(false)
	code, _, errs = p.jayctl(ana, []*controlNode{b, a}, "drain", "claim-models-1")
	assert.Equal(t, ctl.ExitOK, code, errs)
	requireInForce(t, 2, a, b, agent)
}

// A watch that continues at another entry must not miss or repeat a change.
func TestWatchContinuesAtAnotherEntry(t *testing.T) {
	p := newControlPlane(t)
	a, b := p.start(keys.RoleEntry, "entry-1", true), p.start(keys.RoleEntry, "entry-2", true)
	ana := p.keysOf(keys.Identity{Role: keys.RoleOperator, Name: "ana"})
	dir := writeDeclarations(t, "127.0.0.1:9999", "1")
	ctx, stop := context.WithCancel(t.Context())
	watched := &lockedBuffer{}
	done := make(chan int, 1)
	go func() {
		done <- ctl.Main(ctx, []string{"watch", "--entry", a.operators.URL(), "--entry", b.operators.URL(), "--keys", ana}, watched, watched)
	}()
	apply := func(args ...string) {
		code, _, errs := p.jayctl(ana, []*controlNode{b}, args...)
		require.Equal(t, ctl.ExitOK, code, errs)
	}
	apply("apply", dir)
	require.Eventually(t, func() bool { return watched.count("generation 1 ") == 1 }, inForceWithin, 5*time.Millisecond)
	require.NoError(t, a.operators.Shutdown(t.Context()))
	apply("drain", "claim-models-1")
	apply("drain", "claim-models-1", "--undo")
	require.Eventually(t, func() bool { return watched.count("generation 3 ") == 1 }, inForceWithin, 5*time.Millisecond)
	assert.Equal(t, 1, watched.count("generation 1 "))
	assert.Equal(t, 1, watched.count("generation 2 "))
	stop()
	assert.Equal(t, ctl.ExitOK, <-done)
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) count(s string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), s)
}
