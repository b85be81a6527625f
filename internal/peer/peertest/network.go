// Package peertest delivers calls between the nodes of a test in memory.
package peertest

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Network is an in-memory network of nodes. Messages are encoded as JSON as on a
// real network. Set the exported fields before use.
type Network struct {
	// Delay is the delay before each call is delivered.
	Delay time.Duration
	// FailFast makes calls to an unresponsive node, or of a method that is not
	// registered, fail at once. Otherwise they block until their context ends.
	FailFast bool

	mu           sync.Mutex
	handlers     map[fleet.NodeID]map[string]peer.Handler
	unresponsive map[fleet.NodeID]bool
	slow         map[fleet.NodeID]time.Duration
}

// Endpoint is the endpoint of one node. It implements the Peers interfaces of the
// packages that call other nodes.
type Endpoint struct {
	Network *Network
	Node    fleet.NodeID
}

// SetUnresponsive sets whether calls to and from a node get no answer.
func (n *Network) SetUnresponsive(node fleet.NodeID, unresponsive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.unresponsive == nil {
		n.unresponsive = make(map[fleet.NodeID]bool)
	}
	n.unresponsive[node] = unresponsive
}

// Responsive reports whether calls to and from a node get answers.
func (n *Network) Responsive(node fleet.NodeID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.unresponsive[node]
}

// SetSlow sets how long a node takes to send or to handle each message, as on a VM without
// processor time to spare. A call that its caller has given up is still handled.
func (n *Network) SetSlow(node fleet.NodeID, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.slow == nil {
		n.slow = make(map[fleet.NodeID]time.Duration)
	}
	n.slow[node] = delay
}

// Handle registers a method of the node.
func (e Endpoint) Handle(method string, handler peer.Handler) {
	n := e.Network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers == nil {
		n.handlers = make(map[fleet.NodeID]map[string]peer.Handler)
	}
	if n.handlers[e.Node] == nil {
		n.handlers[e.Node] = make(map[string]peer.Handler)
	}
	n.handlers[e.Node][method] = handler
}

// Call calls a method of another node.
func (e Endpoint) Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error {
	n := e.Network
	time.Sleep(n.Delay)
	n.mu.Lock()
	handler, unresponsive := n.handlers[node][method], n.unresponsive[node] || n.unresponsive[e.Node]
	delay := n.slow[node] + n.slow[e.Node]
	n.mu.Unlock()
	if handler == nil || unresponsive {
		if !n.FailFast {
			<-ctx.Done()
		}
		return peer.ErrUnreachable
	}
	text, err := json.Marshal(in)
	if err != nil {
		return err
	}
	if delay > 0 {
		return decode(out, handleLate(ctx, delay, handler, text))
	}
	result, err := handler(ctx, text)
	return decode(out, reply{result: result, err: err})
}

// reply is the result of a handler.
type reply struct {
	result any
	err    error
}

// handleLate has a call handled after a delay, also if its caller has given it up by then.
func handleLate(ctx context.Context, delay time.Duration, handler peer.Handler, text json.RawMessage) reply {
	replies := make(chan reply, 1)
	go func() {
		time.Sleep(delay)
		result, err := handler(context.WithoutCancel(ctx), text)
		replies <- reply{result: result, err: err}
	}()
	select {
	case handled := <-replies:
		return handled
	case <-ctx.Done():
		return reply{err: peer.ErrUnreachable}
	}
}

// decode decodes a reply as it arrives over a network.
func decode(out any, handled reply) error {
	if handled.err != nil {
		return handled.err
	}
	text, err := json.Marshal(handled.result)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, out)
}
