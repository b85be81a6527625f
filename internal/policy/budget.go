package policy

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// budgetPartition holds the ledgers.
const budgetPartition = "budgets"

// Periods of holding a share.
const (
	renewBefore = 8 * time.Second // the end of the term
	// releaseAdapters is how long a share of adapter loads is kept unused, so
	// that a load does not cost a write. A share of model loads is given back
	// at once: others wait for it, and each such load costs a write anyway.
	releaseAdapters = 3 * time.Second
)

// longestModelLoad is the time after which a base model's load by a dead node
// no longer counts against the store's concurrency.
const longestModelLoad = 2 * time.Minute

// modelBudget is the budget of base models in flight from the store.
func modelBudget(store Store) Budget {
	loads := store.Concurrency
	if loads <= 0 {
		loads = defaultConcurrentLoads
	}
	return Budget{Loads: loads, Term: AdapterBudget.Term, LongestLoad: longestModelLoad, Skew: AdapterBudget.Skew}
}

// Limits of a weight store about which nothing is configured.
const (
	defaultConcurrentLoads = 4
	defaultLoadsPerSecond  = 4
)

// shareHolder keeps this node's share of one budget. It writes to the table
// only when the share must grow, be renewed or be given back.
type shareHolder struct {
	Budget
	key table.Key
	// releaseIdle is how long an unused share is kept.
	releaseIdle time.Duration
	share       Share
	usedAt      time.Time
	askedAt     time.Time
}

// Time between two attempts of a node to change its share: all nodes together
// make at most 100 a second.
const (
	askPauseFloor   = 100 * time.Millisecond
	askPausePerNode = 10 * time.Millisecond
)

func askPause(liveNodes int) time.Duration {
	return max(askPauseFloor, time.Duration(liveNodes)*askPausePerNode)
}

// slots returns how many further loads may start now. Without a table the node
// is alone and has the whole budget.
func (h *shareHolder) slots(ctx context.Context, store table.Store, node fleet.NodeID, need shareNeed) int {
	if store == nil {
		return max(0, h.Loads-need.inFlight)
	}
	if need.queued+need.inFlight > 0 {
		h.usedAt = need.now
	}
	if want, due := h.due(need); due && need.now.Sub(h.askedAt) >= askPause(need.liveNodes) {
		h.askedAt = need.now
		h.ask(ctx, store, node, want, need) // on error the share stays as it is
	}
	if !need.now.Before(h.share.Until) {
		return 0
	}
	return max(0, h.share.Loads-need.inFlight)
}

// shareNeed is what a node needs a share for.
type shareNeed struct {
	inFlight, queued, liveNodes int
	now                         time.Time
}

// greedyPause is how long a node leaves a slot to others before it takes more
// than its fair part.
const greedyPause = 300 * time.Millisecond

// due returns the share to ask for, if it is time to ask. A node may take more
// than its fair part of what is free, and gives that back load by load, so that
// other nodes can have it in between.
func (h *shareHolder) due(need shareNeed) (want int, due bool) {
	want = h.Want(need.inFlight, need.queued, need.liveNodes)
	idle := need.inFlight+need.queued == 0 && need.now.Sub(h.usedAt) >= h.releaseIdle
	switch {
	case want > h.share.Loads:
		return want, true
	case h.share.Loads > want && h.releaseIdle == 0 && want > 0:
		return want, true
	case need.queued > 0 && need.inFlight >= h.share.Loads && need.now.Sub(h.askedAt) >= greedyPause:
		return need.inFlight + need.queued, true
	case h.share.Loads == 0:
		return 0, false
	case idle:
		return 0, true
	}
	return max(want, h.share.Loads), h.share.Until.Sub(need.now) < renewBefore
}

// ask changes the share in the ledger by one conditional write.
func (h *shareHolder) ask(ctx context.Context, store table.Store, node fleet.NodeID, want int, need shareNeed) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	record, err := store.Get(ctx, h.key)
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return
	}
	var ledger Ledger
	if err == nil && json.Unmarshal(record.Body, &ledger) != nil {
		return // an unreadable ledger gives no shares
	}
	ledger, share := ledger.Ask(h.Budget, node, want, need.inFlight, need.now)
	if share == h.share {
		return
	}
	body, err := json.Marshal(ledger)
	if err != nil {
		return
	}
	write := table.Write{Key: h.key, Expect: record.Version, Body: body}
	err = store.Transact(ctx, table.Token(uuid.NewString()), []table.Write{write})
	switch {
	case err == nil:
		h.share = share
	case errors.Is(err, table.ErrUnknown):
		// The share is at least the lower of both, whichever took effect.
		h.share.Loads = min(h.share.Loads, share.Loads)
	}
}

// pacer spaces the starts of loads from the store by its rate.
type pacer struct{ next time.Time }

// allow returns how many of some loads may start now at a rate per second, with
// a burst of a second's worth at most.
func (p *pacer) allow(perSecond float64, now time.Time) int {
	if earliest := now.Add(-time.Second); p.next.Before(earliest) {
		p.next = earliest
	}
	return int(math.Floor(now.Sub(p.next).Seconds() * perSecond))
}

// take counts loads that were started.
func (p *pacer) take(loads int, perSecond float64) {
	p.next = p.next.Add(time.Duration(float64(loads) / perSecond * float64(time.Second)))
}

// adapterBudget returns the budget of adapter loads from a store.
func adapterBudget(store Store) Budget {
	budget := AdapterBudget
	if store.AdaptersInFlight > 0 {
		budget.Loads = store.AdaptersInFlight
	}
	return budget
}
