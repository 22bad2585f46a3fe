package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/prefix"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// maxBody bounds a request's body, in bytes.
const maxBody = 32 << 20

// completionRequest holds the fields that the engine reads from a caller's JSON.
type completionRequest struct {
	Model               string        `json:"model"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	StreamOptions       streamOptions `json:"stream_options"`
	Merle               *merleFields  `json:"merle"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// completion is one decoded request of the HTTP interface.
type completion struct {
	request completionRequest
	chat    bool
	call    sim.Call
	body    []byte
}

// framer writes answers in a vendor's format.
type framer interface {
	// chunk appends the JSON of one chunk as an event.
	chunk(b []byte, at position, json []byte) []byte
	// end appends the usage chunk and the vendor's end of the stream.
	end(b []byte, at position, usage engine.Usage, json []byte) []byte
	// sendComplete sends an answer that is not streamed.
	sendComplete(c echo.Context, answer *completeAnswer) error
}

// position identifies an event: its request, its index in the answer, and the
// engine incarnation and weights that produced it.
type position struct {
	requestID   string
	index       int
	incarnation uint64
	digest      string
}

type completeAnswer struct {
	at    position
	usage engine.Usage
	json  []byte
}

func readCompletion(c echo.Context) (*completion, error) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBody))
	if err != nil {
		return nil, err
	}
	r := &completion{chat: c.Path() == "/v1/chat/completions", body: body}
	if err := json.Unmarshal(body, &r.request); err != nil {
		return nil, err
	}
	parts, err := prefix.Render(body)
	if err != nil {
		return nil, err
	}
	r.call = sim.Call{Parts: parts, MaxTokens: max(r.request.MaxTokens, r.request.MaxCompletionTokens)}
	return r, nil
}

// serve answers an accepted request, streamed or in one response.
func (e *Engine) serve(c echo.Context, r *completion, answer *sim.Answer, f framer) error {
	defer answer.Cancel()
	e.crashOnMarker(r.body)
	if r.request.Stream {
		return e.stream(c, r, answer, f)
	}
	return e.sendUnstreamed(c, r, answer, f)
}

func (e *Engine) stream(c echo.Context, r *completion, answer *sim.Answer, f framer) error {
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, "text/event-stream")
	response.WriteHeader(http.StatusOK)
	response.Flush()
	at := position{requestID: r.call.ID}
	var buffer []byte
	for {
		batch, err := answer.Next(c.Request().Context())
		if err != nil {
			return nil
		}
		buffer = buffer[:0]
		for _, token := range batch.Tokens {
			at.incarnation, at.digest = token.Incarnation, token.VersionDigest
			buffer = f.chunk(buffer, tokenPosition(token), r.chunk(token))
		}
		if batch.Ended && batch.Err == nil {
			at.index = batch.Usage.OutputTokens
			buffer = f.chunk(buffer, at, r.finishChunk(at))
			at.index++
			buffer = f.end(buffer, at, batch.Usage, r.usageChunk(at, batch.Usage))
		}
		if _, err := response.Write(buffer); err != nil {
			return nil
		}
		response.Flush()
		if batch.Ended && batch.Err != nil {
			// Closes the connection before the end of the chunked body.
			panic(http.ErrAbortHandler)
		}
		if batch.Ended {
			return nil
		}
	}
}

func tokenPosition(token sim.Token) position {
	return position{
		requestID:   token.RequestID,
		index:       token.Index,
		incarnation: token.Incarnation,
		digest:      token.VersionDigest,
	}
}

func (e *Engine) sendUnstreamed(c echo.Context, r *completion, answer *sim.Answer, f framer) error {
	at := position{requestID: r.call.ID}
	var texts [][]byte
	for {
		batch, err := answer.Next(c.Request().Context())
		if err != nil {
			return nil
		}
		for _, token := range batch.Tokens {
			if token.RequestID == r.call.ID && token.Index == len(texts) {
				at.incarnation, at.digest = token.Incarnation, token.VersionDigest
				texts = append(texts, token.AppendText(nil))
			}
		}
		if !batch.Ended {
			continue
		}
		if batch.Err != nil || len(texts) != batch.Usage.OutputTokens {
			panic(http.ErrAbortHandler)
		}
		complete := &completeAnswer{at: at, usage: batch.Usage, json: r.completeJSON(at, texts, batch.Usage)}
		return f.sendComplete(c, e.maybeCrossed(complete))
	}
}

