package frontend

import (
	"context"
	"sync"
	"time"
)

// batchContext is the context of one batch. The contexts of package context
// would cost several objects, a timer and two registrations for each batch.
// This one uses the session's timer and creates its channel only when Done is
// called.
type batchContext struct {
	session  context.Context
	deadline time.Time

	mu   sync.Mutex
	done chan struct{}
	err  error
	// afterFuncs are the functions to call when the context ends, nil where
	// stopped.
	afterFuncs []func()
	// inlineFuncs is the initial storage of afterFuncs. It holds the usual
	// number of functions without an allocation.
	inlineFuncs [2]func()
}

var _ context.Context = (*batchContext)(nil)

func newBatchContext(session context.Context, deadline time.Time) *batchContext {
	c := &batchContext{session: session, deadline: deadline}
	c.afterFuncs = c.inlineFuncs[:0]
	return c
}

// Deadline implements context.Context.
func (c *batchContext) Deadline() (deadline time.Time, ok bool) { return c.deadline, true }

// Value implements context.Context.
func (c *batchContext) Value(key any) any { return c.session.Value(key) }

// Err implements context.Context.
func (c *batchContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Done implements context.Context.
func (c *batchContext) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
		if c.err != nil {
			close(c.done)
		}
	}
	return c.done
}

// AfterFunc calls f in its own goroutine once the context has ended. The
// returned function cancels the call and reports whether it did. Package
// context uses this method for contexts derived from this one.
func (c *batchContext) AfterFunc(f func()) (stop func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		go f()
		return func() bool { return false }
	}
	i := len(c.afterFuncs)
	c.afterFuncs = append(c.afterFuncs, f)
	return func() bool { return c.removeFunc(i) }
}

// removeFunc removes a function and reports whether that prevented its call.
func (c *batchContext) removeFunc(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.afterFuncs[i] == nil {
		return false
	}
	c.afterFuncs[i] = nil
	return true
}

// end ends the context with err, unless it has already ended.
func (c *batchContext) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	if c.done != nil {
		close(c.done)
	}
	for _, f := range c.afterFuncs {
		if f != nil {
			go f()
		}
	}
	c.afterFuncs = nil
}

// startBatch returns the context of a batch. It ends at the deadline, when the
// session's context ends, and in endBatch.
func (s *session) startBatch(deadline time.Time) *batchContext {
	c := newBatchContext(s.ctx, deadline)
	s.mu.Lock()
	s.batchCtx = c
	s.mu.Unlock()
	if s.batchTimer == nil {
		s.batchTimer = time.AfterFunc(time.Until(deadline), s.expireBatch)
	} else {
		s.batchTimer.Reset(time.Until(deadline))
	}
	if err := s.ctx.Err(); err != nil {
		c.end(err)
	}
	return c
}

func (s *session) endBatch(c *batchContext) {
	s.batchTimer.Stop()
	s.mu.Lock()
	s.batchCtx = nil
	s.mu.Unlock()
	c.end(context.Canceled)
}

func (s *session) currentBatch() *batchContext {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.batchCtx
}

// expireBatch ends the running batch if its deadline has passed. The timer of
// an earlier batch may fire after it was reset for this one, so the deadline is
// checked.
func (s *session) expireBatch() {
	if c := s.currentBatch(); c != nil && !time.Now().Before(c.deadline) {
		c.end(context.DeadlineExceeded)
	}
}

// onContextDone ends the running batch when the session's context has ended.
func (s *session) onContextDone() {
	if c := s.currentBatch(); c != nil {
		c.end(s.ctx.Err())
	}
}
