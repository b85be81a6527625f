package hosted

import (
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/guavatrack/guavatrack/internal/backend"
	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/forward"
	"github.com/guavatrack/guavatrack/internal/http1"
	"github.com/guavatrack/guavatrack/internal/lease"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/origin"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/placement"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/quota"
	"github.com/guavatrack/guavatrack/internal/ratelimit"
	"github.com/guavatrack/guavatrack/internal/reach"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/platform"
)

// providers constructs the components of a node. References between components
// that depend on each other are set by connect.
var providers = fx.Provide(
	metrics.NewRegistry, newStore, newTable, newServerRelay, newManifestRelay, newRoster, newManifestExchange, newPeers, newMembers, newLease,
	newDirectory, newReporter, platform.NewEngines, newScheduler, newExchange, newReach, newForwarder, newOrigins, newDispatcher, newGossip, newLeaveNotices, newRateLimits, newQuotaLease, newQuotas, newEndpoints,
)

const (
	// storeDialTimeout bounds the time to connect to the store.
	storeDialTimeout = 400 * time.Millisecond
	storeIdleTimeout = 30 * time.Second
	// maxStoreHeader is the maximum size of the header of the store's answers, in bytes.
	maxStoreHeader = 64 << 10
	// gossipInterval is the time between two messages to other nodes. A node that
	// has failed is suspected within a few intervals.
	gossipInterval = 500 * time.Millisecond
	// leaseDuration is how long the lease is valid without a renewal. It is longer
	// than most outages of the store, so that the holder can give orders during an
	// outage. shortLeaseDuration is the time after which a deputy may replace a
	// holder from which it receives no messages.
	leaseDuration      = 8 * time.Second
	shortLeaseDuration = 2500 * time.Millisecond
)

// leaseKey is the key of the record of the lease, whose holder gives the orders.
var leaseKey = table.Key{Partition: "orders", Sort: "lease"}

func newStore(n *Node) *platform.Store {
	pooled := http1.New(&http.Transport{
		DialContext: (&net.Dialer{Timeout: storeDialTimeout}).DialContext, IdleConnTimeout: storeIdleTimeout,
		MaxIdleConnsPerHost: 4, DisableCompression: true, MaxResponseHeaderBytes: maxStoreHeader,
	})
	return &platform.Store{
		Address: n.Settings.Platform.Store, HTTP: &http.Client{Transport: pooled}, Fresh: &http.Client{Transport: pooled.WithoutReuse()},
	}
}

// guarded returns a feed of the store whose lost responses are given up.
func guarded[T any](store *platform.Store, source roster.Feed[T]) *roster.Guard[T] {
	return &roster.Guard[T]{Source: source, Probe: store.Probe, GaveUp: store.HTTP.CloseIdleConnections}
}

func newTable(store *platform.Store) table.Store {
	return &platform.Table{Store: store, Guarded: map[string]bool{leaseKey.Partition: true, quotaLeaseKey.Partition: true}}
}

func newServerRelay(
	n *Node, store *platform.Store, peers *peer.Peer, members *member.Controller, sockets *endpoints, registry metrics.Registry,
) *roster.Relay[roster.ServerEntry] {
	return &roster.Relay[roster.ServerEntry]{
		Name: "servers",
		Source: guarded[roster.ServerEntry](store, &platform.Servers{
			Store: store, Regions: n.Settings.Platform.Regions, Log: n.Log, Metrics: registry,
			Nodes: func() []string { return nodeAddresses(sockets.addresses, members) },
		}),
		Key:       func(entry roster.ServerEntry) string { return string(entry.ID) },
		IsRemoval: func(entry roster.ServerEntry) bool { return entry.Server == nil && !entry.Unreadable },
		Node:      n.ID, Ranked: func() []fleet.NodeID { return members.Ranked("servers") }, Peers: peers,
		MaxAge: maxServersCopyAge, Log: n.Log,
	}
}

// Ages of a reader's copies from which on other nodes do not read them. They are above the
// pause of the feed and a wait for changes together.
const (
	maxServersCopyAge  = 2400 * time.Millisecond
	maxManifestCopyAge = 2 * time.Second
)

