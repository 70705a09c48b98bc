package promotion

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// The member model runs VMs, each with a replicaset.State, and a lease holder among them against
// simulated upstreams of one service whose commits need one replica. Upstreams join, leave, lapse,
// crash and are cut off; commands and promotion calls may be lost or executed seconds late, and a
// promotion takes effect memberPromoteSteps after its call. VMs send writes and pass acknowledged
// commits on as far as their replicaset.State allows. Only commits that were passed on count: an
// upstream that becomes the primary must have all of them. A memberScenario determines a run.
const (
	memberStep = 50 * time.Millisecond
	// memberPromoteSteps is how long a promotion takes from the decision to its effect, with the
	// record in the store, unless the scenario has another number.
	memberPromoteSteps = 22
	// memberWarmupSteps is when VMs know a complete group; scenarios begin then.
	memberWarmupSteps = 80
	// memberProgressSteps is the end of a run in which commits are expected again.
	memberProgressSteps = 60
	// memberQuietSteps is for how long nothing has to happen for a run to end before its last step. It is longer than a lease
	// and the time until a fence that is left over is released.
	memberQuietSteps = 100
	// entryTTL is how long an entry in the store outlasts its upstream's last report, which
	// comes every entryInterval.
	entryTTL      = 60
	entryInterval = 20
	// memberLeaseSteps is the time from the end of one lease holder to the next one.
	memberLeaseSteps = 45
	// memberCommitSteps is how long a VM waits for an acknowledgement and a proof.
	memberCommitSteps = 16
	// commandTimeoutSteps is how long an unanswered command keeps the next one back.
	commandTimeoutSteps = 8
	// callTimeoutSteps is when the outcome of an unanswered promotion call is reported.
	callTimeoutSteps = 20
	memberService    = catalog.Service("db")
)

// memberEventKind is the kind of a memberEvent.
type memberEventKind uint8

const (
	// memberCrash: the upstream stops and comes back with its log.
	memberCrash memberEventKind = iota
	// memberCutVMs: VMs do not reach the upstream.
	memberCutVMs
	// memberCutReplicas: nothing passes between the upstream and the others.
	memberCutReplicas
	// memberDeaf: the upstream receives no commits.
	memberDeaf
	// memberCutStore: the upstream does not reach the store, so that its entry lapses.
	memberCutStore
	// memberLeave: the upstream announces that it leaves, and is gone at the end or, if it is the
	// last primary, once another one leads. A replacement joins if one is named.
	memberLeave
	// memberJoin: the upstream starts, receives at once and registers delay steps later.
	memberJoin
	// vmCrash: the VMs stop for good.
	vmCrash
	// vmCutVMs: the VMs do not reach other VMs; vmCutStore: they do not reach the store.
	vmCutVMs
	vmCutStore
	// vmRestart: the VMs stop and come back knowing nothing.
	vmRestart
	// storeOutage: nobody reaches the store; entries lapse meanwhile.
	storeOutage
	// memberRestart: a replica stops and starts again under its ID without its log.
	memberRestart
	// vmCutPair: the VMs do not reach each other, but the other VMs.
	vmCutPair
)

// memberEvent is a disruption from the step at until the step until. Both count from the end of
// the warm-up, or from the first promotion call if atCall or untilCall is set.
type memberEvent struct {
	kind memberEventKind
	at   int
	// until is 0 for an event without an end.
	until             int
	atCall, untilCall bool
	// upstream is an ID or one of the selectors below, resolved at the start.
	upstream model.UpstreamID
	// vms is a set of VMs by bits; theHolder is the lease holder at the start.
	vms uint8
	// with is the replacement of an upstream that leaves, registered delay steps later.
	with  model.UpstreamID
	delay int
}

// String returns the event as it is written in a scenario.
func (e memberEvent) String() string {
	names := [...]string{"crash", "cut from VMs", "cut from replicas", "deaf", "cut from store", "leave", "join", "VM crash", "VM cut from VMs", "VM cut from store", "VM restart", "store outage", "restart", "VMs cut from each other"}
	text := fmt.Sprintf("%s %s at %d", names[e.kind], e.upstream, e.at)
	if e.atCall {
		text += " of the call"
	}
	if e.until != 0 || e.untilCall {
		text += fmt.Sprintf(" until %d", e.until)
	}
	if e.untilCall {
		text += " of the call"
	}
	if e.vms != 0 {
		text += fmt.Sprintf(" vms %#x", e.vms)
	}
	if e.with != "" {
		text += " with " + string(e.with)
	}
	if e.delay != 0 {
		text += fmt.Sprintf(" delay %d", e.delay)
	}
	return text
}

// runEvent is an event in a run.
type runEvent struct {
	memberEvent
	started, ended bool
	// upstreams are those that the selector stands for.
	upstreams []model.UpstreamID
}

const (
	allVMs    uint8 = 0x0f
	theHolder uint8 = 0x80
	// thePrimary is the present primary, theReplicas all others that stay, theTarget the
	// upstream of the last promotion call.
	thePrimary  model.UpstreamID = "primary"
	theReplicas model.UpstreamID = "replicas"
	theTarget   model.UpstreamID = "target"
)

