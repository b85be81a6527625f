package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/retry"
)

// Errors of an exchange.
var (
	errForeign          = errors.New("answer belongs to another request")
	errGap              = errors.New("events are missing from the stream")
	errTooLarge         = errors.New("answer too large")
	errSilentConnection = errors.New("connection silent")
	errSilentServer     = errors.New("server silent")
	errNotNeeded        = errors.New("another attempt was faster")
)

// statusError is an answer of a backend server that is worth another attempt.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return "backend server answered " + strconv.Itoa(e.status) }

// exchange is one request to one backend server with its answer.
type exchange struct {
	slot   *slot
	ctx    context.Context //nolint:containedctx // an exchange lives as long as its context
	cancel context.CancelCauseFunc

	response *http.Response
	// decoder and first are set for a stream, body for any other answer.
	decoder *engine.StreamDecoder
	first   engine.Event
	body    []byte
	err     error
	// progress counts the reads that brought something.
	progress atomic.Uint64
}

func newExchange(parent context.Context, taken *slot) *exchange {
	e := &exchange{slot: taken}
	e.ctx, e.cancel = context.WithCancelCause(parent)
	return e
}

// open sends the request and reads the answer as far as its first event, or to
// its end if it is no stream.
func (e *exchange) open(transport http.RoundTripper, request *http.Request) {
	e.err = e.read(transport, request)
}

func (e *exchange) read(transport http.RoundTripper, request *http.Request) error {
	response, err := transport.RoundTrip(request) //nolint:bodyclose // closed by exchange.close
	if err != nil {
		return errors.Wrapf(err, "send to %s", e.slot.replica.Server)
	}
	e.response = response
	e.progress.Add(1)
	id := response.Header.Get(engine.RequestIDHeader)
	switch {
	case id != "" && id != string(e.slot.call.ID):
		return errForeign
	case retriable(response.StatusCode):
		return &statusError{response.StatusCode}
	case e.slot.call.Stream && response.StatusCode == http.StatusOK:
		e.decoder = engine.NewStreamDecoder(e)
		if e.first, err = e.decoder.Next(); err != nil {
			return errors.Wrap(err, "read stream")
		}
		return nil
	}
	e.body, err = readAnswer(e)
	return err
}

// Read implements [io.Reader] over the body of the answer.
func (e *exchange) Read(into []byte) (int, error) {
	count, err := e.response.Body.Read(into)
	if count > 0 {
		e.progress.Add(1)
		e.slot.bytes.Add(int64(count))
	}
	return count, err
}

// close ends the exchange. It does not give the slot back.
func (e *exchange) close(cause error) {
	e.cancel(cause)
	if e.response != nil {
		_ = e.response.Body.Close()
	}
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

// maxAnswer bounds an answer that is not streamed, in bytes.
const maxAnswer = 16 << 20

// readAnswer reads a whole answer, so that no part of one that breaks off
// reaches the caller.
func readAnswer(source io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(source, maxAnswer+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > maxAnswer {
		return nil, errTooLarge
	}
	return body, nil
}

// failure classifies the error of an exchange. A broken connection is
// classified as such; whether the server crashed is found out by probing it.
func (e *exchange) failure() retry.Failure {
	status := (*statusError)(nil)
	switch cause := context.Cause(e.ctx); {
	case errors.Is(cause, errSilentConnection):
		return retry.SilentConnection
	case errors.Is(cause, errSilentServer):
		return retry.SilentServer
	case !e.slot.sent.Load():
		return retry.Unreachable
	case errors.Is(e.err, errForeign):
		return retry.Crossed
	case errors.As(e.err, &status):
		if status.status == http.StatusNotFound || status.status == http.StatusConflict {
			return retry.Absent
		}
		if status.status < http.StatusInternalServerError || status.status == http.StatusServiceUnavailable {
			return retry.Declined
		}
		return retry.Faulty
	default:
		return retry.Broken
	}
}

// probeTimeout bounds a probe of a server over a new connection.
const probeTimeout = 500 * time.Millisecond

// client returns a client of a server that opens a connection for each call.
func (s *Server) client(taken *slot) *engine.Client {
	return &engine.Client{Address: taken.replica.Address, HTTP: &http.Client{Transport: s.transports.fresh}}
}

// answers reports whether the server answers over a new connection.
func (s *Server) answers(ctx context.Context, taken *slot) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.client(taken).Ping(ctx) == nil
}

// hasCrashed reports whether the server's process has ended since the slot was
// taken: it does not answer any more or says that it has been restarted.
func (s *Server) hasCrashed(ctx context.Context, taken *slot) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := s.client(taken).Report(ctx)
	if err != nil {
		return true
	}
	return taken.replica.Boot != "" && report.Boot != taken.replica.Boot
}
