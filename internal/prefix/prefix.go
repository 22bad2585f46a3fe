// Package prefix turns a prompt into a nested chain of hashes. Two prompts
// share a point exactly when they share all bytes up to it and the seed, but
// for collisions, which cost time and never cross a workspace.
package prefix

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/zeebo/xxh3"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Stride is the distance in bytes between points inside a long message; it
// doubles each time the offset does beyond strideDoublesAt, so that a chain
// grows with the logarithm of the prompt and prompts still share their points.
const (
	Stride          = 1024
	strideDoublesAt = 16 * Stride
	// MaxPoints bounds a chain: 16 at the first stride and 8 a doubling, up to
	// prompts of 16 MiB, and the message boundaries.
	MaxPoints = 160
	// MaxLevels bounds the message boundaries that become points.
	MaxLevels = 32
)

// Seed is what prompts must have in common before their text counts.
type Seed struct {
	Workspace     string
	Model         string
	VersionDigest string
	Adapter       string
}

// Prefix is the chain of a prompt.
type Prefix struct {
	// Points from the shortest to the longest.
	Points []*jayv1.PrefixPoint
	// Levels indexes into Points: the points at message boundaries.
	Levels []int
	// Bytes of the canonical prompt.
	Bytes int
}

// Chain computes the chain of a prompt in its canonical parts, one a message.
func Chain(seed Seed, parts []string) Prefix {
	h := xxh3.New()
	for _, field := range []string{seed.Workspace, seed.Model, seed.VersionDigest, seed.Adapter} {
		// The length goes first, so that ("ab","c") and ("a","bc") differ.
		_, _ = h.Write([]byte{byte(len(field) >> 8), byte(len(field))})
		_, _ = h.WriteString(field)
	}
	b := builder{hash: h, next: Stride}
	for _, part := range parts {
		b.write(part)
		b.boundary()
	}
	return b.prefix
}

type builder struct {
	hash   *xxh3.Hasher
	prefix Prefix
	next   int
}

func (b *builder) write(part string) {
	for len(part) > 0 {
		room := b.next - b.prefix.Bytes
		if len(part) < room {
			_, _ = b.hash.WriteString(part)
			b.prefix.Bytes += len(part)
			return
		}
		_, _ = b.hash.WriteString(part[:room])
		b.prefix.Bytes += room
		part = part[room:]
		b.point()
		b.next += strideAt(b.next)
	}
}

func strideAt(offset int) int {
	stride := Stride
	for limit := strideDoublesAt; offset >= limit; limit *= 2 {
		stride *= 2
	}
	return stride
}

func (b *builder) point() {
	if len(b.prefix.Points) < MaxPoints {
		b.prefix.Points = append(b.prefix.Points, &jayv1.PrefixPoint{Hash: b.hash.Sum64(), Bytes: uint32(b.prefix.Bytes)})
	}
}

// boundary makes the end of a message a point, unless a stride point stands there.
func (b *builder) boundary() {
	if len(b.prefix.Levels) >= MaxLevels {
		return
	}
	last := len(b.prefix.Points) - 1
	if last < 0 || int(b.prefix.Points[last].Bytes) != b.prefix.Bytes {
		b.point()
		last = len(b.prefix.Points) - 1
	}
	b.prefix.Levels = append(b.prefix.Levels, last)
}

// Body is the part of a request body of /v1/chat/completions or
// /v1/completions that the prompt is made of. Callers embed it, so that a long
// body is decoded once.
type Body struct {
	Prompt   any       `json:"prompt"`
	Messages []Message `json:"messages"`
}

// Message is one message of a chat. Content is a string, a list of strings or
// a list of typed parts.
type Message struct {
	Role    string `json:"role"`
	Content any    `json:"content"`
}

// Render returns the canonical parts of a request body: what the engines' chat
// template makes of it, as far as prefixes are concerned.
func Render(body []byte) ([]string, error) {
	var parsed Body
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, eris.Wrap(err, "request body")
	}
	return parsed.Parts()
}

// Parts is Render for a body that is decoded already.
func (b *Body) Parts() ([]string, error) {
	if len(b.Messages) == 0 {
		text, err := renderContent(b.Prompt)
		return []string{text}, err
	}
	parts := make([]string, 0, len(b.Messages))
	for _, message := range b.Messages {
		text, err := renderContent(message.Content)
		if err != nil {
			return nil, err
		}
		parts = append(parts, "<|"+message.Role+"|>"+text+"\n")
	}
	return parts, nil
}

var errContent = eris.New("content is neither a string nor a list of parts")

func renderContent(content any) (string, error) {
	switch c := content.(type) {
	case nil:
		return "", nil
	case string:
		return c, nil
	case []any:
		return renderList(c)
	}
	return "", errContent
}

// renderList joins a list of strings by lines, or the texts of typed parts.
func renderList(list []any) (string, error) {
	texts := make([]string, len(list))
	separator := "\n"
	for i, item := range list {
		switch v := item.(type) {
		case nil:
		case string:
			texts[i] = v
		case map[string]any:
			text, err := partText(v)
			if err != nil {
				return "", err
			}
			texts[i], separator = text, ""
		default:
			return "", errContent
		}
	}
	return strings.Join(texts, separator), nil
}

func partText(part map[string]any) (string, error) {
	if kind, _ := part["type"].(string); kind != "text" {
		return "", eris.Errorf("content part of type %q is not supported", kind)
	}
	text, ok := part["text"].(string)
	if !ok && part["text"] != nil {
		return "", errContent
	}
	return text, nil
}
