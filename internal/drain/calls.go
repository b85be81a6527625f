package drain

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// ErrCutOff is why the context of a request ends that a stop cuts off.
var ErrCutOff = errors.New("the node stops")

// Calls counts the requests in progress, so that a stop can wait for them.
type Calls struct {
	mu      sync.Mutex
	running map[*running]struct{}
	// held is the memory that the bodies of the requests take, in bytes.
	held int64
	// ended is closed and replaced when no request is left.
	ended chan struct{}
}

// running is a request in progress.
type running struct{ cancel context.CancelCauseFunc }

// Begin adds a request. Done must be called when it has ended; cancel is called
// with [ErrCutOff] to cut it off.
func (c *Calls) Begin(cancel context.CancelCauseFunc) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	request := &running{cancel}
	c.running[request] = struct{}{}
	return func() { c.end(request) }
}

func (c *Calls) init() {
	if c.running == nil {
		c.running = make(map[*running]struct{})
		c.ended = make(chan struct{})
	}
}

func (c *Calls) end(request *running) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, request)
	if len(c.running) == 0 {
		close(c.ended)
		c.ended = make(chan struct{})
	}
}

// Hold counts memory that a request takes and reports whether all together take
// no more than the limit. Done must be called when it is free again.
func (c *Calls) Hold(size, limit int64) (done func(), fits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held+size > limit {
		return nil, false
	}
	c.held += size
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.held -= size
	}, true
}

// Running returns the number of requests in progress.
func (c *Calls) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)
}

// Drain waits for the requests in progress. When the context ends it cuts off
// the rest and returns their number.
func (c *Calls) Drain(ctx context.Context) (cutOff int) {
	for {
		c.mu.Lock()
		c.init()
		left, ended := len(c.running), c.ended
		c.mu.Unlock()
		if left == 0 {
			return 0
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return c.cancelAll()
		}
	}
}

func (c *Calls) cancelAll() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for request := range c.running {
		request.cancel(ErrCutOff)
	}
	return len(c.running)
}
