package upstream

import (
	"context"
	"sync"
	"time"
)

// limiter enforces the limits of an upstream, adds its delays and counts its
// sessions and statements.
type limiter struct {
	maxConnections int
	slots          chan struct{}

	mu                sync.Mutex
	connectDelay      time.Duration
	statementDuration time.Duration
	connections       int
	running           int
	counters          Counters
}

// Counters count what an upstream did since its creation.
type Counters struct {
	// Statements is the number of reads and writes that were started.
	Statements int
	// MaxConcurrent is the highest number of statements that ran concurrently.
	MaxConcurrent int
	// Connections is the number of sessions that were opened.
	Connections int
	// MaxConnections is the highest number of concurrent sessions.
	MaxConnections int
	// RefusedConnections is the number of connections refused because of the
	// limit.
	RefusedConnections int
}

func newLimiter(o Options) *limiter {
	l := &limiter{
		maxConnections:    o.MaxConnections,
		connectDelay:      o.ConnectDelay,
		statementDuration: o.StatementDuration,
	}
	if o.Slots > 0 {
		l.slots = make(chan struct{}, o.Slots)
	}
	return l
}

// connect registers a session and returns the delay to add to it. ok is false if
// the limit is reached.
func (l *limiter) connect() (delay time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxConnections > 0 && l.connections >= l.maxConnections {
		l.counters.RefusedConnections++
		return 0, false
	}
	l.connections++
	l.counters.Connections++
	l.counters.MaxConnections = max(l.counters.MaxConnections, l.connections)
	return l.connectDelay, true
}

func (l *limiter) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections--
}

// acquire waits for a slot and then for the statement duration. Unless it
// returns an error, the caller must call release.
func (l *limiter) acquire(ctx context.Context) error {
	if l.slots != nil {
		select {
		case l.slots <- struct{}{}:
		case <-ctx.Done():
			return errCanceled
		}
	}
	if sleep(ctx, l.start()) != nil {
		l.release()
		return errCanceled
	}
	return nil
}

// start counts a statement and returns the statement duration.
func (l *limiter) start() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
	l.counters.Statements++
	l.counters.MaxConcurrent = max(l.counters.MaxConcurrent, l.running)
	return l.statementDuration
}

func (l *limiter) release() {
	l.mu.Lock()
	l.running--
	l.mu.Unlock()
	if l.slots != nil {
		<-l.slots
	}
}

// sleep waits for d. It returns an error if ctx is done earlier.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
