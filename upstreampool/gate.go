package upstreampool

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/admission"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
)

const (
	// slotsPerHeadroom divides the slots of an upstream; the quotient, but at least 1,
	// is how many statements beyond its slots are sent. They are there when a slot
	// becomes free, which otherwise would be idle for a round trip and while a
	// connection gets the session's values.
	slotsPerHeadroom = 2
	// widenInterval is the time after which a gate that was narrowed because the
	// upstream's queue was full takes one more statement: some service times, so that
	// the effect of the last step shows first.
	widenInterval = 50 * time.Millisecond
	// stallTime is how long no statement may have ended, while all that may be under way
	// are, before the upstream counts as stalled: several times what a slow one takes.
	stallTime = 250 * time.Millisecond
	// stallRetryAfter is the delay that callers are told at a stalled upstream: the usual
	// duration of a promotion.
	stallRetryAfter = 400 * time.Millisecond
)

// OverloadedError reports a statement that was refused because it could not get a slot
// of the upstream in time. It has not run.
type OverloadedError struct {
	Upstream model.UpstreamID
	Refusal  admission.Refusal
}

// Error returns a text with the upstream, the cause and the estimate.
func (e *OverloadedError) Error() string {
	r := &e.Refusal
	return fmt.Sprintf("upstream %s is overloaded: %s, %d waiting, estimated wait %s, service time %s",
		e.Upstream, r.Cause, r.Waiting, r.Estimate, r.Service)
}

// gate bounds the statements that are under way at an upstream from this VM, and
// orders those that wait. Pool.mu guards it.
type gate struct {
	queue   *admission.Queue
	metrics *GateMetrics
	// widthGauge has the width.
	widthGauge metrics.Gauge
	underWay   int
	// narrowed is by how much the gate was narrower than usual at narrowedAt.
	narrowed   int
	narrowedAt model.Time
	// progressAt is when the last statement ended or got its slot.
	progressAt model.Time
}

// slot is the right to have one statement, or one connection that is being opened,
// under way at the upstream.
type slot struct {
	entry admission.Entry
	// request is the request of the entry, without a meaning if entry.Open is set.
	request Request
	since   model.Time
	ready   chan grant
}

// UseGate makes the pool order and refuse statements by their deadlines. It is to be
// called before the first Acquire.
func (p *Pool) UseGate(m *GateMetrics) {
	p.gate = &gate{metrics: m, widthGauge: m.widthGauge(p.upstream.ID)}
	p.gate.queue = admission.New(admission.Config{Idle: p.hasIdle})
}

// Gated reports whether statements wait for a slot of the upstream; see UseGate.
func (p *Pool) Gated() bool { return p.gate != nil }

// hasIdle reports whether a workspace has an idle connection. The caller holds mu.
func (p *Pool) hasIdle(workspace string) bool {
	for _, c := range p.idle {
		if c.workspace == workspace {
			return true
		}
	}
	return false
}

// width returns how many statements may be under way.
func (p *Pool) width(now model.Time) int {
	slots, g := p.upstream.Slots, p.gate
	narrowed := max(g.narrowed-int(now.Sub(g.narrowedAt)/widenInterval), 0)
	return slots + max(slots/slotsPerHeadroom, 1) - narrowed
}

// narrow takes account of a statement that found the queue of the upstream full, for
// instance because other VMs use the upstream directly. At least half of the slots are
// still used.
func (p *Pool) narrow() {
	if p.gate == nil {
		return
	}
	now := boottime.Now()
	if now.Sub(p.gate.narrowedAt) < busyBackoff {
		return
	}
	slots := p.upstream.Slots
	least := max(slots/2, 1)
	width := max(p.width(now)-1, least)
	p.gate.narrowed, p.gate.narrowedAt = slots+max(slots/slotsPerHeadroom, 1)-width, now
	p.gate.metrics.narrowed.Inc(1)
}

// NarrowGate records that the queue of the upstream had no room for a statement of an
// open transaction. Without a gate it does nothing.
func (p *Pool) NarrowGate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.narrow()
}

// stalled reports whether the statements that are under way do not end, so that nothing
// is known of when those that wait may start.
func (p *Pool) stalled(now model.Time) bool {
	g := p.gate
	return g.underWay >= p.width(now) && now.Sub(g.progressAt) > stallTime
}