// memberScenario determines one run.
type memberScenario struct {
	name   string
	vms    int
	steps  int
	events []memberEvent
	// deliveries has the faults of commands, status queries not counted, and promotion calls
	// by their number; lateSteps is how late delayed ones are executed.
	deliveries map[int]delivery
	// calls has faults of promotion calls by their number among these alone.
	calls     map[int]delivery
	lateSteps int
	// promoteSteps replaces memberPromoteSteps unless it is 0.
	promoteSteps int
	// ackSteps, pollSteps and replySteps are how late acknowledgements, the answers of other VMs
	// and those to the lease holder's commands arrive.
	ackSteps, pollSteps, replySteps int
	// lateTerms: upstreams that are cut off from the new primary learn of it when they are no
	// longer; until then they keep their fences, their term and what they had received.
	lateTerms bool
	// lags has the steps by which replicas receive commits late, by their order.
	lags [3]int
	// order rotates the order of the VMs within a step.
	order int
	// unread: VMs read from no replica, so that fewer receipts are known.
	unread          bool
	fencesUnchecked bool
	// newIDs: an upstream that has crashed comes back under another ID, with its log and its address.
	newIDs bool

	// Injected bugs.
	passesOnAll, ignoresFence, skipsList, assumesWithdrawal, unknownRestarts bool
}

// String returns what determines the run.
func (s memberScenario) String() string {
	return fmt.Sprintf("{%s: %d VMs, %d steps, events %v, deliveries %v, calls %v, late %d, promotion %d, answers late by %d, %d and %d, late terms %t, lags %v, order %d, unread %t, fences unchecked %t}",
		s.name, s.vms, s.steps, s.events, s.deliveries, s.calls, s.lateSteps, cmp.Or(s.promoteSteps, memberPromoteSteps), s.ackSteps, s.pollSteps, s.replySteps, s.lateTerms, s.lags, s.order, s.unread, s.fencesUnchecked)
}

// simUpstream is a simulated upstream. Its log has the term of each commit.
type simUpstream struct {
	id         model.UpstreamID
	zone       model.Zone
	log        []uint64
	term       uint64
	fencedTerm uint64
	lag        int
	alive      bool
	// gone: it has left with its log.
	gone    bool
	leaving bool
	// registersAt is the step of its first report to the store.
	registersAt                        int
	reported                           replicaset.Registration
	reportedAt                         int
	cutVMs                             uint8
	cutReplicas, deaf, cutStore, fresh bool
	// behind: it has not learned of the present primary.
	behind bool
	// restarts: it is down and comes back without its log.
	restarts    bool
	incarnation int64
	// replacedBy is the ID under which it is back, empty unless newIDs is set.
	replacedBy model.UpstreamID
}

func (u *simUpstream) position() model.Position {
	n := len(u.log)
	if n == 0 {
		return model.Position{}
	}
	return model.Position{Term: model.Term{Counter: u.log[n-1]}, Pos: model.LogPos(n)}
}

func (u *simUpstream) has(p model.Position) bool {
	n := int(p.Pos)
	return n <= len(u.log) && u.log[n-1] == p.Term.Counter
}

// simCommit is a commit that a VM has sent and not given up.
type simCommit struct {
	primary  model.UpstreamID
	position model.Position
	sentAt   model.Time
	sentStep int
	// ackedStep is the step of its acknowledgement by the primary, ackedAt when the VM gets it.
	acked, acknowledged bool
	ackedStep           int
	ackedAt             model.Time
}

// simVM is a simulated VM.
type simVM struct {
	index    int
	id       model.VMID
	zone     model.Zone
	alive    bool
	view     *replicaset.State
	holder   *State
	contacts map[model.UpstreamID]model.Time
	heard    map[model.VMID]model.Time
	suspects map[model.UpstreamID]bool
	commits  []simCommit
	// list is the newest list, read at listedAt; one is needed from listNeededAt on.
	list         []replicaset.Registration
	listedAt     model.Time
	listNeededAt model.Time
	inFlight     map[model.UpstreamID]int
	nextRead     int
	// failedRoundAt is the step of the last status round that failed.
	failedRoundAt    int
	cutVMs, cutStore bool
	// cutFrom are the VMs that this one does not reach, by bits.
	cutFrom           uint8
	startedAt         model.Time
	startedStep       int
	lastStatusesAt    int
	pendingList       []replicaset.Registration
	pendingListSentAt model.Time
}

type passedCommit struct {
	position model.Position
	vm       model.VMID
	step     int
	primary  model.UpstreamID
}

type simCall struct {
	at     int
	target model.UpstreamID
}

type simLate struct {
	at int
	fn func()
}

