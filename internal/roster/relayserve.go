package roster

import (
	"context"
	"time"
)

// handleChanges handles another node's request. It waits until there are changes
// or the time of the request is over.
func (r *Relay[T]) handleChanges(ctx context.Context, request changesRequest) (response changesResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond)
	defer cancel()
	began := time.Now()
	for {
		r.mu.Lock()
		r.readUntil = time.Now().Add(readDuration)
		response, ready, err := r.copy.respond(request)
		changed, age := r.copy.changed, r.asOf.age()
		r.mu.Unlock()
		if !request.List && response.err() == nil && r.isTooOld(age) {
			return changesResponse{Lost: true}, nil
		}
		if ready || err != nil {
			response.AgeMs, response.HeldMs = age.Milliseconds(), time.Since(began).Milliseconds()
			response.Format = r.Format
			return response, err
		}
		if !r.awaitChange(ctx, changed, age) {
			// The wait is over: respond with the current state, changed or not.
			request.WaitMs = 0
		}
	}
}

// isTooOld reports whether other nodes may not read a copy of an age.
func (r *Relay[T]) isTooOld(age time.Duration) bool { return r.MaxAge > 0 && age >= r.MaxAge }

// awaitChange waits until the copy of an age has changed or is too old. It reports false if
// the context ends before.
func (r *Relay[T]) awaitChange(ctx context.Context, changed <-chan struct{}, age time.Duration) bool {
	var tooOld <-chan time.Time
	if r.MaxAge > 0 && !r.isTooOld(age) {
		timer := time.NewTimer(r.MaxAge - age)
		defer timer.Stop()
		tooOld = timer.C
	}
	select {
	case <-tooOld:
		return true
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}
