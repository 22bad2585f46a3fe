package scenario_test

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// cmdOpenAI calls an entry through the OpenAI client library, streamed and not, and
// checks the text, the usage, the list of models and the error for a wrong key.
//
//	openai ENTRY PROMPT
func (w *scenario) cmdOpenAI(args []string) error {
	if err := requireArgs(args, 2); err != nil {
		return err
	}
	base, err := w.callers(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	client := openai.NewClient(option.WithBaseURL(base+"/v1/"), option.WithAPIKey(w.callerKey), option.WithMaxRetries(0))
	const tokens = 12
	params := openai.ChatCompletionNewParams{
		Model: siteModel, MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(args[1])},
	}
	want := sim.CompleteText([]string{"<|user|>" + args[1] + "\n"}, tokens)
	return errors.Join(
		askPlain(ctx, client, params, want, tokens), askStreamed(ctx, client, params, want),
		askModels(ctx, client), askRefused(ctx, base, params),
	)
}

func askPlain(ctx context.Context, client openai.Client, params openai.ChatCompletionNewParams, want string, tokens int64) error {
	answer, err := client.Chat.Completions.New(ctx, params)
	if err != nil {
		return err
	}
	if text := answer.Choices[0].Message.Content; text != want {
		return fmt.Errorf("plain answer %q, want %q", text, want)
	}
	if answer.Usage.CompletionTokens != tokens {
		return fmt.Errorf("usage has %d completion tokens, want %d", answer.Usage.CompletionTokens, tokens)
	}
	return nil
}

func askStreamed(ctx context.Context, client openai.Client, params openai.ChatCompletionNewParams, want string) error {
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if stream.Err() != nil {
		return stream.Err()
	}
	if text.String() != want {
		return fmt.Errorf("streamed answer %q, want %q", text.String(), want)
	}
	return nil
}

func askModels(ctx context.Context, client openai.Client) error {
	models, err := client.Models.List(ctx)
	if err != nil {
		return err
	}
	if len(models.Data) != 1 || models.Data[0].ID != siteModel {
		return fmt.Errorf("models %v, want %s", models.Data, siteModel)
	}
	return nil
}

func askRefused(ctx context.Context, base string, params openai.ChatCompletionNewParams) error {
	client := openai.NewClient(option.WithBaseURL(base+"/v1/"), option.WithAPIKey("jay_none_none"), option.WithMaxRetries(0))
	_, err := client.Chat.Completions.New(ctx, params)
	var apiErr *openai.Error
	if !errors.As(err, &apiErr) || apiErr.Code == "" {
		return fmt.Errorf("call with a wrong key returned %w, want an OpenAI error with a code", err)
	}
	return nil
}