// memberRun is a run of a scenario.
type memberRun struct {
	s         memberScenario
	events    []runEvent
	step      int
	upstreams map[model.UpstreamID]*simUpstream
	// members are the upstreams that have not left.
	members []*simUpstream
	vms     []*simVM
	primary model.UpstreamID
	last    model.UpstreamID
	// deposed is the former primary unless it had stepped down, after which it refuses commits.
	deposed model.UpstreamID
	term    uint64
	// lengths has the length of the primary's log by step, since it leads.
	lengths      []int
	highestToken uint64
	promotions   []simCall
	late         []simLate
	// lateCalls counts the promotion calls for an upstream that are still to be executed.
	lateCalls    map[model.UpstreamID]int
	records      map[catalog.Service]Record
	revision     uint64
	holder       int
	holderEndsAt int
	firstCall    int
	lastTarget   model.UpstreamID
	storeDown    bool
	// messages counts the commands and promotion calls, calls the latter alone.
	messages, calls int
	passed          []passedCommit
	// passedAfter counts the commits that were passed on since the last change of primary,
	// passedLate those of the last memberProgressSteps of the run.
	passedAfter, passedLate int
	changes                 int
	// newestPassed is the newest commit that was passed on.
	newestPassed model.Position
	outage       outage
	violation    string
	// overdue tells of an outage that has lasted too long.
	overdue string
	// busyAt is the last step at which a command or call was pending, or commits were not passed on.
	busyAt int
	// steppedDownStep is the step at which the last primary stepped down.
	steppedDownStep int
	// ledAt is the step at which the last primary began to lead.
	ledAt int
	trace func(string)
}

func newMemberRun(s memberScenario) *memberRun {
	r := &memberRun{
		s: s, upstreams: map[model.UpstreamID]*simUpstream{}, primary: "a", last: "a", term: 1, records: map[catalog.Service]Record{},
		lateCalls: map[model.UpstreamID]int{},
		firstCall: never, revision: 1, outage: newOutage(),
	}
	for _, e := range s.events {
		r.events = append(r.events, runEvent{memberEvent: e})
	}
	for i, id := range []model.UpstreamID{"a", "b", "c"} {
		u := r.join(id, model.Zone(fmt.Sprint("zone-", i)), 0)
		u.lag = s.lags[i]
	}
	for i := range s.vms {
		r.vms = append(r.vms, r.newVM(i))
	}
	r.vms[0].holder.Acquire(r.now(), Acquisition{Revision: r.revision})
	return r
}

// newVM returns a VM that has just started.
func (r *memberRun) newVM(index int) *simVM {
	vm := &simVM{
		index: index, id: model.VMID(fmt.Sprint("vm-", index)), zone: model.Zone(fmt.Sprint("zone-", index)), alive: true, view: replicaset.New(), holder: New(),
		contacts: map[model.UpstreamID]model.Time{}, heard: map[model.VMID]model.Time{}, suspects: map[model.UpstreamID]bool{},
		inFlight: map[model.UpstreamID]int{}, failedRoundAt: -100, startedAt: r.now(), startedStep: r.step,
	}
	var others []model.VMID
	for i := range r.s.vms {
		if i != index {
			others = append(others, model.VMID(fmt.Sprint("vm-", i)))
		}
	}
	vm.view.SetVoters(others)
	vm.view.Apply(r.now(), &replicaset.Event{Kind: replicaset.EventSyncReplicas, Service: memberService, SyncReplicas: 1}, nil)
	return vm
}

func (r *memberRun) now() model.Time {
	return model.Time(time.Hour).Add(time.Duration(r.step) * memberStep)
}

func (r *memberRun) tracef(format string, args ...any) {
	if r.trace != nil {
		r.trace(fmt.Sprintf("%4d: ", r.step-memberWarmupSteps) + fmt.Sprintf(format, args...))
	}
}

func (r *memberRun) fail(format string, args ...any) {
	if r.violation == "" {
		r.violation = fmt.Sprintf("step %d: ", r.step-memberWarmupSteps) + fmt.Sprintf(format, args...)
		r.tracef("VIOLATION %s", r.violation)
	}
}

// run runs the scenario.
func (s memberScenario) run() *memberRun { return newMemberRun(s).run() }

func (r *memberRun) run() *memberRun {
	for end := memberWarmupSteps + r.s.steps; r.step < end && r.violation == ""; r.step++ {
		r.applyEvents()
		r.applyLate()
		r.applyPromotions()
		r.report()
		if r.step >= len(r.lengths) {
			r.lengths = append(r.lengths, len(r.upstreams[r.last].log))
		}
		r.replicate()
		for i := range r.vms {
			if vm := r.vms[(i+r.s.order)%len(r.vms)]; vm.alive {
				r.runVM(vm)
			}
		}
		r.runHolder()
		r.checkOutage()
		if r.settledDown() {
			// The rest would be more of the same.
			break
		}
	}
	for _, p := range r.passed {
		if p.step >= r.step-memberProgressSteps {
			r.passedLate++
		}
	}
	return r
}

// settledDown reports whether no event, command or call has been pending for memberQuietSteps, in which commits were passed on.
func (r *memberRun) settledDown() bool {
	n := len(r.passed)
	if n == 0 || r.step-r.passed[n-1].step > memberProgressSteps/4 || len(r.late) > 0 || len(r.promotions) > 0 || r.vms[r.holder].holder.InTransition() || r.eventsPending() {
		r.busyAt = r.step
	}
	return r.step-r.busyAt >= memberQuietSteps
}

// eventsPending reports whether an event is still to begin or end, but for those that wait for a call.
func (r *memberRun) eventsPending() bool {
	return slices.ContainsFunc(r.events, func(e runEvent) bool {
		if r.firstCall == never && (!e.started && e.atCall || e.started && e.untilCall) {
			return false
		}
		return !e.started || !e.ended && (e.until != 0 || e.untilCall)
	})
}