// maybeCrossed returns the previous answer instead of this one for the share of
// calls that Faults.AnswerCrossed names.
func (e *Engine) maybeCrossed(complete *completeAnswer) *completeAnswer {
	crossed := e.chance(e.core.Faults().AnswerCrossed)
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.lastAnswer
	e.lastAnswer = complete
	if crossed && last != nil {
		return last
	}
	return complete
}

func (r *completion) object(streamed bool) string {
	switch {
	case r.chat && streamed:
		return "chat.completion.chunk"
	case r.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// head appends the fields that begin every chunk and answer.
func (r *completion) head(b []byte, at position, streamed bool) []byte {
	b = append(b, `{"id":"`...)
	b = append(b, "cmpl-"...)
	b = appendEscaped(b, at.requestID)
	b = append(b, `","object":"`...)
	b = append(b, r.object(streamed)...)
	b = append(b, `","created":0,"model":"`...)
	b = appendEscaped(b, r.request.Model)
	b = append(b, `","system_fingerprint":"`...)
	b = appendEscaped(b, at.digest)
	b = append(b, '.')
	b = strconv.AppendUint(b, at.incarnation, 10)
	return append(b, `",`...)
}

// appendEscaped appends text escaped for a JSON string, without the quotes.
func appendEscaped(b []byte, text string) []byte {
	for i := range len(text) {
		if text[i] < ' ' || text[i] == '"' || text[i] == '\\' || text[i] > '~' {
			quoted, _ := json.Marshal(text)
			return append(b, quoted[1:len(quoted)-1]...)
		}
	}
	return append(b, text...)
}

func (r *completion) chunk(token sim.Token) []byte {
	b := r.head(make([]byte, 0, 256), tokenPosition(token), true)
	if r.chat {
		b = append(b, `"choices":[{"index":0,"delta":{"role":"assistant","content":"`...)
		b = token.AppendText(b)
		return append(b, `"},"finish_reason":null}]}`...)
	}
	b = append(b, `"choices":[{"index":0,"text":"`...)
	b = token.AppendText(b)
	return append(b, `","finish_reason":null}]}`...)
}

func (r *completion) finishChunk(at position) []byte {
	b := r.head(nil, at, true)
	if r.chat {
		return append(b, `"choices":[{"index":0,"delta":{},"finish_reason":"length"}]}`...)
	}
	return append(b, `"choices":[{"index":0,"text":"","finish_reason":"length"}]}`...)
}

func (r *completion) usageChunk(at position, usage engine.Usage) []byte {
	b := r.head(nil, at, true)
	b = append(b, `"choices":[],`...)
	return append(appendUsage(b, usage), '}')
}

func (r *completion) completeJSON(at position, texts [][]byte, usage engine.Usage) []byte {
	b := r.head(nil, at, false)
	open, shut := `"choices":[{"index":0,"text":"`, `","finish_reason":"length"}],`
	if r.chat {
		open = `"choices":[{"index":0,"message":{"role":"assistant","content":"`
		shut = `"},"finish_reason":"length"}],`
	}
	b = append(b, open...)
	for _, text := range texts {
		b = append(b, text...)
	}
	b = append(b, shut...)
	return append(appendUsage(b, usage), '}')
}

func appendUsage(b []byte, usage engine.Usage) []byte {
	b = append(b, `"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(usage.PromptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(usage.OutputTokens), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(usage.PromptTokens+usage.OutputTokens), 10)
	b = append(b, `,"prompt_tokens_details":{"cached_tokens":`...)
	b = strconv.AppendInt(b, int64(usage.CachedTokens), 10)
	return append(b, "}}"...)
}

// plain is the vendor-neutral OpenAI format.
type plain struct {
	includeUsage bool
}

func (plain) chunk(b []byte, _ position, json []byte) []byte { return appendData(b, json) }

func (p plain) end(b []byte, _ position, _ engine.Usage, json []byte) []byte {
	if p.includeUsage {
		b = appendData(b, json)
	}
	return append(b, "data: [DONE]\n\n"...)
}

func (plain) sendComplete(c echo.Context, answer *completeAnswer) error {
	return c.JSONBlob(http.StatusOK, answer.json)
}

func appendData(b, json []byte) []byte {
	b = append(b, "data: "...)
	b = append(b, json...)
	return append(b, "\n\n"...)
}
