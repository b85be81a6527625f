package caller

import (
	"context"
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// Timing of requests that wait for a replica.
const (
	replicaPoll  = 5 * time.Millisecond
	wakeInterval = 500 * time.Millisecond
)

// admit lets a call pass as soon as a replica is ready, and refuses it at once
// when none will be ready before the deadline.
func (s *Server) admit(call *Call, next Handler) error {
	if s.observer != nil {
		s.observer.Arrived(call.Item, call.Started)
		defer func() { s.observer.Finished(call.Item, time.Now()) }()
	}
	if err := s.awaitReplica(call); err != nil {
		return err
	}
	return next.Handle(call)
}

func (s *Server) awaitReplica(call *Call) error {
	if len(usable(s.Directory.Replicas(call.Item))) > 0 {
		return nil
	}
	var wakeAt time.Time
	timer := time.NewTicker(replicaPoll)
	defer timer.Stop()
	for {
		if now := time.Now(); !now.Before(wakeAt) {
			if err := s.wake(call, now); err != nil {
				return err
			}
			wakeAt = now.Add(wakeInterval)
		}
		select {
		case <-timer.C:
		case <-call.Context.Done():
			return context.Cause(call.Context)
		}
		if len(usable(s.Directory.Replicas(call.Item))) > 0 {
			return nil
		}
	}
}

// wake asks for a replica and refuses the call if it cannot be ready in time.
func (s *Server) wake(call *Call, now time.Time) error {
	if s.Waker == nil {
		return refusal.New(refusal.NoServer, "no replica is loaded")
	}
	estimate, err := s.Waker.Wake(call.Context, call.Item, call.Deadline)
	if err != nil {
		return &refusal.Refusal{
			Reason: refusal.NoServer, Message: "no replica can be loaded: " + err.Error(),
			RetryAfter: time.Second,
		}
	}
	if now.Add(estimate.ReadyIn).After(call.Deadline) {
		return &refusal.Refusal{
			Reason: refusal.DeadlineUnreachable, Message: "the model will not be loaded before the deadline",
			RetryAfter: estimate.ReadyIn,
		}
	}
	return nil
}

// usable returns the replicas that may get new work.
func usable(replicas []engine.Replica) []engine.Replica {
	ready := make([]engine.Replica, 0, len(replicas))
	for _, replica := range replicas {
		if replica.State == engine.Ready && !replica.Draining {
			ready = append(ready, replica)
		}
	}
	return ready
}
