package dispatch

import (
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// DefaultAllowance bounds the retries of a node for which no allowance is
// configured.
var DefaultAllowance = retry.Allowance{Ratio: 0.2, PerSecond: 20, Burst: 200}

// Limits of the hedge budget: hedges per request, and the burst.
const (
	hedgeRatio = 0.03
	hedgeBurst = 5
)

// budgets holds the retry budget of each pool and the hedge budget of the node
// under one lock.
type budgets struct {
	sync.Mutex
	retries map[fleet.PoolID]*retry.Budget
	hedges  retry.Budget
}

func (b *budgets) setUp() {
	b.retries = make(map[fleet.PoolID]*retry.Budget)
	b.hedges = retry.Budget{Allowance: retry.Allowance{Ratio: hedgeRatio, Burst: hedgeBurst}}
}

// forPool returns the retry budget of a pool, with its allowance updated. The
// caller holds the lock.
func (b *budgets) forPool(pool fleet.PoolID, allowance retry.Allowance) *retry.Budget {
	budget := b.retries[pool]
	if budget == nil {
		budget = &retry.Budget{}
		b.retries[pool] = budget
	}
	budget.Allowance = allowance
	return budget
}

// creditBudgets adds the share of one request to the retry budget of its pool
// and to the hedge budget.
func (d *Dispatcher) creditBudgets(call *Call) {
	allowance := d.Allowance()
	d.budgets.Lock()
	defer d.budgets.Unlock()
	d.budgets.forPool(call.Pool, allowance).Deposit(call.Started)
	d.budgets.hedges.Deposit(call.Started)
}

// spendHedge takes one hedge from the budget and reports whether there was one.
func (d *Dispatcher) spendHedge(now time.Time) bool {
	d.budgets.Lock()
	defer d.budgets.Unlock()
	return d.budgets.hedges.Withdraw(now)
}

// refundRetry returns the attempt that a retry decision took from the budget and that
// was not made. After an occupied server it took none.
func (d *Dispatcher) refundRetry(call *Call) {
	if call.failedAttempts[len(call.failedAttempts)-1].Failure == retry.Occupied {
		return
	}
	allowance := d.Allowance()
	d.budgets.Lock()
	defer d.budgets.Unlock()
	d.budgets.forPool(call.Pool, allowance).Refund()
}

// retryDecision applies the retry policy to a call whose last attempt failed.
func (d *Dispatcher) retryDecision(call *Call) retry.Decision {
	state := retry.State{
		Now: time.Now(), Deadline: call.Deadline, Idempotent: call.Idempotent, Sent: call.Sent(),
		Resumable: !call.AnswerStarted() || call.Message.Resumable(), FailedAttempts: call.failedAttempts,
	}
	policy := retry.DefaultPolicy
	if call.MaxAttempts > 0 {
		policy.MaxAttempts = call.MaxAttempts
	}
	policy.MaxAttempts -= call.abandonedAttempts
	allowance := d.Allowance()
	d.budgets.Lock()
	defer d.budgets.Unlock()
	return policy.Next(state, d.budgets.forPool(call.Pool, allowance), d.Rand)
}
