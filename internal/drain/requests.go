package drain

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// ErrCutOff is the cause with which the context of a request is cancelled when a
// stopping node cuts off the request.
var ErrCutOff = errors.New("the node stops")

// Requests tracks the requests in progress, so that a stopping node can wait for
// them, and the memory that their bodies take.
type Requests struct {
	mu      sync.Mutex
	running map[*runningRequest]struct{}
	// reading is the number of those that are being read.
	reading int
	// reservedMemory is the memory reserved for the bodies of the requests, in bytes.
	reservedMemory int64
	// allEnded is closed and replaced when the last request in progress has ended.
	allEnded chan struct{}
}

// runningRequest is a request in progress.
type runningRequest struct{ cancel context.CancelCauseFunc }

// Begin adds a request. The returned function done must be called when the request
// has ended. To cut off the request, cancel is called with [ErrCutOff].
func (r *Requests) Begin(cancel context.CancelCauseFunc) (done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setUp()
	request := &runningRequest{cancel}
	r.running[request] = struct{}{}
	return func() { r.end(request) }
}

func (r *Requests) setUp() {
	if r.running == nil {
		r.running = make(map[*runningRequest]struct{})
		r.allEnded = make(chan struct{})
	}
}

func (r *Requests) end(request *runningRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, request)
	if len(r.running) == 0 {
		close(r.allEnded)
		r.allEnded = make(chan struct{})
	}
}

// reserve reserves memory of the given size in bytes, unless that would exceed the limit on
// the sum of all reservations.
func (r *Requests) reserve(size, limit int64) (fits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reservedMemory+size > limit {
		return false
	}
	r.reservedMemory += size
	return true
}

// free frees memory that was reserved.
func (r *Requests) free(size int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reservedMemory -= size
}

// BeginReading records that a request in progress is being read. The returned function must be
// called when it has been read or refused; a second call does nothing.
func (r *Requests) BeginReading() (done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading++
	return sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reading--
	})
}

// Read returns the number of requests in progress that have been read.
func (r *Requests) Read() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running) - r.reading
}

// Running returns the number of requests in progress.
func (r *Requests) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// Drain waits for the requests in progress. When the context ends, it cuts off the
// remaining ones and returns their number.
func (r *Requests) Drain(ctx context.Context) (cutOff int) {
	for {
		r.mu.Lock()
		r.setUp()
		remaining, allEnded := len(r.running), r.allEnded
		r.mu.Unlock()
		if remaining == 0 {
			return 0
		}
		select {
		case <-allEnded:
		case <-ctx.Done():
			return r.cancelAll()
		}
	}
}

func (r *Requests) cancelAll() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for request := range r.running {
		request.cancel(ErrCutOff)
	}
	return len(r.running)
}
