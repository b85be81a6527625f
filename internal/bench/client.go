package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// client sends calls and judges their answers.
type client struct {
	http *http.Client
}

// maxIdle is the number of connections that a client keeps open to a server.
const maxIdle = 1024

func newClient() *client {
	return &client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// chat is a streamed chat of which the whole answer is known.
type chat struct {
	base     string
	item     fleet.Item
	text     string
	tokens   int
	deadline time.Duration
}

type chatRequest struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	Messages  []standin.Message `json:"messages"`
}

// patience is how long after its deadline a caller gives up a call that has no
// end, and lateness how late an end may be.
const (
	patience = time.Second
	lateness = 50 * time.Millisecond
)

// chat sends a chat and compares the answer with the right one.
func (c *client) chat(ctx context.Context, call chat) Result {
	message := standin.Message{Role: "user", Content: call.text}
	body, _ := json.Marshal(chatRequest{call.item.String(), true, call.tokens, []standin.Message{message}})
	ctx, cancel := context.WithTimeout(ctx, call.deadline+patience)
	defer cancel()
	begun := time.Now()
	answer, err := c.post(ctx, call.base+"/v1/chat/completions", body, call.deadline, "")
	if err != nil {
		return Result{Outcome: Dropped, Late: time.Since(begun) > call.deadline+lateness}
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return refused(answer, begun, call.deadline)
	}
	result := readStream(answer.Body, begun, standin.Answer(call.item, standin.ChatPrompt(message), call.tokens))
	result.Late = time.Since(begun) > call.deadline+lateness
	return result
}

func (c *client) post(
	ctx context.Context, url string, body []byte, deadline time.Duration, key string,
) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(engine.DeadlineHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set(standin.IdempotencyHeader, key)
	}
	return c.http.Do(request)
}

// refused reads an error answer. One that isn't a refusal counts as dropped.
func refused(answer *http.Response, begun time.Time, deadline time.Duration) Result {
	result := Result{Outcome: Dropped, Run: refusal.Run(answer.Header.Get(refusal.RunHeader))}
	var body refusal.Body
	if json.NewDecoder(answer.Body).Decode(&body) == nil && result.Run != "" {
		result.Outcome, result.Reason, result.Message = Refused, body.Error.Code, body.Error.Message
	}
	result.Late = time.Since(begun) > deadline+lateness
	return result
}

type streamChunk struct {
	Choices []struct {
		Delta standin.Message `json:"delta"`
	} `json:"choices"`
	Error *refusal.Detail `json:"error"`
}

// readStream reads a stream to its end and compares the text.
func readStream(body io.Reader, begun time.Time, want string) (result Result) {
	decoder := engine.NewStreamDecoder(body)
	var text strings.Builder
	for {
		event, err := decoder.Next()
		if err != nil {
			result.Outcome = Dropped
			return result
		}
		if event.Done() {
			break
		}
		var chunk streamChunk
		if len(event.Data) == 0 || json.Unmarshal(event.Data, &chunk) != nil {
			continue
		}
		if chunk.Error != nil {
			result.Outcome, result.Reason, result.Run = Refused, chunk.Error.Code, chunk.Error.Run
			return result
		}
		if result.First == 0 && len(chunk.Choices) > 0 {
			result.First = time.Since(begun)
		}
		for _, choice := range chunk.Choices {
			if choice.Delta.Content != "" {
				text.WriteString(choice.Delta.Content)
				result.Tokens++
			}
		}
	}
	result.Outcome = Answered
	if text.String() != want {
		result.Outcome = Wrong
	}
	return result
}
