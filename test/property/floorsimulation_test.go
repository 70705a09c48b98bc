package property

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

const (
	floorStep    = 25 * time.Millisecond
	floorService = catalog.Service("db")
	// floorBeat is the interval of registrations; one expires after three.
	floorBeat = 1200 * time.Millisecond
	// floorConfirmed is the life of a confirmation; none is given in the time before a
	// promotion.
	floorConfirmed = 900 * time.Millisecond
	floorQueryTime = 400 * time.Millisecond
)

// Kinds of faults of a run.
const (
	faultCrash = 1 << iota
	faultDeaf
	faultCut
	faultStoreCut
	faultReplace
	faultRestart
	faultLoss
	faultFreeze
	faultSwitchover
	faultAll = 1<<iota - 1
)

// floorEpoch is the time of the clock at the start of a run.
const floorEpoch = model.Time(time.Hour)

// floorCommit is a write; ackedAt is 0 until it is acknowledged.
type floorCommit struct {
	position model.Position
	// vm is the VM that sent it at sentAt.
	vm      *floorVM
	sentAt  model.Time
	ackedAt model.Time
	// rolledBack is set by the promotion of an upstream without it.
	rolledBack bool
}

// floorUpstream is a simulated upstream on a platform that checks fencing tokens.
type floorUpstream struct {
	id      model.UpstreamID
	address string
	born    int64
	// log has the commits received.
	log     []*floorCommit
	term    uint64
	primary bool
	up      bool
	leaving bool
	// registersAt is when it next writes its registration.
	registersAt time.Duration
	deafUntil   time.Duration
}

func (u *floorUpstream) position() model.Position {
	if len(u.log) == 0 {
		return model.Position{}
	}
	return u.log[len(u.log)-1].position
}

// has reports whether a commit is in the log.
func (u *floorUpstream) has(c *floorCommit) bool {
	i := int(c.position.Pos) - 1
	return i < len(u.log) && u.log[i] == c
}

// hasAll reports whether the log has every acknowledged commit.
func (u *floorUpstream) hasAll(w *floorWorld) bool {
	c := w.lastAcked(w.clock())
	return c == nil || u.has(c)
}

// floorVM is a simulated VM with its view of the upstreams.
type floorVM struct {
	id          model.VMID
	view        *replicaset.State
	frozenUntil time.Duration
	list        replicaset.Event
	// suspects are the upstreams that did not answer; asked those with a query on its way.
	suspects, asked map[model.UpstreamID]bool
}

// floorEntry is a registration in the store.
type floorEntry struct {
	replicaset.Registration
	writtenAt time.Duration
}

// floorWorld is the state of one run. Time is counted from the start of the run.
type floorWorld struct {
	rng       *rand.Rand
	faults    int
	now       time.Duration
	vms       []*floorVM
	upstreams []*floorUpstream
	started   int
	entries   map[model.UpstreamID]floorEntry
	cut       map[[2]string]bool
	events    []confirmEvent
	// acked has the acknowledged commits, in order of time.
	acked []*floorCommit
	// promoteAt is when the next promotion takes place, 0 if none is planned.
	promoteAt  time.Duration
	promotions int
	floors     int
	violation  string
	// readsOnly makes only reads that can be served stale a violation.
	readsOnly bool
	history   []string
}

func newFloorWorld(seed int64, vms, faults int) *floorWorld {
	w := &floorWorld{
		rng: rand.New(rand.NewSource(seed)), faults: faults, cut: map[[2]string]bool{}, entries: map[model.UpstreamID]floorEntry{},
	}
	for range 3 {
		w.start(nil, 0).term = 1
	}
	w.upstreams[0].primary = true
	for i := range vms {
		v := &floorVM{id: model.VMID(fmt.Sprintf("vm-%d", i)), view: replicaset.New(), suspects: map[model.UpstreamID]bool{}, asked: map[model.UpstreamID]bool{}}
		v.apply(w, &replicaset.Event{Kind: replicaset.EventSyncReplicas, Service: floorService, SyncReplicas: 1})
		w.vms = append(w.vms, v)
	}
	return w
}

