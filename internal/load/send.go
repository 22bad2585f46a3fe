package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

// classHeader holds the class label that the catalog's rules match.
const classHeader = "X-Jay-Class"

var classLabels = map[jayv1.Class]string{
	jayv1.Class_CLASS_INTERACTIVE: "interactive",
	jayv1.Class_CLASS_STANDARD:    "standard",
	jayv1.Class_CLASS_BATCH:       "batch",
}

// Sample is the result of one call.
type Sample struct {
	Call *Call
	// FirstToken is the time from when the call was due to its first token, so that
	// delays of the sender are included; 0 means no token arrived.
	FirstToken time.Duration
	Total      time.Duration
	// Status is the HTTP status, 0 if there was no response.
	Status       int
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// Complete means that the stream ended with [DONE].
	Complete bool
	Err      string
}

// Target describes where a load is sent.
type Target struct {
	// URLs returns the base URLs of the entries. It is called for each call, since
	// entries may be replaced during the load.
	URLs func() []string
	// Key returns the API key of a workspace.
	Key   func(workspace string) string
	Model string
	Seed  uint64
	// Direct omits the class header and the API key, for calls to an engine itself.
	Direct bool
	// OnSample, if not nil, is called with each sample, from several goroutines.
	OnSample func(Sample)
}

// connectionsPerEntry bounds the idle connections kept per entry.
const connectionsPerEntry = 1024

// Send sends each call when it is due, regardless of earlier ones (open loop), and
// returns the samples in order of the calls. When ctx ends it returns the samples
// of the calls sent so far.
func Send(ctx context.Context, calls []Call, target Target) []Sample {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerEntry, DisableCompression: true}}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(target.Seed, 0x73656e64))
	samples := make([]Sample, len(calls))
	var wg sync.WaitGroup
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range calls {
		due := start.Add(calls[i].At)
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			wg.Wait()
			return samples[:i]
		}
		urls := target.URLs()
		url := urls[random.IntN(len(urls))]
		wg.Go(func() {
			samples[i] = sendOne(ctx, client, &calls[i], url, due, target)
			if target.OnSample != nil {
				target.OnSample(samples[i])
			}
		})
	}
	wg.Wait()
	return samples
}

func sendOne(ctx context.Context, client *http.Client, call *Call, url string, due time.Time, target Target) Sample {
	sample := Sample{Call: call}
	request, err := newRequest(ctx, call, url, target)
	if err != nil {
		sample.Err = err.Error()
		return sample
	}
	response, err := client.Do(request)
	if err != nil {
		sample.Err = err.Error()
		return sample
	}
	defer func() { _ = response.Body.Close() }()
	sample.Status = response.StatusCode
	if err := sample.read(bufio.NewReader(response.Body), due); err != nil {
		sample.Err = err.Error()
	}
	sample.Total = time.Since(due)
	return sample
}

func newRequest(ctx context.Context, call *Call, url string, target Target) (*http.Request, error) {
	text, err := Body(call, target.Model)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(text))
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	if !target.Direct {
		request.Header.Set("Authorization", "Bearer "+target.Key(call.Workspace))
		request.Header.Set(classHeader, classLabels[call.Class])
	}
	return request, nil
}

type usageChunk struct {
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

const (
	dataField = "data: "
	doneData  = "[DONE]"
)

// read reads a response to its end. A response with a status other than 200 is not
// evaluated.
func (s *Sample) read(reader *bufio.Reader, due time.Time) error {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if s.Complete || s.Status != http.StatusOK {
				return nil
			}
			return eris.Wrap(err, "stream ended before [DONE]")
		}
		data, ok := strings.CutPrefix(strings.TrimRight(line, "\r\n"), dataField)
		if !ok || s.Status != http.StatusOK {
			continue
		}
		if data == doneData {
			s.Complete = true
			continue
		}
		if s.FirstToken == 0 && strings.Contains(data, `"choices"`) {
			s.FirstToken = time.Since(due)
		}
		if strings.Contains(data, `"usage":{`) {
			s.count([]byte(data))
		}
	}
}

func (s *Sample) count(data []byte) {
	var chunk usageChunk
	if json.Unmarshal(data, &chunk) != nil || chunk.Usage == nil {
		return
	}
	s.PromptTokens = chunk.Usage.PromptTokens
	s.CachedTokens = chunk.Usage.Details.CachedTokens
	s.OutputTokens = chunk.Usage.CompletionTokens
}