func newManifestRelay(
	n *Node, store *platform.Store, peers *peer.Peer, members *member.Controller, registry metrics.Registry,
) *roster.Relay[*roster.Manifest] {
	return &roster.Relay[*roster.Manifest]{
		Name:      "manifest",
		Source:    guarded[*roster.Manifest](store, &platform.Manifests{Store: store, Log: n.Log, Metrics: registry}),
		Key:       func(*roster.Manifest) string { return "" },
		IsRemoval: func(*roster.Manifest) bool { return false }, Format: roster.ManifestFormat,
		Node: n.ID, Ranked: func() []fleet.NodeID { return members.Ranked("manifest") }, Peers: peers,
		MaxAge: maxManifestCopyAge, Log: n.Log,
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

func newManifestExchange(
	n *Node, rosterController *roster.Controller, peers *peer.Peer, members *member.Controller, registry metrics.Registry,
) *roster.ManifestExchange {
	return &roster.ManifestExchange{Roster: rosterController, Peers: peers, Announce: members.ExchangeSoon, Log: n.Log, Metrics: registry}
}

// messageShare divides the memory for messages of other nodes: the largest message is in memory
// twice while it is decoded.
const messageShare = 2

func newPeers(n *Node, registry metrics.Registry) *peer.Peer {
	limits := n.Settings.Platform.EffectiveLimits()
	return &peer.Peer{
		Address: n.Settings.Peers.Listen, MaxInbound: limits.PeerConnections, MaxPerAddress: limits.ConnectionsPerAddress,
		InboundMemory: n.peerMemory, MaxMessage: int64(limits.PeerMemory) / messageShare, Log: n.Log, Metrics: registry,
	}
}

func newMembers(
	n *Node, peers *peer.Peer, store table.Store, sockets *endpoints, registry metrics.Registry,
) *member.Controller {
	return &member.Controller{
		Self: member.Info{
			Node: n.ID, Place: n.Settings.Node.Place, CallerAddress: sockets.addresses.Callers,
			PeerAddress: sockets.addresses.Peers, ForwardAddress: sockets.addresses.Forward,
			Starting: true, StartedAt: time.Now().UTC(),
			Weight: n.Settings.Platform.Cores,
		},
		Peers: peers, Store: store, Interval: gossipInterval, Log: n.Log, Metrics: registry,
	}
}

// vmID identifies the VM to engines and in the lease. It includes the address, so
// that a VM that replaces another one under the same name has a different ID.
func (n *Node) vmID() string { return n.Settings.Node.Name + "@" + n.Settings.Peers.Listen }

func newLease(
	n *Node, platformStore *platform.Store, store table.Store, members *member.Controller, peers *peer.Peer,
) *lease.Controller {
	return &lease.Controller{
		State: lease.State{
			VM: n.vmID(), Node: n.ID, LeaseDuration: leaseDuration,
			HandoverDelay: n.Settings.Platform.HandOver.Std(), ShortLeaseDuration: shortLeaseDuration,
		},
		Deputies: func() []fleet.NodeID { return n.deputies(members) }, Peers: peers,
		Store: store, Era: platformStore.Era, Key: leaseKey, ClaimDelay: func() time.Duration { return n.claimDelay(members) }, Log: n.Log,
	}
}

// quotaLease is the lease of the owner of the organisations' accounts.
type quotaLease struct{ *lease.Controller }

// quotaLeaseKey is the key of its record.
var quotaLeaseKey = table.Key{Partition: "quota", Sort: "lease"}

// quotaLeaseDuration is how long the lease is valid without a renewal while the deputy
// promises not to claim it: longer than the store turns single nodes away, since no tokens are
// granted from then on until another owner has followed.
const quotaLeaseDuration = 16 * time.Second

func newQuotaLease(
	n *Node, platformStore *platform.Store, store table.Store, members *member.Controller, peers *peer.Peer,
) quotaLease {
	return quotaLease{&lease.Controller{
		Name:     "quota",
		State:    lease.State{VM: n.vmID(), Node: n.ID, LeaseDuration: quotaLeaseDuration, ShortLeaseDuration: shortLeaseDuration},
		Deputies: func() []fleet.NodeID { return n.deputies(members) }, Peers: peers,
		Store: store, Era: platformStore.Era, Key: quotaLeaseKey, ClaimDelay: func() time.Duration { return n.claimDelay(members) }, Log: n.Log,
	}}
}

func newQuotas(
	n *Node, rosterController *roster.Controller, members *member.Controller, owner quotaLease, peers *peer.Peer,
	registry metrics.Registry,
) *quota.Controller {
	return &quota.Controller{
		Node: n.ID, VM: n.vmID(), Lease: owner, Peers: peers, Manifest: func() *roster.Manifest { return rosterController.View().Manifest },
		Claimants: func() []fleet.NodeID { return claimants(members) }, Facts: members, Log: n.Log, Metrics: registry,
	}
}

func newDirectory() *placement.Directory { return &placement.Directory{} }

func newReporter(
	n *Node, directory *placement.Directory, rosterController *roster.Controller, leaseController *lease.Controller,
	peers *peer.Peer,
) *placement.Reporter {
	return &placement.Reporter{
		Node: n.ID, Region: n.Settings.Node.Region, Directory: directory, View: rosterController.View, Lease: leaseController,
		Peers: peers, Log: n.Log,
	}
}

func newScheduler(
	n *Node, rosterController *roster.Controller, leaseController *lease.Controller,
	engines *platform.Engines, peers *peer.Peer, registry metrics.Registry,
) *placement.Scheduler {
	return &placement.Scheduler{
		Holder: n.vmID(), View: rosterController.View, Lease: leaseController,
		Engines: engines, Peers: peers, Node: n.ID,
		StoreLoads: n.Settings.WeightStore.Concurrent, AdapterLoads: n.Settings.WeightStore.AdaptersInFlight,
		Log: n.Log, Metrics: registry,
	}
}

func newExchange(n *Node, rosterController *roster.Controller, directory *placement.Directory) *platform.Exchange {
	exchange := platform.NewExchange(rosterController.View, n.DialServers)
	exchange.ListAge, exchange.LateOrder, exchange.Log = rosterController.ServersAge, directory.LateOrder, n.Log
	return exchange
}

// newReach returns the detector of a cut between this node and all backend servers.
func newReach(
	n *Node, rosterController *roster.Controller, exchange *platform.Exchange, members *member.Controller,
) *reach.Detector {
	detector := &reach.Detector{
		Servers: func() (addresses []string) {
			for _, server := range rosterController.View().Servers {
				addresses = append(addresses, server.Address)
			}
			return addresses
		},
		Dial: exchange.Dial, OnChange: members.AnnounceCutOff, Log: n.Log,
	}
	exchange.DialFailed, exchange.ReachesAny = detector.Suspect, detector.ReachesAny
	return detector
}

// forwardDialTimeout bounds the time to connect to a node that takes a request.
const forwardDialTimeout = 300 * time.Millisecond

func newForwarder(n *Node, members *member.Controller) *forward.Forwarder {
	transport := http1.New(&http.Transport{
		DialContext: backend.RecordConns((&net.Dialer{Timeout: forwardDialTimeout}).DialContext), DisableCompression: true,
		DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeader,
	})
	return &forward.Forwarder{Nodes: func() []forward.Node { return n.forwardTargets(members) }, Transport: transport, Log: n.Log}
}

func newOrigins(
	n *Node, platformStore *platform.Store, store table.Store, rosterController *roster.Controller,
	leaseController *lease.Controller, peers *peer.Peer, members *member.Controller, engines *platform.Engines,
	registry metrics.Registry,
) *origin.Controller {
	return &origin.Controller{
		Traces: engines, Store: store, Era: platformStore.Era, View: rosterController.View, Peers: peers,
		Nodes: func() []fleet.NodeID { return n.others(members) }, Sweeps: leaseController.IsHolder, Log: n.Log, Metrics: registry,
	}
}

func newDispatcher(
	n *Node, directory *placement.Directory, reporter *placement.Reporter, exchange *platform.Exchange,
	members *member.Controller, store table.Store, gossip *poison.Gossip, origins *origin.Controller, limits *ratelimit.Controller,
	rosterController *roster.Controller, registry metrics.Registry,
) *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Directory: directory, Loader: reporter, LoadWhenFull: true, Organisations: true, Prober: exchange, Origins: origins, RateLimits: limits, Store: store,
		Nodes: members.KnownNodes, Place: n.Settings.Node.Place, Node: n.ID, Allowance: func() retry.Allowance { return n.allowance(members) },
		Pace: func() dispatch.PaceMode {
			return paceMode(n.current.Load().ServerPace, rosterController.View().Manifest)
		},
		PublishPoisonNotice: gossip.Publish, PoisonPollInterval: poisonPollInterval, Log: n.Log, Metrics: registry,
	}
}

