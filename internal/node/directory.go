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
	methodWake      = "policy.wake"
	methodExplain   = "policy.explain"
	methodUses      = "policy.heard"
	homeCallTimeout = 2 * time.Second
	// replicaCacheTTL is how long the replicas in a response of a first home are
	// used.
	replicaCacheTTL = 2 * time.Second
)

// directory gives the callers' server the replicas of items and requests that more
// are loaded. Replicas that this node does not follow itself come from the first
// home of the item.
type directory struct {
	self    *Node
	grants  *grant.Controller
	policy  *policy.Controller
	members *member.Controller
	config  *config.Controller
	peers   *peer.Peer

	mu           sync.RWMutex
	cachedRemote map[fleet.Item]cachedReplicas
}

// cachedReplicas holds the replicas of an item from a response of its first home.
type cachedReplicas struct {
	replicas  []engine.Replica
	expiresAt time.Time
}

var (
	_ caller.Directory = (*directory)(nil)
	_ caller.Loader    = (*directory)(nil)
	_ caller.Observer  = (*directory)(nil)
)

func newDirectory(
	n *Node, grants *grant.Controller, policyController *policy.Controller, members *member.Controller,
	configController *config.Controller, peers *peer.Peer,
) *directory {
	return &directory{
		self: n, grants: grants, policy: policyController, members: members, config: configController, peers: peers,
		cachedRemote: make(map[fleet.Item]cachedReplicas),
	}
}

