package entry_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/transport"
)

// fakeAgent implements the agent's side of the protocol in wire.proto. Its fields
// script its behaviour.
type fakeAgent struct {
	name string
	node *transport.Node

	mu sync.Mutex
	// refuse returns the refusal of an offer; nil accepts it.
	refuse func(offer *jayv1.Offer) *jayv1.OfferReply
	// respond emits the chunks of an accepted request and returns its End; it may
	// block.
	respond func(offer *jayv1.Offer, body []byte, emit func(data string)) *jayv1.End
	// cuts is how many more times the link is aborted: first after cutAfter chunks,
	// then one chunk later each time.
	cutAfter, cuts int
	// forget: resumes find no stream, as after a restart of the agent.
	forget bool
	// wrongCount is added to the number of chunks in the End frame.
	wrongCount uint64
	// cutBody is how many times the link is aborted before the body is complete.
	cutBody int
	// cutReply is how many times the link is aborted instead of accepting an offer.
	cutReply int
	// head of a plain service's response, nil for none.
	head *jayv1.ServiceHead

	offers  []*jayv1.Offer
	bodies  [][]byte
	runs    map[string]int
	cancels int
	resumes int
	acked   uint64
	kept    map[string]*keptStream
}

// keptStream is the replay buffer of one attempt.
type keptStream struct {
	nonce     []byte
	workspace string
	mu        sync.Mutex
	grown     *sync.Cond
	chunks    []string
	end       *jayv1.End
	// first is the sequence number of the first chunk that is still kept.
	first uint64
}

func newFakeAgent(t *testing.T, authority *keys.Authority, name string) *fakeAgent {
	t.Helper()
	f := &fakeAgent{name: name, runs: map[string]int{}, kept: map[string]*keptStream{}}
	node, err := transport.Listen(transport.Options{Address: "127.0.0.1:0"}, credentials(t, authority, keys.RoleAgent, name), f.serve)
	require.NoError(t, err)
	f.node = node
	t.Cleanup(func() { _ = node.Close() })
	return f
}

func (f *fakeAgent) state() *jayv1.AgentState {
	return &jayv1.AgentState{BackendServer: f.name, Incarnation: 1, Ready: true, Slots: 8, VersionDigests: []string{"d1"}, Adapters: []string{"cone"}}
}

func (f *fakeAgent) set(change func(f *fakeAgent)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// count reads a number under the lock.
func (f *fakeAgent) count(read func(f *fakeAgent) int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return read(f)
}

// first returns the first offer and body.
func (f *fakeAgent) first() (*jayv1.Offer, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offers[0], f.bodies[0]
}

// last returns the latest offer.
func (f *fakeAgent) last() *jayv1.Offer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offers[len(f.offers)-1]
}

func (f *fakeAgent) runCount(id string) int {
	return f.count(func(f *fakeAgent) int { return f.runs[id] })
}

func (f *fakeAgent) serve(ctx context.Context, _ keys.Identity, s *transport.Stream) {
	first := &jayv1.ClientFrame{}
	if s.Receive(first) != nil {
		return
	}
	switch frame := first.GetFrame().(type) {
	case *jayv1.ClientFrame_Offer:
		f.handleOffer(ctx, frame.Offer, s)
	case *jayv1.ClientFrame_Resume:
		f.handleResume(ctx, frame.Resume, s)
	}
}

func (f *fakeAgent) handleOffer(ctx context.Context, offer *jayv1.Offer, s *transport.Stream) {
	f.mu.Lock()
	f.offers = append(f.offers, offer)
	refuse := f.refuse
	f.mu.Unlock()
	reply := &jayv1.OfferReply{Accepted: true, State: f.state()}
	if refuse != nil {
		if refusal := refuse(offer); refusal != nil {
			refusal.State = f.state()
			reply = refusal
		}
	}
	if f.useFault(&f.cutReply) {
		s.Abort()
	} else if s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_OfferReply{OfferReply: reply}}) != nil || !reply.GetAccepted() {
		return
	}
	var body []byte
	if offer.GetHasBody() {
		var ok bool
		if body, ok = f.readBody(s); !ok {
			return
		}
	}
	kept := &keptStream{nonce: offer.GetNonce(), workspace: offer.GetWorkspace()}
	kept.grown = sync.NewCond(&kept.mu)
	f.mu.Lock()
	f.bodies = append(f.bodies, body)
	f.runs[offer.GetRequestId()]++
	f.kept[key(offer.GetRequestId(), offer.GetAttempt())] = kept
	respond := f.respond
	f.mu.Unlock()
	if respond == nil {
		respond = tokens(3)
	}
	go func() {
		end := respond(offer, body, kept.emit)
		f.mu.Lock()
		end.Count = f.wrongCount
		f.mu.Unlock()
		kept.close(end)
	}()
	f.send(ctx, s, kept, 0)
}

func key(id string, attempt uint32) string { return fmt.Sprintf("%s/%d", id, attempt) }

// useFault uses up one of the scripted faults, false when none is left.
func (f *fakeAgent) useFault(left *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *left == 0 {
		return false
	}
	*left--
	return true
}

