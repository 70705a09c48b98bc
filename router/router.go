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
	s := &stream{router: r, hello: h, streams: map[holderKey]executor.Stream{}}
	s.countingSink = s.forward
	return s, nil
}

// holderKey is one holder of an upstream.
type holderKey struct {
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

	streams map[holderKey]executor.Stream
	// pinned is the holder of the open transaction; inTx tells whether there is one.
	pinned          holderKey
	transactionOpen bool

	// sink takes the answer of the batch; counted passes it on and adds up
	// its length in passed. It is kept, so that a batch does not allocate it.
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
		answer, err := s.runAttempt(ctx, attempt, b, sink)
		if answer.Outcome == routing.Done {
			s.router.core.Finish(answer)
			s.updateTransaction(answer)
			return answer.Result, err
		}
		next, decision := s.router.core.Next(ctx, answer)
		if decision != nil {
			return answer.Result, finalError(decision, err)
		}
		attempt = next
	}
}

// finalError returns the final error of a batch with the message of its last
// attempt, where both have the same SQLSTATE.
func finalError(decision, last error) error {
	var decisionError, lastError *sqlstate.Error
	if errors.As(decision, &decisionError) && errors.As(last, &lastError) && decisionError.Code == lastError.Code {
		return lastError
	}
	return decision
}

// runPinned runs a batch of an open transaction. It is never tried elsewhere.
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
	answer := AttemptResult{Attempt: a}
	at := holderKey{a.Upstream, a.Standby}
	holderStream, err := s.holderStream(ctx, at)
	if err != nil {
		s.router.core.Unreachable(s.hello.Database, a.Upstream, a.Standby)
		answer.Outcome = routing.FailedNotSent
		answer.Code = sqlstateOf(err)
		return answer, err
	}
	s.sink, s.forwardedBytes = sink, 0
	answer.Result, err = s.runOn(ctx, holderStream, b, s.countingSink)
	answer.Outcome, answer.Code = classify(err, s.forwardedBytes)
	if answer.Outcome != routing.Done && answer.Outcome != routing.Refused {
		s.closeStream(at)
	}
	if answer.Outcome == routing.FailedNotSent {
		s.router.core.Unreachable(s.hello.Database, a.Upstream, a.Standby)
	}
	return answer, err
}

// classify turns the error of an attempt into its outcome.
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
		return routing.FailedAnswering, sqlstateOf(err)
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
	if known := s.streams[at]; known != nil {
		return known, nil
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

// closeStream closes a stream whose state is not certain.
func (s *stream) closeStream(at holderKey) {
	if known := s.streams[at]; known != nil {
		_ = known.Close()
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
	for at, known := range s.streams {
		errs = append(errs, known.Close())
		delete(s.streams, at)
	}
	return errors.Join(errs...)
}
