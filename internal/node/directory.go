package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/caller"
	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/lookup"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/policy"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	methodWake    = "policy.wake"
	methodExplain = "policy.explain"
	methodHeard   = "policy.heard"
	wakeTimeout   = 2 * time.Second
	// learnedFor is how long replicas that a home told of are used without
	// asking again.
	learnedFor = 2 * time.Second
)

// directory tells the callers' server which replicas there are and has more of
// them loaded. What this node does not follow itself it learns from the first
// home of the item.
type directory struct {
	self    *Node
	grants  *grant.Controller
	policy  *policy.Controller
	members *member.Controller
	config  *config.Controller
	peers   *peer.Peer

	mu      sync.RWMutex
	learned map[fleet.Item]learned
}

type learned struct {
	replicas []engine.Replica
	until    time.Time
}

var (
	_ caller.Directory = (*directory)(nil)
	_ caller.Waker     = (*directory)(nil)
	_ caller.Observer  = (*directory)(nil)
)

func newDirectory(
	n *Node, grants *grant.Controller, decider *policy.Controller, members *member.Controller,
	known *config.Controller, peers *peer.Peer,
) *directory {
	return &directory{
		self: n, grants: grants, policy: decider, members: members, config: known, peers: peers,
		learned: make(map[fleet.Item]learned),
	}
}

