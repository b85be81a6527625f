package dispatch_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/retry"
)

// pausingMessage is a resumable call whose first attempt falls silent before its answer
// or in the middle of it and then goes on. Further attempts get the result of next.
type pausingMessage struct {
	fakeMessage
	// before and within are the lengths of the silence before the first event and
	// after it.
	before, within time.Duration
	next           func(ctx context.Context) (dispatch.Answer, error)
	state          *pausingState
}

// pausingState counts what has become of the attempts of a pausingMessage.
type pausingState struct {
	attempts, whole int
	// ended is the number of ended first attempts, endedBefore that when the second
	// attempt began to answer.
	ended, endedBefore int
}

func (m pausingMessage) Resumable() bool { return true }

func (m pausingMessage) Open(ctx context.Context, attempt *dispatch.Attempt) (dispatch.Answer, error) {
	attempt.MarkSent()
	m.state.attempts++
	if m.state.attempts > 1 {
		answer, err := m.next(ctx)
		m.state.endedBefore = m.state.ended
		return answer, err
	}
	if err := sleep(ctx, m.before); err != nil {
		m.state.ended++
		return nil, err
	}
	attempt.AddEvent()
	return &pausingAnswer{message: m, ctx: ctx, attempt: attempt}, nil
}

type pausingAnswer struct {
	message pausingMessage
	ctx     context.Context //nolint:containedctx // an answer lives as long as its attempt
	attempt *dispatch.Attempt
}

func (a *pausingAnswer) Close() {}

func (a *pausingAnswer) Relay() error {
	if err := sleep(a.ctx, a.message.within); err != nil {
		a.message.state.ended++
		return err
	}
	a.attempt.AddEvent()
	a.message.state.whole++
	return nil
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// silentProber is a prober of servers that accept no connections but have not crashed.
type silentProber struct{ *fakeServers }

func (silentProber) Alive(context.Context, dispatch.Replica) bool { return false }

func hang(ctx context.Context) (dispatch.Answer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func decline(context.Context) (dispatch.Answer, error) {
	return nil, failureError(retry.Declined, true)
}

// runPausingCall runs a call whose server falls silent for a while.
func runPausingCall(c *qt.C, before, within time.Duration, test silenceCase) (*pausingState, error) {
	s := newFakeServers(test.servers)
	state := &pausingState{}
	call := s.call("pausing", func(call *dispatch.Call) {
		call.Stream, call.Idempotent, call.MaxAttempts = within > 0, true, test.maxAttempts
		call.Deadline = call.Started.Add(20 * time.Second)
		call.Message = pausingMessage{
			fakeMessage: fakeMessage{fakeServers: s, id: "pausing"}, before: before, within: within, next: test.next, state: state,
		}
	})
	dispatcher := s.dispatcher()
	if test.unreachable {
		dispatcher.Prober = silentProber{s}
	}
	if test.noBudget {
		dispatcher.Allowance = func() retry.Allowance { return retry.Allowance{} }
	}
	err := dispatcher.Do(call)
	c.Logf("%d attempts, %d whole answers of the first: %v", state.attempts, state.whole, err)
	return state, err
}

// silenceCase is a reason for which nothing can take the place of a silent attempt.
type silenceCase struct {
	name                  string
	servers, maxAttempts  int
	unreachable, noBudget bool
	next                  func(ctx context.Context) (dispatch.Answer, error)
}

var silenceCases = []silenceCase{
	{name: "no further attempt is allowed", servers: 2, maxAttempts: 1, next: hang},
	{name: "the retry budget is spent", servers: 2, maxAttempts: 2, noBudget: true, next: hang},
	{name: "the next attempt is declined", servers: 2, maxAttempts: 2, next: decline},
	{name: "the next attempt is silent too", servers: 2, maxAttempts: 2, next: hang},
	{name: "no other server holds the item", servers: 1, maxAttempts: 2, unreachable: true, next: decline},
}

// TestAnswerGoesOnAfterASilence guards against answers that were cut off because their
// server was silent for a while, although nothing could take their place.
func TestAnswerGoesOnAfterASilence(t *testing.T) {
	for _, test := range silenceCases {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				state, err := runPausingCall(c, 0, 4*time.Second, test)
				c.Assert(err, qt.IsNil)
				c.Check(state.whole, qt.Equals, 1)
			})
		})
	}
}

// TestAnswerBeginsAfterASilence guards against calls that failed because their server
// was silent for a while before the answer, although nothing could take their place.
func TestAnswerBeginsAfterASilence(t *testing.T) {
	for _, test := range silenceCases {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				state, err := runPausingCall(c, 12*time.Second, 0, test)
				c.Assert(err, qt.IsNil)
				c.Check(state.whole, qt.Equals, 1)
			})
		})
	}
}

// TestSilentAttemptIsReplaced checks that an attempt that stays silent is replaced, by
// the same server over a new connection or by another one if it accepts none, and that
// the silent attempt is not ended before the other one has begun to answer.
func TestSilentAttemptIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name           string
		before, within time.Duration
		unreachable    bool
	}{
		{name: "before the answer", before: time.Hour},
		{name: "before the answer, no connection", before: time.Hour, unreachable: true},
		{name: "within the answer", within: time.Hour},
		{name: "within the answer, no connection", within: time.Hour, unreachable: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				state, err := runPausingCall(c, test.before, test.within, silenceCase{
					servers: 2, maxAttempts: 2, unreachable: test.unreachable,
					next: func(ctx context.Context) (dispatch.Answer, error) {
						if err := sleep(ctx, 100*time.Millisecond); err != nil {
							return nil, errors.Wrap(err, "second attempt")
						}
						return emptyAnswer{}, nil
					},
				})
				c.Assert(err, qt.IsNil)
				c.Check(state.attempts, qt.Equals, 2)
				c.Check(state.whole, qt.Equals, 0)
				c.Check(state.endedBefore, qt.Equals, 0)
			})
		})
	}
}
