package upstreampool

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
)

const (
	// dialTimeout bounds opening a connection. Its startup waits for a slot of the
	// upstream.
	dialTimeout = time.Second
	// minDialWait is the minimum time for which a request waits for a new
	// connection. It is longer than an upstream with free slots takes.
	minDialWait = 150 * time.Millisecond
	// busyBackoff is how long Acquire returns ErrBusy after the queue of the
	// upstream was full: about as long as its slots take to free room in the
	// queue.
	busyBackoff = 15 * time.Millisecond
	// maxSurplusIdle is how long an idle connection is kept above what this VM's share
	// keeps; other VMs may need it under the upstream's connection limit.
	maxSurplusIdle = 500 * time.Millisecond
	// maxIdle is below the time after which upstreams close idle connections.
	maxIdle = 40 * time.Second
	// connLimitBackoff is how long the pool opens no connections above its base share
	// after the upstream refused one because its connection limit was reached.
	connLimitBackoff = 400 * time.Millisecond
	// checkAfterIdle is how long a connection may be idle and still be reused
	// without a check of its socket.
	checkAfterIdle = 2 * time.Millisecond
	// workspaceAffinity is how long a waiter may be passed over in favor of one in
	// the released connection's workspace. This saves a new connection, which
	// takes a slot of a busy upstream for as long as a statement.
	workspaceAffinity = 60 * time.Millisecond
	// latencyWeight is the weight of a new value in the moving average of the
	// latency.
	latencyWeight = 0.1
	// initialLatency is assumed before the first answer.
	initialLatency = 20 * time.Millisecond
)

// Errors of Acquire.
var (
	// ErrAcquireTimeout means that no connection was free in time.
	ErrAcquireTimeout = errors.New("no connection was free in time")
	// ErrBusy means that the queue of the upstream was full a moment ago.
	ErrBusy = errors.New("the upstream's queue is full")
	// ErrWarmingUp means that the warm-up limit on the rate of statements is
	// reached.
	ErrWarmingUp = errors.New("the upstream is warming up")
	// ErrClosed means that the upstream takes no new requests of this VM, for
	// instance because it left the group or started again.
	ErrClosed = errors.New("the upstream is gone")
)

// Upstream is the server that a pool connects to.
type Upstream struct {
	ID      model.UpstreamID
	Service string
	// Address is host:port.
	Address string
	// Slots is how many statements the upstream runs at once.
	Slots int
	// Incarnation changes each time the upstream starts.
	Incarnation int64
}

// Pool holds this VM's connections to one upstream.
type Pool struct {
	upstream Upstream

	// mu guards the fields below.
	mu    sync.Mutex
	share connlimit.Share
	// connLimitedUntil is the end of the back-off after the upstream's connection
	// limit was reached; see connLimitBackoff.
	connLimitedUntil time.Time
	// openAtLimit is the number of connections that were open then.
	openAtLimit int
	// idle has the connections that are not in use, the last released one last.
	idle []*Conn
	// open is the number of connections, including those that are being opened.
	open int
	// inUse counts the connections of each workspace that are in use or being
	// opened.
	inUse map[string]int
	// waiters are in the order of their arrival.
	waiters []*waiter
	// latency is the moving average of the time in which statements are answered.
	latency time.Duration
	// service is the moving average of latency without the wait for a slot, 0 before
	// the first answer.
	service time.Duration
	// arrivals counts the calls of Acquire.
	arrivals uint64
	closed   bool
	warmup   warmup
	// busyUntil is the end of the back-off after a full queue.
	busyUntil time.Time
	// gate replaces waiters and busyUntil, nil if waiting requests are not ordered by
	// their deadlines; see UseGate.
	gate *gate
}

// waiter is a request that waits for a connection, or for permission to open
// one.
type waiter struct {
	workspace string
	// priority is Request.Priority, since the time of arrival.
	priority int
	since    time.Time
	// ready gets the one grant that ends the wait.
	ready chan grant
}

// grant answers a waiter. Without a connection or an error, the waiter opens a
// connection in the capacity that was reserved for it.
type grant struct {
	conn *Conn
	err  error
}

// New returns an empty pool.
func New(u Upstream, share connlimit.Share) *Pool {
	u.Slots = max(u.Slots, 1)
	return &Pool{upstream: u, share: share, inUse: map[string]int{}, latency: initialLatency}
}

// ConnectsTo reports whether the pool connects to this address and incarnation.
func (p *Pool) ConnectsTo(address string, incarnation int64) bool {
	return p.upstream.Address == address && p.upstream.Incarnation == incarnation
}

