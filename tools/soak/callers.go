package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jayproxy/jayproxy/internal/entry"
	"github.com/jayproxy/jayproxy/internal/prefix"
	"github.com/jayproxy/jayproxy/internal/standin/cluster"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

const (
	// callTimeout bounds one call.
	callTimeout = 30 * time.Second
	// thinkTime is the maximum pause between two calls of a caller.
	thinkTime = 60 * time.Millisecond
	maxTokens = 40
	rulebooks = 12
	// bookingShare is the share of calls that are bookings.
	bookingShare = 0.3
)

// caller sends calls one after the other.
type caller struct {
	id       int
	random   *rand.Rand
	recorder *recorder
	client   *http.Client
}

func callAll(ctx context.Context, r *recorder, seed uint64, callers int) {
	var wg sync.WaitGroup
	for id := range callers {
		c := &caller{
			id: id, random: rand.New(rand.NewPCG(seed, uint64(id)+1)), recorder: r,
			// Without keep-alive connections the client never retries a call by itself.
			client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		}
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.call(n)
				time.Sleep(time.Duration(c.random.Int64N(int64(thinkTime))))
			}
		})
	}
	wg.Wait()
}

func (c *caller) call(n int) {
	url, ok := c.entry()
	if !ok {
		return
	}
	if c.random.Float64() < bookingShare {
		c.book(url, n)
		return
	}
	c.chat(url, n)
}

func (c *caller) entry() (string, bool) {
	all := c.recorder.cluster.Entries()
	one := all[c.random.IntN(len(all))]
	if one == nil {
		return "", false
	}
	return one.CallersURL(), true
}

func (c *caller) post(url, key string, body []byte) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+cluster.Key(c.recorder.cluster.Options.Workspaces[c.workspace()]))
	if key != "" {
		request.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	return c.client.Do(request)
}

func (c *caller) workspace() int { return c.id % len(c.recorder.cluster.Options.Workspaces) }

// book confirms a booking, at times with an idempotency key used before.
func (c *caller) book(url string, n int) {
	id := fmt.Sprintf("b%d-%d", c.id, n)
	key := ""
	const keyed = 4
	if c.random.IntN(keyed) > 0 {
		// Keys are unique per workspace: the same key may run once in each workspace.
		key = fmt.Sprintf("k%d-%d", c.workspace(), n-c.random.IntN(3))
	}
	response, err := c.post(url+"/services/"+cluster.Service+"/confirm", key, []byte(`{"id":"`+id+`"}`))
	if err != nil {
		c.recorder.recordBooking(key, id, "", err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK {
		c.recorder.recordBooking(key, id, "done", nil)
		return
	}
	c.recorder.recordBooking(key, id, outcomeOf(body), err)
}

func outcomeOf(body []byte) string {
	var answer struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &answer)
	return answer.Error.Outcome
}

// chat makes a streamed call and checks each token of the answer.
func (c *caller) chat(url string, n int) {
	messages := []map[string]string{
		{"role": "system", "content": strings.Repeat("instructions ", 40)},
		{"role": "system", "content": strings.Repeat(fmt.Sprint("rulebook ", c.random.IntN(rulebooks), " "), 300)},
		{"role": "user", "content": fmt.Sprintf("caller %d line %d", c.id, n)},
	}
	tokens := 1 + c.random.IntN(maxTokens)
	body, err := json.Marshal(map[string]any{"model": cluster.Model, "stream": true, "max_tokens": tokens, "messages": messages})
	if err != nil {
		c.recorder.violation(err.Error())
		return
	}
	parts, err := prefix.Render(body)
	if err != nil {
		c.recorder.violation(err.Error())
		return
	}
	response, err := c.post(url+"/v1/chat/completions", "", body)
	if err != nil {
		c.recorder.recordStream("", "cut", nil)
		return
	}
	defer func() { _ = response.Body.Close() }()
	id := response.Header.Get(entry.HeaderRequestID)
	if response.StatusCode != http.StatusOK {
		refusal, _ := io.ReadAll(response.Body)
		c.recorder.recordStream(id, "refused "+outcomeOf(refusal), nil)
		return
	}
	ended, err := checkStream(response.Body, sim.TagText(sim.Tag(parts)), tokens)
	c.recorder.recordStream(id, ended, err)
}

// checkStream reads an answer to its end and returns how it ended. The error reports
// tokens that belong to another request, are missing or repeated, and a stream that
// ended without [DONE] or an error event.
func checkStream(body io.Reader, tag string, tokens int) (string, error) {
	scanner := bufio.NewScanner(body)
	next, failed := 0, false
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return checkComplete(failed, next, tokens)
		}
		var event struct {
			Error   *struct{} `json:"error"`
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return "invalid", fmt.Errorf("event is not valid JSON: %s", data)
		}
		if event.Error != nil {
			failed = true
			continue
		}
		for _, choice := range event.Choices {
			for _, token := range strings.Fields(choice.Delta.Content) {
				if want := fmt.Sprintf("%s.%d", tag, next); token != want {
					return "wrong", fmt.Errorf("got %q, want %q", token, want)
				}
				next++
			}
		}
	}
	if failed {
		return "error event", nil
	}
	if scanner.Err() != nil {
		return "cut", nil // The entry was killed and the connection closed.
	}
	return "truncated", fmt.Errorf("the stream ended without [DONE] or an error event after %d tokens", next)
}

func checkComplete(failed bool, got, want int) (string, error) {
	switch {
	case failed:
		return "both", fmt.Errorf("the stream has both an error event and [DONE]")
	case got != want:
		return "short", fmt.Errorf("[DONE] after %d of %d tokens", got, want)
	}
	return "complete", nil
}
