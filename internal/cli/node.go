package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/guavatrack/guavatrack/internal/node"
	"github.com/guavatrack/guavatrack/internal/settings"
)

// nodeCommand runs a node until it has drained.
type nodeCommand struct {
	app      *App
	Settings string `long:"settings" env:"GUAVATRACK_NODE_FILE" required:"true" description:"settings file"`
}

// Execute implements [flags.Commander]. The first SIGTERM or interrupt drains
// the node; a second one cuts the drain short and stops the node at once.
func (c *nodeCommand) Execute([]string) error {
	nodeSettings, err := settings.Read(c.Settings)
	if err != nil {
		return err
	}
	if nodeSettings.Platform != nil {
		return c.hosted(nodeSettings)
	}
	level := new(slog.LevelVar)
	log, err := NewLog(c.app.Err, nodeSettings.Log, level)
	if err != nil {
		return err
	}
	running := node.New(nodeSettings, log)
	running.Level = level
	if err := running.Start(c.app.ctx); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-running.Drained():
	case <-signals:
		ctx, cancel := context.WithCancel(c.app.ctx)
		go func() {
			<-signals
			cancel()
		}()
		defer cancel()
		_, _ = running.Drain(ctx)
	}
	report, err := running.Drain(c.app.ctx)
	if err != nil {
		return err
	}
	return c.app.Print(report, func(t *Table) { t.Row("cut off", report.CutOff, "took", report.Took) })
}

// NewLog returns a logger with the format of the settings, and sets level to theirs.
func NewLog(out io.Writer, logSettings settings.Log, level *slog.LevelVar) (*slog.Logger, error) {
	if err := level.UnmarshalText([]byte(logSettings.Level)); err != nil {
		return nil, usageError{fmt.Sprintf("log.level: %v", err)}
	}
	options := &slog.HandlerOptions{Level: level}
	if logSettings.Format == "text" {
		return slog.New(slog.NewTextHandler(out, options)), nil
	}
	return slog.New(slog.NewJSONHandler(out, options)), nil
}
