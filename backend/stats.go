package backend

// CloseReason is the reason for which a pool closed a connection.
type CloseReason string

// Reasons for closing a connection.
const (
	// CloseUncertain means that the connection was discarded, for example after
	// a cancel request, a timeout or a failed read or write, because a late
	// response could reach its next user.
	CloseUncertain CloseReason = "uncertain"
	// CloseInTransaction means that the connection was returned inside a
	// transaction.
	CloseInTransaction CloseReason = "in_transaction"
	// CloseUnexpected means that the connection received data outside a request
	// or was closed by the upstream.
	CloseUnexpected CloseReason = "unexpected"
	// CloseBudget means that the pool had more open connections than its budget.
	CloseBudget CloseReason = "budget"
	// ClosePool means that the pool was closed.
	ClosePool CloseReason = "pool_closed"
)

// Stats are the counters and gauges of a pool.
type Stats struct {
	// Opens, OpenFailures and Waits are totals since the pool was created. Waits
	// counts the calls of Get that found no idle connection.
	Opens        uint64
	OpenFailures uint64
	Waits        uint64
	// Closes counts closed connections by reason since the pool was created.
	Closes map[CloseReason]uint64
	// Open, Idle, Waiting and Budget are current values; Waiting is the number
	// of calls of Get that wait for a connection.
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

// Stats returns a copy of the pool's counters and gauges.
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
