package hosted

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/lease"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/placement"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/platform"
)

// providers makes the parts of a node. What needs each other in a circle is put
// together by connect.
var providers = fx.Provide(
	metrics.NewRegistry, newStore, newTable, newServerRelay, newManifestRelay, newRoster, newPeers, newMembers, newLease,
	newDirectory, newReporter, newScheduler, newExchange, newDispatcher, newGossip, newEndpoints,
)

const (
	// storeDialTimeout bounds the making of a connection to the store.
	storeDialTimeout = 400 * time.Millisecond
	storeIdleTimeout = 30 * time.Second
	// memberInterval is the time between two messages to other nodes. One that
	// is gone is suspected within a few of them.
	memberInterval = 500 * time.Millisecond
	// leaseTime is how long the right to give orders lasts without a renewal:
	// longer than most outages of the store, since orders go on in them.
	// deputyTime is when a deputy may follow a holder that it does not hear.
	leaseTime  = 8 * time.Second
	deputyTime = 2500 * time.Millisecond
)

// leaseKey is the record of the right to give orders.
var leaseKey = table.Key{Partition: "orders", Sort: "lease"}

func newStore(n *Node) *platform.Store {
	return &platform.Store{Address: n.Settings.Platform.Store, HTTP: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: storeDialTimeout}).DialContext, IdleConnTimeout: storeIdleTimeout,
		MaxIdleConnsPerHost: 4, DisableCompression: true,
	}}}
}

func newTable(store *platform.Store) table.Store { return &platform.Table{Store: store} }

func newServerRelay(
	n *Node, store *platform.Store, peers *peer.Peer, members *member.Controller, registry metrics.Registry,
) *roster.Relay[roster.ServerEntry] {
	return &roster.Relay[roster.ServerEntry]{
		Name: "servers",
		Source: &platform.Servers{
			Store: store, Regions: n.Settings.Platform.Regions, Log: n.Log, Metrics: registry,
		},
		Key:       func(entry roster.ServerEntry) string { return string(entry.ID) },
		IsRemoval: func(entry roster.ServerEntry) bool { return entry.Server == nil },
		Node:      n.ID, Ranked: func() []fleet.NodeID { return members.Ranked("servers") }, Peers: peers, Log: n.Log,
	}
}

func newManifestRelay(
	n *Node, store *platform.Store, peers *peer.Peer, members *member.Controller, registry metrics.Registry,
) *roster.Relay[*roster.Manifest] {
	return &roster.Relay[*roster.Manifest]{
		Name:      "manifest",
		Source:    &platform.Manifests{Store: store, Log: n.Log, Metrics: registry},
		Key:       func(*roster.Manifest) string { return "" },
		IsRemoval: func(*roster.Manifest) bool { return false },
		Node:      n.ID, Ranked: func() []fleet.NodeID { return members.Ranked("manifest") }, Peers: peers, Log: n.Log,
	}
}

func newRoster(
	n *Node, servers *roster.Relay[roster.ServerEntry], manifests *roster.Relay[*roster.Manifest],
	directory *placement.Directory, registry metrics.Registry,
) *roster.Controller {
	return &roster.Controller{
		Servers: servers, Manifests: manifests, OnChange: directory.UpdateView, Log: n.Log, Metrics: registry,
	}
}

func newPeers(n *Node, registry metrics.Registry) *peer.Peer {
	return &peer.Peer{Address: n.Settings.Peers.Listen, Log: n.Log, Metrics: registry}
}

func newMembers(
	n *Node, peers *peer.Peer, store table.Store, open *endpoints, registry metrics.Registry,
) *member.Controller {
	return &member.Controller{
		Self: member.Info{
			Node: n.ID, Place: n.Settings.Node.Place, CallerAddress: open.addresses.Callers,
			PeerAddress: open.addresses.Peers, Starting: true, StartedAt: time.Now().UTC(),
			Weight: n.Settings.Platform.Cores,
		},
		Peers: peers, Store: store, Interval: memberInterval, Log: n.Log, Metrics: registry,
	}
}

// vm names the VM to engines and in the lease: a VM that takes another's place
// under the same name is another one.
func (n *Node) vm() string { return n.Settings.Node.Name + "@" + n.Settings.Peers.Listen }

func newLease(n *Node, store table.Store, members *member.Controller, peers *peer.Peer) *lease.Controller {
	return &lease.Controller{
		State: lease.State{
			VM: n.vm(), Node: n.ID, LeaseDuration: leaseTime, HandoverDelay: n.Settings.Platform.HandOver.Std(), ShortLeaseDuration: deputyTime,
		},
		Deputies: func() []fleet.NodeID { return n.deputies(members) }, Peers: peers,
		Store: store, Key: leaseKey, ClaimDelay: func() time.Duration { return n.yield(members) }, Log: n.Log,
	}
}

