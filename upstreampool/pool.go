package upstreampool

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
)

const (
	// dialTimeout bounds a new connection, which waits for a slot of the upstream.
	dialTimeout = time.Second
	// minDialWait is how long a request waits for one at least; it is above
	// what an upstream with free slots takes.
	minDialWait = 150 * time.Millisecond
	// busyBackoff is how long an upstream that had no place in its queue counts
	// as full: about as long as its slots take to free places in the queue.
	busyBackoff = 15 * time.Millisecond
	// maxSurplusIdle is how long an unused connection above this VM's share is
	// kept; other VMs may need its place.
	maxSurplusIdle = 500 * time.Millisecond
	// maxIdle is below the time after which upstreams close idle connections.
	maxIdle = 40 * time.Second
	// connLimitBackoff is how long no connection above the share is tried after the
	// upstream was full.
	connLimitBackoff = 400 * time.Millisecond
	// checkAfterIdle is how long an idle connection is used without a look at its socket.
	checkAfterIdle = 2 * time.Millisecond
	// workspaceAffinity is how long a waiter of another workspace may be
	// passed over to save a new connection, which takes a slot of a busy
	// upstream for as long as a statement.
	workspaceAffinity = 60 * time.Millisecond
	// latencyWeight is the weight of a new value in the smoothed latency.
	latencyWeight = 0.1
	// initialLatency is assumed before the first answer.
	initialLatency = 20 * time.Millisecond
)

// Errors of Acquire.
var (
	// ErrAcquireTimeout means that no connection was free in time.
	ErrAcquireTimeout = errors.New("no connection was free in time")
	// ErrBusy means that the upstream has just had no place for a statement.
	ErrBusy = errors.New("the upstream is full")
	// ErrWarmingUp means that the upstream has had its part of statements for now.
	ErrWarmingUp = errors.New("the upstream warms up")
	// ErrClosed means that the upstream is gone.
	ErrClosed = errors.New("the upstream is gone")
)

// Share is how many connections of an upstream this VM may open.
type Share struct {
	// Base is this VM's part of the upstream's limit, Most what it may use
	// while the upstream has places left.
	Base int
	Max int
}

// Upstream is where a pool connects to.
type Upstream struct {
	ID      model.UpstreamID
	Service string
	// Address is host:port.
	Address string
	Slots   int
	// Incarnation differs between two starts of the upstream.
	Incarnation int64
}

// Pool has this VM's connections to one upstream.
type Pool struct {
	upstream Upstream

	mu        sync.Mutex
	share     Share
	connLimitedUntil time.Time
	idle      []*Conn
	open      int
	inUse     map[string]int
	waiters   []*waiter
	latency   time.Duration
	closed    bool
	warmup    warmup
	// busyUntil is until when the upstream counts as full.
	busyUntil time.Time
}

// waiter waits for a connection or for a place to open one.
type waiter struct {
	workspace string
	priority  int
	since     time.Time
	ready     chan grant
}

// grant is a connection, or the place of one if conn is nil.
type grant struct {
	conn *Conn
	err  error
}

// New returns an empty pool.
func New(u Upstream, share Share) *Pool {
	u.Slots = max(u.Slots, 1)
	return &Pool{upstream: u, share: share, inUse: map[string]int{}, latency: initialLatency}
}

// ConnectsTo reports whether the pool's connections reach the given incarnation.
func (p *Pool) ConnectsTo(address string, incarnation int64) bool {
	return p.upstream.Address == address && p.upstream.Incarnation == incarnation
}

// SetShare changes how many connections may be open.
func (p *Pool) SetShare(s Share) {
	p.mu.Lock()
	p.share = s
	p.mu.Unlock()
}

// Request asks for a connection.
type Request struct {
	Workspace string
	Session   uint64
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// Wait bounds how long to wait for a connection of this VM.
	Wait time.Duration
}

// Acquire returns a connection of the workspace, which must be given back with Release.
func (p *Pool) Acquire(ctx context.Context, r Request) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	now := time.Now()
	if now.Before(p.busyUntil) {
		p.mu.Unlock()
		return nil, ErrBusy
	}
	if !p.warmup.allow(now) {
		p.mu.Unlock()
		return nil, ErrWarmingUp
	}
	if c := p.takeIdle(r); c != nil {
		p.inUse[r.Workspace]++
		p.mu.Unlock()
		return c, nil
	}
	if p.reserve() {
		p.inUse[r.Workspace]++
		p.mu.Unlock()
		return p.dial(ctx, r)
	}
	w := &waiter{workspace: r.Workspace, priority: r.Priority, since: time.Now(), ready: make(chan grant, 1)}
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	return p.await(ctx, r, w)
}

