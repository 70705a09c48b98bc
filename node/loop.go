package node

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/fairness"
	"github.com/chervilhatch/chervilhatch/core/limits"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replication"
	"github.com/chervilhatch/chervilhatch/core/routing"
)

// Longest times between two ticks of the reducer: tickInterval while a request
// waits, idleInterval otherwise. The reducer requests earlier ticks for its
// status rounds and retries.
const (
	tickInterval = 10 * time.Millisecond
	idleInterval = 50 * time.Millisecond
)

// reply holds the effect that answers a waiting request. Only the field of the
// package that produced the effect is set.
type reply struct {
	limits      limits.Effect
	fairness    fairness.Effect
	replication replication.Effect
	routing     routing.Effect
}

// waiter represents a goroutine that waits for the effect with its request ID.
type waiter struct {
	ready chan struct{}
	done  bool
	// answeredInline is true when applying the event itself produced the effect;
	// nothing is sent on ready then. Only the waiting goroutine uses it.
	answeredInline bool
	reply          reply
}

// loop is the event loop around the reducer. It applies events under one mutex,
// hands effects that answer a request to the waiting goroutine, and queues all
// others for the effect executor in the order in which they were produced.
type loop struct {
	clock clock

	mu      sync.Mutex
	state   *core.State
	effects core.Effects
	waiters map[uint64]*waiter
	// current is the waiter of the event being applied. Nearly all requests are
	// answered while their own event is applied and never enter the map.
	current   *waiter
	currentID uint64
	// nextTick is when the next tick is due.
	nextTick model.Time
	timer    *time.Timer

	// lastID and confirmedAt are atomic because every statement uses them, and must
	// not take the mutex for that.
	lastID      atomic.Uint64
	confirmedAt atomic.Int64

	queued  core.Effects
	pending chan struct{}
	// waiterPool avoids the allocation of a waiter per request.
	waiterPool sync.Pool
}

func newLoop(c clock, state *core.State) *loop {
	l := &loop{
		clock:   c,
		state:   state,
		waiters: map[uint64]*waiter{},
		timer:   time.NewTimer(tickInterval),
		pending: make(chan struct{}, 1),
		waiterPool: sync.Pool{New: func() any {
			return &waiter{ready: make(chan struct{}, 1)}
		}},
	}
	l.confirmedAt.Store(unconfirmed)
	return l
}

// apply processes an event that no goroutine waits on.
func (l *loop) apply(ev *core.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyLocked(ev)
}

