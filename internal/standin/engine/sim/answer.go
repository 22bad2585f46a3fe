package sim

import (
	"context"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// Call is one request as a dialect decoded it.
type Call struct {
	ID string
	// Parts of the canonical prompt, see prefix.Render.
	Parts         []string
	Salt          string
	VersionDigest string
	Adapter       string
	// Priority: higher first.
	Priority  int
	MaxTokens int
}

// Token is one piece of an answer. It names the request that it belongs to,
// which under faults is not always the one whose stream it came in.
type Token struct {
	RequestID     string
	Index         int
	Tag           uint32
	Incarnation   uint64
	VersionDigest string
}

// Text of the token: it tells the prompt that it answers, and its place.
func (t Token) Text() string { return string(t.AppendText(nil)) }

// AppendText appends the text of the token.
func (t Token) AppendText(b []byte) []byte {
	b = append(b, ' ')
	b = append(b, TagText(t.Tag)...)
	b = append(b, '.')
	return strconv.AppendInt(b, int64(t.Index), 10)
}

// Tag is the mark that the tokens of the answer to a prompt carry.
func Tag(parts []string) uint32 {
	h := xxh3.New()
	for _, part := range parts {
		_, _ = h.WriteString(part)
	}
	return uint32(h.Sum64())
}

// TagText is a tag as it stands in a token's text: eight hexadecimal digits.
func TagText(tag uint32) string {
	text := strconv.FormatUint(uint64(tag), 16)
	return "00000000"[len(text):] + text
}

// CompleteText is the text of a whole answer of n tokens to a prompt.
func CompleteText(parts []string, n int) string {
	var b []byte
	tag := Tag(parts)
	for i := range n {
		b = Token{Tag: tag, Index: i}.AppendText(b)
	}
	return string(b)
}

// Answer is a request under way, waiting included.
type Answer struct {
	core     *Core
	call     Call
	tag      uint32
	chain    []engine.BlockHash
	prompt   int
	cached   int
	produced int
	// breakAt is the number of tokens after which the stream breaks; 0: never.
	breakAt int
	// order is the place among requests of the same priority.
	order uint64

	state answerState
	// prefillDone is when the prefill ends; zero before it has started.
	prefillDone time.Time

	held    *Token
	pending []Token
	ended   bool
	err     error
	wake    chan struct{}
}

type answerState int

const (
	waiting answerState = iota
	prefilling
	decoding
	finished
)

// Batch is what an answer has produced since the last call of Next.
type Batch struct {
	Tokens []Token
	// Ended: no more tokens come; Err says why when it is not the regular end.
	Ended bool
	Err   error
	Usage engine.Usage
}

// Next waits until there are tokens or the end.
func (a *Answer) Next(ctx context.Context) (Batch, error) {
	for {
		batch, ok := a.take()
		if ok {
			return batch, nil
		}
		select {
		case <-a.wake:
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

func (a *Answer) take() (Batch, bool) {
	a.core.mu.Lock()
	defer a.core.mu.Unlock()
	if len(a.pending) == 0 && !a.ended {
		return Batch{}, false
	}
	batch := Batch{Tokens: a.pending, Ended: a.ended, Err: a.err, Usage: a.usage()}
	a.pending = nil
	return batch, true
}

func (a *Answer) usage() engine.Usage {
	return engine.Usage{PromptTokens: a.prompt, CachedTokens: a.cached, OutputTokens: a.produced}
}

// Cancel gives the request up and frees its place.
func (a *Answer) Cancel() {
	a.core.mu.Lock()
	defer a.core.mu.Unlock()
	a.core.drop(a, ErrCancelled)
	a.core.signal()
}

func (a *Answer) finish(err error) {
	if a.held != nil {
		a.pending = append(a.pending, *a.held)
		a.held = nil
	}
	a.state, a.ended, a.err = finished, true, err
	a.signal()
}

func (a *Answer) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// queue orders waiting requests by priority, then by arrival (container/heap).
type queue []*Answer

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].call.Priority != q[j].call.Priority {
		return q[i].call.Priority > q[j].call.Priority
	}
	return q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*Answer)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
