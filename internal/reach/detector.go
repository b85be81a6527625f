// Package reach detects that a node reaches no backend server. A single server that can't
// be reached says little: it may have crashed. If none of several servers can be, the node
// itself is cut off, and others may still reach them.
package reach

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/wait"
)

// Detector detects that no connection to any backend server can be opened. The exported
// fields are set before use.
type Detector struct {
	// Servers returns the addresses of the backend servers.
	Servers func() []string
	// Dial opens a connection to a server, within a timeout of its own.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnChange is called when the node is found cut off, and when that has ended. It may
	// be nil.
	OnChange func(cutOff bool)
	Log      *slog.Logger

	once     sync.Once
	suspects wait.Signal
	cutOff   atomic.Bool
}

const (
	// probes is the number of servers that are tried at once, rounds how often that has to
	// fail: some of many servers may be lost at one time.
	probes = 4
	rounds = 2
	// probePause is the pause between two tries while the node is cut off, and after one
	// that has shown that it is not.
	probePause = 250 * time.Millisecond
)

func (d *Detector) init() {
	d.once.Do(func() {
		d.suspects = wait.NewSignal()
		d.Log = logs.OrDiscard(d.Log)
	})
}

// CutOff reports whether the node reaches no backend server.
func (d *Detector) CutOff() bool { return d.cutOff.Load() }

// Suspect has other servers tried since no connection to one could be opened. It does not
// block.
func (d *Detector) Suspect() {
	d.init()
	d.suspects.Notify()
}

// Run tries servers after each suspicion until the context ends.
func (d *Detector) Run(ctx context.Context) error {
	d.init()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.suspects:
		}
		if began := time.Now(); d.reachesNone(ctx) {
			d.set(true, 0)
			for wait.For(ctx, probePause) && !d.ReachesAny(ctx) {
			}
			d.set(false, time.Since(began))
		}
		wait.For(ctx, probePause)
	}
}

// reachesNone reports whether no server was reached in any of the rounds.
func (d *Detector) reachesNone(ctx context.Context) bool {
	for range rounds {
		if d.ReachesAny(ctx) || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// set records whether the node is cut off.
func (d *Detector) set(cutOff bool, after time.Duration) {
	d.cutOff.Store(cutOff)
	if cutOff {
		d.Log.Warn("no backend server reached")
	} else {
		d.Log.Info("backend servers reached again", slog.Duration("after", after))
	}
	if d.OnChange != nil {
		d.OnChange(cutOff)
	}
}

// ReachesAny reports whether a connection to one of some servers, drawn at random, can be
// opened. Without servers it reports true.
func (d *Detector) ReachesAny(ctx context.Context) bool {
	addresses := d.Servers()
	if len(addresses) == 0 {
		return true
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), probes)]
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { results <- d.reaches(ctx, address) }()
	}
	for range addresses {
		if <-results {
			return true
		}
	}
	return false
}

func (d *Detector) reaches(ctx context.Context, address string) bool {
	conn, err := d.Dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