// refuseStalled refuses a new statement for a stalled upstream, or one that waits for it.
func (p *Pool) refuseStalled(now model.Time, e *admission.Entry) error {
	return p.refuseSlot(&admission.Refusal{
		Cause: admission.Stalled, RetryAfter: stallRetryAfter + time.Duration(rand.Float64()*float64(stallRetryAfter)/2),
		Estimate: now.Sub(p.gate.progressAt), Service: p.gate.queue.Service(e.Priority), Waiting: p.gate.queue.Len(),
	})
}

func (p *Pool) capacity(now model.Time) admission.Capacity {
	width := p.width(now)
	return admission.Capacity{
		Slots: width, Free: max(width-p.gate.underWay, 0),
		Connections: p.open < p.limit() || len(p.idle) > 0,
	}
}

// newSlot returns a slot that is yet to be granted.
func newSlot(r Request, now model.Time, service time.Duration) *slot {
	deadline := now.Add(time.Until(r.Deadline) - service)
	startBy := now.Add(time.Until(r.Objective) - service)
	if r.Objective.IsZero() {
		deadline = now.Add(r.Wait)
		startBy = deadline
	}
	s := &slot{request: r, ready: make(chan grant, 1)}
	s.entry = admission.Entry{
		Workspace: r.Workspace, Priority: r.Priority, Elsewhere: r.Elsewhere,
		Arrival: now, StartBy: min(startBy, deadline), Deadline: deadline, Owner: s,
	}
	return s
}

// acquireAdmitted is Acquire with a gate. The connection holds a slot until Release or
// Leave.
func (p *Pool) acquireAdmitted(ctx context.Context, r Request) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	p.arrivals++
	if !p.warmup.allow(time.Now()) {
		p.mu.Unlock()
		return nil, ErrWarmingUp
	}
	now := boottime.Now()
	s := newSlot(r, now, p.gate.queue.Service(r.Priority))
	err := p.offer(now, s)
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	g, err := p.awaitSlot(ctx, s)
	if err != nil {
		return nil, err
	}
	if g.conn != nil {
		return g.conn, nil
	}
	r.slot, r.Wait = s, time.Until(r.Deadline)
	return p.dial(ctx, r)
}

// offer adds a slot to the queue and grants what can be granted.
func (p *Pool) offer(now model.Time, s *slot) error {
	if p.stalled(now) && !s.entry.Open {
		p.dispatch()
		return p.refuseStalled(now, &s.entry)
	}
	refusal, evicted, ok := p.gate.queue.Offer(now, &s.entry, p.capacity(now), rand.Float64())
	if !ok {
		return p.refuseSlot(&refusal)
	}
	p.gate.metrics.waiting.Inc(1)
	if evicted != nil {
		p.gate.metrics.waiting.Dec(1)
		evicted.Owner.(*slot).ready <- grant{err: p.refuseSlot(&refusal)}
	}
	p.dispatch()
	return nil
}

func (p *Pool) refuseSlot(r *admission.Refusal) error {
	p.gate.metrics.refuse(r.Cause)
	return &OverloadedError{Upstream: p.upstream.ID, Refusal: *r}
}

// dispatch refuses waiting statements that cannot be run in time any more, and grants
// the free slots. It does nothing without a gate. The caller holds mu.
func (p *Pool) dispatch() {
	if p.gate == nil || p.closed {
		return
	}
	q, now := p.gate.queue, boottime.Now()
	for e := q.Newest(); p.stalled(now) && e != nil; {
		next := e.Older()
		if !e.Open {
			q.Remove(e)
			p.gate.metrics.waiting.Dec(1)
			e.Owner.(*slot).ready <- grant{err: p.refuseStalled(now, e)}
		}
		e = next
	}
	for {
		e, refusal := q.Expire(now, p.capacity(now), rand.Float64())
		if e == nil {
			break
		}
		p.gate.metrics.waiting.Dec(1)
		e.Owner.(*slot).ready <- grant{err: p.refuseSlot(&refusal)}
	}
	for p.gate.underWay < p.width(now) {
		e := q.Next(now, p.capacity(now))
		if e == nil {
			break
		}
		if !p.grantSlot(now, e.Owner.(*slot)) {
			q.Restore(now, e)
			break
		}
	}
	p.gate.widthGauge.Update(int64(p.width(now)))
}

