package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Call is one request of the load.
type Call struct {
	// At is the due time of sending, from the start of the load.
	At        time.Duration
	Index     int
	Workspace string
	Kind      string
	Class     jayv1.Class
	// Parts of the prompt: instruction, template, document if any, question.
	Parts []string
	// Output is the number of tokens requested.
	Output int
}

// Traffic describes the load to generate from a mix.
type Traffic struct {
	Mix Mix
	// Rate is the mean number of calls per second; arrivals are a Poisson process.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// ShiftAt is when the most popular templates are replaced by new ones; 0: never.
	ShiftAt time.Duration
	// Greedy multiplies the rate of the workspace GreedyWorkspace from GreedyAt on; 0
	// means no such workspace.
	Greedy          float64
	GreedyWorkspace int
	GreedyAt        time.Duration
}

// shiftedRanks is the number of most popular templates that a shift replaces.
const shiftedRanks = 3

// Generate returns the calls in order of time. It is deterministic: equal traffic
// gives equal calls.
func Generate(traffic Traffic) []Call {
	g := &generator{
		traffic:    traffic,
		random:     rand.New(rand.NewPCG(traffic.Seed, 0x6c6f6164)),
		texts:      map[string]string{},
		workspaces: newZipf(traffic.Mix.Workspaces, traffic.Mix.WorkspaceZipf),
	}
	for _, kind := range traffic.Mix.Kinds {
		g.templates = append(g.templates, newZipf(kind.Templates, kind.TemplateZipf))
		g.documents = append(g.documents, newZipf(kind.Documents, kind.DocumentZipf))
	}
	calls := g.stream(traffic.Rate, 0, -1)
	if traffic.Greedy > 1 {
		own := traffic.Rate * g.workspaces.share(traffic.GreedyWorkspace)
		calls = append(calls, g.stream(own*(traffic.Greedy-1), traffic.GreedyAt, traffic.GreedyWorkspace)...)
	}
	sort.SliceStable(calls, func(i, j int) bool { return calls[i].At < calls[j].At })
	for i := range calls {
		calls[i].Index = i
	}
	return calls
}

type generator struct {
	traffic    Traffic
	random     *rand.Rand
	texts      map[string]string
	workspaces zipf
	templates  []zipf
	documents  []zipf
	unique     int
}

// stream generates Poisson arrivals; workspace -1 draws a workspace for each call.
func (g *generator) stream(rate float64, from time.Duration, workspace int) []Call {
	var calls []Call
	for at := from; ; {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= g.traffic.Duration {
			return calls
		}
		w := workspace
		if w < 0 {
			w = g.workspaces.draw(g.random)
		}
		calls = append(calls, g.call(at, w))
	}
}

func (g *generator) call(at time.Duration, workspace int) Call {
	k := g.kind()
	kind := g.traffic.Mix.Kinds[k]
	g.unique++
	name := WorkspaceName(workspace)
	template := g.templates[k].draw(g.random)
	epoch := 0
	if g.traffic.ShiftAt > 0 && at >= g.traffic.ShiftAt && template < shiftedRanks {
		epoch = 1
	}
	templateID := fmt.Sprintf("%s/%s/%d.%d", name, kind.Name, template, epoch)
	parts := []string{
		g.text("instruction "+name+"/"+kind.Name, kind.Instruction),
		g.text("template "+templateID, kind.Template),
	}
	if kind.Document > 0 {
		parts = append(parts, g.document(k, kind, templateID))
	}
	parts = append(parts, prose(fmt.Sprintf("question %d", g.unique), kind.Question))
	return Call{At: at, Workspace: name, Kind: kind.Name, Class: kind.Class, Parts: parts, Output: kind.Output}
}

func (g *generator) document(k int, kind Kind, templateID string) string {
	if kind.Documents == 0 {
		return prose(fmt.Sprintf("document %d", g.unique), kind.Document)
	}
	return g.text(fmt.Sprintf("document %s/%d", templateID, g.documents[k].draw(g.random)), kind.Document)
}

func (g *generator) kind() int {
	drawn := g.random.Float64()
	for k, kind := range g.traffic.Mix.Kinds {
		if drawn < kind.Share {
			return k
		}
		drawn -= kind.Share
	}
	return len(g.traffic.Mix.Kinds) - 1
}

func (g *generator) text(id string, tokens int) string {
	text, ok := g.texts[id]
	if !ok {
		text = prose(id, tokens)
		g.texts[id] = text
	}
	return text
}

// WorkspaceName returns the name of the workspace with an index.
func WorkspaceName(index int) string { return fmt.Sprintf("workspace-%d", index) }

var words = strings.Fields("crusher jaw cone hire site quarry claim donor charity rulebook contract report belt feed screen plate " +
	"clause party delivery notice return period amount eligible declaration relief total office deadline review")

// prose returns a text of the given length that depends only on id. It begins with
// id, so that the texts of two ids differ near their start.
func prose(id string, tokens int) string {
	size := tokens * BytesPerToken
	var seed uint64 = 14695981039346656037
	for _, c := range []byte(id) {
		seed = (seed ^ uint64(c)) * 1099511628211
	}
	random := rand.New(rand.NewPCG(seed, 1))
	var b strings.Builder
	b.Grow(size + 16)
	b.WriteString(id)
	for b.Len() < size {
		b.WriteByte(' ')
		b.WriteString(words[random.IntN(len(words))])
	}
	return b.String()[:size]
}

// zipf draws ranks with probability proportional to 1/(rank+1)^exponent.
type zipf struct{ cumulative []float64 }

func newZipf(n int, exponent float64) zipf {
	z := zipf{cumulative: make([]float64, n)}
	total := 0.0
	for i := range n {
		total += 1 / math.Pow(float64(i+1), exponent)
		z.cumulative[i] = total
	}
	for i := range z.cumulative {
		z.cumulative[i] /= total
	}
	return z
}

func (z zipf) draw(random *rand.Rand) int {
	drawn := random.Float64()
	return min(sort.SearchFloat64s(z.cumulative, drawn), len(z.cumulative)-1)
}

func (z zipf) share(rank int) float64 {
	if rank == 0 {
		return z.cumulative[0]
	}
	return z.cumulative[rank] - z.cumulative[rank-1]
}
