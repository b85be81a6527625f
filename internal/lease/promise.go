package lease

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Peers sends calls to other nodes and registers handlers for theirs.
type Peers interface {
	Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error
	Handle(method string, handler peer.Handler)
}

// Timing of the holder and its deputy.
const (
	// promiseInterval is the time between two requests for the deputy's promise.
	// Several requests fit into the duration of one promise.
	promiseInterval = 300 * time.Millisecond
	promiseTimeout  = 300 * time.Millisecond
	// maxFailedRequests is the number of consecutive failed requests after which
	// another deputy is named.
	maxFailedRequests = 3
	// maxRequestGap is how long the deputy goes without a request from the holder
	// before it reads the record.
	maxRequestGap = 700 * time.Millisecond
)

const methodPromise = "lease.promise"

// promiseMethod returns the method of promise requests, which differs between leases.
func (c *Controller) promiseMethod() string {
	if c.Name == "" {
		return methodPromise
	}
	return methodPromise + "." + c.Name
}

// promiseRequest asks the deputy to promise not to claim the lease for a while. It
// carries the holder's latest record.
type promiseRequest struct {
	Record  Record        `json:"record"`
	Version table.Version `json:"version"`
}

type promiseResponse struct {
	Promised bool `json:"promised"`
}

// Register registers the handler of promise requests with the peers.
func (c *Controller) Register() {
	c.init()
	c.Peers.Handle(c.promiseMethod(), peer.Typed(func(_ context.Context, request promiseRequest) (promiseResponse, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lastRequestAt = c.Clock()
		return promiseResponse{Promised: !c.released && c.State.Promise(c.lastRequestAt, request.Record, request.Version)}, nil
	}))
}

// requestPromises requests promises from the deputy while this process holds the
// lease.
func (c *Controller) requestPromises(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, promiseInterval)
		c.mu.Lock()
		deputy, record, version, found := c.State.Deputy()
		sent := c.Clock()
		c.mu.Unlock()
		if !found {
			continue
		}
		promised := c.requestPromise(ctx, deputy, promiseRequest{Record: record, Version: version})
		c.mu.Lock()
		if promised {
			c.State.PromiseReceived(deputy, sent)
			c.failedRequests, c.promisedAt = 0, c.Clock()
		} else {
			c.failedRequests++
		}
		c.mu.Unlock()
	}
}

func (c *Controller) requestPromise(ctx context.Context, deputy fleet.NodeID, request promiseRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, promiseTimeout)
	defer cancel()
	var response promiseResponse
	return c.Peers.Call(ctx, deputy, c.promiseMethod(), request, &response) == nil && response.Promised
}

// chooseDeputy returns the process to name as the deputy in the next renewal: the
// current deputy as long as it gives promises. The caller must hold c.mu.
func (c *Controller) chooseDeputy() fleet.NodeID {
	if c.Peers == nil || c.Deputies == nil {
		return ""
	}
	candidates := c.Deputies()
	current := c.State.record.Deputy
	if current != "" && c.failedRequests < maxFailedRequests && slices.Contains(candidates, current) {
		return current
	}
	for _, candidate := range candidates {
		if candidate == current {
			continue
		}
		c.failedRequests = 0
		c.Log.Info("deputy chosen", slog.String("node", string(candidate)), slog.String("before", string(current)))
		return candidate
	}
	return current
}

// requestOverdue reports whether this process is the deputy and has not received a
// request from the holder recently. The caller must hold c.mu.
func (c *Controller) requestOverdue() bool {
	return c.State.IsDeputy() && c.Clock()-c.lastRequestAt > maxRequestGap
}
