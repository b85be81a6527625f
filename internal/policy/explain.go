package policy

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Explanation says why an item is loaded or not, for the operators' status.
type Explanation struct {
	Item fleet.Item `json:"item"`
	// Decider says whether this node decides for the item. Other nodes know
	// less of it.
	Decider bool `json:"decider"`
	Ready   int  `json:"ready"`
	Loading int  `json:"loading"`
	// Active counts the requests between arrival and end.
	Active int `json:"active"`
	// Reason is a line for a person.
	Reason string `json:"reason"`
	// IdleSince is the end of the last request.
	IdleSince time.Time `json:"idleSince,omitzero"`
	// LoadedUntil is when an idle replica will be unloaded, and WakeAt when an
	// absent one will be loaded ahead of requests.
	LoadedUntil time.Time `json:"loadedUntil,omitzero"`
	WakeAt      time.Time `json:"wakeAt,omitzero"`
	// ExpectedCost is the expected price of the idle time and of the next cold
	// start, in the currency of the deployment's prices.
	ExpectedCost float64 `json:"expectedCost"`
	// Gaps is the weight of the gaps that the decision rests on.
	Gaps  float64 `json:"gaps"`
	Store string  `json:"store"`
}

// Explain returns why an item is loaded or not.
func (c *Controller) Explain(item fleet.Item) Explanation {
	c.init()
	explanation := Explanation{Item: item, Decider: c.decides(item), Store: c.weights().describe()}
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
		explanation.Reason = blockedUnknown
		return explanation
	}
	c.with(item, func(s *itemState) {
		explanation.Active = s.active
		explanation.Gaps = float64(s.pattern.wall.total)
		explanation.IdleSince = s.lastBusy
		schedule := c.schedule(s, costs)
		explanation.ExpectedCost = schedule.ExpectedCost
		explanation.explainIdle(s, schedule)
	})
	return explanation
}

// explainIdle says what the schedule means for an idle item.
func (e *Explanation) explainIdle(state *itemState, schedule Schedule) {
	now := time.Now()
	loaded, until := schedule.At(now.Sub(state.lastBusy))
	switch {
	case state.blocked != "":
		e.Reason = "load wanted: " + state.blocked
	case state.active > 0:
		e.Reason = "requests run"
	case now.Sub(state.wokenAt) <= waitingFor:
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

// describe says how the weight store is at present.
func (s Store) describe() string {
	switch {
	case s.Down:
		return "down: only cached checkpoints are loaded, and nothing is unloaded for being idle"
	case s.Slowness > slowStore:
		return "slow: items are kept longer"
	}
	return "normal"
}

// slowStore is the slowness from which status calls the store slow.
const slowStore = 1.5
