package placement

import (
	"context"

	"github.com/guavatrack/guavatrack/internal/peer"
)

// Registrar registers the methods that nodes call on each other.
type Registrar interface {
	Handle(method string, handler peer.Handler)
}

// Register connects a node's scheduler and reporter with each other and with
// the other nodes.
func Register(peers Registrar, scheduler *Scheduler, reporter *Reporter) {
	scheduler.Tell = reporter.heardNews
	reporter.Local = scheduler.receive
	peers.Handle(methodDemand, peer.Typed(func(_ context.Context, message demandMessage) (demandAnswer, error) {
		return scheduler.receive(message), nil
	}))
	peers.Handle(methodNews, peer.Typed(func(_ context.Context, told news) (struct{}, error) {
		reporter.heardNews(told)
		return struct{}{}, nil
	}))
}

func (r *Reporter) heardNews(told news) {
	r.init()
	r.heard(told)
}
