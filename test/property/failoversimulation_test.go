package property

import (
	"slices"
	"strconv"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/failover"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// testDetect is the detection time of the simulated groups.
const testDetect = 100 * time.Millisecond

// watcherModel is a VM that monitors the group, with its failover state.
type watcherModel struct {
	id          model.VMID
	incarnation uint64
	state       *failover.State
	paused      bool
	gateClosed  bool
	// partitioned[i] is true while the VM cannot reach upstream i.
	partitioned [3]bool
}

// message is a request of a watcher to an upstream, or an event for a watcher.
type message struct {
	// watcher and incarnation are those of the sender of a request or of the
	// receiver of an event.
	watcher     int
	incarnation uint64
	// request is true for a request, which effect describes.
	request bool
	effect  failover.Effect
	// event is the event or, for a request, the part of its response that is
	// known when it is sent.
	event failover.Event
}

// failoverSimulation simulates three watchers, a group of three upstreams, and
// a network that loses, duplicates and reorders messages.
type failoverSimulation struct {
	rng
	t        *rapid.T
	now      model.Time
	group    *groupModel
	watchers []*watcherModel
	inFlight []message
	out      []failover.Effect
	// faultPercent is the percentage of steps that inject a fault.
	faultPercent int
	// lastProposer is the watcher that last sent a fence or promotion; -1 if there
	// is none, or if a fault has been injected into it since.
	lastProposer int
	// candidates has the upstream that each term was to promote, and proposers has
	// the watcher and incarnation that used the term.
	candidates map[model.Term]model.UpstreamID
	proposers  map[model.Term]string
}

func newFailoverSimulation(t *rapid.T) *failoverSimulation {
	w := &failoverSimulation{
		t: t, now: model.Time(time.Hour), group: newGroupModel(t), lastProposer: -1,
		candidates: make(map[model.Term]model.UpstreamID), proposers: make(map[model.Term]string),
	}
	for i := range 3 {
		w.watchers = append(w.watchers, &watcherModel{id: model.VMID("vm" + strconv.Itoa(i))})
		w.restart(i)
	}
	return w
}

// restart restarts a watcher, which loses all its state.
func (w *failoverSimulation) restart(i int) {
	v := w.watchers[i]
	v.incarnation++
	v.gateClosed = false
	v.state = failover.New(v.id, v.incarnation)
	w.configure(i, -1)
}

// configure sends the group's configuration to watcher i. The upstream with the
// index drained is drained, none if it is negative.
func (w *failoverSimulation) configure(i, drained int) {
	ev := failover.Event{
		Kind: failover.GroupConfigured, Database: "db", Watcher: true, Detect: testDetect,
		BackoffMin: 20 * time.Millisecond, BackoffMax: 200 * time.Millisecond,
	}
	for j, u := range w.group.upstreams {
		ev.Upstreams = append(ev.Upstreams, failover.Upstream{ID: u.id, Holder: w.watchers[min(j, len(w.watchers)-1)].id, Drained: j == drained})
	}
	for _, other := range []model.VMID{"vm0", "vm1", "vm2"} {
		if other != w.watchers[i].id {
			ev.Peers = append(ev.Peers, other)
		}
	}
	w.apply(i, &ev)
}

// apply passes an event to a watcher and sends the resulting messages over the
// network.
func (w *failoverSimulation) apply(i int, ev *failover.Event) {
	v := w.watchers[i]
	ev.Database = "db"
	w.out = v.state.Apply(w.now, ev, w.out[:0])
	for _, e := range w.out {
		m := message{watcher: i, incarnation: v.incarnation, request: true, effect: e}
		switch e.Kind {
		case failover.SendStatus, failover.SendFollow:
			m.event.SentAt = w.now
			w.inFlight = append(w.inFlight, m)
		case failover.SendFence, failover.SendPromote:
			w.checkTerm(v, &e)
			w.lastProposer = i
			w.inFlight = append(w.inFlight, m)
		case failover.PublishHealth:
			w.publish(i, &e)
		case failover.CloseWriteGate, failover.OpenWriteGate:
			w.setGate(i, e.Kind == failover.CloseWriteGate)
		}
	}
}

// checkTerm checks that a term has at most one proposer and one candidate.
func (w *failoverSimulation) checkTerm(v *watcherModel, e *failover.Effect) {
	name := string(v.id) + "/" + strconv.FormatUint(v.incarnation, 10)
	if other, found := w.proposers[e.Term]; found && other != name {
		w.t.Fatalf("term %v is used by %s and %s", e.Term, other, name)
	}
	w.proposers[e.Term] = name
	if e.Kind != failover.SendPromote {
		return
	}
	if other, found := w.candidates[e.Term]; found && other != e.Upstream {
		w.t.Fatalf("term %v has the candidates %s and %s", e.Term, other, e.Upstream)
	}
	w.candidates[e.Term] = e.Upstream
}

func (w *failoverSimulation) publish(i int, e *failover.Effect) {
	for j, v := range w.watchers {
		if j != i {
			ev := failover.Event{Kind: failover.PeerHealth, From: w.watchers[i].id, Primary: e.Primary, Term: e.Term, Age: e.Age}
			w.inFlight = append(w.inFlight, message{watcher: j, incarnation: v.incarnation, event: ev})
		}
	}
}

func (w *failoverSimulation) setGate(i int, closed bool) {
	v := w.watchers[i]
	if v.gateClosed == closed {
		w.t.Fatalf("write gate of %s is set to closed=%v twice in a row", v.id, closed)
	}
	v.gateClosed = closed
	if closed {
		w.inFlight = append(w.inFlight, message{watcher: i, incarnation: v.incarnation, event: failover.Event{Kind: failover.WritesDrained}})
	}
}

// deliver delivers a message to its receiver. If lost is true, a request takes
// effect but its response is lost.
func (w *failoverSimulation) deliver(m *message, lost bool) {
	v := w.watchers[m.watcher]
	if v.incarnation != m.incarnation && !m.request {
		return
	}
	if !m.request {
		ev := m.event
		w.apply(m.watcher, &ev)
		return
	}
	i := w.group.index(m.effect.Upstream)
	answer := message{watcher: m.watcher, incarnation: m.incarnation, event: m.event}
	done := w.group.upstreams[i].up && !v.partitioned[i] && w.execute(i, &m.effect)
	answer.event.Kind = answerKind(m.effect.Kind, done)
	answer.event.Upstream = m.effect.Upstream
	answer.event.Term = m.effect.Term
	answer.event.Status = w.group.upstreams[i].status()
	if !lost {
		w.inFlight = append(w.inFlight, answer)
	}
}

// execute performs a request on an upstream and returns whether it succeeded.
func (w *failoverSimulation) execute(i int, e *failover.Effect) bool {
	switch e.Kind {
	case failover.SendFence:
		w.group.upstreams[i].fence(e.Term)
	case failover.SendPromote:
		return w.group.promote(i, e.Term)
	case failover.SendFollow:
		return w.group.follow(i, e.Term, e.Primary)
	}
	return true
}

func answerKind(k failover.EffectKind, done bool) failover.EventKind {
	switch k {
	case failover.SendFence:
		return pick(done, failover.FenceAnswered, failover.FenceFailed)
	case failover.SendPromote:
		return pick(done, failover.PromoteAnswered, failover.PromoteFailed)
	case failover.SendFollow:
		return pick(done, failover.FollowAnswered, failover.FollowFailed)
	}
	return pick(done, failover.StatusAnswered, failover.StatusFailed)
}

func pick(first bool, a, b failover.EventKind) failover.EventKind {
	if first {
		return a
	}
	return b
}

// step injects a fault or lets the system take one random step.
func (w *failoverSimulation) step() {
	w.now += model.Time(w.intN(4)) * model.Time(time.Millisecond)
	if w.lastProposer >= 0 && w.chance(2*w.faultPercent) {
		w.injectProposerFault()
	}
	if w.chance(w.faultPercent) {
		w.injectFault()
		return
	}
	switch n := w.intN(90); {
	case n < 25:
		for i := range w.watchers {
			w.tick(i)
		}
	case n < 65:
		w.deliverRandom()
	case n < 80:
		w.group.replicateSome(&w.rng)
	default:
		w.group.commit(w.intN(3))
	}
}

func (w *failoverSimulation) injectFault() {
	if w.chance(40) {
		w.group.injectFault(&w.rng)
	} else {
		w.injectWatcherFault()
	}
}

func (w *failoverSimulation) tick(i int) {
	if !w.watchers[i].paused {
		w.apply(i, &failover.Event{Kind: failover.Tick, Seed: w.uint64()})
	}
}

// deliverRandom delivers up to 12 messages in random order. Of these, 5% are lost
// and 5% stay in flight, so that they can be delivered again. If more than 200
// messages are left in flight, 100 of them are lost.
func (w *failoverSimulation) deliverRandom() {
	for range min(len(w.inFlight), 12) {
		k := w.intN(len(w.inFlight))
		m := w.inFlight[k]
		if w.watchers[m.watcher].paused && !m.request {
			continue
		}
		if !w.chance(5) {
			w.inFlight[k] = w.inFlight[len(w.inFlight)-1]
			w.inFlight = w.inFlight[:len(w.inFlight)-1]
		}
		if !w.chance(5) {
			w.deliver(&m, w.chance(5))
		}
	}
	if len(w.inFlight) > 200 {
		w.inFlight = slices.Delete(w.inFlight, 0, 100)
	}
}

// injectProposerFault pauses or restarts a watcher whose proposal is in progress.
// Before half of the restarts, its requests in flight are lost.
func (w *failoverSimulation) injectProposerFault() {
	i := w.lastProposer
	w.lastProposer = -1
	if w.chance(40) {
		w.watchers[i].paused = true
		return
	}
	if w.chance(50) {
		w.inFlight = slices.DeleteFunc(w.inFlight, func(m message) bool { return m.request && m.watcher == i })
	}
	w.restart(i)
}

func (w *failoverSimulation) injectWatcherFault() {
	i := w.intN(3)
	v := w.watchers[i]
	switch w.intN(8) {
	case 0:
		v.paused = true
	case 1, 2:
		v.paused = false
	case 3, 4:
		v.partitioned[w.intN(3)] = w.chance(40)
	case 5:
		w.restart(i)
	case 6:
		w.apply(i, &failover.Event{Kind: failover.SwitchoverRequested})
	case 7:
		w.configure(i, w.intN(4)-1)
	}
}

// runUntil runs without message loss until the condition holds and returns how long
// that took. It fails the test if that takes longer than limit.
func (w *failoverSimulation) runUntil(limit time.Duration, done func() bool) time.Duration {
	start := w.now
	for !done() {
		w.now += model.Time(5 * time.Millisecond)
		if w.now.Sub(start) > limit {
			w.t.Fatalf("not recovered after %v: %s", limit, w.describe())
		}
		for i := range w.watchers {
			w.tick(i)
		}
		for len(w.inFlight) > 0 {
			m := w.inFlight[0]
			w.inFlight = w.inFlight[1:]
			w.deliver(&m, false)
		}
		for i := range w.group.upstreams {
			w.group.replicate(i, 100)
		}
	}
	return w.now.Sub(start)
}

// heal ends all faults of the upstreams, the network and the watchers.
func (w *failoverSimulation) heal() {
	w.group.heal()
	for i, v := range w.watchers {
		v.paused = false
		v.partitioned = [3]bool{}
		w.configure(i, -1)
	}
}

// primary returns the index of a primary that can commit writes, because no
// majority has accepted a higher term; -1 if there is none.
func (w *failoverSimulation) primary() int {
	for i, p := range w.group.upstreams {
		n := 0
		for _, u := range w.group.upstreams {
			if u.promised.Compare(p.promised) <= 0 {
				n++
			}
		}
		if p.role == dbgroup.Primary && n >= 2 {
			return i
		}
	}
	return -1
}

// converged reports whether all other upstreams follow one primary and have its
// log, and all watchers know that primary and have opened their write gates.
func (w *failoverSimulation) converged() bool {
	i := w.primary()
	if i < 0 {
		return false
	}
	p := w.group.upstreams[i]
	for j, u := range w.group.upstreams {
		if u.promised != p.promised || !slices.Equal(u.log, p.log) || (j != i && u.role != dbgroup.Replica) {
			return false
		}
	}
	for _, v := range w.watchers {
		id, term := v.state.Primary("db")
		if id != p.id || term != p.promised || v.gateClosed {
			return false
		}
	}
	return true
}

func (w *failoverSimulation) describe() string {
	text := ""
	for _, u := range w.group.upstreams {
		text += string(u.id) + " " + u.role.String() + " promised " + u.promised.String() +
			" last " + u.lastTerm().String() + " at " + strconv.Itoa(len(u.log)) + "; "
	}
	return text
}
