package holder

import (
	"context"
	"time"

	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// giveBack returns the connection and the slot.
func (t *seat) giveBack(decider Decider, outcome Outcome) Hint {
	t.holder.interrupts.ran(t)
	if t.conn != nil {
		t.pool.Put(t.conn)
	}
	hint := decider.Done(t.assignment, outcome)
	if !t.awaits {
		decider.EndWrite(t.assignment)
	}
	return hint
}

// abandon gives back the seat of a batch that did not run and returns the
// transaction status of the stream: a transaction that was open is lost.
func (s *stream) abandon() byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
	if s.seat == nil {
		return txIdle
	}
	s.dropSeat("transaction abandoned", Completed)
	return txFailed
}

// stop marks the stream as not running. The lock is held.
func (s *stream) stop() {
	s.running = false
	s.wait.stop(nil)
}

// dropSeat closes the connection, so that the upstream rolls back, and gives
// the slot back. The lock is held.
func (s *stream) dropSeat(reason string, outcome Outcome) {
	s.seat.conn.Discard(reason)
	s.seat.giveBack(s.holder.options.Decider, outcome)
	s.seat = nil
	s.tx = txIdle
}

// finish gives the seat back unless a transaction is open, and returns the
// transaction status.
func (s *stream) finish(x *exchange, failure *sqlstate.Error) byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
	if s.canceled {
		// The cancel request may reach the upstream late and hit a later statement.
		s.seat.conn.Discard("canceled")
	}
	if x.broken {
		wasOpen := s.tx != txIdle
		s.dropSeat(failure.Message, x.outcome)
		if wasOpen {
			return txFailed
		}
		return txIdle
	}
	s.tx = x.status
	if s.tx == txIdle {
		s.hint = s.seat.giveBack(s.holder.options.Decider, Completed)
		s.hinted = true
		s.seat = nil
		return txIdle
	}
	turn := s.turn
	s.idle = time.AfterFunc(s.holder.options.IdleInTransaction, func() { s.expire(turn) })
	return s.tx
}

// expire rolls back a transaction that was idle for too long after the given batch.
func (s *stream) expire(turn uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.turn != turn || s.seat == nil {
		return
	}
	s.dropSeat("idle in transaction", Completed)
	s.lost = &sqlstate.Error{
		Code:    sqlstate.IdleInTransaction,
		Message: "the transaction was idle for too long and was rolled back",
		NotRun:  true,
	}
}

// Cancel implements executor.Stream.
func (s *stream) Cancel() {
	s.mu.Lock()
	if !s.running {
		s.mu.Unlock()
		return
	}
	if s.seat == nil {
		s.wait.stop(errCanceled)
		s.mu.Unlock()
		return
	}
	s.canceled = true
	conn := s.seat.conn
	s.mu.Unlock()
	// If the request cannot be sent, the statement runs to its end or deadline.
	_ = conn.Cancel()
}

// Close implements executor.Stream.
func (s *stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle != nil {
		s.idle.Stop()
	}
	if s.seat == nil {
		return nil
	}
	if s.running {
		s.wait.stop(errCanceled)
		s.seat.conn.Close()
		return nil
	}
	ctx, done := context.WithTimeout(context.Background(), rollbackTimeout)
	defer done()
	if _, err := s.seat.conn.SimpleQuery(ctx, "ROLLBACK"); err != nil {
		s.seat.conn.Discard("rollback failed")
	}
	s.seat.giveBack(s.holder.options.Decider, Completed)
	s.seat = nil
	s.tx = txIdle
	return nil
}