// join starts an upstream, which receives the primary's log if there is a primary to copy from.
func (r *memberRun) join(id model.UpstreamID, zone model.Zone, delay int) *simUpstream {
	if u := r.upstreams[id]; u != nil {
		// It replaces several upstreams.
		return u
	}
	u := &simUpstream{id: id, zone: zone, alive: true, term: r.term, registersAt: r.step + delay, fresh: true, incarnation: 1}
	r.upstreams[id] = u
	if !r.copies(u) {
		u.term, u.behind = 0, true
	}
	r.members = append(r.members, u)
	return u
}

// copies reports whether there is a primary from which an upstream that has started can copy the log.
func (r *memberRun) copies(u *simUpstream) bool {
	leader := r.upstreams[r.primary]
	return leader == u || leader != nil && leader.alive && !leader.cutReplicas && !u.cutReplicas
}

// applyEvents starts and ends the events that are due.
func (r *memberRun) applyEvents() {
	for i := range r.events {
		e := &r.events[i]
		if due := r.due(e.at, e.atCall); due && !e.started {
			e.started = true
			e.upstreams = r.resolve(e.upstream)
			if e.vms&theHolder != 0 {
				e.vms |= 1 << r.holder
			}
			r.tracef("start %v: %v", e.memberEvent, e.upstreams)
			r.begin(e)
		}
		if e.started && !e.ended && (e.until != 0 || e.untilCall) && r.due(e.until, e.untilCall) {
			e.ended = true
			r.tracef("end %v", e.memberEvent)
			r.end(e)
		}
	}
}

func (r *memberRun) due(step int, sinceCall bool) bool {
	if sinceCall {
		return r.firstCall != never && r.step >= r.firstCall+step
	}
	return r.step >= memberWarmupSteps+step
}

func (r *memberRun) resolve(id model.UpstreamID) []model.UpstreamID {
	switch id {
	case thePrimary:
		return []model.UpstreamID{r.last}
	case theTarget:
		return []model.UpstreamID{r.lastTarget}
	case theReplicas:
		var list []model.UpstreamID
		for _, u := range r.present() {
			if u.id != r.last && !u.leaving {
				list = append(list, u.id)
			}
		}
		return list
	}
	return []model.UpstreamID{id}
}

func (r *memberRun) begin(e *runEvent) {
	for _, vm := range r.vms {
		if e.vms&(1<<vm.index) == 0 {
			continue
		}
		switch e.kind {
		case vmCrash, vmRestart:
			vm.alive = false
			vm.holder.Lose()
		case vmCutVMs:
			vm.cutVMs = true
		case vmCutStore:
			vm.cutStore = true
		case vmCutPair:
			vm.cutFrom |= e.vms
		}
	}
	switch e.kind {
	case storeOutage:
		r.storeDown = true
		return
	case memberJoin:
		r.join(e.upstream, "zone-0", e.delay)
		return
	}
	for _, id := range e.upstreams {
		u := r.upstreams[id]
		if u == nil || u.gone {
			continue
		}
		switch e.kind {
		case memberRestart:
			// The log of a primary is not lost, nor that of an upstream that is about to lead,
			// which no rule can make up for.
			called := r.lateCalls[id] > 0 || slices.ContainsFunc(r.promotions, func(p simCall) bool { return p.target == id })
			u.restarts = r.last != id && !called
			u.alive = u.alive && !u.restarts
		case memberCrash:
			u.alive = false
		case memberCutVMs:
			u.cutVMs |= e.vms
		case memberCutReplicas:
			u.cutReplicas = true
		case memberDeaf:
			u.deaf = true
		case memberCutStore:
			u.cutStore = true
		case memberLeave:
			u.leaving = true
			if e.with != "" {
				r.join(e.with, u.zone, e.delay)
			}
		}
	}
}

func (r *memberRun) end(e *runEvent) {
	for _, vm := range r.vms {
		if e.vms&(1<<vm.index) == 0 {
			continue
		}
		switch e.kind {
		case vmRestart:
			cutVMs, cutStore, cutFrom := vm.cutVMs, vm.cutStore, vm.cutFrom
			r.vms[vm.index] = r.newVM(vm.index)
			r.vms[vm.index].cutVMs, r.vms[vm.index].cutStore, r.vms[vm.index].cutFrom = cutVMs, cutStore, cutFrom
		case vmCutVMs:
			vm.cutVMs = false
		case vmCutStore:
			vm.cutStore = false
		case vmCutPair:
			vm.cutFrom &^= e.vms
		}
	}
	if e.kind == storeOutage {
		r.storeDown = false
	}
	for _, id := range e.upstreams {
		u := r.upstreams[id]
		if u == nil || u.gone {
			continue
		}
		switch e.kind {
		case memberRestart:
			if u.restarts {
				u.restarts, u.alive, u.fresh, u.behind = false, true, true, false
				u.log, u.fencedTerm, u.term = nil, 0, r.term
				u.incarnation++
				if !r.copies(u) {
					u.term, u.behind = 0, true
				}
			}
		case memberCrash:
			if u.restarts {
				continue
			}
			u.alive, u.fencedTerm, u.term, u.behind = true, 0, r.term, false
			if r.primary != id {
				r.rollBack(u)
			}
			if r.s.newIDs {
				r.rename(u)
			}
		case memberCutVMs:
			u.cutVMs &^= e.vms
		case memberCutReplicas:
			u.cutReplicas = false
		case memberDeaf:
			u.deaf = false
		case memberCutStore:
			u.cutStore = false
		case memberLeave:
			if r.last == id {
				// It serves on until another upstream leads.
				e.ended = false
				continue
			}
			u.gone, u.alive = true, false
			r.members = slices.DeleteFunc(slices.Clone(r.members), func(other *simUpstream) bool { return other == u })
			r.tracef("%s is gone", id)
		}
	}
}

