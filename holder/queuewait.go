package holder

import (
	"context"
	"sync"
)

// queueWait is the context in which a batch waits for its slot and connection.
// It ends with the batch's context or by a call of stop. Most batches do not
// have to wait, so the cancelable context is created only when Done is called.
type queueWait struct {
	context.Context

	mu     sync.Mutex
	inner  context.Context
	cancel context.CancelCauseFunc
	cause  error
}

// start resets the context for a new batch. The previous wait must have ended.
func (q *queueWait) start(ctx context.Context) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Context = ctx
	q.inner, q.cancel, q.cause = nil, nil, nil
}

// stop ends the wait; cause is nil if the batch is done. Only the first call
// has an effect.
func (q *queueWait) stop(cause error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cause != nil {
		return
	}
	if cause == nil {
		cause = context.Canceled
	}
	q.cause = cause
	if q.cancel != nil {
		q.cancel(cause)
	}
}

// stopCause returns the cause with which the wait was stopped, nil before that.
func (q *queueWait) stopCause() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.cause
}

// Done implements context.Context.
func (q *queueWait) Done() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inner == nil {
		q.inner, q.cancel = context.WithCancelCause(q.Context)
		if q.cause != nil {
			q.cancel(q.cause)
		}
	}
	return q.inner.Done()
}

// Err implements context.Context.
func (q *queueWait) Err() error {
	if q.stopCause() != nil {
		return context.Canceled
	}
	return q.Context.Err()
}
