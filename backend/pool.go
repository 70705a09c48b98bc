package backend

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	defaultMaxOpening = 4
	// backoffMin and backoffMax bound the wait after a failed attempt to open a
	// connection. The wait doubles with each failure and has a random part, so
	// that the holders do not reconnect at the same moment.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
	// defaultCheckAfter is the idle time after which a connection is checked with
	// a round trip.
	defaultCheckAfter = 10 * time.Second
	checkTimeout      = time.Second
)

// ErrPoolClosed is returned by Get if the pool is closed, before the call or
// while it waits.
var ErrPoolClosed = errors.New("connection pool closed")

// PoolOptions configures a Pool.
type PoolOptions struct {
	Config
	// Budget is the maximum number of open connections.
	Budget int
	// Warm is the number of connections to keep open ahead of demand.
	Warm int
	// MaxOpening is the maximum number of connections opened concurrently.
	MaxOpening int
	// CheckAfter is the idle time after which a connection is checked.
	CheckAfter time.Duration
}

// Pool is a connection pool for one upstream. The number of open connections is
// limited by a budget.
type Pool struct {
	options PoolOptions
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	budget  int
	warm    int
	open    int
	opening int
	idle    []*Conn
	waiters []*waiter
	// failedOpens counts failed attempts to open a connection since the last
	// success.
	failedOpens int
	lastOpenErr error
	retryAt     time.Time
	retryTimer  *time.Timer
	stats       Stats
}

// waiter is a call of Get that waits for a connection.
type waiter struct {
	ready chan getResult
}

// getResult is the connection or the error that a waiting Get returns.
type getResult struct {
	conn *Conn
	err  error
}

// NewPool returns a pool and starts opening its warm connections.
func NewPool(options PoolOptions) *Pool {
	if options.MaxOpening <= 0 {
		options.MaxOpening = defaultMaxOpening
	}
	if options.CheckAfter <= 0 {
		options.CheckAfter = defaultCheckAfter
	}
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = defaultConnectTimeout
	}
	p := &Pool{options: options, budget: options.Budget, warm: options.Warm}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.mu.Lock()
	p.openMore()
	p.mu.Unlock()
	go p.checkLoop()
	return p
}

// Get returns an idle connection, or waits until one is returned or opened. Waiters
// are served in order of arrival. An error means that nothing of the caller's
// request has been sent to the upstream.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	conn, err := p.takeIdle()
	if conn != nil || err != nil {
		p.mu.Unlock()
		return conn, err
	}
	w := &waiter{ready: make(chan getResult, 1)}
	p.waiters = append(p.waiters, w)
	p.stats.Waits++
	p.openMore()
	p.mu.Unlock()
	return p.await(ctx, w)
}

// takeIdle returns the most recently used idle connection, or nil if the caller
// has to wait. It returns the error of the last attempt if the pool has no
// connection and is backing off. The lock is held.
func (p *Pool) takeIdle() (*Conn, error) {
	if p.ctx.Err() != nil {
		return nil, ErrPoolClosed
	}
	for len(p.idle) > 0 && len(p.waiters) == 0 {
		last := len(p.idle) - 1
		conn := p.idle[last]
		p.idle = p.idle[:last]
		if conn.noPendingInput() {
			return conn, nil
		}
		p.drop(conn, CloseUnexpected)
	}
	if p.open == 0 && p.opening == 0 && time.Now().Before(p.retryAt) {
		return nil, p.lastOpenErr
	}
	return nil, nil
}

// await waits until w gets a result or ctx ends. A connection that arrives
// together with the end of ctx goes back to the pool.
func (p *Pool) await(ctx context.Context, w *waiter) (*Conn, error) {
	select {
	case g := <-w.ready:
		return g.conn, g.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	select {
	case g := <-w.ready:
		if g.conn != nil {
			p.Put(g.conn)
		}
	default:
	}
	return nil, ctx.Err()
}

// Put returns a connection to the pool. The connection is closed if it cannot be
// reused or the budget is exceeded.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reason := p.closeReason(c)
	if reason != "" {
		p.drop(c, reason)
		p.openMore()
		return
	}
	c.idleSince = time.Now()
	p.assign(c)
}

// closeReason returns why a returned connection has to be closed, or "" if it can
// be reused.
func (p *Pool) closeReason(c *Conn) CloseReason {
	switch {
	case c.discardReason != "":
		return CloseUncertain
	case c.status != 'I':
		return CloseInTransaction
	case c.reader.Buffered() > 0:
		return CloseUnexpected
	case p.ctx.Err() != nil:
		return ClosePool
	case p.open > p.budget:
		return CloseBudget
	}
	return ""
}

// assign gives an open connection to the first waiter, or adds it to the idle list
// if there is none. The lock is held.
func (p *Pool) assign(c *Conn) {
	if len(p.waiters) > 0 {
		first := p.waiters[0]
		p.waiters = p.waiters[1:]
		first.ready <- getResult{conn: c}
		return
	}
	p.idle = append(p.idle, c)
}

// drop closes a connection and counts the reason. The lock is held.
func (p *Pool) drop(c *Conn, reason CloseReason) {
	p.open--
	p.stats.countClose(reason)
	c.Close()
}

// SetBudget changes the maximum number of open connections. Idle connections above
// it are closed at once, connections in use when they are returned.
func (p *Pool) SetBudget(budget int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget = budget
	for len(p.idle) > 0 && p.open > budget {
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.drop(oldest, CloseBudget)
	}
	p.openMore()
}

// SetWarm changes the number of connections to keep open ahead of demand.
func (p *Pool) SetWarm(warm int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warm = warm
	p.openMore()
}

// Close closes idle connections and fails waiting calls of Get with ErrPoolClosed.
// Connections in use are closed when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel()
	for _, c := range p.idle {
		p.drop(c, ClosePool)
	}
	p.idle = nil
	p.refuseWaiters(ErrPoolClosed)
	if p.retryTimer != nil {
		p.retryTimer.Stop()
	}
}

// refuseWaiters fails all waiting calls of Get with err. The lock is held.
func (p *Pool) refuseWaiters(err error) {
	for _, w := range p.waiters {
		w.ready <- getResult{err: err}
	}
	p.waiters = nil
}

// backoff returns how long to wait after the given number of consecutive failures.
func backoff(failures int) time.Duration {
	wait := backoffMin << min(failures-1, 10)
	wait = min(wait, backoffMax)
	return wait/2 + rand.N(wait/2)
}
