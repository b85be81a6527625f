package dispatch

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// maxLoadRefusalChecks bounds the checks of refusals that are outstanding at once. Refusals
// beyond are not checked, nor counted.
const maxLoadRefusalChecks = 1024

// loadRefusalChecks counts the checks that are outstanding.
type loadRefusalChecks struct{ outstanding atomic.Int64 }

// loadRefusal is the refusal of a call whose model will not be loaded in time. It holds
// nothing else of the call, which has ended when the refusal is checked.
type loadRefusal struct {
	call       fleet.RequestID
	pool       fleet.PoolID
	item       fleet.Item
	software   fleet.SoftwareVersion
	restricted bool
	refusedAt  time.Time
	// estimate is the time to the end of the load that the refusal relied on.
	estimate time.Duration
	// bound is the time by which the model had to be loaded.
	bound time.Time
}

// loadBound returns the time by which the model of a call has to be loaded.
func loadBound(call *Call) time.Time {
	if !call.StartBy.IsZero() && call.StartBy.Before(call.Deadline) {
		return call.StartBy
	}
	return call.Deadline
}

// checkLoadRefusal has a refusal checked against what then happens, if a call was refused
// since its model will not be loaded in time.
func (d *Dispatcher) checkLoadRefusal(call *Call, now time.Time, err error) {
	refused, isRefusal := errors.Into[*refusal.Refusal](err)
	if !isRefusal || refused.Reason != refusal.DeadlineUnreachable {
		return
	}
	if d.loadRefusals.outstanding.Add(1) > maxLoadRefusalChecks {
		d.loadRefusals.outstanding.Add(-1)
		return
	}
	software, restricted := call.restriction()
	check := loadRefusal{
		call: call.ID, pool: call.Pool, item: call.Item, software: software, restricted: restricted,
		refusedAt: now, estimate: refused.RetryAfter, bound: loadBound(call),
	}
	d.meters.loadRefusals.Inc(1)
	time.AfterFunc(check.bound.Sub(now), func() { d.endLoadRefusalCheck(&check) })
}

// endLoadRefusalCheck counts a refusal as false if a server that might have run the call has
// its model at the bound of the call. A model that was loaded before and is gone again, or
// that nothing loaded because the call was refused, isn't seen.
func (d *Dispatcher) endLoadRefusalCheck(check *loadRefusal) {
	d.loadRefusals.outstanding.Add(-1)
	for _, replica := range usable(d.Directory.Replicas(check.item, check.pool)) {
		if check.restricted && replica.Software != check.software {
			continue
		}
		d.meters.loadRefusalsFalse.Inc(1)
		d.Log.Info("model of a refused request was loaded in time", slog.String("request", string(check.call)),
			slog.String("item", check.item.String()), slog.String("software", string(check.software)),
			slog.String("server", string(replica.Server)), slog.Duration("estimate", check.estimate),
			slog.Duration("left", check.bound.Sub(check.refusedAt)))
		return
	}
}
