package dispatch

import (
	"math"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// RateLimits holds the limits that servers have named, and shares them with the other
// nodes: each request to such a server needs a token.
type RateLimits interface {
	// RecordLimit records the limit that a run of a server has named with an answer, in
	// requests a second, RecordNoLimit that it has named none.
	RecordLimit(server fleet.ServerID, boot fleet.BootID, limit float64)
	RecordNoLimit(server fleet.ServerID, boot fleet.BootID)
	// Available returns the number of requests that may be sent to a run of a server now.
	Available(server fleet.ServerID, boot fleet.BootID) int
	// Take takes a token for one and reports whether there was one.
	Take(server fleet.ServerID, boot fleet.BootID) bool
	// Want records that a request waits for a token of a server.
	Want(server fleet.ServerID)
	// ReadyIn returns the time until a request may be sent to a run of a server.
	ReadyIn(server fleet.ServerID, boot fleet.BootID) time.Duration
	// ShareOf returns this node's share of the limit of a run of a server, in requests a
	// second; 0 if it has none.
	ShareOf(server fleet.ServerID, boot fleet.BootID) float64
}

// noRateLimits is used if servers name no limits.
type noRateLimits struct{}

func (noRateLimits) RecordLimit(fleet.ServerID, fleet.BootID, float64)         {}
func (noRateLimits) RecordNoLimit(fleet.ServerID, fleet.BootID)                {}
func (noRateLimits) Available(fleet.ServerID, fleet.BootID) int                { return math.MaxInt }
func (noRateLimits) Take(fleet.ServerID, fleet.BootID) bool                    { return true }
func (noRateLimits) Want(fleet.ServerID)                                       {}
func (noRateLimits) ReadyIn(fleet.ServerID, fleet.BootID) (none time.Duration) { return 0 }
func (noRateLimits) ShareOf(fleet.ServerID, fleet.BootID) (unlimited float64)  { return 0 }

// RecordLimit records the limit that the server has named with its answer, in requests a
// second from all nodes together.
func (a *Attempt) RecordLimit(perSecond float64) {
	a.dispatcher.RateLimits.RecordLimit(a.Replica.Server, a.Replica.Boot, perSecond)
}

// RecordNoLimit records that the server has named no limit with its answer.
func (a *Attempt) RecordNoLimit() {
	a.dispatcher.RateLimits.RecordNoLimit(a.Replica.Server, a.Replica.Boot)
}

// wantTokens records that a call finds no slot, so that tokens are requested of the
// servers of its replicas that have none.
func (d *Dispatcher) wantTokens(replicas []Replica) {
	for i := range replicas {
		if d.RateLimits.Available(replicas[i].Server, replicas[i].Boot) == 0 {
			d.RateLimits.Want(replicas[i].Server)
		}
	}
}

// startInterval returns the average time between two calls that this node may send to the
// servers of the replicas, if all of them have named a limit; 0 otherwise.
func (d *Dispatcher) startInterval(replicas []Replica) time.Duration {
	perSecond := 0.0
	for i := range replicas {
		if !d.countsLocally(replicas, i) {
			continue
		}
		share := d.RateLimits.ShareOf(replicas[i].Server, replicas[i].Boot)
		if share == 0 {
			return 0
		}
		perSecond += share
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / perSecond)
}