// Replicas implements [caller.Directory].
func (d *directory) Replicas(item fleet.Item) []engine.Replica {
	if local := d.grants.Replicas(item); len(local) > 0 {
		return local
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	if cached := d.cachedRemote[item]; time.Now().Before(cached.expiresAt) {
		return cached.replicas
	}
	return nil
}

// RequestLoad implements [caller.Loader].
func (d *directory) RequestLoad(ctx context.Context, item fleet.Item, deadline time.Time) (caller.Estimate, error) {
	estimate, err := d.policy.RequestReplica(ctx, item, deadline)
	return caller.Estimate(estimate), err
}

// Arrived implements [caller.Observer].
func (d *directory) Arrived(item fleet.Item, at time.Time) { d.policy.Arrived(item, at) }

// Finished implements [caller.Observer].
func (d *directory) Finished(item fleet.Item, at time.Time) { d.policy.Finished(item, at) }

// decidesLoads reports whether this node decides on loads of an item: it is the
// item's first home, or no home is known.
func (d *directory) decidesLoads(item fleet.Item) bool {
	home, found := d.firstHome(item)
	return !found || home == d.self.ID
}

func (d *directory) firstHome(item fleet.Item) (fleet.NodeID, bool) {
	homes := lookup.Homes(item.Base(), "", d.members.Members())
	if len(homes) == 0 {
		return "", false
	}
	return homes[0].Node, true
}

// wakeRequest requests a replica of an item from its first home.
type wakeRequest struct {
	Item       fleet.Item `json:"item"`
	DeadlineIn int64      `json:"deadlineInMs"`
}

// wakeResponse is the first home's estimate, with the replicas in its directory.
type wakeResponse struct {
	ReadyIn  int64            `json:"readyInMs"`
	Progress float64          `json:"progress"`
	Replicas []engine.Replica `json:"replicas,omitempty"`
}

func (d *directory) register() {
	d.peers.Handle(methodWake, peer.Typed(func(_ context.Context, request wakeRequest) (wakeResponse, error) {
		deadline := time.Now().Add(time.Duration(request.DeadlineIn) * time.Millisecond)
		estimate, err := d.policy.RequestReplicaLocally(request.Item, deadline)
		if err != nil {
			return wakeResponse{}, err
		}
		return wakeResponse{
			ReadyIn: estimate.ReadyIn.Milliseconds(), Progress: estimate.Progress,
			Replicas: d.grants.Replicas(request.Item),
		}, nil
	}))
	d.peers.Handle(methodExplain, peer.Typed(func(_ context.Context, item fleet.Item) (policy.Explanation, error) {
		return d.policy.Explain(item), nil
	}))
	d.peers.Handle(methodUses, peer.Typed(func(_ context.Context, uses []policy.Usage) (struct{}, error) {
		d.policy.RecordUsage(uses)
		return struct{}{}, nil
	}))
}

// explainAtHome returns the explanation of an item's first home why the item is
// loaded or not, or that of this node if the first home cannot be reached.
func (d *directory) explainAtHome(ctx context.Context, item fleet.Item) policy.Explanation {
	home, found := d.firstHome(item)
	if !found || home == d.self.ID {
		return d.policy.Explain(item)
	}
	ctx, cancel := context.WithTimeout(ctx, homeCallTimeout)
	defer cancel()
	var answer policy.Explanation
	if err := d.peers.Call(ctx, home, methodExplain, item, &answer); err != nil {
		return d.policy.Explain(item)
	}
	return answer
}

// liveNodes returns the number of live nodes, at least 1.
func (d *directory) liveNodes() int { return max(1, len(d.members.Members())) }

// sendUses sends the uses of items by requests at this node to the items' first
// homes.
func (d *directory) sendUses(ctx context.Context, uses []policy.Usage) {
	byHome := make(map[fleet.NodeID][]policy.Usage)
	for _, use := range uses {
		if home, found := d.firstHome(use.Item); found {
			byHome[home] = append(byHome[home], use)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, homeCallTimeout)
	defer cancel()
	for home, homeUses := range byHome {
		// If a message is lost, a gap between requests appears longer until the
		// next message.
		_ = d.peers.Call(ctx, home, methodUses, homeUses, &struct{}{})
	}
}

// forwardWake forwards a call of [policy.Controller.RequestReplica] to the item's
// first home and caches the replicas in the response.
func (d *directory) forwardWake(
	ctx context.Context, item fleet.Item, deadline time.Time,
) (estimate policy.Estimate, err error) {
	home, found := d.firstHome(item)
	if !found {
		return policy.Estimate{}, errors.New("no live node to ask")
	}
	ctx, cancel := context.WithTimeout(ctx, homeCallTimeout)
	defer cancel()
	request := wakeRequest{Item: item, DeadlineIn: time.Until(deadline).Milliseconds()}
	var answer wakeResponse
	if err := d.peers.Call(ctx, home, methodWake, request, &answer); err != nil {
		return policy.Estimate{}, errors.Wrapf(err, "wake %s at %s", item, home)
	}
	if len(answer.Replicas) > 0 {
		d.mu.Lock()
		d.cachedRemote[item] = cachedReplicas{replicas: answer.Replicas, expiresAt: time.Now().Add(replicaCacheTTL)}
		d.mu.Unlock()
	}
	ready := time.Duration(answer.ReadyIn) * time.Millisecond
	return policy.Estimate{ReadyIn: ready, Progress: answer.Progress}, nil
}

// policyGrants adapts the grant controller to [policy.Grants].
type policyGrants struct {
	*grant.Controller
}

var _ policy.Grants = policyGrants{}

// maxReportAge is the age of a server's last report after which no load is ordered
// on it.
const maxReportAge = 10 * time.Second

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
			ReportStale: time.Since(view.PolledAt) > maxReportAge,
			Grants:      make([]policy.ServerGrant, 0, len(view.Grants)),
		}
		for _, grantView := range view.Grants {
			if grantView.Standing {
				continue // memory is reserved, but the item is neither loaded nor loading
			}
			server.Grants = append(server.Grants, policy.ServerGrant{
				Grant: grantView.Grant, Item: grantView.Item, Size: grantView.Size, State: grantView.State,
				Progress: grantView.Progress, Running: grantView.Running, Queued: grantView.Queued,
				Draining: grantView.Draining || grantView.Quarantined,
			})
		}
		servers = append(servers, server)
	}
	return servers
}
