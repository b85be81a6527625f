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

// Peers carries calls between nodes.
type Peers interface {
	Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error
	Handle(method string, handler peer.Handler)
}

// Timing of the holder and its deputy.
const (
	// askInterval is the time between two requests for the deputy's promise,
	// several in the time of a promise.
	askInterval = 300 * time.Millisecond
	askTimeout  = 300 * time.Millisecond
	// maxRefusals in a row have another deputy named.
	maxRefusals = 3
	// unaskedTime is how long the deputy waits for the holder's request before it
	// reads the record.
	unaskedTime = 700 * time.Millisecond
)

const methodPromise = "lease.promise"

// promiseRequest asks the deputy not to claim the lease for a while, and tells
// it the record.
type promiseRequest struct {
	Record  Record        `json:"record"`
	Version table.Version `json:"version"`
}

type promiseAnswer struct {
	Promised bool `json:"promised"`
}

// Register adds the controller's method to the peers.
func (c *Controller) Register() {
	c.init()
	c.Peers.Handle(methodPromise, peer.Typed(func(_ context.Context, asked promiseRequest) (promiseAnswer, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.askedAt = c.Clock()
		return promiseAnswer{Promised: !c.gaveUp && c.Term.Vow(c.askedAt, asked.Record, asked.Version)}, nil
	}))
}

// attend asks the deputy for promises while this process holds the lease.
func (c *Controller) attend(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, askInterval)
		c.mu.Lock()
		deputy, record, version, found := c.Term.Deputy()
		asked := c.Clock()
		c.mu.Unlock()
		if !found {
			continue
		}
		promised := c.ask(ctx, deputy, promiseRequest{Record: record, Version: version})
		c.mu.Lock()
		if promised {
			c.Term.Promised(deputy, asked)
			c.refusals = 0
		} else {
			c.refusals++
		}
		c.mu.Unlock()
	}
}

func (c *Controller) ask(ctx context.Context, deputy fleet.NodeID, asked promiseRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer promiseAnswer
	return c.Peers.Call(ctx, deputy, methodPromise, asked, &answer) == nil && answer.Promised
}

// deputy returns the process to name in the next renewal: the present deputy as
// long as it answers. The caller holds the lock.
func (c *Controller) deputy() fleet.NodeID {
	if c.Peers == nil || c.Deputies == nil {
		return ""
	}
	candidates := c.Deputies()
	named := c.Term.record.Deputy
	if named != "" && c.refusals < maxRefusals && slices.Contains(candidates, named) {
		return named
	}
	for _, candidate := range candidates {
		if candidate == named {
			continue
		}
		c.refusals = 0
		c.Log.Info("deputy chosen", slog.String("node", string(candidate)), slog.String("before", string(named)))
		return candidate
	}
	return named
}

// unasked reports whether this process is the deputy and the holder has not
// asked it lately. The caller holds the lock.
func (c *Controller) unasked() bool {
	return c.Term.IsDeputy() && c.Clock()-c.askedAt > unaskedTime
}