// Replicas implements [caller.Directory].
func (d *directory) Replicas(item fleet.Item) []engine.Replica {
	if own := d.grants.Replicas(item); len(own) > 0 {
		return own
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	if told := d.learned[item]; time.Now().Before(told.until) {
		return told.replicas
	}
	return nil
}

// Wake implements [caller.Waker].
func (d *directory) Wake(ctx context.Context, item fleet.Item, deadline time.Time) (caller.Estimate, error) {
	estimate, err := d.policy.Wake(ctx, item, deadline)
	return caller.Estimate(estimate), err
}

// Arrived implements [caller.Observer].
func (d *directory) Arrived(item fleet.Item, at time.Time) { d.policy.Arrived(item, at) }

// Finished implements [caller.Observer].
func (d *directory) Finished(item fleet.Item, at time.Time) { d.policy.Finished(item, at) }

// decides reports whether this node is the first home of an item.
func (d *directory) decides(item fleet.Item) bool {
	home, found := d.home(item)
	return !found || home == d.self.ID
}

func (d *directory) home(item fleet.Item) (fleet.NodeID, bool) {
	homes := lookup.Homes(item.Base(), "", d.members.Members())
	if len(homes) == 0 {
		return "", false
	}
	return homes[0].Node, true
}

// wakeCall asks the first home of an item for a replica.
type wakeCall struct {
	Item       fleet.Item `json:"item"`
	DeadlineIn int64      `json:"deadlineInMs"`
}

// wakeAnswer is the home's estimate, with the replicas that it knows.
type wakeAnswer struct {
	ReadyIn  int64            `json:"readyInMs"`
	Progress float64          `json:"progress"`
	Replicas []engine.Replica `json:"replicas,omitempty"`
}

func (d *directory) register() {
	d.peers.Handle(methodWake, peer.Typed(func(_ context.Context, call wakeCall) (wakeAnswer, error) {
		deadline := time.Now().Add(time.Duration(call.DeadlineIn) * time.Millisecond)
		estimate, err := d.policy.WakeHere(call.Item, deadline)
		if err != nil {
			return wakeAnswer{}, err
		}
		return wakeAnswer{
			ReadyIn: estimate.ReadyIn.Milliseconds(), Progress: estimate.Progress,
			Replicas: d.grants.Replicas(call.Item),
		}, nil
	}))
	d.peers.Handle(methodExplain, peer.Typed(func(_ context.Context, item fleet.Item) (policy.Explanation, error) {
		return d.policy.Explain(item), nil
	}))
	d.peers.Handle(methodHeard, peer.Typed(func(_ context.Context, uses []policy.Used) (struct{}, error) {
		d.policy.Heard(uses)
		return struct{}{}, nil
	}))
}

// explain asks the first home of an item why it is loaded or not, and answers
// with what this node knows if that can't be reached.
func (d *directory) explain(ctx context.Context, item fleet.Item) policy.Explanation {
	home, found := d.home(item)
	if !found || home == d.self.ID {
		return d.policy.Explain(item)
	}
	ctx, cancel := context.WithTimeout(ctx, wakeTimeout)
	defer cancel()
	var answer policy.Explanation
	if err := d.peers.Call(ctx, home, methodExplain, item, &answer); err != nil {
		return d.policy.Explain(item)
	}
	return answer
}

// live returns the number of live nodes.
func (d *directory) live() int { return max(1, len(d.members.Members())) }

// tell sends what this node saw of requests to the first homes of the items.
func (d *directory) tell(ctx context.Context, uses []policy.Used) {
	byHome := make(map[fleet.NodeID][]policy.Used)
	for _, use := range uses {
		if home, found := d.home(use.Item); found {
			byHome[home] = append(byHome[home], use)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, wakeTimeout)
	defer cancel()
	for home, part := range byHome {
		// A lost message makes a gap look longer, and the next one follows.
		_ = d.peers.Call(ctx, home, methodHeard, part, &struct{}{})
	}
}

// forward carries a wake to the first home and keeps the replicas it tells of.
func (d *directory) forward(
	ctx context.Context, item fleet.Item, deadline time.Time,
) (estimate policy.Estimate, err error) {
	home, found := d.home(item)
	if !found {
		return policy.Estimate{}, errors.New("no live node to ask")
	}
	ctx, cancel := context.WithTimeout(ctx, wakeTimeout)
	defer cancel()
	call := wakeCall{Item: item, DeadlineIn: time.Until(deadline).Milliseconds()}
	var answer wakeAnswer
	if err := d.peers.Call(ctx, home, methodWake, call, &answer); err != nil {
		return policy.Estimate{}, errors.Wrapf(err, "wake %s at %s", item, home)
	}
	if len(answer.Replicas) > 0 {
		d.mu.Lock()
		d.learned[item] = learned{replicas: answer.Replicas, until: time.Now().Add(learnedFor)}
		d.mu.Unlock()
	}
	ready := time.Duration(answer.ReadyIn) * time.Millisecond
	return policy.Estimate{ReadyIn: ready, Progress: answer.Progress}, nil
}

// policyGrants shows the grants to the policy in its own terms.
type policyGrants struct {
	*grant.Controller
}

var _ policy.Grants = policyGrants{}

// silentAfter is the age of a report after which nothing is loaded on a server.
const silentAfter = 10 * time.Second

// Servers implements [policy.Grants].
func (g policyGrants) Servers() []policy.Server {
	views := g.Views()
	servers := make([]policy.Server, 0, len(views))
	for i := range views {
		view := &views[i]
		server := policy.Server{
			ID: view.VM.ID, Pool: view.VM.Pool, Place: view.VM.Place, Memory: view.VM.Memory,
			Accelerators: view.VM.Accelerators, Reserved: view.Reserved + view.Foreign,
			Checkpoints: view.Checkpoints, Leaving: view.Leaving(),
			Silent: time.Since(view.PolledAt) > silentAfter,
			Held:   make([]policy.Held, 0, len(view.Grants)),
		}
		for _, held := range view.Grants {
			if held.Standing {
				continue // reserved, though neither loaded nor on its way
			}
			server.Held = append(server.Held, policy.Held{
				Grant: held.Grant, Item: held.Item, Size: held.Size, State: held.State,
				Progress: held.Progress, Running: held.Running, Queued: held.Queued,
				Draining: held.Draining || held.Quarantined,
			})
		}
		servers = append(servers, server)
	}
	return servers
}
