package caller

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

const streamType = "text/event-stream"

// relay carries one completion through its attempts.
type relay struct {
	*Server
	call     *Call
	position retry.Position
	// silences counts the connections of the call that were found silent.
	silences int
}

// relayCompletion sends a completion to the replica that it was admitted to and
// relays the answer. After a failure it goes on elsewhere, at the event where
// the answer broke off.
func (s *Server) relayCompletion(call *Call) error {
	r := &relay{Server: s, call: call, position: retry.Position{Request: call.ID, Next: call.Next}}
	s.earn(call.Started)
	taken := call.slot
	for {
		err := r.try(taken)
		if err == nil {
			call.lane.served(time.Since(taken.started))
			r.clear()
			return nil
		}
		if _, final := refusal.As(err); final || call.Context.Err() != nil || len(call.failed) == 0 {
			return err
		}
		if taken, err = r.next(err); err != nil {
			return err
		}
	}
}

// clear takes back the suspicion of a request that ended well.
func (r *relay) clear() {
	if r.call.alone {
		digest, ctx := r.call.digest, context.WithoutCancel(r.call.Context)
		r.background.Go(func() { r.poison.Cleared(ctx, digest) })
	}
}

// next decides after a failed attempt and takes a slot for another one.
func (r *relay) next(failed error) (*slot, error) {
	call := r.call
	if err := r.judge(call); err != nil {
		return nil, err
	}
	last := call.failed[len(call.failed)-1]
	decision := r.decide(retry.State{
		Now: time.Now(), Deadline: call.Deadline, Idempotent: true, Sent: call.Sent(),
		Resumable: r.position.Resumable() || !call.begun, Failed: call.failed,
	})
	if !decision.Again {
		return nil, failed
	}
	r.meters.retries.Inc(1)
	if !pause(call.Context, decision.Pause) {
		return nil, failed
	}
	if decision.SameServer {
		if taken, found := r.again(last); found {
			return taken, nil
		}
	}
	taken, err := call.lane.acquire(call)
	if err != nil {
		return nil, err
	}
	taken.fresh = last.Failure == retry.SilentConnection
	return taken, nil
}

// again takes another slot at the server whose connection failed.
func (r *relay) again(last retry.Attempt) (*slot, bool) {
	for _, replica := range usable(r.Directory.Replicas(r.call.Item)) {
		if replica.Server == last.Server {
			taken := r.takeAt(r.call, replica, time.Now(), "")
			taken.fresh = true
			return taken, true
		}
	}
	return nil, false
}

// try makes an attempt, with a hedge if the first byte is late, and relays what
// comes. Failed attempts are noted in the call.
func (r *relay) try(taken *slot) error {
	winner, err := r.race(taken)
	if err != nil {
		return err
	}
	defer r.release(winner.slot)
	defer winner.close(nil)
	if winner.decoder == nil {
		winner.slot.server.succeeded(winner.slot)
		return r.relayWhole(winner)
	}
	stop := r.watchStream(winner)
	err = r.relayStream(winner)
	stop()
	if _, final := refusal.As(err); final {
		return err
	}
	if err != nil {
		winner.err = err
		r.fail(winner)
		return err
	}
	winner.slot.server.succeeded(winner.slot)
	return nil
}

// request returns the request that sends the completion to a replica.
func (r *relay) request(ctx context.Context, taken *slot) (request *http.Request, err error) {
	ctx = traceSent(ctx, &r.call.sent, &taken.sent)
	url := "http://" + taken.replica.Address + r.call.Request.URL.Path
	request, err = http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.call.Body))
	if err != nil {
		return nil, errors.Wrapf(err, "request to %s", taken.replica.Server)
	}
	header := request.Header
	header.Set("Content-Type", jsonType)
	header.Set(engine.RequestIDHeader, string(r.call.ID))
	header.Set(engine.PriorityHeader, priority(r.call.Class))
	header.Set(engine.DeadlineHeader, strconv.FormatInt(max(1, r.call.Left().Milliseconds()), 10))
	if r.position.Next > 0 {
		header.Set(engine.LastEventIDHeader, engine.EventID(r.call.ID, r.position.Next-1))
	}
	return request, nil
}

// start begins an exchange in the background and sends it to results when its
// first byte has come or it has failed.
func (r *relay) start(taken *slot, results chan<- *exchange) *exchange {
	r.meters.sends.Inc(1)
	e := newExchange(r.call.Context, taken)
	request, err := r.request(e.ctx, taken)
	if err != nil {
		e.err = err
		results <- e
		return e
	}
	transport := r.transports.pooled
	if taken.fresh {
		transport = r.transports.fresh
	}
	go func() {
		if r.call.alone {
			e.err = r.tryAlone(e.ctx, taken)
		}
		if e.err == nil {
			e.open(transport, request)
		}
		results <- e
	}()
	return e
}

// fail notes a failed exchange in the call and in the state of its server.
func (r *relay) fail(e *exchange) {
	if errors.Is(r.call.Context.Err(), context.DeadlineExceeded) {
		e.slot.server.declined(time.Now(), e.slot)
	}
	if _, final := refusal.As(e.err); final || r.call.Context.Err() != nil {
		return
	}
	kind := e.failure()
	if kind == retry.Broken && r.investigate(e.slot) {
		kind = retry.Crashed
	}
	r.call.failed = append(r.call.failed, retry.Attempt{
		Server: e.slot.replica.Server, Domain: e.slot.replica.FailureDomain, Failure: kind,
	})
	now := time.Now()
	state := e.slot.server
	switch kind {
	case retry.Absent:
		state.lacked(now, e.slot)
	case retry.Unreachable:
		state.unreachable(now)
	case retry.Declined:
		state.declined(now, e.slot)
	case retry.SilentConnection, retry.Crossed:
		r.silences++
		state.failed(now)
		r.transports.dropIdle(now)
	case retry.Crashed:
	default:
		state.failed(now)
	}
}

func (r *relay) relayWhole(e *exchange) error {
	if kind := e.response.Header.Get("Content-Type"); kind != "" {
		r.call.Response.Header().Set("Content-Type", kind)
	}
	return writeBody(r.call, e.response.StatusCode, e.body)
}

// relayStream relays events to the caller, each as soon as it has come.
func (r *relay) relayStream(e *exchange) (err error) {
	flusher, _ := r.call.Response.(http.Flusher)
	event := e.first
	for {
		verdict := r.position.Accept(event)
		switch verdict {
		case retry.Foreign:
			return errForeign
		case retry.Gap:
			return errGap
		case retry.Forward:
			if err := r.forward(event); err != nil {
				return err
			}
			if event.Done() || !e.decoder.Buffered() {
				flusher.Flush()
			}
		case retry.Drop:
		}
		if event.Done() && verdict == retry.Forward {
			return nil
		}
		if event, err = e.decoder.Next(); err != nil {
			return errors.Wrap(err, "read stream")
		}
	}
}

func (r *relay) forward(event engine.Event) error {
	call := r.call
	if !call.begun {
		call.begun = true
		header := call.Response.Header()
		header.Set("Content-Type", streamType)
		header.Set("Cache-Control", "no-cache")
		call.Response.WriteHeader(http.StatusOK)
	}
	if _, err := call.Response.Write(event.Raw); err != nil {
		return refusal.New(refusal.CallerLeft, "the caller's connection broke")
	}
	r.meters.events.Inc(1)
	return nil
}

// pause waits and reports whether the context is still alive.
func pause(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
