package caller

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/backend"
	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// completion sends a completion request to engines and tracks the position in
// its stream across attempts.
type completion struct {
	*Server
	call *Call

	// mu guards position, since an attempt may be made while a silent one goes on.
	mu       sync.Mutex
	position retry.Position
}

var _ dispatch.Message = (*completion)(nil)

// relayCompletion dispatches a completion to an engine.
func (s *Server) relayCompletion(call *Call) error {
	call.Message = &completion{
		Server: s, call: call, position: retry.Position{Request: call.ID, Next: call.Next},
	}
	call.Pool, call.Rank, call.Concurrency = call.Deployment.Pool, rank(call.Class), call.Deployment.Concurrency
	call.Idempotent, call.Hedge = true, true
	return s.dispatcher.Do(&call.Call)
}

// Resumable implements [dispatch.Message].
func (c *completion) Resumable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position.Resumable()
}

// accept returns what to do with an event and advances the position if it is forwarded.
func (c *completion) accept(event engine.Event) retry.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position.Accept(event)
}

// nextEvent returns the offset of the first event that the caller has not received.
func (c *completion) nextEvent() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position.Next
}

// Open implements [dispatch.Message].
func (c *completion) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	request, err := c.request(ctx, attempt)
	if err != nil {
		return nil, err
	}
	transport := c.transports.pooled
	if attempt.Fresh {
		transport = c.transports.fresh
	}
	answer := &completionAnswer{completion: c}
	answer.setUp(ctx, c.Server, c.call)
	if err := answer.open(transport, request, attempt); err != nil {
		return nil, err
	}
	if err := answer.readStart(); err != nil {
		answer.Close()
		return nil, err
	}
	return answer, nil
}

// request builds the HTTP request of the completion for a replica.
func (c *completion) request(ctx context.Context, attempt *dispatch.Attempt) (request *http.Request, err error) {
	url := "http://" + attempt.Replica.Address + c.call.Request.URL.Path
	request, err = http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(c.call.Body))
	if err != nil {
		return nil, errors.Wrapf(err, "request to %s", attempt.Replica.Server)
	}
	header := request.Header
	header.Set("Content-Type", jsonType)
	header.Set(engine.RequestIDHeader, string(c.call.ID))
	header.Set(engine.PriorityHeader, strconv.Itoa(c.call.Rank))
	header.Set(engine.DeadlineHeader, strconv.FormatInt(max(1, c.call.TimeLeft().Milliseconds()), 10))
	if next := c.nextEvent(); next > 0 {
		header.Set(engine.LastEventIDHeader, engine.EventID(c.call.ID, next-1))
	}
	return request, nil
}

// completionAnswer is an engine's answer to a completion.
type completionAnswer struct {
	exchange
	completion *completion
	// decoder and first, the first event, are set for a stream.
	decoder *engine.StreamDecoder
	first   engine.Event
}

// errNoStream is the error of an attempt that was to continue a stream.
var errNoStream = errors.New("backend server answered without a stream")

// readStart reads the first event of a streamed answer, or the whole of any other
// answer.
func (a *completionAnswer) readStart() (err error) {
	if a.call.Stream && a.Response.StatusCode == http.StatusOK {
		a.decoder = engine.NewStreamDecoder(a)
		a.decoder.Reserve = a.memory.Reserve
		if a.first, err = a.decoder.Next(); err != nil {
			return errors.Wrap(err, "read stream")
		}
		return nil
	}
	if a.call.AnswerStarted() {
		// Only a stream can continue an answer that has begun.
		return &dispatch.FailureError{Kind: retry.ServerError, Err: errNoStream}
	}
	a.body, err = a.ReadWhole(a.memory.Reserve)
	return err
}

// Relay implements [dispatch.Answer].
func (a *completionAnswer) Relay() error {
	if a.decoder != nil {
		return a.relayStream()
	}
	if contentType := a.Response.Header.Get("Content-Type"); contentType != "" {
		a.call.Response.Header().Set("Content-Type", contentType)
	}
	return writeBody(a.call, a.Response.StatusCode, a.body.Bytes())
}

// relayStream forwards each event to the caller as soon as it is received.
func (a *completionAnswer) relayStream() (err error) {
	event := a.first
	for {
		verdict := a.completion.accept(event)
		switch verdict {
		case retry.Foreign:
			a.transports.closeIdle()
			return &dispatch.FailureError{Kind: retry.ResponseMismatch, Err: backend.ErrResponseMismatch}
		case retry.Gap:
			return errGap
		case retry.Forward:
			if err := a.forward(event); err != nil {
				return err
			}
			if event.Done() || !a.decoder.Buffered() {
				if err := a.call.flush(); err != nil {
					return connectionBroke(err)
				}
			}
		case retry.Drop:
		}
		if event.Done() && verdict == retry.Forward {
			return nil
		}
		if event, err = a.decoder.Next(); err != nil {
			return errors.Wrap(err, "read stream")
		}
		a.Attempt.AddEvent()
	}
}

func (a *completionAnswer) forward(event engine.Event) error {
	call := a.call
	if !call.AnswerStarted() {
		call.MarkAnswerStarted()
		header := call.Response.Header()
		header.Set("Content-Type", streamType)
		header.Set("Cache-Control", "no-cache")
		call.Response.WriteHeader(http.StatusOK)
	}
	if err := call.write(event.Raw); err != nil {
		return connectionBroke(err)
	}
	if len(event.ID) > 0 {
		call.lastEvent = string(event.ID)
	}
	a.completion.meters.events.Inc(1)
	return nil
}

// connectionBroke returns the error of a failed write to the caller.
func connectionBroke(err error) error {
	return refusal.New(refusal.CallerLeft, "the caller's connection broke: "+err.Error())
}

const streamType = "text/event-stream"