// grantSlot grants a slot with what the statement needs: a connection, or capacity for
// a new one. It returns false if there is none after all.
func (p *Pool) grantSlot(now model.Time, s *slot) bool {
	var g grant
	if !s.entry.Open {
		if g.conn = p.takeIdle(s.request); g.conn != nil {
			g.conn.slot = s
		} else if !p.reserve() {
			return false
		}
		p.inUse[s.request.Workspace]++
	}
	s.since = now
	p.gate.underWay++
	p.gate.progressAt = now
	p.gate.metrics.grant(&s.entry, now)
	s.ready <- g
	return true
}

// awaitSlot waits for the grant of a slot. A slot that was granted too late, such as
// before a suspension of the VM, is given back.
func (p *Pool) awaitSlot(ctx context.Context, s *slot) (grant, error) {
	var g grant
	select {
	case g = <-s.ready:
	default:
		timer := time.NewTimer(s.entry.Deadline.Sub(s.entry.Arrival))
		defer timer.Stop()
		select {
		case g = <-s.ready:
		case <-timer.C:
			if err := p.withdrawSlot(s); err != nil {
				return g, err
			}
			g = <-s.ready
		case <-ctx.Done():
			if err := p.withdrawSlot(s); err != nil {
				return g, err
			}
			g = <-s.ready
		}
	}
	if g.err != nil {
		return g, g.err
	}
	if boottime.Now() <= s.entry.Deadline+model.Time(s.entry.Cost()) && ctx.Err() == nil {
		return g, nil
	}
	p.giveBack(s, g)
	return grant{}, &OverloadedError{Upstream: p.upstream.ID, Refusal: admission.Refusal{
		Cause: admission.Expired, RetryAfter: busyBackoff, Estimate: s.entry.Estimate(), Service: s.entry.Cost(),
	}}
}

// withdrawSlot removes a waiting slot. It returns nil if the slot already has a grant.
func (p *Pool) withdrawSlot(s *slot) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	refusal, ok := p.gate.queue.Withdraw(&s.entry, p.capacity(boottime.Now()), rand.Float64())
	if !ok {
		return nil
	}
	p.gate.metrics.waiting.Dec(1)
	return p.refuseSlot(&refusal)
}

// giveBack returns a granted slot that is not used, with what came with it.
func (p *Pool) giveBack(s *slot, g grant) {
	if g.conn != nil {
		p.Release(g.conn, true)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.entry.Open {
		p.decInUse(s.request.Workspace)
		p.open--
	}
	p.leave(s, true)
	p.dispatch()
}

// leave frees a slot. It does nothing for nil. ended is false if the upstream has not
// answered. The caller holds mu and calls dispatch.
func (p *Pool) leave(s *slot, ended bool) {
	if s == nil {
		return
	}
	now := boottime.Now()
	p.gate.underWay--
	p.gate.queue.Finish(&s.entry, now.Sub(s.since))
	if ended {
		p.gate.progressAt = now
	}
}

// Enter waits for a slot for the next statement of the open transaction on c. Without
// a gate, and after Close, it returns at once.
func (p *Pool) Enter(ctx context.Context, c *Conn, r Request) error {
	if p.gate == nil || c.slot != nil {
		return nil
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	now := boottime.Now()
	s := newSlot(r, now, 0)
	s.entry.Open = true
	err := p.offer(now, s)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	if _, err = p.awaitSlot(ctx, s); errors.Is(err, ErrClosed) {
		return nil
	}
	if err == nil {
		c.slot = s
	}
	return err
}

// Leave frees the slot that c holds, between the statements of a transaction.
func (p *Pool) Leave(c *Conn) {
	if c.slot == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leave(c.slot, !c.broken)
	c.slot = nil
	p.dispatch()
}

// closeGate refuses all waiting statements of a closed pool.
func (p *Pool) closeGate() {
	if p.gate == nil {
		return
	}
	for {
		e := p.gate.queue.Oldest()
		if e == nil {
			break
		}
		p.gate.queue.Remove(e)
		p.gate.metrics.waiting.Dec(1)
		e.Owner.(*slot).ready <- grant{err: ErrClosed}
	}
	p.gate.metrics.forget(p.upstream.ID)
}

// waitingCount returns the number of waiting requests. The caller holds mu.
func (p *Pool) waitingCount() int {
	if p.gate == nil {
		return len(p.waiters)
	}
	return p.gate.queue.Len()
}

// narrowIfFull narrows the gate after the upstream refused a connection because its
// queue was full.
func (p *Pool) narrowIfFull(refused *RefusedError) {
	if refused.Code == lineproto.Busy {
		p.narrow()
	}
}
