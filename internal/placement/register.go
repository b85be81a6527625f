package placement

import (
	"context"

	"github.com/guavatrack/guavatrack/internal/peer"
)

// Registrar registers the handlers of calls between nodes.
type Registrar interface {
	Handle(method string, handler peer.Handler)
}

// Register connects a node's scheduler and reporter with each other and
// registers their handlers for calls from other nodes.
func Register(peers Registrar, scheduler *Scheduler, reporter *Reporter) {
	scheduler.NotifyLocal = reporter.handleUpdate
	reporter.CallLocal = scheduler.handleDemand
	peers.Handle(methodDemand, peer.Typed(func(_ context.Context, message demandMessage) (demandAnswer, error) {
		return scheduler.handleDemand(message), nil
	}))
	peers.Handle(methodUpdate, peer.Typed(func(_ context.Context, update updateMessage) (struct{}, error) {
		reporter.handleUpdate(update)
		return struct{}{}, nil
	}))
}

func (r *Reporter) handleUpdate(update updateMessage) {
	r.init()
	r.applyUpdate(update)
}