func (w *floorWorld) clock() model.Time { return floorEpoch.Add(w.now) }

func (w *floorWorld) logf(format string, args ...any) {
	w.history = append(w.history, fmt.Sprintf("%8v ", w.now)+fmt.Sprintf(format, args...))
	w.history = w.history[max(0, len(w.history)-historyLength):]
}

func (w *floorWorld) after(d time.Duration, fn func()) {
	w.events = append(w.events, confirmEvent{at: w.now + d, fn: fn})
}

func (w *floorWorld) ms(n int) time.Duration { return time.Duration(w.rng.Intn(n)) * time.Millisecond }

// delay returns the time that a message takes: usually little.
func (w *floorWorld) delay() time.Duration {
	if w.rng.Intn(20) == 0 {
		return w.ms(300)
	}
	return w.ms(20)
}

func (w *floorWorld) reaches(a, b string) bool {
	return !w.cut[[2]string{a, b}] && !w.cut[[2]string{b, a}]
}

// start starts an upstream that registers after the given time.
func (w *floorWorld) start(log []*floorCommit, registersAfter time.Duration) *floorUpstream {
	w.started++
	id := fmt.Sprintf("u%d", w.started)
	u := &floorUpstream{
		id: model.UpstreamID(id), address: id + ":1", born: 1, log: log, up: true, registersAt: w.now + registersAfter,
	}
	w.upstreams = append(w.upstreams, u)
	return u
}

func (w *floorWorld) upstream(id model.UpstreamID) *floorUpstream {
	i := slices.IndexFunc(w.upstreams, func(u *floorUpstream) bool { return u.id == id })
	if i < 0 {
		return nil
	}
	return w.upstreams[i]
}

func (w *floorWorld) primary() *floorUpstream {
	i := slices.IndexFunc(w.upstreams, func(u *floorUpstream) bool { return u.primary })
	if i < 0 {
		return nil
	}
	return w.upstreams[i]
}

func (v *floorVM) apply(w *floorWorld, ev *replicaset.Event) {
	for _, e := range v.view.Apply(w.clock(), ev, nil) {
		switch e.Kind {
		case replicaset.EffectAdded, replicaset.EffectRemoved:
			w.logf("%s: effect %d %s", v.id, e.Kind, e.Upstream)
		case replicaset.EffectPrimary:
			w.logf("%s: primary %q term %d, by %v", v.id, e.Upstream, e.Term, *ev)
			if v == w.vms[0] && e.Upstream != "" {
				w.announce(e)
			}
		}
	}
	w.checkEvidence(v, ev)
}

// announce tells the other VMs of a new primary, as the lease holder does.
func (w *floorWorld) announce(e replicaset.Effect) {
	for _, o := range w.vms[1:] {
		w.deliver(o, string(w.vms[0].id), string(o.id), func() {
			o.apply(w, &replicaset.Event{Kind: replicaset.EventPrimary, Service: floorService, Upstream: e.Upstream, Term: e.Term})
		})
	}
}

// run plays the given time.
func (w *floorWorld) run(length time.Duration) {
	for w.now < length && w.violation == "" {
		w.now += floorStep
		w.injectFaults()
		due := w.events
		w.events = nil
		for _, e := range due {
			if e.at > w.now {
				w.events = append(w.events, e)
			} else {
				e.fn()
			}
		}
		w.replicate()
		w.register()
		w.promote()
		for _, v := range w.vms {
			if v.frozenUntil <= w.now {
				w.stepVM(v)
				w.checkReads(v)
			}
		}
	}
}

