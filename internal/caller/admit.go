package caller

import (
	"time"
)

// admit waits for a slot at a replica. It refuses a call at once when its
// answer would come after the deadline.
func (s *Server) admit(call *Call, next Handler) (err error) {
	if s.observer != nil {
		s.observer.Arrived(call.Item, call.Started)
		defer func() { s.observer.Finished(call.Item, time.Now()) }()
	}
	call.lane = s.lane(call.Item.Model)
	call.slot, err = call.lane.acquire(call)
	if err != nil {
		return err
	}
	return next.Handle(call)
}
