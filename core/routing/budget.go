package routing

import "github.com/chervilhatch/chervilhatch/core/model"

// Retry budget of a workspace in thousandths of a retry. Retries add at most a
// fifth to the load, except for a burst after a change of primary, when each
// batch in flight is refused once.
const (
	budgetPerRequest = 200
	budgetPerRetry   = 1000
	budgetMax        = 100 * budgetPerRetry
)

// budget is the retry budget of one workspace.
type budget struct{ milli int }

// budget returns the workspace's budget, which starts full.
func (s *State) budget(w model.Workspace) *budget {
	b := s.budgets[w]
	if b == nil {
		b = &budget{milli: budgetMax}
		s.budgets[w] = b
	}
	return b
}

func (b *budget) deposit() { b.milli = min(b.milli+budgetPerRequest, budgetMax) }

// take returns whether a retry is allowed, and debits it.
func (b *budget) take() bool {
	if b.milli < budgetPerRetry {
		return false
	}
	b.milli -= budgetPerRetry
	return true
}