// paceMode returns whether the pace of servers counts, by the setting and the manifest, which
// may be nil. Organisations compete for little room, which a recovered server that is flooded
// or idle lacks.
func paceMode(setting string, manifest *roster.Manifest) dispatch.PaceMode {
	switch {
	case setting == settings.ServerPaceOff:
		return dispatch.PaceNever
	case setting == settings.ServerPaceAdaptive, manifest != nil && len(manifest.Organisations) > 0:
		return dispatch.PaceAlways
	default:
		return dispatch.PaceReported
	}
}

// poisonPollInterval is the time between two reads of notices from the store. It is
// long because gossip delivers them sooner.
const poisonPollInterval = time.Minute

func newGossip(n *Node, members *member.Controller) *poison.Gossip {
	return &poison.Gossip{Node: n.ID, Facts: members, Log: n.Log}
}

func newLeaveNotices(n *Node, rosterController *roster.Controller, members *member.Controller) *roster.LeaveNotices {
	return &roster.LeaveNotices{Node: n.ID, Roster: rosterController, Facts: members, Log: n.Log}
}

func newRateLimits(
	n *Node, rosterController *roster.Controller, members *member.Controller, peers *peer.Peer, registry metrics.Registry,
) *ratelimit.Controller {
	return &ratelimit.Controller{
		Node: n.ID, Peers: peers, Facts: members, Log: n.Log, Metrics: registry,
		Owner: func(server fleet.ServerID) fleet.NodeID {
			found := rosterController.View().Servers[server]
			if found == nil {
				return ""
			}
			return ownerOf(server, found.Region, members)
		},
	}
}

