package scenario_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jayproxy/jayproxy/internal/prefix"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// Headers of the callers' API, not taken from package entry so that accidental changes
// of the API are noticed.
const (
	headerOutcome = "X-Jay-Outcome"
	headerKey     = "Idempotency-Key"
	headerToken   = "X-Jay-Resume-Token" //nolint:gosec // a header's name
)

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// request is a request to send to an entry.
type request struct {
	method string
	path   string
	body   string
	header http.Header
	// want is the text of the complete answer to a prompt; empty for services.
	want string
}

// chatRequest makes a request for a number of tokens. The text of the expected answer
// is known, since the stand-in engine derives it from the prompt.
func chatRequest(prompt string, tokens int, stream bool) (request, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		siteModel, stream, tokens, prompt)
	parts, err := prefix.Render([]byte(body))
	if err != nil {
		return request{}, err
	}
	return request{
		method: http.MethodPost, path: "/v1/chat/completions", body: body,
		header: http.Header{}, want: sim.CompleteText(parts, tokens),
	}, nil
}

// answer is the part of an answer received so far.
type answer struct {
	mu      sync.Mutex
	request request
	status  int
	header  http.Header
	text    strings.Builder
	events  int
	// done means that the answer ended regularly, a stream with [DONE]; failure is an
	// explicit error.
	done    bool
	failure *apiError
	// connErr is the error of the connection, if any.
	connErr error
	ended   chan struct{}
}

type apiError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

type errorBody struct {
	Error apiError `json:"error"`
}

type chunkBody struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
}

// newClient returns a client without connection reuse, which never retries a request
// by itself.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// send sends a request in the background and returns its answer, which grows until
// ended is closed.
func send(client *http.Client, base, key string, r request) *answer {
	a := &answer{request: r, ended: make(chan struct{})}
	go func() {
		defer close(a.ended)
		if err := a.run(client, base, key); err != nil {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.connErr = err
		}
	}()
	return a
}

func (a *answer) run(client *http.Client, base, key string) error {
	r, err := http.NewRequest(a.request.method, base+a.request.path, strings.NewReader(a.request.body))
	if err != nil {
		return err
	}
	for name, values := range a.request.header {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	a.mu.Lock()
	a.status, a.header = response.StatusCode, response.Header
	a.mu.Unlock()
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return a.readStream(response.Body)
	}
	return a.readUnstreamed(response.Body)
}

func (a *answer) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	kind := ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "event":
			kind = value
		case "data":
			if err := a.event(kind, value); err != nil {
				return err
			}
		case "":
			kind = ""
		}
	}
	return lines.Err()
}

func (a *answer) event(kind, data string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case kind == "error":
		return a.fail(data)
	case data == "[DONE]":
		a.done = true
		return nil
	}
	return a.chunk(data)
}

func (a *answer) fail(data string) error {
	var body errorBody
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return err
	}
	a.failure = &body.Error
	return nil
}

func (a *answer) chunk(data string) error {
	var body chunkBody
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return err
	}
	a.events++
	for _, choice := range body.Choices {
		a.text.WriteString(choice.Delta.Content + choice.Message.Content)
	}
	return nil
}

func (a *answer) readUnstreamed(body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status >= http.StatusBadRequest && a.header.Get(headerOutcome) != "" && strings.Contains(string(data), `"error"`) {
		return a.fail(string(data))
	}
	if a.request.want == "" {
		a.text.Write(data)
	} else if err := a.chunk(string(data)); err != nil {
		return err
	}
	a.done = true
	return nil
}

// progress returns the number of events received so far.
func (a *answer) progress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.events
}

func (a *answer) wait() error {
	select {
	case <-a.ended:
		return nil
	case <-time.After(waitTimeout):
		return fmt.Errorf("answer not ended in time, after %d events", a.progress())
	}
}

// outcome returns the outcome of an ended answer, as the scripts name it: whole (a
// complete model answer), done (a service's answer), error (an error event in a
// stream), not_run or unknown (a refusal with this outcome) or broken (the connection
// failed). It fails if the answer violates the API, for example by wrong text.
func (a *answer) outcome() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	text := a.text.String()
	if a.request.want != "" && !strings.HasPrefix(a.request.want, text) {
		return "", fmt.Errorf("the answer contains wrong text: got %q, want %q", text, a.request.want)
	}
	switch {
	case a.failure != nil && a.done:
		return "", errors.New("the answer has both a regular end and an error")
	case a.failure != nil && a.status == http.StatusOK:
		return "error", nil
	case a.failure != nil:
		return a.failure.Outcome, nil
	case a.done && a.request.want == "":
		return "done", nil
	case a.done && text == a.request.want:
		return "whole", nil
	case a.done:
		return "", fmt.Errorf("the answer has a regular end but lacks text: got %q, want %q", text, a.request.want)
	case a.connErr != nil:
		return "broken", nil
	}
	return "", fmt.Errorf("the answer ended without a regular end or an error, status %d", a.status)
}

// describe returns the state of the answer for error messages.
func (a *answer) describe() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return "status " + strconv.Itoa(a.status) + fmt.Sprintf(", %d events, error %+v, connection %v", a.events, a.failure, a.connErr)
}
