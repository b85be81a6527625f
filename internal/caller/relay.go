package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

const (
	// maxAnswer bounds an answer that is not streamed, in bytes.
	maxAnswer = 16 << 20
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 4
	streamType  = "text/event-stream"
)

var (
	errForeign  = errors.New("answer belongs to another request")
	errGap      = errors.New("events are missing from the stream")
	errTooLarge = errors.New("answer too large")
)

// statusError is an answer of a backend server that is worth another attempt.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return "backend server answered " + strconv.Itoa(e.status) }

// relayCompletion sends a completion to a replica and relays the answer,
// trying other replicas as long as that helps.
func (s *Server) relayCompletion(call *Call) (err error) {
	position := &retry.Position{Request: call.ID, Next: call.Next}
	var failed []fleet.ServerID
	for range maxAttempts {
		replica, found := s.pick(call, failed)
		if !found {
			break
		}
		err = s.attempt(call, replica, position)
		if err == nil || call.Context.Err() != nil || !position.Resumable() {
			return err
		}
		failed = append(failed, replica.Server)
	}
	if err == nil {
		return &refusal.Refusal{
			Reason: refusal.NoServer, Message: "no replica is ready", RetryAfter: time.Second,
		}
	}
	return err
}

// pick chooses the replica with the fewest requests, avoiding those that
// failed this call as long as there are others.
func (s *Server) pick(call *Call, failed []fleet.ServerID) (best engine.Replica, found bool) {
	least := int64(0)
	replicas := usable(s.Directory.Replicas(call.Item))
	fresh := slices.DeleteFunc(slices.Clone(replicas), func(r engine.Replica) bool {
		return slices.Contains(failed, r.Server)
	})
	if len(fresh) > 0 {
		replicas = fresh
	}
	if len(replicas) == 0 {
		return best, false
	}
	first := s.random.IntN(len(replicas))
	for at := range replicas {
		replica := replicas[(first+at)%len(replicas)]
		load := s.servers.get(replica.Server).inFlight.Load()
		if !found || load < least {
			best, least, found = replica, load, true
		}
	}
	return best, found
}

func (s *Server) attempt(call *Call, replica engine.Replica, position *retry.Position) (err error) {
	state := s.servers.get(replica.Server)
	state.inFlight.Add(1)
	defer state.inFlight.Add(-1)
	s.meters.sends.Inc(1)
	ctx, cancel := context.WithCancel(call.Context)
	defer cancel()
	request, err := completionTo(traceSent(ctx, call), call, replica, position)
	if err != nil {
		return err
	}
	response, err := s.Transport.RoundTrip(request)
	if err != nil {
		return errors.Wrapf(err, "send to %s", replica.Server)
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get(engine.RequestIDHeader); id != "" && id != string(call.ID) {
		return errForeign
	}
	if retriable(response.StatusCode) {
		return &statusError{response.StatusCode}
	}
	if call.Stream && response.StatusCode == http.StatusOK {
		return s.relayStream(call, response, position)
	}
	return relayWhole(call, response)
}

// completionTo returns the request that sends a completion to a replica.
func completionTo(
	ctx context.Context, call *Call, replica engine.Replica, position *retry.Position,
) (request *http.Request, err error) {
	url := "http://" + replica.Address + call.Request.URL.Path
	request, err = http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrapf(err, "request to %s", replica.Server)
	}
	header := request.Header
	header.Set("Content-Type", jsonType)
	header.Set(engine.RequestIDHeader, string(call.ID))
	header.Set(engine.PriorityHeader, priority(call.Class))
	header.Set(engine.DeadlineHeader, strconv.FormatInt(max(1, call.Left().Milliseconds()), 10))
	if position.Next > 0 {
		header.Set(engine.LastEventIDHeader, engine.EventID(call.ID, position.Next-1))
	}
	return request, nil
}

// retriable reports whether an answer with the status may be followed by
// another attempt.
func retriable(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusConflict, http.StatusTooManyRequests:
		return true
	default:
		return status >= http.StatusInternalServerError
	}
}

// relayStream relays events to the caller, each as soon as it has come.
func (s *Server) relayStream(call *Call, response *http.Response, position *retry.Position) error {
	flusher, _ := call.Response.(http.Flusher)
	decoder := engine.NewStreamDecoder(response.Body)
	for {
		event, err := decoder.Next()
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		switch position.Accept(event) {
		case retry.Drop:
			continue
		case retry.Foreign:
			return errForeign
		case retry.Gap:
			return errGap
		case retry.Forward:
		}
		if err := s.forward(call, event); err != nil {
			return err
		}
		if event.Done() || !decoder.Buffered() {
			flusher.Flush()
		}
		if event.Done() {
			return nil
		}
	}
}

func (s *Server) forward(call *Call, event engine.Event) error {
	if !call.begun {
		call.begun = true
		header := call.Response.Header()
		header.Set("Content-Type", streamType)
		header.Set("Cache-Control", "no-cache")
		call.Response.WriteHeader(http.StatusOK)
	}
	if _, err := call.Response.Write(event.Raw); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	s.meters.events.Inc(1)
	return nil
}

// readAnswer reads a whole answer, so that no part of one that breaks off
// reaches the caller.
func readAnswer(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > maxAnswer {
		return nil, errTooLarge
	}
	return body, nil
}

func relayWhole(call *Call, response *http.Response) error {
	body, err := readAnswer(response)
	if err != nil {
		return err
	}
	if kind := response.Header.Get("Content-Type"); kind != "" {
		call.Response.Header().Set("Content-Type", kind)
	}
	return writeBody(call, response.StatusCode, body)
}
