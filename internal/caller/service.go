package caller

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/claim"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/internal/route"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

const (
	// serviceLimit is the number of requests of a node that run at once at one
	// server of a plain service.
	serviceLimit = 256
	// tableRetryAfter is when to come back after the table failed.
	tableRetryAfter = 5 * time.Second
)

// callService sends a call to a plain service and reads the answer. A call that
// is not idempotent is sent again only while nothing of it was sent.
func (s *Server) callService(call *Call) error {
	s.earn(call.Started)
	for {
		vm, found := s.pickService(call)
		if !found {
			return &refusal.Refusal{
				Reason: refusal.NoServer, Message: "no server of the service is free", RetryAfter: time.Second,
			}
		}
		err := s.attemptService(call, vm)
		if _, final := refusal.As(err); err == nil || final || call.Context.Err() != nil {
			return err
		}
		if err := s.judge(call); err != nil {
			return err
		}
		decision := s.decide(retry.State{
			Now: time.Now(), Deadline: call.Deadline, Idempotent: call.Target.Idempotent, Sent: call.Sent(),
			Resumable: true, Failed: call.failed,
		})
		if !decision.Again || !pause(call.Context, decision.Pause) {
			return err
		}
		s.meters.retries.Inc(1)
	}
}

func (s *Server) pickService(call *Call) (vm vmlist.VM, found bool) {
	now := time.Now()
	vms := slices.DeleteFunc(slices.Clone(s.Services(call.Target.Pool)), func(vm vmlist.VM) bool {
		return vm.State == vmlist.Leaving
	})
	query := route.Query{Now: now, Place: s.Place, Cross: s.linkOpen(now)}
	for _, failure := range call.failed {
		query.Avoid = append(query.Avoid, failure.Server)
		query.AvoidDomains = append(query.AvoidDomains, failure.Domain)
	}
	candidates := make([]route.Candidate, len(vms))
	for at := range vms {
		candidates[at] = s.servers.get(vms[at].ID).serviceCandidate(now, vms[at].Place)
	}
	index, found := route.Pick(query, candidates, s.Rand)
	if !found {
		return vmlist.VM{}, false
	}
	return vms[index], true
}

// attemptService makes one attempt. A failure is noted in the call.
func (s *Server) attemptService(call *Call, vm vmlist.VM) (err error) {
	state := s.servers.get(vm.ID)
	taken := &slot{
		server: state, call: call, started: time.Now(),
		replica: engine.Replica{Server: vm.ID, Address: vm.Address, Place: vm.Place},
	}
	if vm.Region != s.Place.Region {
		taken.cause = route.CauseNoLocal
	}
	state.enter(taken.started, taken)
	defer s.release(taken)
	s.meters.sends.Inc(1)
	e := newExchange(call.Context, taken)
	defer func() { e.close(nil) }()
	request, err := serviceTo(traceSent(e.ctx, &call.sent, &taken.sent), call, vm)
	if err != nil {
		return err
	}
	if call.alone {
		if err := s.tryAlone(e.ctx, taken); err != nil {
			return err
		}
	}
	stop := s.watchService(e)
	e.err = e.read(s.serviceTransport(call), request)
	stop()
	if e.err != nil {
		s.failService(call, e)
		return e.err
	}
	state.succeeded(taken)
	state.observe(time.Now(), time.Since(taken.started))
	call.answer = &claim.Answer{
		Status: e.response.StatusCode, ContentType: e.response.Header.Get("Content-Type"), Body: e.body,
	}
	return nil
}

// serviceTransport returns new connections for calls that must not be sent
// twice, since a kept connection may be closed while they are sent.
func (s *Server) serviceTransport(call *Call) http.RoundTripper {
	if !call.Target.Idempotent || len(call.failed) > 0 {
		return s.transports.fresh
	}
	return s.transports.pooled
}

// serviceSilence is the time without an answer after which an idempotent call
// tries another connection.
const serviceSilence = 2 * time.Second

// watchService ends an exchange that has brought nothing for a while, so that
// an idempotent call goes on elsewhere. A call that is not idempotent waits
// until its deadline.
func (s *Server) watchService(e *exchange) (stop func()) {
	call := e.slot.call
	if !call.Target.Idempotent {
		return func() {}
	}
	patience := min(serviceSilence, call.Left()/3) << min(len(call.failed), maxDoublings)
	timer := time.AfterFunc(patience, func() {
		if e.progress.Load() == 0 {
			e.cancel(errSilentServer)
		}
	})
	return func() { timer.Stop() }
}

// failService notes a failed attempt at a plain service.
func (s *Server) failService(call *Call, e *exchange) {
	if call.Context.Err() != nil {
		return
	}
	kind := e.failure()
	now := time.Now()
	if kind == retry.Broken && !s.accepts(call, e.slot.replica.Address) {
		kind = retry.Crashed
		e.slot.server.died(now, "", func(aboard []poison.Digest) {
			s.poison.Crashed(e.slot.replica.Server, "", aboard)
		})
	}
	if kind == retry.SilentServer {
		s.transports.dropIdle(now)
	}
	switch kind {
	case retry.Declined:
	case retry.Unreachable:
		e.slot.server.unreachable(now)
	default:
		e.slot.server.failed(now)
	}
	call.failed = append(call.failed, retry.Attempt{
		Server: e.slot.replica.Server, Domain: e.slot.replica.FailureDomain, Failure: kind,
	})
}

// accepts reports whether a plain service accepts connections.
func (s *Server) accepts(call *Call, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(call.Context), probeTimeout)
	defer cancel()
	connection, err := s.transports.fresh.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
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
