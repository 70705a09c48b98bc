package frontend

import (
	"context"
	"time"
)

// disconnectCheckDelay is how long a read runs before the proxy starts to check
// whether its caller has disconnected. A shorter delay would cost a goroutine
// for most reads.
const disconnectCheckDelay = time.Second

// disconnectWatch detects that the caller disconnects during a long read. Its
// timer is reused, because most reads end before it fires.
type disconnectWatch struct {
	timer *time.Timer
	batch *batchContext
	// done receives a value when checkDisconnect returns.
	done chan struct{}
}

// startDisconnectWatch cancels a long read if its caller disconnects, so that
// the read does not go on to occupy a slot of the upstream. Writes are not
// cancelled.
func (s *session) startDisconnectWatch(batch *batchContext) {
	w := &s.disconnectWatch
	w.batch = batch
	if w.timer != nil {
		w.timer.Reset(disconnectCheckDelay)
		return
	}
	w.done = make(chan struct{}, 1)
	w.timer = time.AfterFunc(disconnectCheckDelay, s.checkDisconnect)
}

func (s *session) checkDisconnect() {
	// Bytes that arrive belong to the caller's next batch and stay buffered.
	if err := s.reader.Wait(); err != nil && !isTimeout(err) {
		s.disconnectWatch.batch.end(context.Canceled)
	}
	s.disconnectWatch.done <- struct{}{}
}

// stopDisconnectWatch stops the timer. If it has already fired, it interrupts
// checkDisconnect and waits until that returns.
func (s *session) stopDisconnectWatch() {
	w := &s.disconnectWatch
	if !w.timer.Stop() {
		_ = s.conn.SetReadDeadline(time.Now())
		<-w.done
		// An error means that the session has to end; its next read reports
		// that.
		_ = s.setIdle(false, time.Time{})
	}
	w.batch = nil
}