// injectFaults makes one random fault at times.
func (w *floorWorld) injectFaults() {
	const meanFaultInterval = 600 * time.Millisecond
	if w.rng.Int63n(int64(meanFaultInterval/floorStep)) != 0 || len(w.upstreams) == 0 {
		return
	}
	u := w.upstreams[w.rng.Intn(len(w.upstreams))]
	fault := 1 << w.rng.Intn(9)
	if w.faults&fault == 0 || !u.up {
		return
	}
	switch fault {
	case faultCrash:
		w.logf("%s crashes", u.id)
		u.up = false
		w.after(time.Second+w.ms(6000), func() {
			u.up = true
			w.logf("%s is back, primary %t", u.id, u.primary)
		})
	case faultDeaf:
		u.deafUntil = w.now + w.ms(8000)
		w.logf("%s deaf until %v", u.id, u.deafUntil)
	case faultCut:
		w.cutEnd(w.vmOrUpstream(u), false)
	case faultStoreCut:
		w.cutEnd(w.vmOrUpstream(u), true)
	case faultReplace:
		w.replace(u)
	case faultRestart:
		if w.spare(u) {
			w.logf("%s restarts empty", u.id)
			u.log, u.term, u.primary, u.leaving, u.born, u.registersAt = nil, 0, false, false, u.born+1, w.now+w.ms(1200)
		}
	case faultLoss:
		if w.spare(u) && len(w.upstreams) <= 3 {
			w.logf("%s is lost", u.id)
			w.drop(u)
			w.after(w.ms(3000), func() { w.logf("%s starts", w.start(nil, w.ms(1200)).id) })
		}
	case faultFreeze:
		v := w.vms[w.rng.Intn(len(w.vms))]
		v.frozenUntil = w.now + w.ms(4000)
		w.logf("%s frozen until %v", v.id, v.frozenUntil)
	case faultSwitchover:
		w.planPromotion()
	}
}

func (w *floorWorld) vmOrUpstream(u *floorUpstream) string {
	if w.rng.Intn(2) == 0 {
		return string(u.id)
	}
	return string(w.vms[w.rng.Intn(len(w.vms))].id)
}

// cutEnd cuts an end off from the store, or from some VMs and upstreams, for a while.
func (w *floorWorld) cutEnd(end string, store bool) {
	var others []string
	if store {
		others = append(others, storeEnd)
	}
	for _, u := range w.upstreams {
		if !store && w.rng.Intn(2) == 0 {
			others = append(others, string(u.id))
		}
	}
	for _, v := range w.vms {
		if !store && w.rng.Intn(2) == 0 {
			others = append(others, string(v.id))
		}
	}
	w.logf("%s cut off from %v", end, others)
	for _, o := range others {
		w.cut[[2]string{end, o}] = true
	}
	w.after(time.Second+w.ms(9000), func() {
		w.logf("%s reaches %v", end, others)
		for _, o := range others {
			delete(w.cut, [2]string{end, o})
		}
	})
}

// spare reports whether the others have all acknowledged commits.
func (w *floorWorld) spare(u *floorUpstream) bool {
	return slices.ContainsFunc(w.upstreams, func(o *floorUpstream) bool { return o != u && o.hasAll(w) })
}

func (w *floorWorld) drop(u *floorUpstream) {
	u.up, u.primary = false, false
	w.upstreams = slices.DeleteFunc(w.upstreams, func(o *floorUpstream) bool { return o == u })
	delete(w.entries, u.id)
}

// replace drains an upstream. Its replacement starts before, empty, or after it at its
// address, with its log.
func (w *floorWorld) replace(u *floorUpstream) {
	if u.leaving || len(w.upstreams) > 3 {
		return
	}
	u.leaving, u.registersAt = true, w.now
	before := w.rng.Intn(2) == 0
	w.logf("%s drains, replacement before %t", u.id, before)
	if before {
		w.logf("%s starts", w.start(nil, w.ms(1200)).id)
	}
	var end func()
	end = func() {
		switch {
		case !slices.Contains(w.upstreams, u) || !u.leaving:
			return
		case u.primary || !w.spare(u) || !u.up:
			w.after(200*time.Millisecond, end)
			return
		}
		w.drop(u)
		w.logf("%s ends", u.id)
		if !before {
			r := w.start(u.log, w.ms(1200))
			r.address, r.term = u.address, u.term
			w.logf("%s starts at its address", r.id)
		}
	}
	w.after(7*time.Second+w.ms(3000), end)
}