// view calls fn with the state under the mutex. fn must not retain references
// to the state.
func (l *loop) view(fn func(now model.Time, s *core.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn(l.clock.Now(), l.state)
}

func (l *loop) applyLocked(ev *core.Event) {
	l.effects.Reset()
	now := l.clock.Now()
	l.state.Apply(now, ev, &l.effects)
	if ev.Confsync != nil {
		l.publishConfirmation(now)
	}
	l.deliver()
	l.enqueue()
	l.schedule(now)
}

// unconfirmed marks a configuration that has never been confirmed to be the newest.
const unconfirmed = math.MinInt64

// publishConfirmation stores the time of the newest evidence that no newer
// configuration exists, so that it can be read without the mutex. Only confsync
// events change it.
func (l *loop) publishConfirmation(now model.Time) {
	if age, ok := l.state.Confsync.ConfirmedAge(now); ok {
		l.confirmedAt.Store(int64(now.Add(-age)))
	}
}

// confirmedAge returns the age of the newest evidence that the configuration in
// force is the newest one. ok is false when there has been none.
func (l *loop) confirmedAge() (age time.Duration, ok bool) {
	at := l.confirmedAt.Load()
	if at == unconfirmed {
		return 0, false
	}
	return l.clock.Now().Sub(model.Time(at)), true
}

// newID returns an ID that is unique among the requests of this process.
func (l *loop) newID() uint64 { return l.lastID.Add(1) }

// request applies an event that carries id and waits for the effect that
// answers it. If ctx ends first, it applies the event cancel and returns false.
func (l *loop) request(ctx context.Context, id uint64, ev, cancel *core.Event) (reply, bool) {
	l.mu.Lock()
	w := l.startLocked(id, ev)
	l.mu.Unlock()
	return l.await(ctx, id, w, cancel)
}

// startLocked applies an event that carries id. The caller must pass the
// returned waiter to await. Once done is true, its reply may be read under the
// mutex.
func (l *loop) startLocked(id uint64, ev *core.Event) *waiter {
	w := l.waiterPool.Get().(*waiter)
	w.done = false
	l.current, l.currentID = w, id
	l.applyLocked(ev)
	l.current = nil
	w.answeredInline = w.done
	if !w.done {
		l.waiters[id] = w
	}
	return w
}

// await waits for the effect that answers a started request. If ctx ends first,
// it applies the event cancel and returns false.
func (l *loop) await(ctx context.Context, id uint64, w *waiter, cancel *core.Event) (reply, bool) {
	if w.answeredInline {
		return l.takeReply(w), true
	}
	select {
	case <-w.ready:
	case <-ctx.Done():
		if !l.cancel(id, w, cancel) {
			return reply{}, false
		}
		<-w.ready
	}
	return l.takeReply(w), true
}

// takeReply returns the reply of an answered waiter and puts the waiter back
// into the pool.
func (l *loop) takeReply(w *waiter) reply {
	r := w.reply
	l.waiterPool.Put(w)
	return r
}

// cancel cancels a request by applying ev. It returns true and applies nothing
// when the request has been answered in the meantime.
func (l *loop) cancel(id uint64, w *waiter, ev *core.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.done {
		return true
	}
	delete(l.waiters, id)
	l.applyLocked(ev)
	return false
}

// answer passes an effect to the waiter with the given ID, if there is one.
func (l *loop) answer(id uint64, set func(*reply)) {
	if w := l.current; w != nil && id == l.currentID {
		l.current = nil
		set(&w.reply)
		w.done = true
		return
	}
	w := l.waiters[id]
	if w == nil {
		return
	}
	delete(l.waiters, id)
	set(&w.reply)
	w.done = true
	w.ready <- struct{}{}
}

// deliver passes effects to the goroutines that wait for them and removes them
// from the batch.
func (l *loop) deliver() {
	e := &l.effects
	for i := range e.Routing {
		l.answer(e.Routing[i].ID, func(r *reply) { r.routing = e.Routing[i] })
	}
	e.Routing = e.Routing[:0]
	for i := range e.Fairness {
		l.answer(e.Fairness[i].ID, func(r *reply) { r.fairness = e.Fairness[i] })
	}
	e.Fairness = e.Fairness[:0]
	e.Replication = l.deliverReplication(e.Replication)
	e.Limits = l.deliverLimits(e.Limits)
}

func (l *loop) deliverReplication(effects []replication.Effect) []replication.Effect {
	kept := effects[:0]
	for i := range effects {
		switch effects[i].Kind {
		case replication.PollRound, replication.PrimaryChanged:
			kept = append(kept, effects[i])
		case replication.RoundConfirmed:
		default:
			l.answer(effects[i].ID, func(r *reply) { r.replication = effects[i] })
		}
	}
	return kept
}

func (l *loop) deliverLimits(effects []limits.Effect) []limits.Effect {
	kept := effects[:0]
	for i := range effects {
		switch effects[i].Kind {
		case limits.EffectAdmit, limits.EffectRefuse:
			l.answer(effects[i].ID, func(r *reply) { r.limits = effects[i] })
		default:
			kept = append(kept, effects[i])
		}
	}
	return kept
}

// enqueue queues the remaining effects for the effect executor.
func (l *loop) enqueue() {
	e, q := &l.effects, &l.queued
	if len(e.Confsync)+len(e.Membership)+len(e.Limits)+len(e.ConnShare)+len(e.Replication)+len(e.Failover) == 0 {
		return
	}
	q.Confsync = append(q.Confsync, e.Confsync...)
	q.Membership = append(q.Membership, e.Membership...)
	q.Limits = append(q.Limits, e.Limits...)
	q.ConnShare = append(q.ConnShare, e.ConnShare...)
	q.Replication = append(q.Replication, e.Replication...)
	q.Failover = append(q.Failover, e.Failover...)
	select {
	case l.pending <- struct{}{}:
	default:
	}
}

// schedule resets the timer if the next tick is due earlier than planned.
func (l *loop) schedule(now model.Time) {
	interval := idleInterval
	if len(l.waiters) > 0 {
		interval = tickInterval
	}
	next := min(
		now.Add(interval),
		l.state.Replication.NextTick(now),
		l.state.Routing.NextTick(now),
	)
	if l.nextTick > now && l.nextTick <= next {
		return
	}
	l.nextTick = next
	l.timer.Reset(next.Sub(now))
}

// run applies ticks and executes queued effects until ctx ends.
func (l *loop) run(ctx context.Context, x *effectExecutor) {
	var batch core.Effects
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.timer.C:
			l.tick()
		case <-l.pending:
			l.mu.Lock()
			batch, l.queued = l.queued, batch
			l.queued.Reset()
			l.mu.Unlock()
			x.execute(ctx, &batch)
		}
	}
}

func (l *loop) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextTick = 0
	l.applyLocked(&core.Event{Tick: &core.Tick{Seed: rand.Uint64()}})
}