func (f *fakeAgent) readBody(s *transport.Stream) ([]byte, bool) {
	if f.useFault(&f.cutBody) {
		s.Abort()
		return nil, false
	}
	var body []byte
	for {
		frame := &jayv1.ClientFrame{}
		if s.Receive(frame) != nil || frame.GetBody() == nil {
			return nil, false
		}
		body = append(body, frame.GetBody().GetData()...)
		if frame.GetBody().GetLast() {
			return body, true
		}
	}
}

func (f *fakeAgent) handleResume(ctx context.Context, resume *jayv1.Resume, s *transport.Stream) {
	f.mu.Lock()
	f.resumes++
	kept := f.kept[key(resume.GetRequestId(), resume.GetAttempt())]
	if f.forget {
		kept = nil
	}
	f.mu.Unlock()
	if kept == nil || !bytes.Equal(kept.nonce, resume.GetNonce()) || kept.workspace != resume.GetWorkspace() || !kept.has(resume.GetNextSeq()) {
		end := &jayv1.End{Outcome: jayv1.Outcome_OUTCOME_UNKNOWN, Refusal: jayv1.Refusal_REFUSAL_NOT_FOUND}
		_ = s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_End{End: end}})
		return
	}
	f.send(ctx, s, kept, resume.GetNextSeq())
}

// send sends the kept chunks from a sequence number on, and receives Ack and
// Cancel.
func (f *fakeAgent) send(ctx context.Context, s *transport.Stream, kept *keptStream, from uint64) {
	received := make(chan struct{})
	go func() {
		defer close(received)
		if errors.Is(f.listen(s, kept), io.EOF) {
			kept.discard()
		}
	}()
	f.mu.Lock()
	head := f.head
	f.mu.Unlock()
	if head != nil && from == 0 {
		_ = s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_ServiceHead{ServiceHead: head}})
	}
	for ctx.Err() == nil {
		chunk, end := kept.wait(from)
		if end != nil {
			_ = s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_End{End: end}})
			<-received // The last Ack may arrive after the End was sent.
			return
		}
		if f.cutNow(from) {
			s.Abort()
			return
		}
		frame := &jayv1.Chunk{Seq: from, Data: []byte(chunk)}
		if s.Send(&jayv1.ServerFrame{Frame: &jayv1.ServerFrame_Chunk{Chunk: frame}}) != nil {
			return
		}
		from++
	}
}

func (f *fakeAgent) cutNow(sent uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cuts == 0 || sent < uint64(f.cutAfter) {
		return false
	}
	f.cuts--
	f.cutAfter++
	return true
}

// listen receives the entry's frames until an error. io.EOF means that the entry
// has the complete response.
func (f *fakeAgent) listen(s *transport.Stream, kept *keptStream) error {
	for {
		frame := &jayv1.ClientFrame{}
		if err := s.Receive(frame); err != nil {
			return err
		}
		kept.ack(frame.GetAck().GetNextSeq())
		f.set(func(f *fakeAgent) {
			if frame.GetCancel() != nil {
				f.cancels++
			}
			f.acked = max(f.acked, frame.GetAck().GetNextSeq())
		})
	}
}

func (k *keptStream) ack(next uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.first = max(k.first, next)
}

func (k *keptStream) discard() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.first = uint64(len(k.chunks)) + 1
}

func (k *keptStream) has(seq uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return seq >= k.first
}

func (k *keptStream) emit(data string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.chunks = append(k.chunks, data)
	k.grown.Broadcast()
}

func (k *keptStream) close(end *jayv1.End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	end.Count += uint64(len(k.chunks))
	k.end = end
	k.grown.Broadcast()
}

func (k *keptStream) wait(from uint64) (string, *jayv1.End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for uint64(len(k.chunks)) <= from && k.end == nil {
		k.grown.Wait()
	}
	if uint64(len(k.chunks)) > from {
		return k.chunks[from], nil
	}
	return "", k.end
}

func done() *jayv1.End {
	return &jayv1.End{Outcome: jayv1.Outcome_OUTCOME_DONE, Usage: &jayv1.Usage{PromptTokens: 100, CachedTokens: 60, OutputTokens: 3}}
}

// tokens answers a streaming request with n chunks, any other with one response.
func tokens(n int) func(*jayv1.Offer, []byte, func(string)) *jayv1.End {
	return func(offer *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
		if offer.GetService() != "" {
			emit("served by " + offer.GetMethod() + " " + offer.GetPath())
			return done()
		}
		if !offer.GetStream() {
			emit(completeResponse)
			return done()
		}
		for i := range n {
			emit(fmt.Sprintf(`{"id":"c","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"t%d "}}]}`, i))
		}
		return done()
	}
}

// paced answers with n chunks, one per interval.
func paced(n int, interval time.Duration) func(*jayv1.Offer, []byte, func(string)) *jayv1.End {
	return func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := range n {
			<-ticker.C
			emit(fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":"t%d "}}]}`, i))
		}
		return done()
	}
}

const completeResponse = `{"id":"c","object":"chat.completion","model":"modelos","choices":[{"index":0,"message":{"role":"assistant","content":"ready"},"finish_reason":"stop"}],"usage":{"prompt_tokens":100,"completion_tokens":1,"total_tokens":101,"prompt_tokens_details":{"cached_tokens":60}}}`
