// Package router sends each batch of a caller session to the holder of the
// upstream chosen by core/routing, and retries it as core/routing decides.
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

// Attempt is one attempt to run a batch.
type Attempt struct {
	ID       uint64
	Number   uint32
	Upstream model.UpstreamID
	// Standby is true when the batch goes to the standby holder.
	Standby bool
}

// AttemptResult is the outcome of an attempt.
type AttemptResult struct {
	Attempt
	Outcome routing.Outcome
	// Code is the SQLSTATE of a refusal.
	Code   sqlstate.Code
	Result executor.Result
}

// Core makes the routing decisions; package node implements it. Its errors are of
// type *sqlstate.Error.
type Core interface {
	// Route returns the first attempt for a batch. It may wait until a primary is
	// known.
	Route(ctx context.Context, h executor.Hello, b *executor.Batch) (Attempt, error)
	// Next returns the attempt that follows a failed one, or the error with which
	// the batch ends.
	Next(ctx context.Context, a AttemptResult) (Attempt, error)
	// Finish ends a batch whose last attempt succeeded.
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
	s := &stream{router: r, hello: h, streams: map[holderKey]executor.Stream{}}
	s.countingSink = s.forward
	return s, nil
}

// holderKey identifies the main or standby holder of an upstream.
type holderKey struct {
	upstream model.UpstreamID
	standby  bool
}

// stream runs the batches of one caller session.
type stream struct {
	router *Router
	hello  executor.Hello

	// mu guards current, which Cancel reads from another goroutine.
	mu      sync.Mutex
	current executor.Stream

	streams map[holderKey]executor.Stream
	// pinned is the holder that runs the open transaction. It is valid while
	// transactionOpen is true.
	pinned          holderKey
	transactionOpen bool

	// sink receives the answer to the batch. countingSink passes messages to sink
	// and adds their length to forwardedBytes; it is a field so that it need not
	// be allocated for each batch.
	sink           executor.Sink
	countingSink   executor.Sink
	forwardedBytes int
}

func (s *stream) forward(messages []byte) error {
	s.forwardedBytes += len(messages)
	return s.sink(messages)
}

// Run implements executor.Stream.
func (s *stream) Run(ctx context.Context, b *executor.Batch, sink executor.Sink) (executor.Result, error) {
	if s.transactionOpen {
		return s.runPinned(ctx, b, sink)
	}
	attempt, err := s.router.core.Route(ctx, s.hello, b)
	if err != nil {
		return executor.Result{}, err
	}
	for {
		attemptResult, err := s.runAttempt(ctx, attempt, b, sink)
		if attemptResult.Outcome == routing.Done {
			s.router.core.Finish(attemptResult)
			s.updateTransaction(attemptResult)
			return attemptResult.Result, err
		}
		next, decision := s.router.core.Next(ctx, attemptResult)
		if decision != nil {
			return attemptResult.Result, finalError(decision, err)
		}
		attempt = next
	}
}

// finalError returns the error that ends a batch: the decision of core/routing,
// or the last attempt's error if that has the same SQLSTATE, since its message is
// more specific.
func finalError(decision, last error) error {
	var decisionError, lastError *sqlstate.Error
	if errors.As(decision, &decisionError) && errors.As(last, &lastError) && decisionError.Code == lastError.Code {
		return lastError
	}
	return decision
}

// runPinned runs a batch of an open transaction on the holder that runs the
// transaction. It is never retried elsewhere.
func (s *stream) runPinned(ctx context.Context, b *executor.Batch, sink executor.Sink) (executor.Result, error) {
	holder := s.streams[s.pinned]
	result, err := s.runOn(ctx, holder, b, sink)
	if err != nil {
		s.closeStream(s.pinned)
		s.transactionOpen = false
		return result, err
	}
	s.transactionOpen = inTransaction(result.TxStatus)
	return result, nil
}

func (s *stream) runAttempt(ctx context.Context, a Attempt, b *executor.Batch, sink executor.Sink) (AttemptResult, error) {
	attemptResult := AttemptResult{Attempt: a}
	at := holderKey{a.Upstream, a.Standby}
	holderStream, err := s.holderStream(ctx, at)
	if err != nil {
		s.router.core.Unreachable(s.hello.Database, a.Upstream, a.Standby)
		attemptResult.Outcome = routing.FailedNotSent
		attemptResult.Code = sqlstateOf(err)
		return attemptResult, err
	}
	s.sink, s.forwardedBytes = sink, 0
	attemptResult.Result, err = s.runOn(ctx, holderStream, b, s.countingSink)
	attemptResult.Outcome, attemptResult.Code = classify(err, s.forwardedBytes)
	if attemptResult.Outcome != routing.Done && attemptResult.Outcome != routing.Refused {
		s.closeStream(at)
	}
	if attemptResult.Outcome == routing.FailedNotSent {
		s.router.core.Unreachable(s.hello.Database, a.Upstream, a.Standby)
	}
	return attemptResult, err
}

// classify returns the outcome of an attempt and the SQLSTATE of its error.
func classify(err error, forwardedBytes int) (routing.Outcome, sqlstate.Code) {
	if err == nil {
		return routing.Done, ""
	}
	var known *sqlstate.Error
	switch {
	case errors.As(err, &known) && known.NotRun && known.Code == sqlstate.ConnectionFailure:
		return routing.FailedNotSent, known.Code
	case errors.As(err, &known) && known.NotRun:
		return routing.Refused, known.Code
	case forwardedBytes > 0:
		return routing.FailedMidResponse, sqlstateOf(err)
	}
	return routing.FailedMaybeSent, sqlstateOf(err)
}

func sqlstateOf(err error) sqlstate.Code {
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

func (s *stream) holderStream(ctx context.Context, at holderKey) (executor.Stream, error) {
	if existing := s.streams[at]; existing != nil {
		return existing, nil
	}
	opened, err := s.router.dialer.Dial(ctx, s.hello, at.upstream, at.standby)
	if err != nil {
		return nil, err
	}
	s.streams[at] = opened
	return opened, nil
}

func (s *stream) updateTransaction(a AttemptResult) {
	s.transactionOpen = inTransaction(a.Result.TxStatus)
	s.pinned = holderKey{a.Upstream, a.Standby}
}

func inTransaction(status byte) bool { return status == 'T' || status == 'E' }

// closeStream closes and forgets a stream whose state is unknown after an error.
func (s *stream) closeStream(at holderKey) {
	if existing := s.streams[at]; existing != nil {
		_ = existing.Close()
		delete(s.streams, at)
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
	for at, opened := range s.streams {
		errs = append(errs, opened.Close())
		delete(s.streams, at)
	}
	return errors.Join(errs...)
}