// replicate writes commits, passes them on, and acknowledges those that a replica has
// received.
func (w *floorWorld) replicate() {
	p := w.primary()
	if p == nil || !p.up {
		return
	}
	for _, r := range w.upstreams {
		if r == p || !r.up || r.deafUntil > w.now || !w.reaches(string(p.id), string(r.id)) || w.rng.Intn(3) == 0 {
			continue
		}
		for _, c := range p.log[w.unacked(p):] {
			w.acknowledge(p, c)
		}
		r.log, r.term = p.log[:len(p.log):len(p.log)], p.term
	}
	if v := w.vms[w.rng.Intn(len(w.vms))]; v.frozenUntil <= w.now && w.reaches(string(v.id), string(p.id)) {
		p.log = append(p.log, &floorCommit{position: position(p.term, uint64(p.position().Pos)+1), vm: v, sentAt: w.clock()})
	}
}

// unacked returns the index of the first commit in a log that is not acknowledged.
func (w *floorWorld) unacked(p *floorUpstream) int {
	i := len(p.log)
	for i > 0 && p.log[i-1].ackedAt == 0 {
		i--
	}
	return i
}

// acknowledge answers the VM that sent a commit.
func (w *floorWorld) acknowledge(p *floorUpstream, c *floorCommit) {
	c.ackedAt = w.clock()
	w.acked = append(w.acked, c)
	ev := replicaset.Event{Kind: replicaset.EventCommitted, Upstream: p.id, SentAt: c.sentAt, Position: p.position()}
	w.deliver(c.vm, string(p.id), string(c.vm.id), func() { c.vm.apply(w, &ev) })
}

// register writes registrations to the store and removes expired ones.
func (w *floorWorld) register() {
	for _, u := range w.upstreams {
		if !u.up || u.registersAt > w.now || !w.reaches(string(u.id), storeEnd) {
			continue
		}
		w.entries[u.id] = floorEntry{Registration: replicaset.Registration{
			ID: u.id, Service: floorService, Address: u.address, Zone: model.Zone(u.id), Primary: u.primary, Leaving: u.leaving,
			Incarnation: u.born, Sequence: int64(w.now),
		}, writtenAt: w.now}
		u.registersAt = w.now + floorBeat
	}
	for id := range w.entries {
		if w.now-w.entries[id].writtenAt > 3*floorBeat {
			delete(w.entries, id)
		}
	}
}

func (w *floorWorld) planPromotion() {
	if w.promoteAt == 0 {
		w.promoteAt = w.now + floorConfirmed + w.ms(1000)
		w.logf("promotion planned")
	}
}

// promote carries out a planned promotion once a registered upstream has all
// acknowledged commits, and plans one if the primary is down or leaves.
func (w *floorWorld) promote() {
	p := w.primary()
	if p == nil || !p.up || p.leaving {
		w.planPromotion()
	}
	if w.promoteAt == 0 || w.promoteAt > w.now {
		return
	}
	for _, u := range w.upstreams {
		if _, listed := w.entries[u.id]; !listed || !u.up || u.primary || u.leaving || !u.hasAll(w) {
			continue
		}
		term := u.term
		for _, o := range w.upstreams {
			term, o.primary = max(term, o.term), false
			for _, c := range o.log {
				c.rolledBack = c.rolledBack || !u.has(c)
			}
		}
		u.primary, u.term, u.registersAt, w.promoteAt = true, term+1, w.now, 0
		w.promotions++
		w.logf("%s is promoted at %v, term %d", u.id, u.position(), u.term)
		return
	}
	if p != nil && p.up && !p.leaving {
		w.promoteAt = 0
	}
}

