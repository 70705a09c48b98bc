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
// waits, else idleInterval. The reducer asks for earlier ones while it paces
// status rounds or retries.
const (
	tickInterval = 10 * time.Millisecond
	idleInterval = 50 * time.Millisecond
)

// reply is the effect that ends the wait of a request.
type reply struct {
	limits      limits.Effect
	fairness    fairness.Effect
	replication replication.Effect
	routing     routing.Effect
}

// waiter is a goroutine that waits for an effect with its id.
type waiter struct {
	ready chan struct{}
	done  bool
	// answeredInline is true when the event itself had the effect; then ready gets
	// nothing. Only the waiting goroutine uses it.
	answeredInline bool
	reply          reply
}

// loop owns the reducer: it applies events under one mutex, hands effects that
// answer a waiting goroutine to it, and queues all others for the executor in
// the order in which they arose.
type loop struct {
	clock clock

	mu      sync.Mutex
	state   *core.State
	effects core.Effects
	waiters map[uint64]*waiter
	// current is the waiter of the event being applied. Nearly all requests
	// are answered by their own event and never enter the map.
	current   *waiter
	currentID uint64
	// nextTick is when the next tick is due.
	nextTick model.Time
	timer    *time.Timer

	// lastID and confirmedAt are read without the mutex, since every statement
	// needs them.
	lastID      atomic.Uint64
	confirmedAt atomic.Int64

	queued  core.Effects
	pending chan struct{}
	// waiterPool saves the allocation of a waiter for each request.
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

// apply processes an event whose effects answer no waiting goroutine.
func (l *loop) apply(ev *core.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyLocked(ev)
}

// view reads the state; fn must not keep what it reads.
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

// unconfirmed stands for a configuration without evidence.
const unconfirmed = math.MinInt64

// publishConfirmation makes the time of the newest evidence for the
// configuration readable without the mutex. Only events of confsync change it.
func (l *loop) publishConfirmation(now model.Time) {
	if age, ok := l.state.Confsync.ConfirmedAge(now); ok {
		l.confirmedAt.Store(int64(now.Add(-age)))
	}
}

// confirmedAge returns how long ago the configuration was certainly the newest.
func (l *loop) confirmedAge() (age time.Duration, ok bool) {
	at := l.confirmedAt.Load()
	if at == unconfirmed {
		return 0, false
	}
	return l.clock.Now().Sub(model.Time(at)), true
}

// newID returns an id that no other request has.
func (l *loop) newID() uint64 { return l.lastID.Add(1) }

// request applies an event that carries id and waits for the effect that
// answers it. When ctx ends first, abandon is applied and ok is false.
func (l *loop) request(ctx context.Context, id uint64, ev, cancel *core.Event) (reply, bool) {
	l.mu.Lock()
	w := l.startLocked(id, ev)
	l.mu.Unlock()
	return l.await(ctx, id, w, cancel)
}

// startLocked applies an event that carries id. The waiter must be passed to
// await; its reply may be read under the mutex once done is true.
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

// await waits for the effect that answers a started request.
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

// takeReply returns the reply of an answered waiter and releases it.
func (l *loop) takeReply(w *waiter) reply {
	r := w.reply
	l.waiterPool.Put(w)
	return r
}

// cancel withdraws a request; it returns true when the request has been
// answered meanwhile.
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

// answer hands an effect to the waiter with the id, if there is one.
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

// deliver hands effects to waiting goroutines and removes them.
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

// enqueue keeps the remaining effects for the executor.
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

// schedule moves the next tick forward if the reducer needs it earlier.
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

// run ticks and executes queued effects until ctx ends.
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
