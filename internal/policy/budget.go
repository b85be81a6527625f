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

// budgetPartition is the table partition of the ledgers.
const budgetPartition = "budgets"

// Durations that govern how a node keeps its share.
const (
	shareRenewalMargin = 8 * time.Second // before the end of the term
	// adapterShareIdleTimeout is how long an unused share of adapter loads is
	// kept, so that not every load costs a write. A share of model loads is
	// released at once: other nodes wait for it, and each such load costs a
	// write anyway.
	adapterShareIdleTimeout = 3 * time.Second
)

// maxModelLoadTime bounds the load of a base model. After this time a load that
// a dead node started no longer counts against the concurrency of the weight
// store.
const maxModelLoadTime = 2 * time.Minute

// modelBudget returns the budget of base model loads in flight from the weight
// store.
func modelBudget(store WeightStore) Budget {
	loads := store.Concurrency
	if loads <= 0 {
		loads = defaultConcurrentLoads
	}
	return Budget{Loads: loads, Term: AdapterBudget.Term, LongestLoad: maxModelLoadTime, Skew: AdapterBudget.Skew}
}

// Limits of a weight store that are used where none are configured.
const (
	defaultConcurrentLoads = 4
	defaultLoadsPerSecond  = 4
)

// budgetShare manages this node's share of one budget. It writes to the table
// only when the share grows, is renewed or is released.
type budgetShare struct {
	Budget
	key table.Key
	// idleTimeout is how long an unused share is kept.
	idleTimeout   time.Duration
	share         Share
	lastUsed      time.Time
	lastRequestAt time.Time
}

// Minimum time between two attempts of a node to change its share. All nodes
// together make at most 100 attempts a second.
const (
	minShareRequestInterval     = 100 * time.Millisecond
	shareRequestIntervalPerNode = 10 * time.Millisecond
)

// shareRequestInterval returns the minimum time between two attempts of one
// node.
func shareRequestInterval(liveNodes int) time.Duration {
	return max(minShareRequestInterval, time.Duration(liveNodes)*shareRequestIntervalPerNode)
}

// slots returns how many more loads may start now. Without a table the node is
// the only one and has the whole budget.
func (s *budgetShare) slots(ctx context.Context, store table.Store, node fleet.NodeID, need shareNeed) int {
	if store == nil {
		return max(0, s.Loads-need.inFlight)
	}
	if need.queued+need.inFlight > 0 {
		s.lastUsed = need.now
	}
	if want, due := s.shareToRequest(need); due && need.now.Sub(s.lastRequestAt) >= shareRequestInterval(need.liveNodes) {
		s.lastRequestAt = need.now
		s.requestShare(ctx, store, node, want, need) // on an error the share stays unchanged
	}
	if !need.now.Before(s.share.Until) {
		return 0
	}
	return max(0, s.share.Loads-need.inFlight)
}

// shareNeed is the input from which a node's share is computed: its loads in
// flight and queued, and the number of live nodes.
type shareNeed struct {
	inFlight, queued, liveNodes int
	now                         time.Time
}

// surplusRequestDelay is how long a node leaves a free slot to other nodes
// before it requests more than its fair share.
const surplusRequestDelay = 300 * time.Millisecond

// shareToRequest returns the share to request and whether a request is due. A
// node may take more than its fair share of the free slots. It returns the
// surplus load by load, so that other nodes can take it in between.
func (s *budgetShare) shareToRequest(need shareNeed) (want int, due bool) {
	want = s.DesiredShare(need.inFlight, need.queued, need.liveNodes)
	idle := need.inFlight+need.queued == 0 && need.now.Sub(s.lastUsed) >= s.idleTimeout
	switch {
	case want > s.share.Loads:
		return want, true
	case s.share.Loads > want && s.idleTimeout == 0 && want > 0:
		return want, true
	case need.queued > 0 && need.inFlight >= s.share.Loads && need.now.Sub(s.lastRequestAt) >= surplusRequestDelay:
		return need.inFlight + need.queued, true
	case s.share.Loads == 0:
		return 0, false
	case idle:
		return 0, true
	}
	return max(want, s.share.Loads), s.share.Until.Sub(need.now) < shareRenewalMargin
}

// requestShare changes the share in the ledger by one conditional write. On an
// error the share stays unchanged.
func (s *budgetShare) requestShare(ctx context.Context, store table.Store, node fleet.NodeID, want int, need shareNeed) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	record, err := store.Get(ctx, s.key)
	if err != nil && !errors.Is(err, table.ErrNotFound) {
		return
	}
	var ledger Ledger
	if err == nil && json.Unmarshal(record.Body, &ledger) != nil {
		return // a ledger that cannot be decoded grants no share
	}
	ledger, share := ledger.RequestShare(s.Budget, node, want, need.inFlight, need.now)
	if share == s.share {
		return
	}
	body, err := json.Marshal(ledger)
	if err != nil {
		return
	}
	write := table.Write{Key: s.key, Expect: record.Version, Body: body}
	err = store.Transact(ctx, table.Token(uuid.NewString()), []table.Write{write})
	switch {
	case err == nil:
		s.share = share
	case errors.Is(err, table.ErrOutcomeUnknown):
		// It is unknown whether the write took effect. The lower of the two
		// shares is valid in both cases.
		s.share.Loads = min(s.share.Loads, share.Loads)
	}
}

// startLimiter limits the rate at which loads from the weight store start.
type startLimiter struct{ next time.Time }

// allow returns how many loads may start now at the given rate per second. A
// burst is at most one second's worth of loads.
func (l *startLimiter) allow(perSecond float64, now time.Time) int {
	if earliest := now.Add(-time.Second); l.next.Before(earliest) {
		l.next = earliest
	}
	return int(math.Floor(now.Sub(l.next).Seconds() * perSecond))
}

// record accounts for loads that were started.
func (l *startLimiter) record(loads int, perSecond float64) {
	l.next = l.next.Add(time.Duration(float64(loads) / perSecond * float64(time.Second)))
}

// adapterBudget returns the budget of adapter loads in flight from the weight
// store.
func adapterBudget(store WeightStore) Budget {
	budget := AdapterBudget
	if store.AdaptersInFlight > 0 {
		budget.Loads = store.AdaptersInFlight
	}
	return budget
}