// deliver runs at after the delay of a message to a VM, unless the link is cut at the
// start or the end of it. A frozen VM gets it when it runs again.
func (w *floorWorld) deliver(v *floorVM, from, to string, at func()) {
	if !w.reaches(from, to) {
		return
	}
	var arrive func()
	arrive = func() {
		switch {
		case !w.reaches(from, to):
		case v.frozenUntil > w.now:
			w.after(v.frozenUntil-w.now, arrive)
		default:
			at()
		}
	}
	w.after(w.delay(), arrive)
}

// stepVM makes a VM read the list, poll the others, and query upstreams: the first VM,
// as the lease holder, all of them, and each VM those that do not answer, or all if it
// has no evidence.
func (w *floorWorld) stepVM(v *floorVM) {
	if w.rng.Intn(40) == 0 || v.list.SentAt == 0 {
		w.readList(v)
	}
	for _, o := range w.vms {
		if o != v && w.rng.Intn(12) == 0 {
			w.poll(v, o)
		}
	}
	if w.rng.Intn(10) == 0 && w.promoteAt == 0 && w.primary() != nil && w.vms[0].frozenUntil <= w.now && w.reaches(string(v.id), string(w.vms[0].id)) {
		p := w.primary()
		v.apply(w, &replicaset.Event{
			Kind: replicaset.EventConfirmed, Upstream: p.id, Term: p.term, SentAt: w.clock(), Until: w.clock().Add(floorConfirmed),
		})
	}
	m, known := v.view.Primary(w.clock(), floorService)
	_, _, fresh := v.view.Floor(w.clock(), floorService, 1500*time.Millisecond, model.Position{})
	for _, id := range v.view.Upstreams(floorService) {
		interval := 0
		switch {
		case v == w.vms[0] && id == m.ID:
			interval = 12
		case v.suspects[id] || !fresh && (!known || id == m.ID):
			interval = 10
		case v == w.vms[0]:
			interval = 32
		}
		if interval > 0 && w.rng.Intn(interval) == 0 {
			w.query(v, id)
		}
	}
}

// readList reads the registrations from the store.
func (w *floorWorld) readList(v *floorVM) {
	if !w.reaches(string(v.id), storeEnd) {
		v.apply(w, &replicaset.Event{Kind: replicaset.EventStoreUnavailable})
		return
	}
	ev := replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: w.clock()}
	for _, id := range w.listed() {
		ev.Registrations = append(ev.Registrations, w.entries[id].Registration)
	}
	w.deliver(v, storeEnd, string(v.id), func() { v.install(w, &ev) })
}

