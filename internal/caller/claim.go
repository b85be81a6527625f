package caller

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/claim"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// runAtMostOnce makes a call that is not idempotent and has an idempotency key run
// at most once. Calls that are not idempotent continue after their caller
// disconnects, with or without a key, so that their outcome becomes known.
func (s *Server) runAtMostOnce(call *Call, next Handler) error {
	if call.Target.Idempotent {
		return next.Handle(call)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(call.Context), call.Deadline)
	defer cancel()
	call.Context = ctx
	if call.Key == "" {
		return next.Handle(call)
	}
	request := call.Request
	answer, err := s.claims.Do(ctx, claim.Call{
		Caller: call.Caller, Key: call.Key, Request: call.ID, Deadline: call.Deadline,
		Content: claim.ContentDigest(request.Method, request.URL.RequestURI(), call.Body),
	}, func() claim.Result {
		err := next.Handle(call)
		return claim.Result{Answer: call.answer, Sent: call.Sent(), Err: err}
	})
	call.answer = answer
	return claimRefusal(err)
}

// claimRefusal converts the errors of a claim to refusals and returns others
// unchanged.
func claimRefusal(err error) error {
	switch {
	case errors.Is(err, claim.ErrOutcomeUnknown):
		return refusal.New(refusal.OutcomeUnknown, "the call with this key may have run and its outcome is not known")
	case errors.Is(err, claim.ErrKeyReused):
		return refusal.New(refusal.KeyReused, "the key was used for a call of other content")
	case errors.Is(err, claim.ErrAnswerNotKept):
		return refusal.New(refusal.AnswerNotKept, "the call ran and its answer was too large to keep")
	case errors.Is(err, claim.ErrNotRecorded):
		return &refusal.Refusal{
			Reason: refusal.TableUnavailable, Message: "the call could not be recorded, so it was not sent",
			RetryAfter: tableRetryAfter,
		}
	default:
		return err
	}
}

// writeServiceAnswer sends the answer that the rest of the chain has stored in the
// call.
func (s *Server) writeServiceAnswer(call *Call, next Handler) error {
	if err := next.Handle(call); err != nil {
		return err
	}
	if contentType := call.answer.ContentType; contentType != "" {
		call.Response.Header().Set("Content-Type", contentType)
	}
	return writeBody(call, call.answer.Status, call.answer.Body)
}