// rename lets an upstream that is back after a crash go on under another ID. Its former entry lapses.
func (r *memberRun) rename(u *simUpstream) {
	next := *u
	next.id += "+"
	next.reported, next.reportedAt, next.registersAt, next.fresh, next.cutStore = replicaset.Registration{}, 0, r.step+4, false, false
	r.upstreams[next.id] = &next
	r.members = append(slices.Clone(r.members), &next)
	if r.primary == u.id {
		r.primary = next.id
	}
	if r.last == u.id {
		r.last = next.id
	}
	r.tracef("%s is back as %s at %v, primary %q", u.id, next.id, next.position(), r.primary)
	u.alive, u.gone, u.replacedBy = false, true, next.id
}

// present returns the upstreams that have not left.
func (r *memberRun) present() []*simUpstream { return r.members }

// rollBack discards what the leader of the term does not have.
func (r *memberRun) rollBack(u *simUpstream) {
	leader := r.upstreams[r.last]
	if leader == u {
		return
	}
	n := 0
	for n < len(u.log) && n < len(leader.log) && u.log[n] == leader.log[n] {
		n++
	}
	u.log = u.log[:n:n]
}

func (r *memberRun) applyLate() {
	due := r.late
	r.late = nil
	for _, l := range due {
		if l.at > r.step {
			r.late = append(r.late, l)
		} else {
			l.fn()
		}
	}
}

func (r *memberRun) later(steps int, fn func()) {
	r.late = append(r.late, simLate{at: r.step + steps, fn: fn})
}

// applyPromotions lets the targets of calls lead whose time has come.
func (r *memberRun) applyPromotions() {
	for len(r.promotions) > 0 && r.promotions[0].at <= r.step {
		p := r.promotions[0]
		r.promotions = r.promotions[1:]
		r.lead(r.upstreams[p.target])
	}
}

// lead makes an upstream the primary of the next term and checks its log.
func (r *memberRun) lead(u *simUpstream) {
	if u.gone || !u.alive || u.id == r.primary {
		if u.id != r.primary {
			r.callFailed()
			r.outage.noEffect = true
		}
		return
	}
	r.tracef("%s (log %v) leads term %d after %s (log %v)", u.id, u.position(), r.term+1, r.last, r.upstreams[r.last].position())
	r.term++
	r.deposed = r.primary
	r.primary, r.last, r.ledAt = u.id, u.id, r.step
	r.changes++
	r.passedAfter = 0
	for i := range r.lengths {
		r.lengths[i] = min(r.lengths[i], len(u.log))
	}
	for _, other := range r.present() {
		if other.alive {
			other.behind = other != u && r.s.lateTerms
		}
	}
	u.term, u.fencedTerm = r.term, 0
	r.learnPrimary()
	if r.s.fencesUnchecked && !r.primaryReached() {
		// Nobody sees the effect, and the platform may still execute the call.
		r.outage.noEffect = true
	}
	lost, first := 0, passedCommit{}
	for _, p := range r.passed {
		if !u.has(p.position) {
			if lost == 0 {
				first = p
			}
			lost++
		}
	}
	if lost > 0 {
		r.fail("%s is promoted at %v without %d commits that were passed on, the first %v of %s by %s at step %d",
			u.id, u.position(), lost, first.position, first.primary, first.vm, first.step-memberWarmupSteps)
	}
}

// learnPrimary lets the upstreams that reach the primary learn of it.
func (r *memberRun) learnPrimary() {
	leader := r.upstreams[r.last]
	for _, u := range r.present() {
		if u.behind = u.behind && (u.cutReplicas || leader.cutReplicas || !leader.alive || u.term == 0 && r.primary == ""); u.behind || u.term == r.term || !u.alive {
			continue
		}
		r.rollBack(u)
		u.term, u.fencedTerm = r.term, 0
	}
}

// report writes the upstreams' entries to the store.
func (r *memberRun) report() {
	for _, u := range r.present() {
		entry := &u.reported
		if !u.alive || u.cutStore || r.storeDown || r.step < u.registersAt {
			continue
		}
		primary := r.primary == u.id
		changed := entry.Primary != primary || entry.Leaving != u.leaving || entry.Incarnation != u.incarnation
		if entry.Sequence > 0 && !changed && r.step-u.reportedAt < entryInterval {
			continue
		}
		u.reportedAt = r.step
		*entry = replicaset.Registration{
			ID: u.id, Service: memberService, Address: string(u.id) + ":1", Zone: u.zone, Slots: 3,
			Leaving: u.leaving, Primary: primary, Sequence: entry.Sequence + 1, Incarnation: u.incarnation,
		}
	}
}

