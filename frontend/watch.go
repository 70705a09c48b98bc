package frontend

import (
	"context"
	"time"
)

// disconnectCheckDelay is how long a read runs before the proxy watches whether its
// caller is still there. A shorter delay would cost a goroutine for most reads.
const disconnectCheckDelay = time.Second

// disconnectWatch is the session's watch of its caller during a long read. Its timer is
// reused, because most reads end before the watch starts.
type disconnectWatch struct {
	timer *time.Timer
	batch *batchContext
	// done gets a value when a watch that has started has ended.
	done chan struct{}
}

// startDisconnectWatch cancels a long read when its caller goes away, so that it does
// not keep a slot of the upstream. Writes run to their end.
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
	// Bytes that arrive are the caller's next batch and stay buffered.
	if err := s.reader.Wait(); err != nil && !isTimeout(err) {
		s.disconnectWatch.batch.end(context.Canceled)
	}
	s.disconnectWatch.done <- struct{}{}
}

// stopDisconnectWatch stops the watch and waits for it, if it has started.
func (s *session) stopDisconnectWatch() {
	w := &s.disconnectWatch
	if !w.timer.Stop() {
		_ = s.conn.SetReadDeadline(time.Now())
		<-w.done
		// The error of a session that has to end is seen by its next read.
		_ = s.setIdle(false, time.Time{})
	}
	w.batch = nil
}
