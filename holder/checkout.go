package holder

import (
	"context"
	"time"

	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// release returns the connection to its pool and frees the slot.
func (c *checkout) release(decider Decider, outcome Outcome) Hint {
	c.holder.activeStreams.removeRunning(c)
	if c.conn != nil {
		c.pool.Put(c.conn)
	}
	hint := decider.Done(c.assignment, outcome)
	if !c.awaitsMajority {
		decider.EndWrite(c.assignment)
	}
	return hint
}

// abandon ends a batch that did not run. An open transaction is rolled back by
// closing its connection. It returns the stream's transaction status.
func (s *stream) abandon() byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
	if s.checkout == nil {
		return txIdle
	}
	s.discardCheckout("transaction abandoned", Completed)
	return txFailed
}

// stop marks the stream as not running. The caller holds s.mu.
func (s *stream) stop() {
	s.running = false
	s.wait.stop(nil)
}

// discardCheckout closes the connection, so that the upstream rolls back, and
// frees the slot. The caller holds s.mu.
func (s *stream) discardCheckout(reason string, outcome Outcome) {
	s.checkout.conn.Discard(reason)
	s.checkout.release(s.holder.options.Decider, outcome)
	s.checkout = nil
	s.tx = txIdle
}

// finish ends a batch after its exchange. It releases the checkout unless a
// transaction is open, and returns the stream's transaction status.
func (s *stream) finish(x *exchange, failure *sqlstate.Error) byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
	if s.canceled {
		// The cancel request may arrive late and cancel a later statement on this
		// connection.
		s.checkout.conn.Discard("canceled")
	}
	if x.broken {
		wasOpen := s.tx != txIdle
		s.discardCheckout(failure.Message, x.outcome)
		if wasOpen {
			return txFailed
		}
		return txIdle
	}
	s.tx = x.status
	if s.tx == txIdle {
		s.hint = s.checkout.release(s.holder.options.Decider, Completed)
		s.hasHint = true
		s.checkout = nil
		return txIdle
	}
	batchSeq := s.batchSeq
	s.idle = time.AfterFunc(s.holder.options.IdleInTransaction, func() { s.expire(batchSeq) })
	return s.tx
}

// expire rolls back a transaction that has been idle for too long since batch
// batchSeq.
func (s *stream) expire(batchSeq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.batchSeq != batchSeq || s.checkout == nil {
		return
	}
	s.discardCheckout("idle in transaction", Completed)
	s.lostErr = &sqlstate.Error{
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
	if s.checkout == nil {
		s.wait.stop(errCanceled)
		s.mu.Unlock()
		return
	}
	s.canceled = true
	conn := s.checkout.conn
	s.mu.Unlock()
	// If the request cannot be sent, the statement runs until it completes or its
	// deadline passes.
	_ = conn.Cancel()
}

// Close implements executor.Stream.
func (s *stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle != nil {
		s.idle.Stop()
	}
	if s.checkout == nil {
		return nil
	}
	if s.running {
		s.wait.stop(errCanceled)
		s.checkout.conn.Close()
		return nil
	}
	ctx, done := context.WithTimeout(context.Background(), rollbackTimeout)
	defer done()
	if _, err := s.checkout.conn.SimpleQuery(ctx, "ROLLBACK"); err != nil {
		s.checkout.conn.Discard("rollback failed")
	}
	s.checkout.release(s.holder.options.Decider, Completed)
	s.checkout = nil
	s.tx = txIdle
	return nil
}
