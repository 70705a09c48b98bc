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
	// backoffMin and backoffMax bound the wait after a failed open; the wait
	// doubles and has a random part, so that holders do not open in step.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
	// defaultCheckAfter is how long a connection is idle before it is checked
	// with a round trip.
	defaultCheckAfter = 10 * time.Second
	checkTimeout      = time.Second
)

// ErrPoolClosed is returned by Get after Close.
var ErrPoolClosed = errors.New("connection pool closed")

// PoolOptions configures a Pool.
type PoolOptions struct {
	Config
	// Budget is the largest number of open connections.
	Budget int
	// Warm is the number of connections that are opened ahead of demand.
	Warm int
	// MaxOpening bounds how many connections are opened in parallel.
	MaxOpening int
	// CheckAfter is how long a connection is idle before it is checked.
	CheckAfter time.Duration
}

// Pool keeps the connections to one upstream within a budget.
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
	// failedOpens counts the failed opens since the last success.
	failedOpens int
	lastOpenErr error
	retryAt     time.Time
	retryTimer  *time.Timer
	stats       Stats
}

// waiter is a Get that waits for a connection.
type waiter struct {
	ready chan getResult
}

// getResult is what a waiter gets.
type getResult struct {
	conn *Conn
	err  error
}

// NewPool returns a pool that starts to open its warm connections.
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

// Get returns a connection. Waiters are served in order of arrival; an error
// means that nothing was sent to the upstream.
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

// takeIdle returns an idle connection, or an error if none can be expected soon.
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

// Put gives a connection back. A connection whose state is not certain is closed.
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

// assign gives an open connection to the first waiter or to the idle list.
func (p *Pool) assign(c *Conn) {
	if len(p.waiters) > 0 {
		first := p.waiters[0]
		p.waiters = p.waiters[1:]
		first.ready <- getResult{conn: c}
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) drop(c *Conn, reason CloseReason) {
	p.open--
	p.stats.countClose(reason)
	c.Close()
}

// SetBudget changes the largest number of open connections. Connections in
// use above it are closed when they are given back.
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

// SetWarm changes the number of connections opened ahead of demand.
func (p *Pool) SetWarm(warm int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warm = warm
	p.openMore()
}

// Close closes idle connections and refuses waiters. Connections in use are
// closed when they are given back.
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

func (p *Pool) refuseWaiters(err error) {
	for _, w := range p.waiters {
		w.ready <- getResult{err: err}
	}
	p.waiters = nil
}

// backoff returns the wait after the given number of failed opens.
func backoff(failures int) time.Duration {
	wait := backoffMin << min(failures-1, 10)
	wait = min(wait, backoffMax)
	return wait/2 + rand.N(wait/2)
}
