package holder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/backend"
	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

const (
	txIdle   = wire.Idle
	txFailed = wire.FailedTransaction
	// rollbackTimeout bounds the rollback of a transaction that is open when its
	// session is closed.
	rollbackTimeout = time.Second
)

// errCanceled is the cause of refusing a queued batch that the caller canceled.
var errCanceled = errors.New("canceled by the caller")

// stream runs the batches of one caller session on one upstream.
type stream struct {
	holder   *Holder
	hello    executor.Hello
	upstream model.UpstreamID
	request  Request
	// hint was returned when the batch's slot was freed, if hasHint is true.
	// Both are used only by Run.
	hint    Hint
	hasHint bool

	mu sync.Mutex
	// checkout is not nil while a batch runs and while a transaction is open.
	checkout *checkout
	// checkoutStorage is what checkout points to; a stream has at most one.
	checkoutStorage checkout
	tx              byte
	// lostErr is set if an open transaction was rolled back between two batches;
	// the next batch returns it.
	lostErr *sqlstate.Error
	// wait is the context of a batch that has no connection yet.
	wait     queueWait
	running  bool
	canceled bool
	idle     *time.Timer
	// batchSeq counts the batches, so that a timer that fires late does not roll
	// back a later transaction.
	batchSeq uint64
}

// checkout is a slot on an upstream and a pooled connection to it.
type checkout struct {
	assignment Assignment
	pool       *backend.Pool
	conn       *backend.Conn
	holder     *Holder
	// awaitsMajority is true if the write waits for a majority after the checkout
	// is released; EndWrite is then called after that wait.
	awaitsMajority bool
}

// Run implements executor.Stream.
func (s *stream) Run(ctx context.Context, b *executor.Batch, sink executor.Sink) (executor.Result, error) {
	if !b.Deadline.IsZero() && !expiresBy(ctx, b.Deadline) {
		var done context.CancelFunc
		ctx, done = context.WithDeadline(ctx, b.Deadline)
		defer done()
	}
	s.hasHint = false
	result, err := s.run(ctx, b, sink)
	if !s.hasHint {
		s.hint = s.holder.options.Decider.Hint(s.hello.Database, s.upstream)
	}
	result.Applied, result.Primary, result.PrimaryTerm = s.hint.Applied, s.hint.Primary, s.hint.Term
	return result, err
}

// expiresBy reports whether ctx ends by the deadline, so that no further timer
// is needed. This is so for batches of callers on this VM.
func expiresBy(ctx context.Context, deadline time.Time) bool {
	end, ok := ctx.Deadline()
	return ok && !end.After(deadline)
}

func (s *stream) run(ctx context.Context, b *executor.Batch, sink executor.Sink) (executor.Result, error) {
	checkout, err := s.begin(ctx)
	if err != nil {
		return executor.Result{TxStatus: txFailed}, err
	}
	if err := s.keyValid(); err != nil {
		return executor.Result{TxStatus: s.abandon()}, err
	}
	if checkout == nil {
		queue := s.startHop(queueSpan, b.TraceParent)
		checkout, err = s.acquire(&s.wait, b)
		queue.End(err)
		if err != nil {
			return executor.Result{TxStatus: s.abandon()}, err
		}
	}
	x := newExchange(s, checkout, b, sink)
	defer x.release()
	upstream := s.startHop(upstreamSpan, b.TraceParent)
	failure := x.run(ctx)
	upstream.End(asError(failure))
	if failure == nil && x.needsMajority() {
		checkout.awaitsMajority = true
		defer s.holder.options.Decider.EndWrite(checkout.assignment)
	}
	status := s.finish(x, failure)
	if failure != nil {
		return executor.Result{TxStatus: status}, failure
	}
	return x.acknowledge(ctx, status)
}

// begin marks the stream as running and returns the checkout of an open
// transaction, or nil.
func (s *stream) begin(ctx context.Context) (*checkout, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle != nil {
		s.idle.Stop()
		s.idle = nil
	}
	if lostErr := s.lostErr; lostErr != nil {
		s.lostErr = nil
		return nil, lostErr
	}
	s.wait.start(ctx)
	s.running = true
	s.canceled = false
	s.batchSeq++
	return s.checkout, nil
}

func (s *stream) keyValid() error {
	decider := s.holder.options.Decider
	return decider.KeyValid(s.hello.Workspace, s.hello.KeyID, s.hello.Job)
}

// acquire waits for a slot and checks out a connection.
func (s *stream) acquire(ctx *queueWait, b *executor.Batch) (*checkout, error) {
	decider := s.holder.options.Decider
	s.holder.activeStreams.addQueued(s)
	defer s.holder.activeStreams.removeQueued(s)
	assignment, err := decider.Schedule(ctx, s.newRequest(b))
	if err != nil {
		return nil, queueError(ctx, err)
	}
	s.checkoutStorage = checkout{assignment: assignment, holder: s.holder}
	next := &s.checkoutStorage
	if s.holder.activeStreams.superseded(s.hello.Database, assignment) {
		next.release(decider, Completed)
		return nil, sqlstate.Refuse(sqlstate.NoPrimary, errSuperseded.Error())
	}
	outcome, err := s.connect(ctx, next)
	if err != nil {
		next.release(decider, outcome)
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkout = next
	s.holder.activeStreams.addRunning(s, next)
	return next, nil
}

// connect gets a connection from the pool and checks the key again, since it
// may have been withdrawn while the batch waited.
func (s *stream) connect(ctx *queueWait, next *checkout) (Outcome, error) {
	next.pool = s.holder.options.Pools.Get(s.upstream)
	if next.pool == nil {
		return Completed, sqlstate.Refuse(sqlstate.UpstreamUnavailable, "upstream "+string(s.upstream)+" is not held by this VM")
	}
	conn, err := next.pool.Get(ctx)
	if err != nil && ctx.Err() != nil {
		return Completed, queueError(ctx, err)
	}
	if err != nil {
		return Unreachable, sqlstate.Refuse(sqlstate.UpstreamUnavailable, "no connection to upstream "+string(s.upstream))
	}
	next.conn = conn
	return Completed, s.keyValid()
}

// newRequest returns the request for the batch. Its memory is reused, since a
// stream runs one batch at a time.
func (s *stream) newRequest(b *executor.Batch) *Request {
	s.request = Request{
		Workspace: s.hello.Workspace,
		KeyID:     s.hello.KeyID,
		Job:       s.hello.Job,
		Database:  s.hello.Database,
		Upstream:  s.upstream,
		Class:     b.Class,
		Floor:     b.Floor,
		HasFloor:  b.HasFloor,
		MaxAge:    b.MaxAge,
		Deadline:  b.Deadline,
	}
	return &s.request
}

// queueError returns the error of a batch that failed while it waited for a slot
// or a connection.
func queueError(ctx *queueWait, err error) *sqlstate.Error {
	cause := ctx.stopCause()
	if errors.Is(cause, errSuperseded) {
		return sqlstate.Refuse(sqlstate.NoPrimary, errSuperseded.Error())
	}
	if errors.Is(cause, errUnresponsive) {
		return sqlstate.Refuse(sqlstate.UpstreamUnavailable, errUnresponsive.Error())
	}
	var sqlErr *sqlstate.Error
	if errors.As(err, &sqlErr) {
		return sqlErr
	}
	if errors.Is(cause, errCanceled) {
		return sqlstate.Refuse(sqlstate.QueryCanceled, "canceled by the caller while queued")
	}
	return sqlstate.Refuse(sqlstate.DeadlineTooClose, "the deadline passed while queued")
}
