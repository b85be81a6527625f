package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"runtime/debug"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/http1"
	"github.com/guavatrack/guavatrack/internal/lookup"
	"github.com/guavatrack/guavatrack/internal/operator"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// whereCommand sends a look-up request, as a caller does.
type whereCommand struct {
	app    *App
	Caller string `long:"caller-address" env:"GUAVATRACK_CALLERS" default:"http://127.0.0.1:8080" description:"address of a node's endpoint for callers"`
	Region string `long:"region" description:"the caller's region"`
	Args   struct {
		Model string `positional-arg-name:"MODEL" required:"true"`
	} `positional-args:"true"`
}

// Execute implements [flags.Commander].
func (c *whereCommand) Execute([]string) error {
	if !strings.Contains(c.Caller, "://") {
		c.Caller = "http://" + c.Caller
	}
	query := url.Values{"model": {c.Args.Model}}
	if c.Region != "" {
		query.Set("region", c.Region)
	}
	address := strings.TrimSuffix(c.Caller, "/") + "/v1/where?" + query.Encode()
	request, err := http.NewRequestWithContext(c.app.ctx, http.MethodGet, address, nil)
	if err != nil {
		return usageError{"--caller-address: " + err.Error()}
	}
	response, err := http1.NewClient(clientTimeout).Do(request)
	if err != nil {
		return errors.Join(operator.ErrUnreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return &operator.StatusError{
			Status: response.StatusCode, Answer: operator.Error{Message: "look-up: " + response.Status},
		}
	}
	var answer lookup.Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return errors.Wrap(err, "answer of the look-up")
	}
	return c.app.Print(answer, func(t *Table) {
		t.Row("ADDRESS", "KEEP FOR")
		for _, callerAddress := range answer.Addresses {
			t.Row(callerAddress, answer.KeepFor)
		}
	})
}

// statusCommand shows the fleet or one item.
type statusCommand struct {
	app *App
	connection
	Args struct {
		Item string `positional-arg-name:"MODEL"`
	} `positional-args:"true"`
}

// Execute implements [flags.Commander].
func (c *statusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.Args.Item != "" {
		return c.item(client)
	}
	status, err := client.Status(c.app.ctx)
	if err != nil {
		return err
	}
	return c.app.Print(status, func(t *Table) { writeStatusRows(t, &status) })
}

// item shows the replicas of one item and the policy's explanation.
func (c *statusCommand) item(client *operator.Client) error {
	status, err := client.ItemStatus(c.app.ctx, c.Args.Item)
	if err != nil {
		return err
	}
	return c.app.Print(status, func(t *Table) {
		t.Row("REPLICA ON", "REGION", "STATE", "PROGRESS", "RUNNING", "QUEUED", "GRANT")
		for i := range status.Replicas {
			replica := &status.Replicas[i]
			t.Row(replica.Server, replica.Region, replica.State, fmt.Sprintf("%.0f%%", 100*replica.Progress),
				replica.Running, replica.Queued, replica.Grant)
		}
		explained, err := json.MarshalIndent(status.Policy, "", "  ")
		if err == nil && status.Policy != nil {
			t.Row("why:", string(explained))
		}
	})
}

func writeStatusRows(t *Table, status *operator.Status) {
	t.Row("node", status.Node, status.Region, status.FailureDomain)
	t.Row("revision", status.Revision, "digest", status.Digest)
	if status.NotReady != "" {
		t.Row("not ready", status.NotReady)
	}
	t.Row()
	t.Row("MEMBER", "REGION", "FAILURE DOMAIN", "CALLERS", "OPERATORS", "LEAVING")
	for i := range status.Members {
		m := &status.Members[i]
		t.Row(m.Node, m.Region, m.FailureDomain, m.CallerAddress, m.OperatorAddress, m.Leaving)
	}
	t.Row()
	t.Row("SERVER", "POOL", "REGION", "MEMORY", "RESERVED", "HOLDS")
	for i := range status.Servers {
		s := &status.Servers[i]
		held := make([]string, 0, len(s.Held))
		for _, grant := range s.Held {
			held = append(held, grant.Item+" "+string(grant.State))
		}
		t.Row(s.Server, s.Pool, s.Region, s.Memory, s.Reserved, strings.Join(held, ", "))
	}
}

