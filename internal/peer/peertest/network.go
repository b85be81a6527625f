// Package peertest carries calls between the nodes of a test without a network.
package peertest

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Wires connect nodes. Messages are encoded as on a real one. Its exported fields
// are set before use.
type Wires struct {
	// Delay is the time of a call.
	Delay time.Duration
	// Refuses has calls to a node that is silent or unknown fail at once. Without
	// it they get no answer.
	Refuses bool

	mu       sync.Mutex
	handlers map[fleet.NodeID]map[string]peer.Handler
	silent   map[fleet.NodeID]bool
}

// End is one node's end. It implements the Peers of the packages that call other
// nodes.
type End struct {
	Wires *Wires
	Node  fleet.NodeID
}

// Silence has a node neither make calls nor answer them, or ends that.
func (w *Wires) Silence(node fleet.NodeID, silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent == nil {
		w.silent = make(map[fleet.NodeID]bool)
	}
	w.silent[node] = silent
}

// Handle registers a method of the node.
func (e End) Handle(method string, handler peer.Handler) {
	w := e.Wires
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.handlers == nil {
		w.handlers = make(map[fleet.NodeID]map[string]peer.Handler)
	}
	if w.handlers[e.Node] == nil {
		w.handlers[e.Node] = make(map[string]peer.Handler)
	}
	w.handlers[e.Node][method] = handler
}

// Call calls a method of another node.
func (e End) Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error {
	w := e.Wires
	time.Sleep(w.Delay)
	w.mu.Lock()
	handler, silent := w.handlers[node][method], w.silent[node] || w.silent[e.Node]
	w.mu.Unlock()
	if handler == nil || silent {
		if !w.Refuses {
			<-ctx.Done()
		}
		return peer.ErrUnreachable
	}
	text, err := json.Marshal(in)
	if err != nil {
		return err
	}
	result, err := handler(ctx, text)
	if err != nil {
		return err
	}
	if text, err = json.Marshal(result); err != nil {
		return err
	}
	return json.Unmarshal(text, out)
}
