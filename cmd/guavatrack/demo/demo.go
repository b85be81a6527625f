// Package demo runs the whole system in one process on loopback: stand-ins for
// the platform and for the backend servers of two users, and three nodes in two
// regions.
package demo

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/examples"
	"github.com/guavatrack/guavatrack/internal/cli"
	"github.com/guavatrack/guavatrack/internal/node"
	"github.com/guavatrack/guavatrack/internal/operator"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// options holds the flags of the command.
type options struct {
	Check    bool `long:"check" description:"drive the demonstration and check what happens"`
	Platform bool `long:"platform" description:"run nodes on stand-ins of a platform that lists servers and keeps the manifest"`
	Log      bool `long:"log" description:"write the nodes' logs to standard error"`
}

// Command returns the demo command.
func Command() cli.Extra {
	opts := &options{}
	return cli.Extra{
		Name: "demo", Short: "Run stand-ins and three nodes on loopback",
		Long:  "Run stand-ins for two users and three nodes over two regions on loopback, without settings.",
		Flags: opts,
		Run:   func(ctx context.Context, app *cli.App) error { return run(ctx, app, opts) },
	}
}

const (
	engineCount = 3
	// loadSpeed is the factor by which models load faster than on present
	// servers, which shortens the demonstration.
	loadSpeed = 10
	keepFor   = 2 * time.Second
	anyPort   = "127.0.0.1:0"
)

// places lists the region and failure domain of each node.
var places = []fleet.Place{
	{Region: "bohemia-west", FailureDomain: "bohemia-west-a"},
	{Region: "bohemia-west", FailureDomain: "bohemia-west-b"},
	{Region: "bizkaia", FailureDomain: "bizkaia-a"},
}

// system holds the stand-ins and nodes of the demonstration.
type system struct {
	site  *standin.Site
	nodes []*node.Node
	http  *http.Client
}

func run(ctx context.Context, app *cli.App, opts *options) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "demo")
		}
	}()
	if opts.Platform {
		return runHosted(ctx, app, opts)
	}
	log := slog.New(slog.DiscardHandler)
	if opts.Log {
		log = slog.New(slog.NewTextHandler(app.Err, nil))
	}
	sys, err := start(ctx, log)
	if err != nil {
		return err
	}
	defer sys.close()
	if opts.Check {
		return check(ctx, app, sys)
	}
	if err := sys.print(app); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return nil
}

// start starts stand-ins and nodes, applies the tickets of the two users and
// waits until the nodes are ready.
func start(ctx context.Context, log *slog.Logger) (sys *system, err error) {
	config := standin.Both().Resize(engineCount, 0, 0)
	config.Speed, config.ListLag = loadSpeed, 0
	site, err := standin.StartSite(config)
	if err != nil {
		return nil, err
	}
	sys = &system{site: site, http: &http.Client{Timeout: time.Minute}}
	defer func() {
		if err != nil {
			sys.close()
		}
	}()
	for _, place := range places {
		if err := sys.startNode(ctx, place, log); err != nil {
			return nil, err
		}
	}
	for _, text := range [][]byte{examples.WreathsTicket, examples.PedalsTicket} {
		if err := sys.apply(ctx, text); err != nil {
			return nil, err
		}
	}
	return sys, sys.waitReady(ctx)
}

func (sys *system) startNode(ctx context.Context, place fleet.Place, log *slog.Logger) error {
	nodeSettings := settings.Defaults()
	nodeSettings.AllowPlainText = true
	nodeSettings.Node.Place = place
	nodeSettings.Callers.Listen, nodeSettings.Operators.Listen, nodeSettings.Peers.Listen = anyPort, anyPort, anyPort
	nodeSettings.Table.Endpoint, nodeSettings.VMList.URL = sys.site.TableURL, sys.site.VMListURL+"/vms"
	nodeSettings.Drain.KeepFor = fleet.Duration(keepFor)
	started := node.New(nodeSettings, log)
	if err := started.Start(ctx); err != nil {
		return err
	}
	sys.nodes = append(sys.nodes, started)
	return nil
}

func (sys *system) apply(ctx context.Context, text []byte) error {
	parsed, err := ticket.Parse(text)
	if err != nil {
		return err
	}
	for model, deployment := range parsed.Deployments {
		sys.site.Decide(fleet.Item{Model: model}, deployment.Replicas.Max)
		for adapter := range deployment.Adapters {
			sys.site.Decide(fleet.Item{Model: model, Adapter: adapter}, deployment.Replicas.Max)
		}
	}
	client := &operator.Client{URL: "http://" + sys.nodes[0].Addresses().Operators, HTTP: sys.http}
	_, err = client.Apply(ctx, text, false)
	return err
}

const (
	readyLimit = 20 * time.Second
	readyPoll  = 50 * time.Millisecond
)

// waitReady waits until every node is ready, lists all nodes as members and has
// both tickets. It fails after readyLimit.
func (sys *system) waitReady(ctx context.Context) error {
	end := time.Now().Add(readyLimit)
	for {
		pending := ""
		for _, each := range sys.nodes {
			client := &operator.Client{URL: "http://" + each.Addresses().Operators, HTTP: sys.http}
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if status.NotReady != "" || len(status.Members) < len(sys.nodes) || status.Revision < 2 {
				pending = fmt.Sprintf("node %s: %d members, revision %d, %s",
					status.Node, len(status.Members), status.Revision, status.NotReady)
			}
		}
		if pending == "" {
			return nil
		}
		if time.Now().After(end) {
			return errors.Errorf("nodes not ready within %s: %s", readyLimit, pending)
		}
		time.Sleep(readyPoll)
	}
}

// startOutput is what the command prints when it runs without the check.
type startOutput struct {
	Nodes []node.Addresses `json:"nodes"`
	Try   string           `json:"try"`
}

func (sys *system) print(app *cli.App) error {
	result := startOutput{}
	for _, each := range sys.nodes {
		result.Nodes = append(result.Nodes, each.Addresses())
	}
	result.Try = fmt.Sprintf(`curl -sN http://%s/v1/chat/completions -H 'Content-Type: application/json' `+
		`-d '{"model":"hop-advisor","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"a wreath for a door"}]}'`,
		result.Nodes[0].Callers)
	return app.Print(result, func(t *cli.Table) {
		t.Row("REGION", "CALLERS", "OPERATORS", "PEERS")
		for i, addresses := range result.Nodes {
			t.Row(places[i].Region, addresses.Callers, addresses.Operators, addresses.Peers)
		}
		t.Row()
		t.Row("Try:")
		t.Row(result.Try)
		t.Row("guavatrack status --node " + result.Nodes[0].Operators)
		t.Row("Stop with ctrl-C.")
	})
}

// close stops the nodes that are not drained, without draining them, and the
// stand-ins.
func (sys *system) close() {
	for _, each := range sys.nodes {
		select {
		case <-each.Drained():
		default:
			each.Stop()
		}
	}
	sys.site.Close()
}
