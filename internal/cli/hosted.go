package cli

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/internal/hosted"
	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/settings"
)

// logCloseTimeout bounds the time for writing the buffered log lines on exit.
const logCloseTimeout = 300 * time.Millisecond

// hosted runs a node on a platform until it has drained. SIGHUP reloads the
// settings; SIGTERM or an interrupt starts the drain.
func (c *nodeCommand) hosted(nodeSettings settings.Settings) error {
	level := new(slog.LevelVar)
	if err := level.UnmarshalText([]byte(nodeSettings.Log.Level)); err != nil {
		return usageError{fmt.Sprintf("log.level: %v", err)}
	}
	sink := logs.New(c.app.Out)
	log := slog.New(sink.Handler(&slog.HandlerOptions{Level: level})).With(slog.String("vm", nodeSettings.Node.Name))
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), logCloseTimeout)
		defer cancel()
		sink.Close(ctx)
	}()
	running := &hosted.Node{Settings: nodeSettings, Log: log}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	if err := running.Start(c.app.ctx); err != nil {
		log.Error("node failed to start", slog.Any("error", err))
		return err
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		c.reload(running, log)
	}
	running.Drain(c.app.ctx)
	return nil
}

// reload reads the settings file again and applies it. An invalid file, or one
// without a platform, is logged and changes nothing.
func (c *nodeCommand) reload(running *hosted.Node, log *slog.Logger) {
	reloaded, err := settings.Read(c.Settings)
	if err != nil || reloaded.Platform == nil {
		log.Error("settings not reloaded", slog.Any("error", err))
		return
	}
	running.Reload(reloaded)
}
