// Package router sends each batch of a caller session to the holder of the
// upstream that core/routing chose, and tries again as core/routing says.
package router

import (
	"context"
	"errors"
	"sync"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/routing"
	"github.com/chervilhatch/chervilhatch/executor"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// Attempt is one try of a batch.
type Attempt struct {
	ID       uint64
	Number   uint32
	Upstream model.UpstreamID
	// Standby is true when the batch goes to the standby holder.
	Standby bool
}

// AttemptResult tells how an attempt ended.
type AttemptResult struct {
	Attempt
	Outcome routing.Outcome
	// Code is the SQLSTATE of a refusal.
	Code   sqlstate.Code
	Result executor.Result
}

// Core makes the routing decisions; node implements it over the reducer.
// Errors are *sqlstate.Error.
type Core interface {
	// Route returns the first attempt of a batch. It may wait for a primary.
	Route(ctx context.Context, h executor.Hello, b *executor.Batch) (Attempt, error)
	// Next returns the attempt that follows a failed one.
	Next(ctx context.Context, a AttemptResult) (Attempt, error)
	// Finish ends a batch.
	Finish(a AttemptResult)
	// Unreachable reports that a holder could not be reached.
	Unreachable(db model.Database, u model.UpstreamID, standby bool)
}

// Dialer opens a stream to the main or standby holder of an upstream.
type Dialer interface {
	Dial(ctx context.Context, h executor.Hello, u model.UpstreamID, standby bool) (executor.Stream, error)
}

// Router implements executor.Executor.
type Router struct {
	core   Core
	dialer Dialer
}

// New returns a router.
func New(c Core, d Dialer) *Router { return &Router{core: c, dialer: d} }

// Open implements executor.Executor.
func (r *Router) Open(_ context.Context, h executor.Hello) (executor.Stream, error) {
	s := &stream{router: r, hello: h, open: map[target]executor.Stream{}}
	s.counted = s.count
	return s, nil
}

// target is one holder of an upstream.
type target struct {
	upstream model.UpstreamID
	standby  bool
}

// stream runs the batches of one caller session.
type stream struct {
	router *Router
	hello  executor.Hello

	// mu guards the fields that Cancel reads.
	mu      sync.Mutex
	current executor.Stream

	open map[target]executor.Stream
	// pinned is the holder of the open transaction; inTx tells whether there is one.
	pinned target
	inTx   bool

	// sink takes the answer of the batch; counted passes it on and adds up
	// its length in passed. It is kept, so that a batch does not allocate it.
	sink    executor.Sink
	counted executor.Sink
	passed  int
}

func (s *stream) count(messages []byte) error {
	s.passed += len(messages)
	return s.sink(messages)
}

// Run implements executor.Stream.
func (s *stream) Run(ctx context.Context, b *executor.Batch, sink executor.Sink) (executor.Result, error) {
	if s.inTx {
		return s.runPinned(ctx, b, sink)
	}
	attempt, err := s.router.core.Route(ctx, s.hello, b)
	if err != nil {
		return executor.Result{}, err
	}
	for {
		answer, err := s.try(ctx, attempt, b, sink)
		if answer.Outcome == routing.Done {
			s.router.core.Finish(answer)
			s.noteTransaction(answer)
			return answer.Result, err
		}
		next, final := s.router.core.Next(ctx, answer)
		if final != nil {
			return answer.Result, explain(final, err)
		}
		attempt = next
	}
}

// explain returns the final error of a batch with the message of its last
// attempt, where both have the same SQLSTATE.
func explain(final, last error) error {
	var decided, failed *sqlstate.Error
	if errors.As(final, &decided) && errors.As(last, &failed) && decided.Code == failed.Code {
		return failed
	}
	return final
}

// runPinned runs a batch of an open transaction. It is never tried elsewhere.
func (s *stream) runPinned(ctx context.Context, b *executor.Batch, sink executor.Sink) (executor.Result, error) {
	holder := s.open[s.pinned]
	result, err := s.runOn(ctx, holder, b, sink)
	if err != nil {
		s.drop(s.pinned)
		s.inTx = false
		return result, err
	}
	s.inTx = inTransaction(result.TxStatus)
	return result, nil
}

func (s *stream) try(ctx context.Context, a Attempt, b *executor.Batch, sink executor.Sink) (AttemptResult, error) {
	answer := AttemptResult{Attempt: a}
	at := target{a.Upstream, a.Standby}
	holder, err := s.holder(ctx, at)
	if err != nil {
		s.router.core.Unreachable(s.hello.Database, a.Upstream, a.Standby)
		answer.Outcome = routing.FailedNotSent
		answer.Code = codeOf(err)
		return answer, err
	}
	s.sink, s.passed = sink, 0
	answer.Result, err = s.runOn(ctx, holder, b, s.counted)
	answer.Outcome, answer.Code = classify(err, s.passed)
	if answer.Outcome != routing.Done && answer.Outcome != routing.Refused {
		s.drop(at)
	}
	if answer.Outcome == routing.FailedNotSent {
		s.router.core.Unreachable(s.hello.Database, a.Upstream, a.Standby)
	}
	return answer, err
}

// classify turns the error of an attempt into its outcome.
func classify(err error, passed int) (routing.Outcome, sqlstate.Code) {
	if err == nil {
		return routing.Done, ""
	}
	var known *sqlstate.Error
	switch {
	case errors.As(err, &known) && known.NotRun && known.Code == sqlstate.ConnectionFailure:
		return routing.FailedNotSent, known.Code
	case errors.As(err, &known) && known.NotRun:
		return routing.Refused, known.Code
	case passed > 0:
		return routing.FailedAnswering, codeOf(err)
	}
	return routing.FailedMaybeSent, codeOf(err)
}

func codeOf(err error) sqlstate.Code {
	var known *sqlstate.Error
	if errors.As(err, &known) {
		return known.Code
	}
	return sqlstate.ConnectionFailure
}

func (s *stream) runOn(ctx context.Context, holder executor.Stream, b *executor.Batch, sink executor.Sink) (executor.Result, error) {
	s.setCurrent(holder)
	defer s.setCurrent(nil)
	return holder.Run(ctx, b, sink)
}

func (s *stream) holder(ctx context.Context, at target) (executor.Stream, error) {
	if known := s.open[at]; known != nil {
		return known, nil
	}
	opened, err := s.router.dialer.Dial(ctx, s.hello, at.upstream, at.standby)
	if err != nil {
		return nil, err
	}
	s.open[at] = opened
	return opened, nil
}

func (s *stream) noteTransaction(a AttemptResult) {
	s.inTx = inTransaction(a.Result.TxStatus)
	s.pinned = target{a.Upstream, a.Standby}
}

func inTransaction(status byte) bool { return status == 'T' || status == 'E' }

// drop closes a stream whose state is not certain.
func (s *stream) drop(at target) {
	if known := s.open[at]; known != nil {
		_ = known.Close()
		delete(s.open, at)
	}
}

func (s *stream) setCurrent(holder executor.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = holder
}

// Cancel implements executor.Stream.
func (s *stream) Cancel() {
	s.mu.Lock()
	current := s.current
	s.mu.Unlock()
	if current != nil {
		current.Cancel()
	}
}

// Close implements executor.Stream.
func (s *stream) Close() error {
	var errs []error
	for at, known := range s.open {
		errs = append(errs, known.Close())
		delete(s.open, at)
	}
	return errors.Join(errs...)
}
