package routing

import "github.com/chervilhatch/chervilhatch/core/model"

// Retry budget of a workspace, in thousandths of a retry. In the long run retries
// add at most one fifth to the load. A full budget of 100 retries allows a burst
// after a transition, when each batch in flight is refused once.
const (
	depositPerRequest = 200
	costPerRetry      = 1000
	maxBalance        = 100 * costPerRetry
)

// retryBudget is the retry budget of one workspace.
type retryBudget struct{ balanceMilli int }

// retryBudget returns the retry budget of the workspace, which starts full.
func (s *State) retryBudget(w model.Workspace) *retryBudget {
	b := s.budgets[w]
	if b == nil {
		b = &retryBudget{balanceMilli: maxBalance}
		s.budgets[w] = b
	}
	return b
}

// deposit credits the budget for a new batch.
func (b *retryBudget) deposit() { b.balanceMilli = min(b.balanceMilli+depositPerRequest, maxBalance) }

// tryWithdraw debits one retry and returns true, or returns false if the budget
// is exhausted.
func (b *retryBudget) tryWithdraw() bool {
	if b.balanceMilli < costPerRetry {
		return false
	}
	b.balanceMilli -= costPerRetry
	return true
}
