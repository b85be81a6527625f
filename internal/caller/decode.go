package caller

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/drain"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/plain"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// readBody reads the body of a call within the limits of size and time. It fails if the node
// has stopped taking requests meanwhile.
func (s *Server) readBody(call *Call) (body []byte, err error) {
	limit := cmp.Or(s.MaxBody, MaxBody)
	if call.Request.ContentLength > int64(limit) {
		return nil, refusal.New(refusal.TooLarge, "the body is larger than "+limit.String())
	}
	controller := http.NewResponseController(call.Response)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	// A node that stops ends the read at once. The deadline then stays in the past, so that
	// net/http does not wait for the rest of the body before it writes the answer.
	stop := context.AfterFunc(call.Context, func() { _ = controller.SetReadDeadline(time.Now()) })
	reader := http.MaxBytesReader(call.Response, call.Request.Body, int64(limit))
	var buffer bytes.Buffer
	if size := call.Request.ContentLength; size > 0 {
		buffer.Grow(int(size) + bytes.MinRead)
	}
	_, err = buffer.ReadFrom(reader)
	if stop() {
		_ = controller.SetReadDeadline(time.Time{})
	}
	tooLarge := (*http.MaxBytesError)(nil)
	switch {
	case err == nil && s.draining.Load(), errors.Is(context.Cause(call.Context), drain.ErrCutOff):
		return nil, errStopping
	case err == nil:
		return buffer.Bytes(), nil
	case errors.As(err, &tooLarge):
		return nil, refusal.New(refusal.TooLarge, "the body is larger than "+limit.String())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal.New(refusal.SlowSender, "the body did not come within 10 s")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, refusal.New(refusal.Malformed, "the body is shorter than its Content-Length")
	default:
		return nil, refusal.New(refusal.Malformed, "the body could not be read")
	}
}

// completionRequest has the fields of a completion that a node reads; the others
// are left to the engine.
type completionRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

const jsonType = "application/json"

// parseCompletion decodes a completion request and checks its content type and
// model.
func parseCompletion(contentType string, body []byte) (request completionRequest, err error) {
	if mediaType, _, err := mime.ParseMediaType(contentType); err != nil || mediaType != jsonType {
		return request, refusal.New(refusal.WrongContentType, "the body must be application/json")
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return request, refusal.New(refusal.Malformed, "the body is not a JSON request: "+err.Error())
	}
	if request.Model == "" {
		return request, refusal.New(refusal.Malformed, "model: missing")
	}
	return request, nil
}

// decodeCompletion reads the body of a completion and looks up the deployment.
func (s *Server) decodeCompletion(call *Call, next Handler) error {
	body, err := s.readBody(call)
	if err != nil {
		return err
	}
	request, err := parseCompletion(call.Request.Header.Get("Content-Type"), body)
	if err != nil {
		return err
	}
	path := completionPathOf(call.Request.URL.Path)
	if path == chatPath && request.Messages == nil {
		return refusal.New(refusal.Malformed, "messages: missing")
	}
	if path == completionPath && request.Prompt == nil {
		return refusal.New(refusal.Malformed, "prompt: missing")
	}
	call.Body, call.Stream = body, request.Stream
	call.Item = fleet.ParseItem(request.Model)
	if !call.Snapshot.Serves(call.Item) {
		return refusal.New(refusal.UnknownModel, "model "+strconv.Quote(request.Model)+" is not served here")
	}
	call.Deployment = call.Snapshot.Deployments[call.Item.Model]
	call.Class = call.Deployment.Class
	call.Prefix = promptPrefix(&request)
	call.Digest = poison.DigestOf([]byte(request.Model), request.Messages, request.Prompt)
	if err := call.resumeFrom(call.Request.Header.Get(engine.LastEventIDHeader)); err != nil {
		return err
	}
	return next.Handle(call)
}

// resumeFrom sets the offset at which a stream resumes after the event lastID.
func (c *Call) resumeFrom(lastID string) error {
	if lastID == "" || !c.Stream {
		return nil
	}
	request, offset, valid := engine.ParseEventID(lastID)
	if !valid || request != c.ID {
		return refusal.New(refusal.Malformed, "Last-Event-Id does not belong to this X-Request-Id")
	}
	c.Next = offset + 1
	return nil
}

// decodeService looks up the plain service for a path and reads the body.
func (s *Server) decodeService(call *Call, next Handler) error {
	target, found := plain.Match(call.Snapshot, call.Request.Method, call.Request.URL.EscapedPath())
	if !found {
		return refusal.New(refusal.UnknownPath, "no service has the path "+strconv.Quote(call.Request.URL.Path))
	}
	body, err := s.readBody(call)
	if err != nil {
		return err
	}
	call.Target, call.Body = target, body
	call.Digest = poison.DigestOf([]byte(call.Request.Method), []byte(call.Request.URL.RequestURI()), body)
	return next.Handle(call)
}

// Bounds of deadlines.
const (
	defaultTimeout = time.Minute
	maxTimeout     = 24 * time.Hour
	// writeGrace is the time allowed to write a refusal after the deadline.
	writeGrace = time.Second
)

// setDeadline sets the deadline from the caller's header, or from the configured
// timeout if there is none, and lets the call's context end then.
func (s *Server) setDeadline(call *Call, next Handler) error {
	timeout, err := requestedTimeout(call, configuredTimeout(call))
	if err != nil {
		return err
	}
	call.Deadline = call.Started.Add(timeout)
	ctx, cancel := context.WithDeadline(call.Context, call.Deadline)
	defer cancel()
	call.Context = ctx
	// A caller that has stopped reading must not occupy a slot indefinitely.
	_ = http.NewResponseController(call.Response).SetWriteDeadline(call.Deadline.Add(writeGrace))
	return next.Handle(call)
}

// requestedTimeout returns the timeout in the caller's header, or the fallback if
// there is none.
func requestedTimeout(call *Call, fallback time.Duration) (time.Duration, error) {
	if text := call.Request.Header.Get(engine.DeadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return 0, refusal.New(refusal.Malformed, "X-Deadline-Ms must be milliseconds from 1 to 86400000")
		}
		return time.Duration(ms) * time.Millisecond, nil
	}
	return fallback, nil
}

func configuredTimeout(call *Call) time.Duration {
	timeout := call.Target.Timeout
	if call.Deployment != nil {
		timeout = call.Deployment.Timeout.Std()
	}
	if timeout <= 0 {
		return defaultTimeout
	}
	return timeout
}

// rank returns the priority of a class, which is also sent to engines; lower is
// more urgent.
func rank(class ticket.Class) int {
	switch class {
	case ticket.Interactive:
		return 0
	case ticket.Diagnosis:
		return 1
	default:
		return 2
	}
}
