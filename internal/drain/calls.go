package drain

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// ErrCutOff is the cause with which the context of a request is cancelled when a
// stopping node cuts off the request.
var ErrCutOff = errors.New("the node stops")

// Requests tracks the requests in progress, so that a stopping node can wait for them,
// and the memory that their bodies take.
type Requests struct {
	mu      sync.Mutex
	running map[*runningRequest]struct{}
	// reservedMemory is the memory reserved for the bodies of the requests, in bytes.
	reservedMemory int64
	// allEnded is closed and replaced when the last request in progress has ended.
	allEnded chan struct{}
}

// runningRequest is a request in progress.
type runningRequest struct{ cancel context.CancelCauseFunc }

// Begin adds a request. The caller must call done when the request has ended. To cut
// off the request, cancel is called with [ErrCutOff].
func (c *Requests) Begin(cancel context.CancelCauseFunc) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setUp()
	request := &runningRequest{cancel}
	c.running[request] = struct{}{}
	return func() { c.end(request) }
}

func (c *Requests) setUp() {
	if c.running == nil {
		c.running = make(map[*runningRequest]struct{})
		c.allEnded = make(chan struct{})
	}
}

func (c *Requests) end(request *runningRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, request)
	if len(c.running) == 0 {
		close(c.allEnded)
		c.allEnded = make(chan struct{})
	}
}

// ReserveMemory reserves memory of the given size in bytes for a request, unless that would
// exceed the limit on the sum of all reservations. If fits is true, the caller must
// call done to free the memory.
func (c *Requests) ReserveMemory(size, limit int64) (done func(), fits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reservedMemory+size > limit {
		return nil, false
	}
	c.reservedMemory += size
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.reservedMemory -= size
	}, true
}

// Running returns the number of requests in progress.
func (c *Requests) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)
}

// Drain waits for the requests in progress. When the context ends, it cuts off the
// remaining ones and returns their number.
func (c *Requests) Drain(ctx context.Context) (cutOff int) {
	for {
		c.mu.Lock()
		c.setUp()
		remaining, allEnded := len(c.running), c.allEnded
		c.mu.Unlock()
		if remaining == 0 {
			return 0
		}
		select {
		case <-allEnded:
		case <-ctx.Done():
			return c.cancelAll()
		}
	}
}

func (c *Requests) cancelAll() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for request := range c.running {
		request.cancel(ErrCutOff)
	}
	return len(c.running)
}
