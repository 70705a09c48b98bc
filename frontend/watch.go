package frontend

import (
	"context"
	"errors"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// watchDelay is how long a read runs before the proxy watches whether its
// caller is still there. A shorter delay would cost a goroutine for most reads.
const watchDelay = time.Second

var errCallerGone = errors.New("the caller closed its connection")

// watchCaller cancels a long read when its caller goes away, so that it does
// not keep a slot of the upstream. Writes run to their end.
func (s *session) watchCaller(ctx context.Context, class model.Class) (context.Context, func()) {
	if class != model.Read {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	done := make(chan struct{})
	timer := time.AfterFunc(watchDelay, func() {
		defer close(done)
		// Bytes that arrive are the caller's next batch and stay buffered.
		if err := s.reader.Wait(); err != nil && !isTimeout(err) {
			cancel(errCallerGone)
		}
	})
	return ctx, func() {
		cancel(nil)
		if timer.Stop() {
			return
		}
		_ = s.conn.SetReadDeadline(time.Now())
		<-done
		// The error of a session that has to end is seen by its next read.
		_ = s.setIdle(false, time.Time{})
	}
}
