package engine_test

import (
	"context"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/standin/engine"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// Unmodified OpenAI clients must be able to call the engines directly, which the
// overhead measurement relies on.
func TestOpenAIClientWorksWithBothVendors(t *testing.T) {
	for _, vendor := range []string{engine.Merle, engine.Pica} {
		t.Run(vendor, func(t *testing.T) {
			server, err := engine.Start(engine.Options{Vendor: vendor, Engine: sim.Options{Versions: []string{"v1"}}})
			require.NoError(t, err)
			defer server.Close()
			client := openai.NewClient(option.WithBaseURL(server.URL()+"/v1/"), option.WithAPIKey("none"))
			params := openai.ChatCompletionNewParams{
				Model:         "m",
				Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
				MaxTokens:     openai.Int(4),
				StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
			}
			want := sim.CompleteText([]string{"<|user|>hello\n"}, 4)
			complete, err := client.Chat.Completions.New(context.Background(), params)
			require.NoError(t, err)
			assert.Equal(t, want, complete.Choices[0].Message.Content)
			stream := client.Chat.Completions.NewStreaming(context.Background(), params)
			defer stream.Close()
			var accumulated openai.ChatCompletionAccumulator
			for stream.Next() {
				require.True(t, accumulated.AddChunk(stream.Current()))
			}
			require.NoError(t, stream.Err())
			assert.Equal(t, want, accumulated.Choices[0].Message.Content)
			assert.EqualValues(t, 4, accumulated.Usage.CompletionTokens)
		})
	}
}
