package node

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/guavatrack/guavatrack/internal/caller"
	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/dynamo"
	"github.com/guavatrack/guavatrack/internal/edgelog"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/http1"
	"github.com/guavatrack/guavatrack/internal/keys"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/policy"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// providers constructs the components of a node. References between components
// that depend on each other are set by connect.
var providers = fx.Provide(
	newRegistry, newStore, newVMs, newPeers, newMembers, newConfig, newGrants, newPolicy,
	newDirectory, newCallers, newFactExchange, newEndpoints,
)

const (
	orderTimeout  = 5 * time.Second
	vmListTimeout = 5 * time.Second
)

// newRegistry returns a registry in which every counter is registered with the
// value 0, so that events that have not occurred yet are exposed as well.
func newRegistry() metrics.Registry {
	registry := metrics.NewRegistry()
	for _, doc := range Metrics() {
		if doc.Kind == metric.Counter {
			metrics.GetOrRegisterCounter(doc.Name, registry)
		}
	}
	return registry
}

// tableCredentials is the content of the table's credentials file.
type tableCredentials struct {
	AccessKeyID     string `json:"accessKeyId"`
	SecretAccessKey string `json:"secretAccessKey"`
}

func newStore(n *Node) (table.Store, error) {
	tableSettings := n.Settings.Table
	key := tableCredentials{AccessKeyID: "none", SecretAccessKey: "none"}
	if tableSettings.Credentials != "" {
		text, err := os.ReadFile(tableSettings.Credentials)
		if err != nil {
			return nil, errors.Wrap(err, "table credentials")
		}
		if err := json.Unmarshal(text, &key); err != nil {
			return nil, errors.Wrapf(err, "table credentials %s", tableSettings.Credentials)
		}
	}
	var provider aws.CredentialsProvider = credentials.NewStaticCredentialsProvider(
		key.AccessKeyID, key.SecretAccessKey, "")
	return dynamo.New(dynamo.Store{
		Endpoint: tableSettings.Endpoint, Region: tableSettings.SigningRegion, Table: tableSettings.Name, Credentials: provider,
		HTTP: http1.NewClient(tableSettings.Timeout.Std()),
	}), nil
}

func newVMs(n *Node, registry metrics.Registry) *vmlist.Cache {
	return &vmlist.Cache{
		Source: &vmlist.Client{
			URL:  strings.TrimSuffix(n.Settings.VMList.URL, "/vms"),
			HTTP: http1.NewClient(vmListTimeout),
		},
		Interval: n.Settings.VMList.Every.Std(), Log: n.Log, Metrics: registry,
	}
}

func newPeers(n *Node, registry metrics.Registry) (*peer.Peer, error) {
	peerSettings := n.Settings.Peers
	peers := &peer.Peer{Address: peerSettings.Listen, Log: n.Log, Metrics: registry}
	if peerSettings.Certificate != "" {
		pair, err := keys.NewPair(n.Log, peerSettings.Certificate, peerSettings.Key)
		if err != nil {
			return nil, errors.Wrap(err, "peers")
		}
		authorities, err := keys.NewAuthorities(n.Log, peerSettings.CA)
		if err != nil {
			return nil, errors.Wrap(err, "peers.ca")
		}
		peers.TLS = keys.Peer(pair, authorities)
	}
	return peers, nil
}

func newMembers(
	n *Node, peers *peer.Peer, store table.Store, sockets *endpoints, registry metrics.Registry,
) *member.Controller {
	return &member.Controller{
		Self: member.Info{
			Node: n.ID, Place: n.Settings.Node.Place,
			CallerAddress: sockets.addresses.Callers, PeerAddress: sockets.addresses.Peers,
			OperatorAddress: sockets.addresses.Operators, StartedAt: time.Now().UTC(),
		},
		Peers: peers, Store: store, Log: n.Log, Metrics: registry,
	}
}