// entries returns the entries in the store.
func (r *memberRun) entries() []replicaset.Registration {
	var list []replicaset.Registration
	for _, u := range r.present() {
		if u.reported.Sequence > 0 && r.step-u.reportedAt < entryTTL {
			list = append(list, u.reported)
		}
	}
	return list
}

// receives reports whether a replica gets the commits of the primary.
func (r *memberRun) receives(u, primary *simUpstream) bool {
	fenced := u.fencedTerm > 0 && !r.s.ignoresFence
	return u != primary && u.alive && !u.behind && !fenced && !u.deaf && !u.cutReplicas && !primary.cutReplicas && primary.alive && r.primary == primary.id
}

// replicate passes the primary's log on to the replicas.
func (r *memberRun) replicate() {
	r.learnPrimary()
	if r.primary == "" {
		r.replicateInFlight()
		return
	}
	primary := r.upstreams[r.primary]
	for _, u := range r.present() {
		if !r.receives(u, primary) {
			continue
		}
		n := len(primary.log)
		if u.lag > 0 && r.step >= u.lag && !u.fresh {
			n = min(n, r.lengths[r.step-u.lag])
		}
		u.fresh = false
		if n > len(u.log) {
			u.log = primary.log[:n:n]
		}
	}
}

// replicateInFlight passes on what a primary that has stepped down had sent before, to replicas that receive late.
func (r *memberRun) replicateInFlight() {
	former := r.upstreams[r.last]
	for _, u := range r.present() {
		fenced := u.fencedTerm > 0 && !r.s.ignoresFence
		sentStep := r.step - u.lag
		if u == former || u.lag == 0 || sentStep < 0 || sentStep >= r.steppedDownStep || !u.alive || fenced || u.behind || u.fresh || u.deaf || u.cutReplicas || former.cutReplicas || !former.alive {
			continue
		}
		if n := min(len(former.log), r.lengths[sentStep]); n > len(u.log) {
			u.log = former.log[:n:n]
		}
	}
}

// reaches reports whether a VM reaches an upstream.
func (r *memberRun) reaches(vm *simVM, u *simUpstream) bool {
	return vm.alive && u.alive && u.cutVMs&(1<<vm.index) == 0
}

// linked reports whether two VMs reach each other.
func linked(a, b *simVM) bool {
	return a.alive && b.alive && !a.cutVMs && !b.cutVMs && (a.cutFrom&(1<<b.index) == 0 || b.cutFrom&(1<<a.index) == 0)
}

func (r *memberRun) apply(vm *simVM, ev *replicaset.Event) {
	for _, e := range vm.view.Apply(r.now(), ev, nil) {
		if e.Kind == replicaset.EffectPrimary {
			r.tracef("%s: primary %q of term %d", vm.id, e.Upstream, e.Term)
		}
		if e.Kind != replicaset.EffectPrimary || e.Upstream == "" || e.Term == 0 || !vm.holder.Holding() {
			continue
		}
		for _, other := range r.vms {
			if other != vm && linked(vm, other) {
				other.view.Apply(r.now(), &replicaset.Event{Kind: replicaset.EventPrimary, Service: memberService, Upstream: e.Upstream, Term: e.Term}, nil)
			}
		}
	}
}

func (r *memberRun) failed(vm *simVM, u *simUpstream) {
	if next := r.upstreams[u.replacedBy]; next != nil && r.reaches(vm, next) {
		r.apply(vm, &replicaset.Event{Kind: replicaset.EventReplaced, Upstream: u.id})
		return
	}
	vm.suspects[u.id] = true
	r.apply(vm, &replicaset.Event{Kind: replicaset.EventFailed, Upstream: u.id, Refused: !u.alive})
}

// query applies the status of an upstream on a VM and reports whether it answered.
func (r *memberRun) query(vm *simVM, id model.UpstreamID) bool {
	u := r.upstreams[id]
	if !r.reaches(vm, u) {
		r.failed(vm, u)
		return false
	}
	delete(vm.suspects, id)
	r.apply(vm, &replicaset.Event{Kind: replicaset.EventStatus, Upstream: id, SentAt: r.now(), Status: r.status(u)})
	return true
}

func (r *memberRun) status(u *simUpstream) replicaset.Status {
	return replicaset.Status{
		Primary: r.primary == u.id, Term: u.term, Received: u.position(), Applied: u.position(), FencedTerm: u.fencedTerm,
	}
}

func (r *memberRun) runVM(vm *simVM) {
	r.checkUse(vm)
	r.readList(vm)
	if r.step%6 == vm.index*2%6 {
		r.poll(vm)
	}
	if r.step%5 == vm.index {
		suspects := slices.Sorted(maps.Keys(vm.suspects))
		for _, id := range suspects {
			if _, known := vm.view.Member(id); !known {
				delete(vm.suspects, id)
				continue
			}
			r.query(vm, id)
		}
	}
	r.read(vm)
	r.awaitCommits(vm)
	if r.step%2 == vm.index%2 {
		r.write(vm)
	}
}