const (
	// retryShare is the share of the fleet's retry allowance that the nodes use.
	// minNodes is the minimum number of nodes by which the burst is divided: some
	// nodes may not be discovered yet, and a restarted node has a full budget again.
	retryShare = 0.8
	minNodes   = 8
)

// allowance returns the node's share of the fleet's retry allowance.
func (n *Node) allowance(members *member.Controller) retry.Allowance {
	retries := n.current.Load().Retries
	nodes := max(minNodes, members.KnownNodes())
	return retry.Allowance{Ratio: retryShare * retries.Ratio, Burst: retryShare * retries.Slack / float64(nodes)}
}

// connect sets the references between components that depend on each other and
// registers the methods that nodes call on each other, before any component runs.
func connect(n *Node, p components) {
	p.Directory.View, p.Directory.Leaving = p.Roster.View, p.LeaveNotices
	p.Scheduler.Limited = p.RateLimits.IsLimited
	p.Scheduler.Inherited, p.Lease.Note = p.Lease.Inherited, p.Scheduler.Note
	p.Engines.Leaving, p.Engines.Rests, p.Engines.Limits = p.LeaveNotices, p.Dispatcher, p.RateLimits
	p.Exchange.Rests = p.Dispatcher
	p.Peers.Resolve, p.Peers.InOtherRegion = p.Members.Resolve, p.Members.InOtherRegion
	p.Store.OnRestored = n.storeRestored
	p.Members.Register()
	p.Lease.Register()
	p.Origins.Register(p.Peers)
	p.ServerRelay.Register()
	p.ManifestRelay.Register()
	p.RateLimits.Register()
	p.QuotaLease.Register()
	p.Quotas.Register()
	p.ManifestExchange.Register()
	p.Members.Stamp, p.Members.OnStamp = p.ManifestExchange.Stamp, p.ManifestExchange.ReceiveStamp
	placement.Register(p.Peers, p.Scheduler, p.Reporter)
	p.Poison.Merge = p.Dispatcher.MergePoisonNotice
}
