package entry_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/entry"
)

func openAIClient(e *entry.Entry, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(e.CallersURL()+"/v1/"), option.WithAPIKey(key))
}

func hello(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
}

func TestAnOpenAIClientGetsAnswersStreamsAndModels(t *testing.T) {
	s := newDeployment(t, "b1")
	client := openAIClient(s.entry("e1"), keyQuarry)
	answer, err := client.Chat.Completions.New(t.Context(), hello("modelos"))
	require.NoError(t, err)
	assert.Equal(t, "ready", answer.Choices[0].Message.Content)
	assert.EqualValues(t, 60, answer.Usage.PromptTokensDetails.CachedTokens)

	stream := client.Chat.Completions.NewStreaming(t.Context(), hello("modelos"))
	var text strings.Builder
	for stream.Next() {
		text.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	require.NoError(t, stream.Err())
	assert.Equal(t, "t0 t1 t2 ", text.String())

	models, err := client.Models.List(t.Context())
	require.NoError(t, err)
	assert.Equal(t, "modelos", models.Data[0].ID)
}

func TestAnOpenAIClientGetsTypedErrors(t *testing.T) {
	s := newDeployment(t, "b1")
	e := s.entry("e1")
	var fault *openai.Error
	_, err := openAIClientOf(e, "jay_k1_wrong").Chat.Completions.New(t.Context(), hello("modelos"))
	require.ErrorAs(t, err, &fault)
	assert.Equal(t, http.StatusUnauthorized, fault.StatusCode)
	assert.Equal(t, string(entry.CodeInvalidKey), fault.Code)
	_, err = openAIClientOf(e, keyQuarry).Chat.Completions.New(t.Context(), hello("none"))
	require.ErrorAs(t, err, &fault)
	assert.Equal(t, string(entry.CodeModelNotFound), fault.Code)

	s.agents[0].set(func(f *fakeAgent) {
		f.respond = func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
			emit(`{"choices":[{"index":0,"delta":{"content":"half"}}]}`)
			return &jayv1.End{Outcome: jayv1.Outcome_OUTCOME_UNKNOWN}
		}
	})
	client := openAIClient(e, keyQuarry)
	stream := client.Chat.Completions.NewStreaming(t.Context(), hello("modelos"))
	chunks := 0
	for stream.Next() {
		chunks++
	}
	assert.Equal(t, 1, chunks)
	require.ErrorContains(t, stream.Err(), string(entry.CodeStreamBroken), "a truncated answer must be reported as an error")
}

func openAIClientOf(e *entry.Entry, key string) *openai.Client {
	client := openAIClient(e, key)
	return &client
}
