// Package prefix computes the prefix chain of a prompt: the hashes of its prefixes,
// called prefix points, from the shortest to the longest. Two prompts share a point
// if and only if their seeds and all bytes up to the point are equal, apart from hash
// collisions, which cost time and never cross workspaces.
package prefix

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/zeebo/xxh3"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// Stride is the distance in bytes between points within a message. From
// strideDoublesAt on, it doubles each time the offset does, so that the length of a
// chain is logarithmic in that of the prompt, while the offsets of the points are
// the same in all prompts.
const (
	Stride          = 1024
	strideDoublesAt = 16 * Stride
	// MaxPoints bounds a chain: 16 points at the first stride and 8 for each doubling,
	// up to prompts of 16 MiB, plus the message boundaries.
	MaxPoints = 160
	// MaxLevels bounds the message boundaries in Prefix.Levels.
	MaxLevels = 32
)

// Seed is hashed before the text of a prompt: only prompts with equal seeds share
// points.
type Seed struct {
	Workspace     string
	Model         string
	VersionDigest string
	Adapter       string
}

// Prefix is the prefix chain of a prompt.
type Prefix struct {
	// Points of the chain, from the shortest prefix to the longest.
	Points []*jayv1.PrefixPoint
	// Levels holds the indexes in Points of the points at message boundaries.
	Levels []int
	// Bytes is the length of the canonical prompt.
	Bytes int
}

// Chain computes the prefix chain of a prompt. parts are its canonical parts, one for
// each message.
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
	// next is the offset of the next point at a stride.
	next int
}

func (b *builder) write(part string) {
	for len(part) > 0 {
		remaining := b.next - b.prefix.Bytes
		if len(part) < remaining {
			_, _ = b.hash.WriteString(part)
			b.prefix.Bytes += len(part)
			return
		}
		_, _ = b.hash.WriteString(part[:remaining])
		b.prefix.Bytes += remaining
		part = part[remaining:]
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

// boundary adds a point at the end of a message, unless there is one already at this
// offset.
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

// Body holds the fields of a request body of /v1/chat/completions or
// /v1/completions that make up the prompt. Users embed it in a type with the other
// fields that they need, so that a long body is decoded only once.
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

// Render returns the canonical parts of a request body, one for each message. Equal
// prefixes of the parts mean equal prefixes of the text that the engines' chat
// template makes of the body.
func Render(body []byte) ([]string, error) {
	var parsed Body
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, eris.Wrap(err, "decode request body")
	}
	return parsed.Parts()
}

// Parts is like Render, for a body that is already decoded.
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

// renderList joins a list of strings with newlines, or the texts of typed parts
// without a separator.
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
