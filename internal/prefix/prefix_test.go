package prefix_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jayproxy/jayproxy/internal/prefix"
	_ "github.com/jayproxy/jayproxy/internal/testseed" // fixed seed
)

func TestPromptsShareExactlyTheirCommonPoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := prefix.Seed{Workspace: "w", Model: "m"}
		shared := strings.Repeat("a", rapid.IntRange(0, 70000).Draw(t, "shared"))
		one := prefix.Chain(seed, []string{shared + "x" + strings.Repeat("y", 3000)})
		two := prefix.Chain(seed, []string{shared + "z" + strings.Repeat("y", 9000)})
		for i := range min(len(one.Points), len(two.Points)) {
			same := one.Points[i].Hash == two.Points[i].Hash
			inShared := int(one.Points[i].Bytes) <= len(shared) && one.Points[i].Bytes == two.Points[i].Bytes
			assert.Equal(t, inShared, same)
		}
	})
}

func TestPromptsWithDifferentSeedsShareNoPoint(t *testing.T) {
	parts := []string{"the same text"}
	seen := map[uint64]bool{}
	for _, seed := range []prefix.Seed{
		{Workspace: "a"}, {Workspace: "b"}, {Model: "a"}, {VersionDigest: "a"}, {Adapter: "a"},
		{Workspace: "ab", Model: "c"}, {Workspace: "a", Model: "bc"},
	} {
		chain := prefix.Chain(seed, parts)
		require.Len(t, chain.Points, 1)
		assert.False(t, seen[chain.Points[0].Hash])
		seen[chain.Points[0].Hash] = true
	}
}

func TestBoundariesAreLevelsAndChainsStayShort(t *testing.T) {
	chain := prefix.Chain(prefix.Seed{}, []string{strings.Repeat("i", 1024), "short", strings.Repeat("d", 8<<20)})
	require.Len(t, chain.Levels, 3)
	assert.Equal(t, uint32(1024), chain.Points[chain.Levels[0]].Bytes)
	assert.Equal(t, uint32(1029), chain.Points[chain.Levels[1]].Bytes)
	assert.Equal(t, len(chain.Points)-1, chain.Levels[2])
	assert.LessOrEqual(t, len(chain.Points), prefix.MaxPoints)
}

func FuzzRender(f *testing.F) {
	f.Add([]byte(`{"messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"prompt":["a","b"]}`))
	f.Add([]byte(`{"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		parts, err := prefix.Render(body)
		if err == nil {
			prefix.Chain(prefix.Seed{}, parts)
		}
	})
}

func TestRenderTakesEveryShapeOfContent(t *testing.T) {
	tests := map[string]struct {
		body string
		want []string
	}{
		"string":         {`{"messages":[{"role":"user","content":"a\nb"}]}`, []string{"<|user|>a\nb\n"}},
		"no content":     {`{"messages":[{"role":"assistant","content":null}]}`, []string{"<|assistant|>\n"}},
		"parts":          {`{"messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, []string{"<|user|>ab\n"}},
		"strings":        {`{"prompt":["a","b"]}`, []string{"a\nb"}},
		"prompt":         {`{"prompt":"a"}`, []string{"a"}},
		"numeric prompt": {`{"prompt":5}`, nil},
		"token IDs":      {`{"prompt":[1,2]}`, nil},
		"image":          {`{"messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil},
		"numeric text":   {`{"messages":[{"role":"user","content":[{"type":"text","text":1}]}]}`, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := prefix.Render([]byte(tt.body))
			if tt.want == nil {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, tt.want, got)
		})
	}
}

// BenchmarkRender64KiB measures the decoding and rendering of a long prompt.
func BenchmarkRender64KiB(b *testing.B) {
	text := strings.Repeat("A hire contract's line, with a break.\\n", 64<<10/39)
	body := []byte(`{"model":"m","messages":[{"role":"system","content":"` + text + `"},{"role":"user","content":"which?"}]}`)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := prefix.Render(body); err != nil {
			b.Fatal(err)
		}
	}
}
