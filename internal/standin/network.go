package standin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Network carries calls between nodes in memory, so that tests run in virtual
// time, and loses what it is told to lose. A lost message is silence: the call
// ends when its context does.
type Network struct {
	mu    sync.Mutex
	ports map[string]*Port
	lost  func(from, to string) bool
	delay func(from, to string) time.Duration
}

// NewNetwork returns a network that loses nothing and takes no time.
func NewNetwork() *Network {
	return &Network{
		ports: make(map[string]*Port),
		lost:  func(string, string) bool { return false },
		delay: func(string, string) time.Duration { return 0 },
	}
}

// Lose replaces the rule that says which messages are lost.
func (n *Network) Lose(lost func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = lost
}

// Delay replaces the rule that says how long messages take.
func (n *Network) Delay(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// Port is one node's end of a [Network].
type Port struct {
	network  *Network
	address  string
	handlers map[string]peer.Handler
	// Resolve returns the address of a node.
	Resolve func(fleet.NodeID) (string, bool)
}

// Port adds a node at an address.
func (n *Network) Port(address string) *Port {
	n.mu.Lock()
	defer n.mu.Unlock()
	port := &Port{network: n, address: address, handlers: make(map[string]peer.Handler)}
	n.ports[address] = port
	return port
}

// Remove takes the node at an address off the network.
func (n *Network) Remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.ports, address)
}

// Handle registers a method.
func (p *Port) Handle(method string, handler peer.Handler) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.handlers[method] = handler
}

func (p *Port) handler(method string) (peer.Handler, bool) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	handler, found := p.handlers[method]
	return handler, found
}

// Call calls a method of a node.
func (p *Port) Call(ctx context.Context, node fleet.NodeID, method string, in, out any) error {
	address, found := p.Resolve(node)
	if !found {
		return peer.ErrUnknownNode
	}
	return p.CallAddress(ctx, address, method, in, out)
}

// CallAddress calls a method of the node at an address.
func (p *Port) CallAddress(ctx context.Context, address, method string, in, out any) error {
	request, err := json.Marshal(in)
	if err != nil {
		return err
	}
	to, err := p.network.carry(ctx, p.address, address)
	if err != nil {
		return err
	}
	handler, found := to.handler(method)
	if !found {
		return errors.Errorf("no method %s", method)
	}
	result, err := handler(context.WithoutCancel(ctx), request)
	if err != nil {
		return err
	}
	answer, err := json.Marshal(result)
	if err != nil {
		return err
	}
	if _, err := p.network.carry(ctx, address, p.address); err != nil {
		return err
	}
	return json.Unmarshal(answer, out)
}

// carry moves one message and returns the port at which it arrives.
func (n *Network) carry(ctx context.Context, from, to string) (*Port, error) {
	n.mu.Lock()
	port, found := n.ports[to]
	_, sends := n.ports[from]
	lost, delay := n.lost(from, to) || !sends, n.delay(from, to)
	n.mu.Unlock()
	if !found && !lost {
		return nil, errors.Wrap(peer.ErrUnreachable, "refused")
	}
	if lost {
		<-ctx.Done()
		return nil, errors.Wrap(peer.ErrUnreachable, ctx.Err().Error())
	}
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil, errors.Wrap(peer.ErrUnreachable, ctx.Err().Error())
		}
	}
	return port, nil
}
