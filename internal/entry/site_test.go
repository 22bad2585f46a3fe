package entry_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// Keys of the two workspaces of the test catalog.
const (
	keyQuarry = "jay_k1_secret-one"
	keyOther  = "jay_k2_secret-two"
)

// deployment is a certificate authority, agents and the catalog that declares
// them.
type deployment struct {
	t         *testing.T
	authority *keys.Authority
	agents    []*fakeAgent
	resources []*jayv1.Resource
}

func newDeployment(t *testing.T, agents ...string) *deployment {
	t.Helper()
	authority, err := keys.NewAuthority(time.Hour)
	require.NoError(t, err)
	s := &deployment{t: t, authority: authority}
	s.declareWorkspace("quarry", "k1", "secret-one", nil)
	s.declareWorkspace("other", "k2", "secret-two", nil)
	s.resources = append(s.resources,
		&jayv1.Resource{Kind: &jayv1.Resource_Pool{Pool: &jayv1.Pool{
			Name: "modelos", Model: "modelos", ActiveVersion: "v1",
			Versions: []*jayv1.ModelVersion{{Name: "v1", Digest: "d1"}}, Adapters: []*jayv1.Adapter{{Name: "cone", Digest: "a1"}},
		}}},
		&jayv1.Resource{Kind: &jayv1.Resource_Service{Service: &jayv1.Service{
			Name: "reservas", NonRepeatable: []*jayv1.NonRepeatableCall{{Method: "POST", PathPrefix: "/confirm"}},
		}}})
	for _, name := range agents {
		s.addAgent(name, "modelos", "")
	}
	return s
}

func (s *deployment) declareWorkspace(name, id, secret string, limits *jayv1.Limits) {
	salt := []byte("salt-of-" + id)
	s.resources = append(s.resources, &jayv1.Resource{Kind: &jayv1.Resource_Workspace{Workspace: &jayv1.Workspace{
		Name: name, Limits: limits, Keys: []*jayv1.ApiKey{{Id: id, Salt: salt, Hash: catalog.HashSecret(salt, secret)}},
	}}})
}

func (s *deployment) addAgent(name, pool, service string) *fakeAgent {
	s.t.Helper()
	agent := newFakeAgent(s.t, s.authority, name)
	s.agents = append(s.agents, agent)
	s.resources = append(s.resources, &jayv1.Resource{Kind: &jayv1.Resource_BackendServer{BackendServer: &jayv1.BackendServer{
		Name: name, Pool: pool, Service: service, AgentAddress: agent.node.Address(), DataCentre: "sala-a", Region: "norte",
	}}})
	return agent
}

// entry starts an entry that serves the deployment's catalog.
func (s *deployment) entry(name string, change ...func(*entry.Settings)) *entry.Entry {
	s.t.Helper()
	settings := entry.Default()
	settings.DataCentre, settings.Region = "sala-a", "norte"
	settings.KeysDir = keysDir(s.t, s.authority, keys.RoleEntry, name)
	settings.Timeouts.GraceMS = 0
	settings.Holder = catalog.NewHolder()
	settings.Holder.Adopt(catalog.Build(&jayv1.Snapshot{Generation: 1, Resources: s.resources}))
	for _, c := range change {
		c(&settings)
	}
	e, err := entry.Start(s.t.Context(), settings)
	require.NoError(s.t, err)
	s.t.Cleanup(e.Close)
	return e
}

func keysDir(t *testing.T, authority *keys.Authority, role keys.Role, name string) string {
	t.Helper()
	dir := t.TempDir()
	cert, err := authority.Issue(keys.Identity{Role: role, Name: name}, time.Hour)
	require.NoError(t, err)
	require.NoError(t, cert.Save(dir))
	return dir
}

func credentials(t *testing.T, authority *keys.Authority, role keys.Role, name string) *transport.Credentials {
	t.Helper()
	creds, err := transport.LoadCredentials(keysDir(t, authority, role, name))
	require.NoError(t, err)
	return creds
}

// reply is a response that was read to its end.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func call(t *testing.T, method, url, key, body string, headers ...string) reply {
	t.Helper()
	response := open(t, method, url, key, body, headers...)
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, response.Trailer, string(read), err}
}

func open(t *testing.T, method, url, key, body string, headers ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	return response
}

const (
	chatPath   = "/v1/chat/completions"
	chatPlain  = `{"model":"modelos","messages":[{"role":"system","content":"rules"},{"role":"user","content":"hello"}]}`
	chatStream = `{"model":"modelos","stream":true,"messages":[{"role":"system","content":"rules"},{"role":"user","content":"hello"}]}`
)

// texts returns the content texts of a stream's chunks, in order.
func texts(body string) []string {
	var all []string
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		_, after, ok := strings.Cut(scanner.Text(), `"content":"`)
		if ok {
			text, _, _ := strings.Cut(after, `"`)
			all = append(all, text)
		}
	}
	return all
}
