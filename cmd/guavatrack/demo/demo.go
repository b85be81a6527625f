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

// options are the flags of the command.
type options struct {
	Check    bool `long:"check" description:"drive the demonstration and check what happens"`
	Platform bool `long:"platform" description:"run nodes on stand-ins of a platform that lists servers and keeps the manifest"`
	Log      bool `long:"log" description:"write the nodes' logs to standard error"`
}

// Command returns the demo command.
func Command() cli.Extra {
	given := &options{}
	return cli.Extra{
		Name: "demo", Short: "Run stand-ins and three nodes on loopback",
		Long:  "Run stand-ins for two users and three nodes over two regions on loopback, without settings.",
		Flags: given,
		Run:   func(ctx context.Context, app *cli.App) error { return run(ctx, app, given) },
	}
}

const (
	engines = 3
	// loadSpeed makes loads that much faster than today's, so that the
	// demonstration needn't wait.
	loadSpeed = 10
	keepFor   = 2 * time.Second
	anyPort   = "127.0.0.1:0"
)

// places are where the nodes stand.
var places = []fleet.Place{
	{Region: "bohemia-west", FailureDomain: "bohemia-west-a"},
	{Region: "bohemia-west", FailureDomain: "bohemia-west-b"},
	{Region: "bizkaia", FailureDomain: "bizkaia-a"},
}

// deployment is what the demonstration runs.
type deployment struct {
	site  *standin.Site
	nodes []*node.Node
	http  *http.Client
}

func run(ctx context.Context, app *cli.App, given *options) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "demo")
		}
	}()
	if given.Platform {
		return runHosted(ctx, app, given)
	}
	log := slog.New(slog.DiscardHandler)
	if given.Log {
		log = slog.New(slog.NewTextHandler(app.Err, nil))
	}
	in, err := start(ctx, log)
	if err != nil {
		return err
	}
	defer in.close()
	if given.Check {
		return check(ctx, app, in)
	}
	if err := in.print(app); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return nil
}

// start runs stand-ins and nodes and applies the two users' tickets.
func start(ctx context.Context, log *slog.Logger) (in *deployment, err error) {
	config := standin.Both().Resize(engines, 0, 0)
	config.Speed, config.ListLag = loadSpeed, 0
	site, err := standin.StartSite(config)
	if err != nil {
		return nil, err
	}
	in = &deployment{site: site, http: &http.Client{Timeout: time.Minute}}
	defer func() {
		if err != nil {
			in.close()
		}
	}()
	for _, place := range places {
		if err := in.startNode(ctx, place, log); err != nil {
			return nil, err
		}
	}
	for _, text := range [][]byte{examples.WreathsTicket, examples.PedalsTicket} {
		if err := in.apply(ctx, text); err != nil {
			return nil, err
		}
	}
	return in, in.waitReady(ctx)
}

func (in *deployment) startNode(ctx context.Context, place fleet.Place, log *slog.Logger) error {
	given := settings.Defaults()
	given.AllowPlainText = true
	given.Node.Place = place
	given.Callers.Listen, given.Operators.Listen, given.Peers.Listen = anyPort, anyPort, anyPort
	given.Table.Endpoint, given.VMList.URL = in.site.TableURL, in.site.VMListURL+"/vms"
	given.Drain.KeepFor = fleet.Duration(keepFor)
	started := node.New(given, log)
	if err := started.Start(ctx); err != nil {
		return err
	}
	in.nodes = append(in.nodes, started)
	return nil
}

func (in *deployment) apply(ctx context.Context, text []byte) error {
	given, err := ticket.Parse(text)
	if err != nil {
		return err
	}
	for model, deployment := range given.Deployments {
		in.site.Decide(fleet.Item{Model: model}, deployment.Replicas.Max)
		for adapter := range deployment.Adapters {
			in.site.Decide(fleet.Item{Model: model, Adapter: adapter}, deployment.Replicas.Max)
		}
	}
	client := &operator.Client{URL: "http://" + in.nodes[0].Addresses().Operators, HTTP: in.http}
	_, err = client.Apply(ctx, text, false)
	return err
}

const (
	readyLimit = 20 * time.Second
	readyPoll  = 50 * time.Millisecond
)

// waitReady waits until every node knows the others and both tickets.
func (in *deployment) waitReady(ctx context.Context) error {
	end := time.Now().Add(readyLimit)
	for {
		pending := ""
		for _, each := range in.nodes {
			client := &operator.Client{URL: "http://" + each.Addresses().Operators, HTTP: in.http}
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if status.NotReady != "" || len(status.Members) < len(in.nodes) || status.Revision < 2 {
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

// started is what the command prints when it only runs.
type started struct {
	Nodes []node.Addresses `json:"nodes"`
	Try   string           `json:"try"`
}

func (in *deployment) print(app *cli.App) error {
	result := started{}
	for _, each := range in.nodes {
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

// close stops the nodes at once and the stand-ins.
func (in *deployment) close() {
	for _, each := range in.nodes {
		select {
		case <-each.Drained():
		default:
			each.Stop()
		}
	}
	in.site.Close()
}