// takeIdle returns an idle connection of the workspace, at best the one that
// the session used last.
func (p *Pool) takeIdle(r Request) *Conn {
	for {
		best := -1
		for i := len(p.idle) - 1; i >= 0; i-- {
			c := p.idle[i]
			if c.workspace != r.Workspace {
				continue
			}
			if best < 0 || c.session == r.Session {
				best = i
			}
			if c.session == r.Session {
				break
			}
		}
		if best < 0 {
			return nil
		}
		c := p.removeIdle(best)
		if time.Since(c.idleSince) < checkAfterIdle || c.alive() {
			return c
		}
		c.Close()
		p.open--
	}
}

func (p *Pool) removeIdle(i int) *Conn {
	c := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	return c
}

// reserve reserves the place of a new connection, if need be that of the
// connection which has been idle for longest.
func (p *Pool) reserve() bool {
	if p.open < p.limit() {
		p.open++
		return true
	}
	if len(p.idle) == 0 {
		return false
	}
	p.removeIdle(0).terminate()
	return true
}

// limit returns how many connections may be open now.
func (p *Pool) limit() int {
	if time.Now().Before(p.connLimitedUntil) {
		return max(p.share.Base, 1)
	}
	return max(p.share.Max, 1)
}

func (p *Pool) await(ctx context.Context, r Request, w *waiter) (*Conn, error) {
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	var g grant
	select {
	case g = <-w.ready:
	case <-timer.C:
		if p.withdraw(w) {
			return nil, ErrAcquireTimeout
		}
		g = <-w.ready
	case <-ctx.Done():
		if p.withdraw(w) {
			return nil, ctx.Err()
		}
		g = <-w.ready
	}
	if g.err != nil || g.conn != nil {
		return g.conn, g.err
	}
	return p.dial(ctx, r)
}

// withdraw removes a waiter; it returns false when the waiter has been granted
// something.
func (p *Pool) withdraw(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return true
		}
	}
	return false
}

func (p *Pool) decInUse(workspace string) {
	p.inUse[workspace]--
	if p.inUse[workspace] <= 0 {
		delete(p.inUse, workspace)
	}
}

// Release gives a connection back. A connection that is inside a transaction,
// or has too many prepared statements, is closed.
func (p *Pool) Release(c *Conn, reusable bool) {
	if (!reusable || len(c.prepared) > maxPrepared) && !c.broken {
		c.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decInUse(c.workspace)
	if c.broken || p.closed || p.open > p.limit() {
		if !c.broken {
			c.terminate()
		}
		p.open--
		p.grantNext()
		return
	}
	w := p.nextWaiter(c.workspace)
	if w == nil {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
		return
	}
	p.inUse[w.workspace]++
	if w.workspace == c.workspace {
		w.ready <- grant{conn: c}
		return
	}
	c.terminate()
	w.ready <- grant{}
}

// terminate ends a connection in good order.
func (c *Conn) terminate() {
	// The upstream may have closed already; there is nothing more to end.
	_ = c.conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = c.conn.Write(lineproto.Append(nil, lineproto.Terminate))
	c.Close()
}

// MarkBusy notes that the upstream had no place for a statement.
func (p *Pool) MarkBusy() {
	p.mu.Lock()
	p.busyUntil = time.Now().Add(busyBackoff)
	p.mu.Unlock()
}

// ObserveLatency takes the latency of an answered statement into account.
func (p *Pool) ObserveLatency(latency time.Duration) {
	p.mu.Lock()
	p.latency += time.Duration(latencyWeight * float64(latency-p.latency))
	p.mu.Unlock()
}

// Load estimates how many milliseconds a statement of the workspace takes here.
func (p *Pool) Load(workspace string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := p.open - len(p.idle)
	latency := float64(p.latency.Microseconds()) / 1000
	load := latency * (1 + float64(busy+len(p.waiters))/float64(p.upstream.Slots))
	for _, c := range p.idle {
		if c.workspace == workspace {
			return load
		}
	}
	if len(p.idle) > 0 || p.open < p.limit() {
		// A new connection takes about as long as a statement.
		return load + latency
	}
	return load + 2*latency*float64(1+len(p.waiters))
}

// InFlight returns how many connections are in use or waited for.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open - len(p.idle) + len(p.waiters)
}

// Trim closes idle connections that are above the share or too old.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	kept := p.idle[:0]
	for _, c := range p.idle {
		idle := now.Sub(c.idleSince)
		if idle > maxIdle || idle > maxSurplusIdle && p.open > p.share.Base || !c.alive() {
			c.terminate()
			p.open--
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.grantNext()
}

// Stats are figures of a pool.
type Stats struct {
	Open, Idle, Waiting int
	Latency             time.Duration
}

// Stats returns the pool's figures.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Open: p.open, Idle: len(p.idle), Waiting: len(p.waiters), Latency: p.latency}
}

// Close ends the idle connections and refuses new requests; connections in use
// end when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.terminate()
	}
	p.open -= len(p.idle)
	p.idle = nil
	for _, w := range p.waiters {
		w.ready <- grant{err: ErrClosed}
	}
	p.waiters = nil
}
