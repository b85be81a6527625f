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
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/grant"
	"github.com/guavatrack/guavatrack/internal/keys"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/peer"
	"github.com/guavatrack/guavatrack/internal/policy"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// providers makes the parts of a node. What needs each other in a circle is
// put together by connect.
var providers = fx.Provide(
	newRegistry, newStore, newVMs, newPeers, newMembers, newConfig, newGrants, newPolicy,
	newDirectory, newCallers, newFacts, newEndpoints,
)

const (
	orderTimeout  = 5 * time.Second
	vmListTimeout = 5 * time.Second
)

// newRegistry returns a registry in which every counter stands at 0 from the
// start, so that what has not happened yet is shown as well.
func newRegistry() metrics.Registry {
	registry := metrics.NewRegistry()
	for _, doc := range Metrics() {
		if doc.Kind == metric.Counter {
			metrics.GetOrRegisterCounter(doc.Name, registry)
		}
	}
	return registry
}

// secretKey is the content of the table's credentials file.
type secretKey struct {
	AccessKeyID     string `json:"accessKeyId"`
	SecretAccessKey string `json:"secretAccessKey"`
}

func newStore(n *Node) (table.Store, error) {
	given := n.Settings.Table
	key := secretKey{AccessKeyID: "none", SecretAccessKey: "none"}
	if given.Credentials != "" {
		text, err := os.ReadFile(given.Credentials)
		if err != nil {
			return nil, errors.Wrap(err, "table credentials")
		}
		if err := json.Unmarshal(text, &key); err != nil {
			return nil, errors.Wrapf(err, "table credentials %s", given.Credentials)
		}
	}
	var provider aws.CredentialsProvider = credentials.NewStaticCredentialsProvider(
		key.AccessKeyID, key.SecretAccessKey, "")
	return dynamo.New(dynamo.Store{
		Endpoint: given.Endpoint, Region: given.SigningRegion, Table: given.Name, Credentials: provider,
		HTTP: &http.Client{Timeout: given.Timeout.Std()},
	}), nil
}

func newVMs(n *Node, registry metrics.Registry) *vmlist.Cache {
	return &vmlist.Cache{
		Source: &vmlist.Client{
			URL:  strings.TrimSuffix(n.Settings.VMList.URL, "/vms"),
			HTTP: &http.Client{Timeout: vmListTimeout},
		},
		Interval: n.Settings.VMList.Every.Std(), Log: n.Log, Metrics: registry,
	}
}

func newPeers(n *Node, registry metrics.Registry) (*peer.Peer, error) {
	given := n.Settings.Peers
	peers := &peer.Peer{Address: given.Listen, Log: n.Log, Metrics: registry}
	if given.Certificate != "" {
		pair, err := keys.NewPair(n.Log, given.Certificate, given.Key)
		if err != nil {
			return nil, errors.Wrap(err, "peers")
		}
		nodes, err := keys.NewAuthorities(n.Log, given.CA)
		if err != nil {
			return nil, errors.Wrap(err, "peers.ca")
		}
		peers.TLS = keys.Peer(pair, nodes)
	}
	return peers, nil
}

func newMembers(
	n *Node, peers *peer.Peer, store table.Store, open *endpoints, registry metrics.Registry,
) *member.Controller {
	return &member.Controller{
		Self: member.Info{
			Node: n.ID, Place: n.Settings.Node.Place,
			CallerAddress: open.addresses.Callers, PeerAddress: open.addresses.Peers,
			OperatorAddress: open.addresses.Operators, StartedAt: time.Now().UTC(),
		},
		Peers: peers, Store: store, Log: n.Log, Metrics: registry,
	}
}

func newConfig(
	n *Node, peers *peer.Peer, members *member.Controller, store table.Store, registry metrics.Registry,
) *config.Controller {
	return &config.Controller{
		Store: store, Node: n.ID, Region: n.Settings.Node.Region, Peers: peers, Group: members,
		Log: n.Log, Metrics: registry,
	}
}

func newGrants(
	n *Node, store table.Store, vms *vmlist.Cache, known *config.Controller, registry metrics.Registry,
) *grant.Controller {
	client := &http.Client{Timeout: orderTimeout}
	return &grant.Controller{
		Node: n.ID, Store: store,
		Dial:    func(address string) grant.Engine { return &engine.Client{Address: address, HTTP: client} },
		Servers: vms.VMs, ListAsOf: vms.AsOf, Snapshot: known.Snapshot,
		WritesPerSecond: float64(n.Settings.Table.WritesPerSecond), Log: n.Log, Metrics: registry,
	}
}

func newPolicy(
	n *Node, grants *grant.Controller, known *config.Controller, store table.Store, registry metrics.Registry,
) *policy.Controller {
	weights := n.Settings.WeightStore
	return &policy.Controller{
		Node: n.ID, Grants: policyGrants{grants}, Snapshot: known.Snapshot,
		Weights: policy.Store{
			Concurrency: weights.Concurrent, LoadsPerSecond: weights.LoadsPerSecond,
			BytesPerSecond: weights.Bandwidth, AdaptersInFlight: weights.AdaptersInFlight,
			Region: weights.Region,
		},
		Store: store, Log: n.Log, Metrics: registry,
	}
}

func newCallers(
	n *Node, known *config.Controller, vms *vmlist.Cache, replicas *directory, store table.Store,
	registry metrics.Registry,
) (*caller.Server, error) {
	server := &caller.Server{
		Snapshot: known.Snapshot, Directory: replicas, Waker: replicas,
		Services: vms.InPool, Store: store, Place: n.Settings.Node.Place, Node: n.ID,
		Log: n.Log, Metrics: registry, Dial: n.Dial,
		MaxBody: n.Settings.Callers.MaxBody,
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

// callerKeys recognises callers by the key in the Authorization header.
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

// connect closes the circles between the parts and registers the methods that
// nodes call on each other, before anything runs.
func connect(n *Node, p parts) error {
	p.Peers.Resolve = p.Members.Resolve
	p.Peers.Crosses = p.Members.Crosses
	p.Members.Stamp, p.Members.Heard = p.Config.Stamp, p.Config.Heard
	p.Members.Register()
	p.Config.Register()
	p.Directory.register()
	p.Callers.SpreadPoison = p.Facts.poison.Spread
	p.Policy.Decides = p.Directory.decides
	p.Policy.Forward = p.Directory.forward
	p.Grants.Alive = p.Members.MayLive
	p.Grants.DeploymentCondition = p.Config.Decided
	p.Policy.Live = p.Directory.live
	p.Policy.Tell = p.Directory.tell
	if err := p.Endpoints.serve(n, p); err != nil {
		return err
	}
	return nil
}
