package routing

import "github.com/chervilhatch/chervilhatch/core/model"

// Retry budget of a workspace in thousandths of a retry. Retries add at most a
// fifth to the load, except for a burst after a change of primary, when each
// batch in flight is refused once.
const (
	depositPerRequest = 200
	costPerRetry      = 1000
	maxBalance        = 100 * costPerRetry
)

// retryBudget is the retry budget of one workspace.
type retryBudget struct{ balanceMilli int }

// budget returns the workspace's budget, which starts full.
func (s *State) budget(w model.Workspace) *retryBudget {
	b := s.budgets[w]
	if b == nil {
		b = &retryBudget{balanceMilli: maxBalance}
		s.budgets[w] = b
	}
	return b
}

func (b *retryBudget) deposit() { b.balanceMilli = min(b.balanceMilli+depositPerRequest, maxBalance) }

// tryWithdraw returns whether a retry is allowed, and debits it.
func (b *retryBudget) tryWithdraw() bool {
	if b.balanceMilli < costPerRetry {
		return false
	}
	b.balanceMilli -= costPerRetry
	return true
}
