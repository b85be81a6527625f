package dispatch

import (
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// DefaultAllowance bounds the further attempts of a node without an allowance
// of its own.
var DefaultAllowance = retry.Allowance{Ratio: 0.2, PerSecond: 20, Burst: 200}

// Budget of hedges, as a share of the requests.
const (
	hedgeRatio = 0.03
	hedgeBurst = 5
)

// budgets guards the budgets of a node.
type budgets struct {
	sync.Mutex
	retries map[fleet.PoolID]*retry.Budget
	hedges  retry.Budget
}

func (b *budgets) setUp() {
	b.retries = make(map[fleet.PoolID]*retry.Budget)
	b.hedges = retry.Budget{Allowance: retry.Allowance{Ratio: hedgeRatio, Burst: hedgeBurst}}
}

// of returns the budget of a pool. The caller holds the lock.
func (b *budgets) of(pool fleet.PoolID, allowance retry.Allowance) *retry.Budget {
	found := b.retries[pool]
	if found == nil {
		found = &retry.Budget{}
		b.retries[pool] = found
	}
	found.Allowance = allowance
	return found
}

// earn adds the share of one request to the budgets.
func (d *Dispatcher) earn(call *Call) {
	allowance := d.Allowance()
	d.budgets.Lock()
	defer d.budgets.Unlock()
	d.budgets.of(call.Pool, allowance).Earn(call.Started)
	d.budgets.hedges.Earn(call.Started)
}

func (d *Dispatcher) spendHedge(now time.Time) bool {
	d.budgets.Lock()
	defer d.budgets.Unlock()
	return d.budgets.hedges.Spend(now)
}

// decide asks the retry policy what follows a failed attempt.
func (d *Dispatcher) decide(call *Call) retry.Decision {
	state := retry.State{
		Now: time.Now(), Deadline: call.Deadline, Idempotent: call.Idempotent, Sent: call.Sent(),
		Resumable: !call.Begun() || call.Message.Resumable(), Failed: call.failed,
	}
	policy := retry.Default
	if call.MaxAttempts > 0 {
		policy.MaxAttempts = call.MaxAttempts
	}
	allowance := d.Allowance()
	d.budgets.Lock()
	defer d.budgets.Unlock()
	return policy.Next(state, d.budgets.of(call.Pool, allowance), d.Rand)
}
