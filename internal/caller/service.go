package caller

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// relayService sends a call to a plain service and relays the answer. A call
// that is not idempotent is sent again only if nothing of it was sent.
func (s *Server) relayService(call *Call) (err error) {
	var failed []fleet.ServerID
	for range maxAttempts {
		vm, found := s.pickService(call, failed)
		if !found {
			break
		}
		var answer *serviceAnswer
		answer, err = s.attemptService(call, vm)
		if err == nil {
			return answer.writeTo(call)
		}
		if call.Context.Err() != nil || call.Sent() && !call.Target.Idempotent {
			return err
		}
		failed = append(failed, vm.ID)
	}
	if err == nil {
		return &refusal.Refusal{
			Reason: refusal.NoServer, Message: "no server of the service is live", RetryAfter: time.Second,
		}
	}
	return err
}

// serviceAnswer is a whole answer of a plain service.
type serviceAnswer struct {
	status      int
	contentType string
	body        []byte
}

func (a *serviceAnswer) writeTo(call *Call) error {
	if a.contentType != "" {
		call.Response.Header().Set("Content-Type", a.contentType)
	}
	return writeBody(call, a.status, a.body)
}

func (s *Server) pickService(call *Call, failed []fleet.ServerID) (best vmlist.VM, found bool) {
	least := int64(0)
	for _, vm := range s.Services(call.Target.Pool) {
		if vm.State == vmlist.Leaving || slices.Contains(failed, vm.ID) {
			continue
		}
		load := s.servers.get(vm.ID).inFlight.Load()
		if vm.Region != s.Place.Region {
			load += remoteServicePenalty
		}
		if !found || load < least {
			best, least, found = vm, load, true
		}
	}
	return best, found
}

// remoteServicePenalty is the number of requests that a server of another
// region must have fewer to be chosen.
const remoteServicePenalty = 1 << 20

func (s *Server) attemptService(call *Call, vm vmlist.VM) (answer *serviceAnswer, err error) {
	state := s.servers.get(vm.ID)
	state.inFlight.Add(1)
	defer state.inFlight.Add(-1)
	s.meters.sends.Inc(1)
	request, err := serviceTo(traceSent(call.Context, call), call, vm)
	if err != nil {
		return nil, err
	}
	response, err := s.Transport.RoundTrip(request)
	if err != nil {
		return nil, errors.Wrapf(err, "send to %s", vm.ID)
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get(engine.RequestIDHeader); id != "" && id != string(call.ID) {
		return nil, errForeign
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return nil, &statusError{response.StatusCode}
	}
	body, err := readAnswer(response)
	if err != nil {
		return nil, err
	}
	return &serviceAnswer{response.StatusCode, response.Header.Get("Content-Type"), body}, nil
}

// serviceHeaders are the headers of a caller that reach a plain service.
var serviceHeaders = []string{"Content-Type", "Accept", "Accept-Language", idempotencyKeyHeader}

// serviceTo returns the request that sends a call to a plain service.
func serviceTo(ctx context.Context, call *Call, vm vmlist.VM) (request *http.Request, err error) {
	url := "http://" + vm.Address + call.Target.Path
	if query := call.Request.URL.RawQuery; query != "" {
		url += "?" + query
	}
	// A body that cannot be rewound, even if it is empty, keeps the transport
	// from sending a call a second time on its own.
	var body onceReader
	body.Reset(call.Body)
	request, err = http.NewRequestWithContext(ctx, call.Request.Method, url, &body)
	if err != nil {
		return nil, errors.Wrapf(err, "request to %s", vm.ID)
	}
	request.ContentLength = int64(len(call.Body))
	for _, name := range serviceHeaders {
		if value := call.Request.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	request.Header.Set(engine.RequestIDHeader, string(call.ID))
	request.Header.Set(engine.DeadlineHeader, strconv.FormatInt(max(1, call.Left().Milliseconds()), 10))
	return request, nil
}

// onceReader hides the type of a reader from net/http, which would rewind it.
type onceReader struct{ bytes.Reader }
