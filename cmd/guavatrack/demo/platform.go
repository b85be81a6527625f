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

// Sizes of the demonstration on a platform.
const (
	hostedNodes  = 3
	hostedModels = 12
	eventTime    = 20 * time.Millisecond
	handOver     = 300 * time.Millisecond
	nodeMemory   = 256 * fleet.MiB
	// nodeDescriptors is what a process may open.
	nodeDescriptors = 4096
	// retrySlack is the number of further attempts beyond the share of requests.
	retrySlack = 50
)

// runHosted runs stand-ins of the users' platform and nodes on it.
func runHosted(ctx context.Context, app *cli.App, given *options) error {
	log := slog.New(slog.DiscardHandler)
	if given.Log {
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
	if err := waitHosted(nodes); err != nil {
		return err
	}
	if given.Check {
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

// hostedSettings returns the settings of a node on the stand-ins.
func hostedSettings(site *standin.Site, at int) settings.Settings {
	given := site.NodeSettings(fmt.Sprint("vm", at))
	given.Platform.KeepFor, given.Platform.Grace = fleet.Duration(keepFor), fleet.Duration(4*keepFor)
	given.Platform.HandOver, given.Platform.Retries.Slack = fleet.Duration(handOver), retrySlack
	given.Platform.Memory, given.Platform.Descriptors = nodeMemory, nodeDescriptors
	return given
}

func waitHosted(nodes []*hosted.Node) error {
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

// startedHosted is what the command prints when it only runs.
type startedHosted struct {
	Nodes []hosted.Addresses `json:"nodes"`
	Try   string             `json:"try"`
}

func printHosted(app *cli.App, nodes []*hosted.Node) error {
	result := startedHosted{}
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

// hostedStep is one step of the check.
type hostedStep struct {
	Name string        `json:"name"`
	Held bool          `json:"held"`
	Took time.Duration `json:"took"`
	Seen string        `json:"seen"`
}

// checkHosted asks for every model at every node and checks what comes.
func checkHosted(app *cli.App, site *standin.Site, nodes []*hosted.Node) error {
	steps := []hostedStep{
		askHosted("every model at every node", func() (string, bool) {
			whole := 0
			for at := range hostedModels * len(nodes) {
				text, err := ask(nodes[at%len(nodes)], standin.Resumable+"chat", fmt.Sprint("m", at%hostedModels))
				if err == nil && strings.Contains(text, "piece 8") {
					whole++
				}
			}
			return fmt.Sprintf("%d whole answers", whole), whole == hostedModels*len(nodes)
		}),
		askHosted("a call of a plain service", func() (string, bool) {
			text, err := ask(nodes[0], standin.Once+"book", "")
			return strings.TrimSpace(text), err == nil && strings.Contains(text, "POST /once/book by")
		}),
		askHosted("promises kept", func() (string, bool) {
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

func askHosted(name string, step func() (string, bool)) hostedStep {
	began := time.Now()
	seen, held := step()
	return hostedStep{Name: name, Held: held, Took: time.Since(began), Seen: seen}
}

// ask sends a request to a node and returns the answer's body.
func ask(node *hosted.Node, path, model string) (string, error) {
	answer, err := standin.Ask(node.Addresses().Callers, http.MethodPost, path, model, "{}")
	return answer.Body, err
}
