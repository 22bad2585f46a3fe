package load

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type body struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Options   options   `json:"stream_options"`
}

type options struct {
	IncludeUsage bool `json:"include_usage"`
}

func role(part int) string {
	if part == 0 {
		return "system"
	}
	return "user"
}

// Body returns the JSON body of a call to /v1/chat/completions.
func Body(call *Call, model string) ([]byte, error) {
	b := body{Model: model, MaxTokens: call.Output, Stream: true, Options: options{IncludeUsage: true}}
	for i, part := range call.Parts {
		b.Messages = append(b.Messages, message{Role: role(i), Content: part})
	}
	text, err := json.Marshal(b)
	return text, eris.Wrap(err, "encode request body")
}

// Rendered returns the canonical prompt of a call, in the same parts as
// prefix.Render returns for its body.
func Rendered(call *Call) []string {
	parts := make([]string, len(call.Parts))
	for i, part := range call.Parts {
		parts[i] = "<|" + role(i) + "|>" + part + "\n"
	}
	return parts
}
