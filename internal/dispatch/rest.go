package dispatch

import (
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/internal/pace"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// RecordRest records that a run of a server's process wants no requests of this node for a
// time. That says nothing about its health.
func (d *Dispatcher) RecordRest(server fleet.ServerID, boot fleet.BootID, duration time.Duration) {
	d.once.Do(d.setUp)
	until := time.Now().Add(duration)
	state := d.servers.get(server)
	if state.recordRest(boot, until) {
		state.expectRecovery(pace.Rested)
		d.Log.Info("server wants no requests", slog.String("server", string(server)), slog.Duration("for", duration))
	}
}

// RestUntil returns until when a run of a server's process wants no requests of this node.
func (d *Dispatcher) RestUntil(server fleet.ServerID, boot fleet.BootID) time.Time {
	d.once.Do(d.setUp)
	state := d.servers.get(server)
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.restOf(boot)
}

// restOf returns until when a run wants no requests. The caller holds the lock.
func (s *serverState) restOf(boot fleet.BootID) (until time.Time) {
	if boot != s.restBoot {
		return time.Time{}
	}
	return s.restUntil
}

// recordRest records until when a run wants no requests and reports whether that is later
// than recorded before.
func (s *serverState) recordRest(boot fleet.BootID, until time.Time) (later bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !until.After(s.restOf(boot)) {
		return false
	}
	s.restBoot, s.restUntil = boot, until
	return true
}

// recordLeaving records that a run of the server's process leaves.
func (s *serverState) recordLeaving(boot fleet.BootID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavingBoot = boot
}

// closedTo reports whether a run of the server's process gets no requests for now,
// because it wants none or leaves.
func (s *serverState) closedTo(now time.Time, boot fleet.BootID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closedToLocked(now, boot)
}

// closedToLocked is closedTo for a caller that holds the lock.
func (s *serverState) closedToLocked(now time.Time, boot fleet.BootID) bool {
	return now.Before(s.restOf(boot)) || boot != "" && boot == s.leavingBoot
}

// restLeft returns the time for which a run still wants no requests.
func (s *serverState) restLeft(now time.Time, boot fleet.BootID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.restOf(boot).Sub(now))
}
