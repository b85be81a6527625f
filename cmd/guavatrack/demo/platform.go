package demo

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/cli"
	"github.com/guavatrack/guavatrack/internal/hosted"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/platform/standin"
)

// Sizes, intervals and limits of the demonstration on a platform.
const (
	hostedNodes  = 3
	hostedModels = 12
	eventTime    = 20 * time.Millisecond
	handOver     = 300 * time.Millisecond
	nodeMemory   = 256 * fleet.MiB
	// nodeDescriptors is the limit of open file descriptors of a process.
	nodeDescriptors = 4096
	// retrySlack is the number of retries allowed in addition to the share of
	// requests.
	retrySlack = 50
)

// runHosted starts stand-ins of the users' platform and nodes that use it, then
// checks them or serves until it is interrupted.
func runHosted(ctx context.Context, app *cli.App, opts *options) error {
	log := slog.New(slog.DiscardHandler)
	if opts.Log {
		log = slog.New(slog.NewTextHandler(app.Err, nil))
	}
	site := &standin.Site{Engines: 3, Services: 2, Models: hostedModels, EventTime: eventTime}
	if err := site.Start(); err != nil {
		return err
	}
	defer site.Close()
	var nodes []*hosted.Node
	for at := range hostedNodes {
		node := &hosted.Node{Settings: hostedSettings(site, at), Log: log}
		if err := node.Start(ctx); err != nil {
			return err
		}
		defer node.Stop()
		nodes = append(nodes, node)
	}
	if err := waitHostedReady(nodes); err != nil {
		return err
	}
	if opts.Check {
		return checkHosted(app, site, nodes)
	}
	if err := printHosted(app, nodes); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return nil
}

// hostedSettings returns the settings of the node with index at, which uses the
// stand-ins of the site.
func hostedSettings(site *standin.Site, at int) settings.Settings {
	nodeSettings := site.NodeSettings(fmt.Sprint("vm", at))
	nodeSettings.Platform.KeepFor, nodeSettings.Platform.Grace = fleet.Duration(keepFor), fleet.Duration(4*keepFor)
	nodeSettings.Platform.HandOver, nodeSettings.Platform.Retries.Slack = fleet.Duration(handOver), retrySlack
	nodeSettings.Platform.Memory, nodeSettings.Platform.Descriptors = nodeMemory, nodeDescriptors
	return nodeSettings
}

// waitHostedReady waits until all nodes are ready. It fails after readyLimit.
func waitHostedReady(nodes []*hosted.Node) error {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(readyPoll) {
		ready := true
		for _, node := range nodes {
			ready = ready && node.Ready() == nil
		}
		if ready {
			return nil
		}
	}
	return errors.Errorf("nodes not ready within %s", readyLimit)
}

// hostedStartOutput is what the command prints when it runs without the check.
type hostedStartOutput struct {
	Nodes []hosted.Addresses `json:"nodes"`
	Try   string             `json:"try"`
}

func printHosted(app *cli.App, nodes []*hosted.Node) error {
	result := hostedStartOutput{}
	for _, node := range nodes {
		result.Nodes = append(result.Nodes, node.Addresses())
	}
	result.Try = "curl -sN " + strings.Join(standin.CurlArguments(result.Nodes[0].Callers, "m11"), " ")
	return app.Print(result, func(t *cli.Table) {
		t.Row("VM", "CALLERS", "LOOK-UP", "METRICS")
		for at, addresses := range result.Nodes {
			t.Row(fmt.Sprint("vm", at), addresses.Callers, addresses.Lookup, addresses.Metrics)
		}
		t.Row()
		t.Row("Try:")
		t.Row(result.Try)
		t.Row("Stop with ctrl-C.")
	})
}

// hostedOutcome is the result of one step of the check.
type hostedOutcome struct {
	Name string        `json:"name"`
	Held bool          `json:"held"`
	Took time.Duration `json:"took"`
	Seen string        `json:"seen"`
}

// checkHosted requests each model as many times as there are nodes, calls a plain
// service, and checks the answers and the violations that the stand-ins recorded.
func checkHosted(app *cli.App, site *standin.Site, nodes []*hosted.Node) error {
	steps := []hostedOutcome{
		runHostedStep("every model at every node", func() (string, bool) {
			complete := 0
			for at := range hostedModels * len(nodes) {
				text, err := ask(nodes[at%len(nodes)], standin.Resumable+"chat", fmt.Sprint("m", at%hostedModels))
				if err == nil && strings.Contains(text, "piece 8") {
					complete++
				}
			}
			return fmt.Sprintf("%d whole answers", complete), complete == hostedModels*len(nodes)
		}),
		runHostedStep("a call of a plain service", func() (string, bool) {
			text, err := ask(nodes[0], standin.Once+"book", "")
			return strings.TrimSpace(text), err == nil && strings.Contains(text, "POST /once/book by")
		}),
		runHostedStep("promises kept", func() (string, bool) {
			breaches := site.Ledger.Breaches()
			return fmt.Sprintf("%d breaches seen by the stand-ins", len(breaches)), len(breaches) == 0
		}),
	}
	held := true
	err := app.Print(steps, func(t *cli.Table) {
		t.Row("STEP", "HELD", "TOOK", "SEEN")
		for _, step := range steps {
			t.Row(step.Name, step.Held, step.Took.Round(time.Millisecond), step.Seen)
		}
	})
	for _, step := range steps {
		held = held && step.Held
	}
	if err == nil && !held {
		err = errors.New("a step did not hold")
	}
	return err
}

// runHostedStep runs a step of the check and measures how long it takes.
func runHostedStep(name string, step func() (string, bool)) hostedOutcome {
	began := time.Now()
	seen, held := step()
	return hostedOutcome{Name: name, Held: held, Took: time.Since(began), Seen: seen}
}

// ask sends a POST request to a node and returns the body of the answer.
func ask(node *hosted.Node, path, model string) (string, error) {
	answer, err := standin.Ask(node.Addresses().Callers, http.MethodPost, path, model, "{}")
	return answer.Body, err
}