func (w *floorWorld) listed() []model.UpstreamID {
	var ids []model.UpstreamID
	for id := range w.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (v *floorVM) install(w *floorWorld, list *replicaset.Event) {
	if list.SentAt > v.list.SentAt {
		v.list = *list
		v.apply(w, list)
	}
}

// poll makes v ask o for its evidence, primary and list.
func (w *floorWorld) poll(v, o *floorVM) {
	askedAt := w.clock()
	w.deliver(o, string(v.id), string(o.id), func() {
		list, answeredAt := o.list, w.clock()
		e, ok := o.view.NewestEvidence(floorService)
		var primary model.UpstreamID
		if views := o.view.Views(); len(views) > 0 {
			primary = views[0].Primary
		}
		w.deliver(v, string(o.id), string(v.id), func() {
			list.SentAt = askedAt.Add(-answeredAt.Sub(list.SentAt))
			if list.Registrations != nil {
				v.install(w, &list)
			}
			if !ok {
				return
			}
			at := askedAt.Add(-answeredAt.Sub(e.At))
			if primary != "" {
				v.apply(w, &replicaset.Event{Kind: replicaset.EventPrimary, Service: floorService, Upstream: primary, Term: e.Term, SentAt: at})
			}
			v.apply(w, &replicaset.Event{Kind: replicaset.EventEvidence, Service: floorService, Position: e.Position, Term: e.Term, SentAt: at})
		})
	})
}

// query queries the status of an upstream, one query at a time.
func (w *floorWorld) query(v *floorVM, id model.UpstreamID) {
	m, ok := v.view.Member(id)
	if !ok || v.asked[id] {
		return
	}
	v.asked[id] = true
	sentAt, open := w.clock(), true
	finish := func(ev *replicaset.Event) {
		if open {
			open, v.asked[id], v.suspects[id] = false, false, ev.Kind == replicaset.EventFailed
			v.apply(w, ev)
		}
	}
	failed := &replicaset.Event{Kind: replicaset.EventFailed, Upstream: id}
	var timeout func()
	timeout = func() {
		if v.frozenUntil > w.now {
			w.after(v.frozenUntil-w.now, timeout)
			return
		}
		finish(failed)
	}
	w.after(floorQueryTime, timeout)
	if !w.reaches(string(v.id), string(id)) {
		return
	}
	w.after(w.delay(), func() {
		ev := failed
		if u := w.upstream(id); u != nil && u.up {
			ev = &replicaset.Event{Kind: replicaset.EventStatus, Upstream: id, SentAt: sentAt, Status: replicaset.Status{
				Primary: u.primary, Term: u.term, Received: u.position(), Applied: u.position(),
			}}
		} else if slices.ContainsFunc(w.upstreams, func(u *floorUpstream) bool { return u.up && u.address == m.Address }) {
			ev = &replicaset.Event{Kind: replicaset.EventReplaced, Upstream: id}
		}
		w.deliver(v, string(id), string(v.id), func() { finish(ev) })
	})
}

// lastAcked returns the last commit that was acknowledged up to a time and not rolled
// back: a log that has it has all such commits.
func (w *floorWorld) lastAcked(before model.Time) *floorCommit {
	for _, c := range slices.Backward(w.acked) {
		if c.ackedAt <= before && !c.rolledBack {
			return c
		}
	}
	return nil
}

// checkEvidence verifies that the newest evidence covers all commits acknowledged before.
func (w *floorWorld) checkEvidence(v *floorVM, ev *replicaset.Event) {
	e, ok := v.view.NewestEvidence(floorService)
	if c := w.lastAcked(e.At - 1); ok && !w.readsOnly && c != nil && c.position.Compare(e.Position) > 0 {
		w.violate("%s: evidence %v of term %d at %v lacks %v, acknowledged at %v; by %v",
			v.id, e.Position, e.Term, e.At.Sub(floorEpoch), c.position, c.ackedAt.Sub(floorEpoch), *ev)
	}
}

// checkReads verifies that the floor of a read covers all commits that it has to see.
func (w *floorWorld) checkReads(v *floorVM) {
	for _, bound := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond} {
		sessions := append([]*floorCommit{{}}, w.acked[max(0, len(w.acked)-8):]...)
		for _, s := range sessions {
			floor, _, ok := v.view.Floor(w.clock(), floorService, bound, s.position)
			if !ok {
				continue
			}
			w.floors++
			for _, c := range []*floorCommit{w.lastAcked(w.clock().Add(-bound)), s} {
				if c == nil || c.rolledBack || c.position.Compare(floor) <= 0 {
					continue
				}
				for _, u := range w.upstreams {
					if u.up && !u.has(c) && u.position().Compare(floor) >= 0 && w.reaches(string(v.id), string(u.id)) {
						w.violate("%s: a read by floor %v, bound %v, session %v, at %s, whose log stands at %v, lacks %v, acknowledged at %v",
							v.id, floor, bound, s.position, u.id, u.position(), c.position, c.ackedAt.Sub(floorEpoch))
					}
				}
			}
		}
	}
}

func (w *floorWorld) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v ", w.now) + fmt.Sprintf(format, args...)
	}
}
