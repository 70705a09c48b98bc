package backend

// CloseReason tells why a pool closed a connection.
type CloseReason string

// Reasons for closing a connection.
const (
	// CloseUncertain is a late answer, a cancellation, a timeout or a failure.
	CloseUncertain CloseReason = "uncertain"
	// CloseInTransaction is a connection given back inside a transaction.
	CloseInTransaction CloseReason = "in_transaction"
	// CloseUnexpected is an idle connection that received bytes or was closed.
	CloseUnexpected CloseReason = "unexpected"
	// CloseBudget is a connection above the budget.
	CloseBudget CloseReason = "budget"
	// ClosePool is a connection of a closed pool.
	ClosePool CloseReason = "pool_closed"
)

// Stats are the counters and gauges of a pool.
type Stats struct {
	// Opens, OpenFailures and Waits count since the pool was created.
	Opens        uint64
	OpenFailures uint64
	Waits        uint64
	// Closes counts the closed connections by reason.
	Closes map[CloseReason]uint64
	// Open, Idle and Waiting are current.
	Open    int
	Idle    int
	Waiting int
	Budget  int
}

func (s *Stats) countClose(reason CloseReason) {
	if s.Closes == nil {
		s.Closes = map[CloseReason]uint64{}
	}
	s.Closes[reason]++
}

// Stats returns the current counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Closes = make(map[CloseReason]uint64, len(p.stats.Closes))
	for reason, n := range p.stats.Closes {
		s.Closes[reason] = n
	}
	s.Open, s.Idle, s.Waiting, s.Budget = p.open, len(p.idle), len(p.waiters), p.budget
	return s
}