// SetShare changes how many connections may be open.
func (p *Pool) SetShare(s connlimit.Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = s
	p.dispatch()
	for p.open < p.limit() && len(p.waiters) > 0 && !p.closed {
		p.grantNext()
	}
}

// Request describes the connection that is needed.
type Request struct {
	Workspace string
	// Session is the session that is to use the connection. It gets the
	// connection that it used last if that is idle.
	Session uint64
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// Wait bounds the wait for a connection, except that a connection that is
	// being opened is awaited for at least minDialWait. With a gate it has a meaning
	// only if Objective is zero.
	Wait time.Duration
	// Objective is when the caller should have its answer, zero if this is unknown.
	// Deadline is when an answer is of no more use. Elsewhere is set if the statement
	// may run on another upstream instead of waiting beyond Objective. Only a gate
	// uses them.
	Objective, Deadline time.Time
	Elsewhere           bool
	// slot is the slot that the connection is opened with, nil without a gate.
	slot *slot
}

// Acquire returns a connection of the workspace. The caller returns it with
// Release.
func (p *Pool) Acquire(ctx context.Context, r Request) (*Conn, error) {
	if p.gate != nil {
		return p.acquireAdmitted(ctx, r)
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	p.arrivals++
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

// takeIdle returns an idle connection of the workspace, preferably the one that
// the session used last, or nil. It closes those that it finds dead.
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

// reserve reserves capacity for a new connection and reports whether there is
// any. At the limit it makes room by closing the connection that has been idle
// for longest.
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
	switch {
	case !time.Now().Before(p.connLimitedUntil):
		return max(p.share.Max, 1)
	case p.share.Overlapping:
		return max(p.share.Base, min(p.openAtLimit, p.share.Max), 1)
	}
	return max(p.share.Base, 1)
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

// withdraw removes a waiter. It returns false if the waiter already has a
// grant.
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

// Release returns a connection to the pool. It closes a connection that is not
// reusable, such as one inside a transaction, or that has too many prepared
// statements.
func (p *Pool) Release(c *Conn, reusable bool) {
	if (!reusable || len(c.prepared) > maxPrepared) && !c.broken {
		c.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leave(c.slot, !c.broken)
	c.slot = nil
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
		p.dispatch()
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

// terminate tells the upstream that the connection ends, and closes it.
func (c *Conn) terminate() {
	// Errors are ignored: the upstream may have closed the connection already.
	_ = c.conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = c.conn.Write(lineproto.Append(nil, lineproto.Terminate))
	c.Close()
}

// MarkBusy records that the queue of the upstream was full.
func (p *Pool) MarkBusy() {
	p.mu.Lock()
	p.busyUntil = time.Now().Add(busyBackoff)
	p.narrow()
	p.mu.Unlock()
}

// ObserveLatency adds the latency of an answered statement to the moving
// average.
func (p *Pool) ObserveLatency(latency time.Duration) {
	p.mu.Lock()
	p.latency += time.Duration(latencyWeight * float64(latency-p.latency))
	p.observeService(latency)
	p.mu.Unlock()
}

// Load estimates how many milliseconds a statement of the workspace takes on
// this upstream.
func (p *Pool) Load(workspace string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := p.open - len(p.idle)
	latency := float64(p.latency.Microseconds()) / 1000
	load := latency * (1 + float64(busy+p.waitingCount())/float64(p.upstream.Slots))
	for _, c := range p.idle {
		if c.workspace == workspace {
			return load
		}
	}
	if len(p.idle) > 0 || p.open < p.limit() {
		// A new connection takes about as long as a statement.
		return load + latency
	}
	return load + 2*latency*float64(1+p.waitingCount())
}

// Trim closes idle connections that are above the base share, idle for too long
// or dead.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	kept := p.idle[:0]
	for _, c := range p.idle {
		idle := now.Sub(c.idleSince)
		if idle > maxIdle || idle > maxSurplusIdle && p.open > p.share.Keep || !c.alive() {
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

// Stats are the statistics of a pool.
type Stats struct {
	Open, Idle, Waiting int
	Latency             time.Duration
}

// Stats returns the pool's statistics.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Open: p.open, Idle: len(p.idle), Waiting: p.waitingCount(), Latency: p.latency}
}

// Close ends the idle connections and refuses new and waiting requests.
// Connections in use end when they are released.
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
	p.closeGate()
}