const (
	// yieldStep is how long a node lets each one go first that is better suited to
	// give orders, yieldMost how long it waits in all.
	yieldStep = 150 * time.Millisecond
	yieldMost = 2 * time.Second
	// acquaintTime is how long after its start a node knows the others.
	acquaintTime = 1200 * time.Millisecond
)

// yield returns how long to wait before the lease is claimed.
func (n *Node) yield(members *member.Controller) time.Duration {
	span := time.Duration(0)
	for _, info := range members.Members() {
		if info.Node != n.ID && !info.Leaving && suits(&info, &members.Self) < 0 {
			span += yieldStep
		}
	}
	return max(min(span, yieldMost), acquaintTime-time.Since(members.Self.StartedAt))
}

// suits orders nodes by how well they are suited to give orders: those with more
// processor time first, and of those the ones that started last. Where nodes are
// stopped one after the other, the one that started last is the last to be stopped
// again.
func suits(a, b *member.Info) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), b.StartedAt.Compare(a.StartedAt), cmp.Compare(a.Node, b.Node))
}

// deputies returns the nodes that may follow this one in giving orders, the best
// suited first, and of those that are alike in processor time the ones in other
// failure domains.
func (n *Node) deputies(members *member.Controller) (nodes []fleet.NodeID) {
	near := func(info *member.Info) int {
		if info.FailureDomain == n.Settings.Node.FailureDomain {
			return 1
		}
		return 0
	}
	candidates := sound(members)
	slices.SortFunc(candidates, func(a, b member.Info) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(near(&a), near(&b)), suits(&a, &b))
	})
	for at := range candidates {
		if candidates[at].Node != n.ID {
			nodes = append(nodes, candidates[at].Node)
		}
	}
	return nodes
}

func newDirectory() *placement.Directory { return &placement.Directory{} }

func newReporter(
	n *Node, directory *placement.Directory, view *roster.Controller, right *lease.Controller, peers *peer.Peer,
) *placement.Reporter {
	return &placement.Reporter{
		Node: n.ID, Region: n.Settings.Node.Region, Directory: directory, View: view.View, Lease: right, Peers: peers,
		Log: n.Log,
	}
}

func newScheduler(
	n *Node, view *roster.Controller, right *lease.Controller, peers *peer.Peer, registry metrics.Registry,
) *placement.Scheduler {
	return &placement.Scheduler{
		Holder: n.vm(), View: view.View, Lease: right, Engines: platform.NewEngines(), Peers: peers, Node: n.ID,
		StoreLoads: n.Settings.WeightStore.Concurrent, AdapterLoads: n.Settings.WeightStore.AdaptersInFlight,
		Log: n.Log, Metrics: registry,
	}
}

func newExchange(view *roster.Controller) *platform.Exchange { return platform.NewExchange(view.View) }

func newDispatcher(
	n *Node, directory *placement.Directory, reporter *placement.Reporter, exchange *platform.Exchange,
	members *member.Controller, store table.Store, gossip *poison.Gossip, registry metrics.Registry,
) *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Directory: directory, Loader: reporter, LoadWhenFull: true, Prober: exchange, Store: store,
		Place: n.Settings.Node.Place, Node: n.ID, Allowance: func() retry.Allowance { return n.allowance(members) },
		SpreadPoison: gossip.Spread, PoisonPollInterval: poisonPoll, Log: n.Log, Metrics: registry,
	}
}

// poisonPoll is the time between two reads of notices from the store. Gossip
// carries them sooner.
const poisonPoll = 15 * time.Second

func newGossip(n *Node, members *member.Controller) *poison.Gossip {
	return &poison.Gossip{Node: n.ID, Facts: members, Log: n.Log}
}

// Shares of the fleet's allowance of further attempts that the nodes use, and
// the number of nodes that they take to be there at least: some may not be known
// yet, and one that starts again has a new budget.
const (
	retryShare = 0.8
	leastNodes = 8
)

// allowance returns the node's part of the fleet's allowance of further
// attempts.
func (n *Node) allowance(members *member.Controller) retry.Allowance {
	given := n.current.Load().Retries
	nodes := max(leastNodes, len(members.Records()))
	return retry.Allowance{Ratio: retryShare * given.Ratio, Burst: retryShare * given.Slack / float64(nodes)}
}

// connect closes the circles between the parts and registers the methods that
// nodes call on each other, before anything runs.
func connect(p parts) {
	p.Directory.View = p.Roster.View
	p.Peers.Resolve, p.Peers.Crosses = p.Members.Resolve, p.Members.Crosses
	p.Members.Register()
	p.Lease.Register()
	p.ServerRelay.Register()
	p.ManifestRelay.Register()
	placement.Register(p.Peers, p.Scheduler, p.Reporter)
	p.Poison.Learn = p.Dispatcher.LearnPoison
}
