package sim

import (
	"context"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// Call is one request, decoded from a vendor's format.
type Call struct {
	ID string
	// Parts of the canonical prompt, see prefix.Render.
	Parts         []string
	Salt          string
	VersionDigest string
	Adapter       string
	// Priority orders waiting requests; higher values run first.
	Priority  int
	MaxTokens int
}

// Token is one token of an answer. It names the request that it belongs to, which
// under faults may differ from the request whose stream contains it.
type Token struct {
	RequestID     string
	Index         int
	Tag           uint32
	Incarnation   uint64
	VersionDigest string
}

// Text returns the token's text, which encodes the tag of the prompt and the index
// of the token.
func (t Token) Text() string { return string(t.AppendText(nil)) }

// AppendText appends the text of the token to b.
func (t Token) AppendText(b []byte) []byte {
	b = append(b, ' ')
	b = append(b, TagText(t.Tag)...)
	b = append(b, '.')
	return strconv.AppendInt(b, int64(t.Index), 10)
}

// Tag returns the hash of a prompt that the tokens of its answer contain.
func Tag(parts []string) uint32 {
	h := xxh3.New()
	for _, part := range parts {
		_, _ = h.WriteString(part)
	}
	return uint32(h.Sum64())
}

// TagText formats a tag as in a token's text: eight hexadecimal digits.
func TagText(tag uint32) string {
	text := strconv.FormatUint(uint64(tag), 16)
	return "00000000"[len(text):] + text
}

// CompleteText returns the text of a complete answer of n tokens to a prompt.
func CompleteText(parts []string, n int) string {
	var b []byte
	tag := Tag(parts)
	for i := range n {
		b = Token{Tag: tag, Index: i}.AppendText(b)
	}
	return string(b)
}

// Answer is a request that waits or runs, and its output.
type Answer struct {
	core  *Core
	call  Call
	tag   uint32
	chain []engine.BlockHash
	// prompt, cached and produced are numbers of tokens: of the prompt, of its part
	// found in the cache, and of the output so far.
	prompt   int
	cached   int
	produced int
	// breakAt is the number of tokens after which the stream is interrupted; 0: never.
	breakAt int
	// order is the order of arrival among requests of the same priority.
	order uint64

	state answerState
	// prefillDone is when the prefill ends; zero before it has started.
	prefillDone time.Time

	// delayed is a token that the AnswerLate fault sends after its successor.
	delayed *Token
	pending []Token
	ended   bool
	err     error
	notify  chan struct{}
}

type answerState int

const (
	waiting answerState = iota
	prefilling
	decoding
	finished
)

// Batch is the output since the previous call of Next.
type Batch struct {
	Tokens []Token
	// Ended means that no more tokens follow; Err is nil if the answer is complete.
	Ended bool
	Err   error
	Usage engine.Usage
}

// Next waits for more tokens or the end of the answer. It returns the error of ctx
// when ctx ends first.
func (a *Answer) Next(ctx context.Context) (Batch, error) {
	for {
		batch, ok := a.take()
		if ok {
			return batch, nil
		}
		select {
		case <-a.notify:
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

// Cancel ends the request with ErrCancelled and frees its slot.
func (a *Answer) Cancel() {
	a.core.mu.Lock()
	defer a.core.mu.Unlock()
	a.core.drop(a, ErrCancelled)
	a.core.signal()
}

func (a *Answer) finish(err error) {
	if a.delayed != nil {
		a.pending = append(a.pending, *a.delayed)
		a.delayed = nil
	}
	a.state, a.ended, a.err = finished, true, err
	a.signal()
}

func (a *Answer) signal() {
	select {
	case a.notify <- struct{}{}:
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
