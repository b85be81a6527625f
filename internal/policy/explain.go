package policy

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Explanation tells operators why an item is loaded or not.
type Explanation struct {
	Item fleet.Item `json:"item"`
	// Decider is set if this node decides for the item. Other nodes have less
	// information about it.
	Decider bool `json:"decider"`
	Ready   int  `json:"ready"`
	Loading int  `json:"loading"`
	// Active is the number of requests that have arrived and not ended.
	Active int `json:"active"`
	// Reason is a human-readable line.
	Reason string `json:"reason"`
	// IdleSince is the end of the last request.
	IdleSince time.Time `json:"idleSince,omitzero"`
	// LoadedUntil is when an idle replica will be unloaded, WakeAt when an item
	// that is not loaded will be prewarmed.
	LoadedUntil time.Time `json:"loadedUntil,omitzero"`
	WakeAt      time.Time `json:"wakeAt,omitzero"`
	// ExpectedCost is the expected cost of the idle time and of the next cold
	// start, in the currency of the deployment's prices.
	ExpectedCost float64 `json:"expectedCost"`
	// GapWeight is the total weight of the observed gaps on which the decision is
	// based.
	GapWeight float64 `json:"gaps"`
	Store     string  `json:"store"`
}

// Explain returns why an item is loaded or not.
func (c *Controller) Explain(item fleet.Item) Explanation {
	c.init()
	explanation := Explanation{Item: item, Decider: c.isDecider(item), Store: c.currentStore().statusText()}
	for _, replica := range c.Grants.Replicas(item) {
		switch replica.State {
		case engine.Ready:
			explanation.Ready++
		case engine.Loading:
			explanation.Loading++
		default:
		}
	}
	costs, served := c.costs(c.Snapshot(), item)
	if !served {
		explanation.Reason = blockedNotConfigured
		return explanation
	}
	c.withState(item, func(s *itemState) {
		explanation.Active = s.active
		explanation.GapWeight = float64(s.pattern.wall.total)
		explanation.IdleSince = s.lastBusy
		schedule := c.schedule(s, costs)
		explanation.ExpectedCost = schedule.ExpectedCost
		explanation.setReason(s, schedule)
	})
	return explanation
}

// setReason sets the reason and the times that the schedule gives for an idle
// item.
func (e *Explanation) setReason(state *itemState, schedule Schedule) {
	now := time.Now()
	loaded, until := schedule.At(now.Sub(state.lastBusy))
	switch {
	case state.blockedReason != "":
		e.Reason = "load wanted: " + state.blockedReason
	case state.active > 0:
		e.Reason = "requests run"
	case now.Sub(state.lastWaiting) <= waitingExpiry:
		e.Reason = "requests wait"
	case state.lastBusy.IsZero():
		e.Reason = "no request seen"
	case loaded && e.Ready > 0:
		e.Reason = "kept: a request before loadedUntil is worth the idle time"
		e.LoadedUntil = state.lastBusy.Add(until)
	case loaded:
		e.Reason = "to be loaded ahead of an expected request"
		e.WakeAt = now
	case until > 0:
		e.Reason = "absent: to be loaded ahead of an expected request"
		e.WakeAt = state.lastBusy.Add(until)
	default:
		e.Reason = "absent: idle time would cost more than a cold start"
	}
}

// statusText describes the present condition of the weight store.
func (s WeightStore) statusText() string {
	switch {
	case s.Down:
		return "down: only cached checkpoints are loaded, and nothing is unloaded for being idle"
	case s.Slowness > slowThreshold:
		return "slow: items are kept longer"
	}
	return "normal"
}

// slowThreshold is the slowness above which the status reports the store as
// slow.
const slowThreshold = 1.5
