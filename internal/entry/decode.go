package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/jayproxy/jayproxy/internal/prefix"
)

// Paths of the model API.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
)

// adapterSeparator stands between model and adapter in a caller's model name.
const adapterSeparator = ":"

// modelRequest holds the fields that the entry reads from a caller's body; the
// body itself is forwarded unchanged.
type modelRequest struct {
	prefix.Body

	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int64  `json:"max_tokens"`
	MaxCompletionTokens int64  `json:"max_completion_tokens"`

	// Adapter is the part of the model name after adapterSeparator.
	Adapter string `json:"-"`
	// canonical holds the parts of the canonical prompt.
	canonical []string
}

// decodeModelRequest parses and checks a body of the model API.
func decodeModelRequest(path string, body []byte) (*modelRequest, *Error) {
	req := &modelRequest{}
	if err := json.Unmarshal(body, req); err != nil {
		return nil, invalid("the body is not a JSON object of the expected shape: " + err.Error())
	}
	if req.Model == "" {
		return nil, invalid("model is missing")
	}
	if path == pathChat && len(req.Messages) == 0 {
		return nil, invalid("messages is missing")
	}
	if path == pathCompletions && req.Prompt == nil {
		return nil, invalid("prompt is missing")
	}
	if req.MaxTokens < 0 || req.MaxCompletionTokens < 0 {
		return nil, invalid("max_tokens and max_completion_tokens must not be negative")
	}
	parts, err := req.Parts()
	if err != nil {
		return nil, invalid(err.Error())
	}
	req.canonical = parts
	req.Model, req.Adapter, _ = strings.Cut(req.Model, adapterSeparator)
	return req, nil
}

// maxOutput returns the caller's limit on generated tokens, 0 when there is none.
func (r *modelRequest) maxOutput() uint32 {
	const maxValue = 1 << 30
	return uint32(min(max(r.MaxTokens, r.MaxCompletionTokens), maxValue)) //nolint:gosec // bounded above
}

func (r *modelRequest) promptBytes() int {
	total := 0
	for _, part := range r.canonical {
		total += len(part)
	}
	return total
}

func invalid(message string) *Error {
	return refuse(http.StatusBadRequest, CodeInvalidRequest, message)
}