func newConfig(
	n *Node, peers *peer.Peer, members *member.Controller, store table.Store, registry metrics.Registry,
) *config.Controller {
	return &config.Controller{
		Store: store, Node: n.ID, Region: n.Settings.Node.Region, Peers: peers, Membership: members,
		Log: n.Log, Metrics: registry,
	}
}

func newGrants(
	n *Node, store table.Store, vms *vmlist.Cache, configController *config.Controller, registry metrics.Registry,
) *grant.Controller {
	client := http1.NewClient(orderTimeout)
	return &grant.Controller{
		Node: n.ID, Store: store,
		Dial:    func(address string) grant.Engine { return &engine.Client{Address: address, HTTP: client} },
		Servers: vms.VMs, ListAsOf: vms.AsOf, Snapshot: configController.Snapshot,
		WritesPerSecond: float64(n.Settings.Table.WritesPerSecond), Log: n.Log, Metrics: registry,
	}
}

func newPolicy(
	n *Node, grants *grant.Controller, configController *config.Controller, store table.Store, registry metrics.Registry,
) *policy.Controller {
	weightStore := n.Settings.WeightStore
	return &policy.Controller{
		Node: n.ID, Grants: policyGrants{grants}, Snapshot: configController.Snapshot,
		WeightStore: policy.WeightStore{
			Concurrency: weightStore.Concurrent, LoadsPerSecond: weightStore.LoadsPerSecond,
			BytesPerSecond: weightStore.Bandwidth, AdaptersInFlight: weightStore.AdaptersInFlight,
			Region: weightStore.Region,
		},
		Table: store, Log: n.Log, Metrics: registry,
	}
}

func newCallers(
	n *Node, configController *config.Controller, vms *vmlist.Cache, replicas *directory, store table.Store,
	registry metrics.Registry,
) (*caller.Server, error) {
	server := &caller.Server{
		Snapshot: configController.Snapshot, Directory: replicas, Loader: replicas,
		Services: vms.InPool, Store: store, Place: n.Settings.Node.Place, Node: n.ID,
		Log: n.Log, Metrics: registry, Dial: n.Dial,
		MaxBody: n.Settings.Callers.MaxBody, Version: func() edgelog.Version {
			revision, since := configController.InForce()
			return edgelog.Version{Number: uint64(revision), Since: since}
		},
	}
	if file := n.Settings.Callers.Keys; file != "" {
		secrets, err := keys.NewSecrets(n.Log, file)
		if err != nil {
			return nil, errors.Wrap(err, "callers.keys")
		}
		server.Keys = callerKeys{secrets}
	}
	return server, nil
}

// callerKeys authenticates callers by the key in the Authorization header.
type callerKeys struct {
	secrets *keys.Secrets
}

var _ caller.Authenticator = callerKeys{}

func (k callerKeys) Authenticate(request *http.Request) (fleet.CallerID, error) {
	name, found := k.secrets.Bearer(request)
	if !found {
		return "", errors.New("no known key in the Authorization header")
	}
	return fleet.CallerID(name), nil
}

// connect sets the references between components that depend on each other,
// registers the methods that nodes call on each other, and serves the endpoints,
// before any controller runs.
func connect(n *Node, p components) error {
	p.Peers.Resolve = p.Members.Resolve
	p.Peers.InOtherRegion = p.Members.InOtherRegion
	p.Members.Stamp, p.Members.OnStamp = p.Config.Stamp, p.Config.ReceiveStamp
	p.Members.Register()
	p.Config.Register()
	p.Directory.register()
	p.Callers.PublishPoisonNotice = p.Facts.poison.Publish
	p.Policy.IsDecider = p.Directory.decidesLoads
	p.Policy.Forward = p.Directory.forwardWake
	p.Grants.Alive = p.Members.MayBeAlive
	p.Grants.DeploymentCondition = p.Config.DeploymentCondition
	p.Policy.LiveNodes = p.Directory.liveNodes
	p.Policy.SendUsage = p.Directory.sendUses
	if err := p.Endpoints.serve(n, p); err != nil {
		return err
	}
	return nil
}
