package caller

import (
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/retry"
)

// Budgets of further attempts, as shares of the requests.
const (
	retryRatio     = 0.2
	retryPerSecond = 20
	retryBurst     = 200
	hedgeRatio     = 0.03
	hedgeBurst     = 5
)

// budgets guards the budgets of a node.
type budgets struct {
	sync.Mutex
	retries, hedges retry.Budget
}

func (b *budgets) setUp() {
	b.retries = retry.Budget{Ratio: retryRatio, PerSecond: retryPerSecond, Burst: retryBurst}
	b.hedges = retry.Budget{Ratio: hedgeRatio, Burst: hedgeBurst}
}

// earn adds the share of one request to the budgets.
func (s *Server) earn(now time.Time) {
	s.budgets.Lock()
	defer s.budgets.Unlock()
	s.budgets.retries.Earn(now)
	s.budgets.hedges.Earn(now)
}

func (s *Server) spendHedge(now time.Time) bool {
	s.budgets.Lock()
	defer s.budgets.Unlock()
	return s.budgets.hedges.Spend(now)
}

// decide asks the retry policy.
func (s *Server) decide(state retry.State) retry.Decision {
	s.budgets.Lock()
	defer s.budgets.Unlock()
	return retry.Default.Next(state, &s.budgets.retries, s.Rand)
}
