package dispatch

import (
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// RecordRest records that a server wants no requests of this node for a time. That
// says nothing about its health.
func (d *Dispatcher) RecordRest(server fleet.ServerID, duration time.Duration) {
	d.once.Do(d.setUp)
	until := time.Now().Add(duration)
	if d.servers.get(server).recordRest(until) {
		d.Log.Info("server wants no requests", slog.String("server", string(server)), slog.Duration("for", duration))
	}
}

// RestUntil returns until when a server wants no requests of this node.
func (d *Dispatcher) RestUntil(server fleet.ServerID) time.Time {
	d.once.Do(d.setUp)
	state := d.servers.get(server)
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.restUntil
}

// recordRest records until when the server wants no requests and reports whether that
// is later than recorded before.
func (s *serverState) recordRest(until time.Time) (later bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !until.After(s.restUntil) {
		return false
	}
	s.restUntil = until
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
	return now.Before(s.restUntil) || boot != "" && boot == s.leavingBoot
}

// restLeft returns the time for which the server still wants no requests.
func (s *serverState) restLeft(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.restUntil.Sub(now))
}
