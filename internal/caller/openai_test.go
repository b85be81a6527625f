package caller_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// withOpenAIClient runs a test of the unmodified openai-go client against a node.
func withOpenAIClient(t *testing.T, engines int, run func(*testCluster, openai.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, clusterConfig{engines: engines, nodes: 1})
		run(s, openai.NewClient(
			option.WithBaseURL("http://node0/v1"), option.WithAPIKey("unused"),
			option.WithHTTPClient(s.client), option.WithMaxRetries(0),
		))
	})
}

func chatParams(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: hop, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// expectedAnswer returns the answer of the simulated engines to a chat.
func expectedAnswer(text string) string {
	return standin.Answer(fleet.Item{Model: hop}, standin.ChatPrompt(standin.Message{Role: "user", Content: text}), 0)
}

func TestOpenAIClientListsModels(t *testing.T) {
	withOpenAIClient(t, 0, func(s *testCluster, client openai.Client) {
		page, err := client.Models.List(context.Background())
		s.c.Assert(err, qt.IsNil)
		names := make([]string, 0, len(page.Data))
		for _, model := range page.Data {
			names = append(names, model.ID)
		}
		s.c.Assert(names, qt.DeepEquals, []string{"hop", "hop:fair"})
		model, err := client.Models.Get(context.Background(), "hop:fair")
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(model.ID, qt.Equals, "hop:fair")
	})
}

func TestOpenAIClientChats(t *testing.T) {
	withOpenAIClient(t, 1, func(s *testCluster, client openai.Client) {
		answer, err := client.Chat.Completions.New(context.Background(), chatParams("which wreath"))
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(answer.Choices[0].Message.Content, qt.Equals, expectedAnswer("which wreath"))
		s.c.Assert(answer.Usage.CompletionTokens, qt.Equals, int64(standin.DefaultAnswerTokens))
	})
}

func TestOpenAIClientCompletes(t *testing.T) {
	withOpenAIClient(t, 1, func(s *testCluster, client openai.Client) {
		answer, err := client.Completions.New(context.Background(), openai.CompletionNewParams{
			Model: hop, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("a wreath of")},
		})
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(answer.Choices[0].Text, qt.Equals, standin.Answer(fleet.Item{Model: hop}, "a wreath of", 0))
	})
}

func TestOpenAIClientStreams(t *testing.T) {
	withOpenAIClient(t, 2, func(s *testCluster, client openai.Client) {
		stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams("which hop"))
		var text strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		s.c.Assert(stream.Err(), qt.IsNil)
		s.c.Assert(text.String(), qt.Equals, expectedAnswer("which hop"))
	})
}

func TestOpenAIClientSeesErrors(t *testing.T) {
	withOpenAIClient(t, 1, func(s *testCluster, client openai.Client) {
		params := chatParams("x")
		params.Model = "unknown"
		_, err := client.Chat.Completions.New(context.Background(), params)
		var failure *openai.Error
		s.c.Assert(errors.As(err, &failure), qt.IsTrue)
		s.c.Assert(failure.StatusCode, qt.Equals, http.StatusNotFound)
		s.c.Assert(failure.Code, qt.Equals, "unknownModel")
		s.c.Assert(failure.Type, qt.Equals, "invalid_request_error")
		s.c.Assert(failure.Message, qt.Contains, `"unknown"`)
	})
}

func TestOpenAIClientSeesAnErrorWithinAStream(t *testing.T) {
	withOpenAIClient(t, 1, func(s *testCluster, client openai.Client) {
		params := chatParams("which pedal")
		params.MaxTokens = openai.Int(600)
		stream := client.Chat.Completions.NewStreaming(
			context.Background(), params, option.WithHeader("X-Deadline-Ms", "1000"))
		pieces := 0
		for stream.Next() {
			pieces++
		}
		s.c.Assert(pieces > 0, qt.IsTrue)
		s.c.Assert(stream.Err(), qt.ErrorMatches, "(?s).*deadline.*")
	})
}

func TestOpenAIClientCancels(t *testing.T) {
	withOpenAIClient(t, 1, func(s *testCluster, client openai.Client) {
		ctx, cancel := context.WithCancel(context.Background())
		params := chatParams("which pedal")
		params.MaxTokens = openai.Int(600)
		stream := client.Chat.Completions.NewStreaming(ctx, params)
		s.c.Assert(stream.Next(), qt.IsTrue)
		cancel()
		cancelledAt := time.Now()
		for stream.Next() {
		}
		s.c.Assert(stream.Err(), qt.ErrorIs, context.Canceled)
		// The engine must have stopped generating as well. Its reports are a second late.
		time.Sleep(1500 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		report := s.reports["engine0"]
		s.c.Assert(report.AsOf.After(cancelledAt), qt.IsTrue)
		s.c.Assert(report.AsOf.Sub(cancelledAt) < 500*time.Millisecond, qt.IsTrue)
		s.c.Assert(report.Running, qt.Equals, 0)
	})
}

func TestOpenAIClientMeetsItsDeadline(t *testing.T) {
	withOpenAIClient(t, 1, func(s *testCluster, client openai.Client) {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		params := chatParams("which pedal")
		params.MaxTokens = openai.Int(600)
		_, err := client.Chat.Completions.New(ctx, params)
		s.c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
		params.MaxTokens = openai.Int(600)
		_, err = client.Chat.Completions.New(context.Background(), params, option.WithHeader("X-Deadline-Ms", "300"))
		var failure *openai.Error
		s.c.Assert(errors.As(err, &failure), qt.IsTrue)
		s.c.Assert(failure.Code == "deadlinePassed" || failure.Code == "deadlineUnreachable", qt.IsTrue)
	})
}