// auditCommand shows the audit trail.
type auditCommand struct {
	app *App
	connection
	Since string `long:"since" description:"only entries from this time, such as 2026-12-04T06:00:00Z; at most 31 days back (default: the last 7 days)"`
	Limit int    `long:"limit" default:"50" description:"how many at most"`
}

// Execute implements [flags.Commander].
func (c *auditCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	entries, err := client.Audit(c.app.ctx, c.Since, c.Limit)
	if err != nil {
		return err
	}
	return c.app.Print(entries, func(t *Table) {
		t.Row("AT", "ACTOR", "ACTION", "SUBJECT", "DETAIL")
		for i := range entries {
			entry := &entries[i]
			t.Row(entry.At.Format(time.RFC3339), entry.Actor, entry.Action, entry.Subject, entry.Detail)
			for _, change := range entry.Changes {
				t.Row("", "", change.Action, change.Kind+" "+change.Name, formatChange(change))
			}
		}
	})
}

// formatChange returns the path and the values before and after a change; it is empty
// for a change without a path.
func formatChange(change ticket.Change) string {
	if change.Path == "" {
		return ""
	}
	return fmt.Sprintf("%s: %s -> %s", change.Path, change.Before, change.After)
}

// drainCommand starts to drain a node.
type drainCommand struct {
	app *App
	connection
}

// Execute implements [flags.Commander].
func (c *drainCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := client.Drain(c.app.ctx)
	if err != nil {
		return err
	}
	return c.app.Print(answer, func(t *Table) { t.Row("node", answer.Node, "drains; its process ends by itself") })
}

// logLevelCommand sets a node's log level.
type logLevelCommand struct {
	app *App
	connection
	Args struct {
		Level string `positional-arg-name:"LEVEL" required:"true" description:"debug, info, warn or error"`
	} `positional-args:"true"`
}

// Execute implements [flags.Commander].
func (c *logLevelCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := client.SetLogLevel(c.app.ctx, c.Args.Level)
	if err != nil {
		return err
	}
	return c.app.Print(answer, func(t *Table) { t.Row("level", answer.Level) })
}

// checkCommand validates a settings file.
type checkCommand struct {
	app  *App
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements [flags.Commander].
func (c *checkCommand) Execute([]string) error {
	read, err := settings.Read(c.Args.File)
	if err != nil {
		return err
	}
	return c.app.Print(read, func(t *Table) { t.Row(c.Args.File, "is right") })
}

// defaultsCommand writes the default settings to standard output.
type defaultsCommand struct{ app *App }

// Execute implements [flags.Commander].
func (c *defaultsCommand) Execute([]string) error {
	defaults := settings.Defaults()
	text, err := defaults.Format()
	if err != nil {
		return err
	}
	_, err = c.app.Out.Write(text)
	return err
}

// completionCommand writes a completion script for bash.
type completionCommand struct{ app *App }

// completionScript runs the program in the completion mode of go-flags.
const completionScript = `_%[1]s() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _%[1]s %[1]s
`

// Execute implements [flags.Commander].
func (c *completionCommand) Execute([]string) error {
	_, err := fmt.Fprintf(c.app.Out, completionScript, c.app.Name)
	return err
}

// versionCommand shows the version.
type versionCommand struct{ app *App }

// Version is the version of the program and of the Go release that built it.
type Version struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Execute implements [flags.Commander].
func (c *versionCommand) Execute([]string) error {
	version := Version{Version: "unknown", Go: "unknown"}
	if info, found := debug.ReadBuildInfo(); found {
		version = Version{Version: info.Main.Version, Go: info.GoVersion}
	}
	return c.app.Print(version, func(t *Table) { t.Row(c.app.Name, version.Version, version.Go) })
}