// checkUse checks that a VM does not take a former primary for confirmed.
func (r *memberRun) checkUse(vm *simVM) {
	m, ok := vm.view.Primary(r.now(), memberService)
	if ok && r.primary != "" && r.deposed == m.ID && m.RoleTerm != 0 && r.term > m.RoleTerm && vm.view.ConfirmedUntil(m.ID) >= r.now() {
		r.fail("%s may use %s, the primary of term %d, while %s leads term %d", vm.id, m.ID, m.RoleTerm, r.primary, r.term)
	}
}

// readList reads the entries, which arrive in the next step, and takes in those that were read.
func (r *memberRun) readList(vm *simVM) {
	if vm.pendingListSentAt != 0 {
		r.installList(vm, vm.pendingListSentAt, vm.pendingList)
		vm.pendingListSentAt = 0
	}
	rank := 0
	for _, other := range r.vms[:vm.index] {
		if at, heard := vm.heard[other.id]; heard && r.now().Sub(at) < time.Second {
			rank++
		}
	}
	maxAge := time.Second + time.Duration(rank)*500*time.Millisecond
	if vm.listedAt != 0 && r.now().Sub(vm.listedAt) < maxAge && vm.listedAt >= vm.listNeededAt {
		return
	}
	if vm.cutStore || r.storeDown {
		r.apply(vm, &replicaset.Event{Kind: replicaset.EventStoreUnavailable})
		return
	}
	vm.pendingList, vm.pendingListSentAt = r.entries(), r.now()
}

func (r *memberRun) installList(vm *simVM, sentAt model.Time, list []replicaset.Registration) {
	if sentAt <= vm.listedAt {
		return
	}
	vm.list, vm.listedAt = list, sentAt
	if r.trace != nil {
		r.tracef("%s: list of step %d with %d", vm.id, int(sentAt.Sub(model.Time(time.Hour))/memberStep)-memberWarmupSteps, len(list))
	}
	r.apply(vm, &replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: sentAt, Registrations: slices.Clone(list)})
}

// poll takes over what the other VMs know, as linenode does with the answers of its peers.
func (r *memberRun) poll(vm *simVM) {
	for _, other := range r.vms {
		if other != vm && linked(vm, other) {
			apply := r.answer(vm, other)
			if r.s.pollSteps == 0 {
				apply()
				continue
			}
			r.later(r.s.pollSteps, func() {
				if r.vms[vm.index] == vm && linked(vm, other) {
					apply()
				}
			})
		}
	}
}

// answer returns what takes over the answer of a VM to a question that is asked now.
func (r *memberRun) answer(vm, other *simVM) func() {
	now := r.now()
	listedAt, list := other.listedAt, other.list
	var events []replicaset.Event
	for _, c := range other.holder.Confirm(now, vm.id) {
		events = append(events, replicaset.Event{Kind: replicaset.EventConfirmed, Upstream: c.Upstream, Term: c.Term, Successor: c.Successor, SentAt: now, Until: now.Add(ConfirmationTTL)})
	}
	for _, v := range other.view.Vouch(now) {
		events = append(events, replicaset.Event{
			Kind: replicaset.EventVouched, VM: other.id, Upstream: v.Upstream, Term: v.Term, SentAt: now, Until: now.Add(v.Valid),
		})
	}
	var contacts []replicaset.Member
	for _, v := range other.view.Views() {
		contacts = v.Members
		e, ok := other.view.NewestEvidence(v.Service)
		if !ok {
			continue
		}
		if v.PrimaryTerm == e.Term && v.Primary != "" {
			events = append(events, replicaset.Event{Kind: replicaset.EventPrimary, Service: v.Service, Upstream: v.Primary, Term: e.Term, SentAt: e.At})
		}
		events = append(events,
			replicaset.Event{Kind: replicaset.EventEvidence, Service: v.Service, Position: e.Position, Term: e.Term, SentAt: e.At},
			replicaset.Event{Kind: replicaset.EventPassedOn, Service: v.Service, Position: v.PassedOn})
	}
	return func() {
		vm.heard[other.id] = now
		if listedAt.Sub(vm.listedAt) >= 300*time.Millisecond {
			r.installList(vm, listedAt, list)
		}
		r.apply(vm, &replicaset.Event{Kind: replicaset.EventPeerListed, VM: other.id, SentAt: listedAt})
		for i := range contacts {
			vm.contacts[contacts[i].ID] = max(vm.contacts[contacts[i].ID], contacts[i].ContactAt)
		}
		for i := range events {
			r.apply(vm, &events[i])
		}
	}
}

// read reads from one replica after the other.
func (r *memberRun) read(vm *simVM) {
	if r.s.unread || r.step%3 != vm.index%3 {
		return
	}
	ids := vm.view.Replicas(memberService)
	if len(ids) == 0 {
		return
	}
	vm.nextRead++
	id := ids[vm.nextRead%len(ids)]
	if !vm.view.Eligible(r.now(), id) {
		return
	}
	u := r.upstreams[id]
	if !r.reaches(vm, u) {
		r.failed(vm, u)
		return
	}
	r.apply(vm, &replicaset.Event{Kind: replicaset.EventServed, Upstream: id, Position: u.position()})
}

// commitsConfirmed is the rule of when a VM sends a commit.
func commitsConfirmed(view *replicaset.State, id model.UpstreamID, since model.Time) bool {
	return view.CommitsConfirmed(id, since)
}

// commitProved is the rule of when a VM passes a commit on.
func commitProved(view *replicaset.State, now model.Time, c *replicaset.AcknowledgedCommit) bool {
	return view.CommitProof(now, c).Sufficient()
}

// write sends a commit to the primary if it is confirmed.
func (r *memberRun) write(vm *simVM) {
	now := r.now()
	m, ok := vm.view.Primary(now, memberService)
	if !ok || !r.s.passesOnAll && !r.confirm(vm, &m) {
		return
	}
	u := r.upstreams[m.ID]
	if !r.reaches(vm, u) {
		r.failed(vm, u)
		return
	}
	if r.primary != m.ID {
		r.apply(vm, &replicaset.Event{Kind: replicaset.EventNotPrimary, Upstream: m.ID})
		return
	}
	u.log = append(u.log, r.term)
	r.replicate()
	if r.trace != nil {
		r.tracef("%s sends %v to %s", vm.id, u.position(), u.id)
	}
	vm.commits = append(vm.commits, simCommit{primary: m.ID, position: u.position(), sentAt: now, sentStep: r.step})
}

// confirm reports whether a VM may send commits to the primary m, after a round of status queries
// if that is needed.
func (r *memberRun) confirm(vm *simVM, m *replicaset.Member) bool {
	now := r.now()
	if commitsConfirmed(vm.view, m.ID, now) {
		return true
	}
	if r.step-vm.failedRoundAt < 5 {
		return false
	}
	for _, id := range vm.view.Upstreams(memberService) {
		if id == m.ID && m.RoleTerm != 0 {
			continue
		}
		if other, _ := vm.view.Member(id); other.Failing() || !r.query(vm, id) {
			vm.failedRoundAt = r.step
			return false
		}
	}
	return commitsConfirmed(vm.view, m.ID, now)
}

// awaitCommits gets the acknowledgements of commits of earlier steps, and passes those on that
// are proved.
func (r *memberRun) awaitCommits(vm *simVM) {
	kept := vm.commits[:0]
	for _, c := range vm.commits {
		if r.step == c.sentStep || r.awaitCommit(vm, &c) {
			kept = append(kept, c)
		}
	}
	vm.commits = kept
}

// awaitCommit reports whether a commit is still waited for.
func (r *memberRun) awaitCommit(vm *simVM, c *simCommit) bool {
	if r.step-c.sentStep > memberCommitSteps {
		return false
	}
	if !c.acknowledged {
		if !c.acked && r.primary == c.primary && r.term == c.position.Term.Counter && r.received(c) {
			c.acked, c.ackedStep = true, r.step
		}
		if !r.reaches(vm, r.upstreams[c.primary]) {
			r.failed(vm, r.upstreams[c.primary])
			return false
		}
		if !c.acked && (r.primary != c.primary || r.term != c.position.Term.Counter) {
			r.apply(vm, &replicaset.Event{Kind: replicaset.EventNotPrimary, Upstream: c.primary})
			return false
		}
		if !c.acked || r.step < c.ackedStep+r.s.ackSteps {
			return true
		}
		c.acknowledged, c.ackedAt = true, r.now()
		r.apply(vm, &replicaset.Event{Kind: replicaset.EventCommitted, Upstream: c.primary, Position: c.position, SentAt: c.sentAt})
	}
	if r.s.passesOnAll || r.proved(vm, c) {
		r.pass(vm, c)
		return false
	}
	return true
}

// received reports whether a replica has received a commit.
func (r *memberRun) received(c *simCommit) bool {
	return slices.ContainsFunc(r.present(), func(u *simUpstream) bool { return u.id != c.primary && u.has(c.position) })
}

// proved reports whether a VM may pass a commit on. It asks the replicas if needed.
func (r *memberRun) proved(vm *simVM, c *simCommit) bool {
	now := r.now()
	commit := replicaset.AcknowledgedCommit{Service: memberService, Primary: c.primary, AcknowledgedAt: c.ackedAt, Position: c.position}
	if commitProved(vm.view, now, &commit) {
		return true
	}
	for _, id := range vm.view.Replicas(memberService) {
		if id != c.primary {
			r.query(vm, id)
		}
	}
	return commitProved(vm.view, now, &commit)
}

// pass passes a commit on to its caller.
func (r *memberRun) pass(vm *simVM, c *simCommit) {
	r.apply(vm, &replicaset.Event{Kind: replicaset.EventPassedOn, Service: memberService, Position: c.position})
	p := passedCommit{position: c.position, vm: vm.id, step: r.step, primary: c.primary}
	r.passed = append(r.passed, p)
	r.newestPassed = r.newestPassed.Max(p.position)
	r.outage.commitPassed(r.step, vm, c.sentStep)
	r.passedAfter++
	if r.trace != nil {
		r.tracef("%s passes on %v of %s", vm.id, c.position, c.primary)
	}
	if r.primary != "" && !r.upstreams[r.primary].has(c.position) {
		r.fail("%s passes on %v of %s, which %s, the primary of term %d at %v, lacks", vm.id, c.position, c.primary, r.primary, r.term, r.upstreams[r.primary].position())
	}
}
