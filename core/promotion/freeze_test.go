package promotion

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// statusHarness is a listHarness whose upstreams have full statuses, and whose platform carries promotion calls out.
type statusHarness struct {
	*listHarness
	statuses map[model.UpstreamID]replicaset.Status
	// deaf has the upstreams that receive no commits.
	deaf map[model.UpstreamID]bool
	// calls are the targets of promotion calls. refuses: none is carried out.
	calls   []model.UpstreamID
	refuses bool
	// takes is how long a promotion takes; the target leads at leadsAt.
	takes   time.Duration
	target  model.UpstreamID
	leadsAt model.Time
	// passedOn is the newest commit that was passed on, told is whether a VM can tell of it.
	passedOn model.Position
	told     bool
	// silent has the upstreams that do not answer the lease holder, whose connections are not refused.
	silent map[model.UpstreamID]bool
	// unlisted has the upstreams whose entries have lapsed.
	unlisted map[model.UpstreamID]bool
	// registered counts the entries that upstreams have written after their first one.
	registered map[model.UpstreamID]int64
	// restarted: the VM has lost what it knew.
	restarted bool
}

// newStatusHarness returns a harness with the primary a, the replicas b and c, and a lease holder that knows the
// group as complete.
func newStatusHarness() *statusHarness {
	h := &statusHarness{listHarness: newListHarness(), statuses: map[model.UpstreamID]replicaset.Status{}, deaf: map[model.UpstreamID]bool{}}
	h.leaving, h.silent, h.unlisted, h.restarted = map[model.UpstreamID]bool{}, map[model.UpstreamID]bool{}, map[model.UpstreamID]bool{}, true
	h.registered = map[model.UpstreamID]int64{}
	h.view.SetVoters([]model.VMID{"other"})
	for _, id := range []model.UpstreamID{"a", "b", "c"} {
		h.statuses[id] = replicaset.Status{Primary: id == "a", Term: 1}
	}
	h.commit(10)
	h.register()
	h.state.Acquire(h.now, Acquisition{Revision: 1})
	for range 8 {
		h.commit(1)
		h.play(500 * ms)
	}
	return h
}

// leader returns the upstream that leads, empty if none does.
func (h *statusHarness) leader() model.UpstreamID {
	for id, s := range h.statuses {
		if s.Primary {
			return id
		}
	}
	return ""
}

// commit adds n commits, which all upstreams receive that are not deaf.
func (h *statusHarness) commit(n uint64) {
	leader := h.statuses[h.leader()]
	end := model.Position{Term: model.Term{Counter: leader.Term}, Pos: leader.Received.Pos + model.LogPos(n)}
	for id, s := range h.statuses {
		if !h.deaf[id] && !h.down[id] && (s.FencedTerm == 0 || s.Primary) {
			s.Received, s.Applied = end, end
			h.statuses[id] = s
		}
	}
}

// register reads a list of all upstreams.
func (h *statusHarness) register() {
	ev := replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: h.now}
	for _, id := range slices.Sorted(maps.Keys(h.statuses)) {
		if h.unlisted[id] {
			continue
		}
		sequence := 1 + h.registered[id]
		if h.leaving[id] {
			sequence++
		}
		ev.Registrations = append(ev.Registrations, replicaset.Registration{
			ID: id, Service: "db", Address: string(id) + ":1", Zone: model.Zone("zone-" + id), Slots: 3,
			Primary: h.statuses[id].Primary, Leaving: h.leaving[id], Sequence: sequence, Incarnation: 1,
		})
	}
	h.view.Apply(h.now, &ev, nil)
	h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventPeerListed, VM: "other", SentAt: h.now}, nil)
}

// play advances the time by d. All upstreams that run answer, and lists are read every 500 ms.
func (h *statusHarness) play(d time.Duration) {
	listedAt := h.now
	for end := h.now.Add(d); h.now < end; h.now = h.now.Add(50 * ms) {
		if h.now.Sub(listedAt) >= 500*ms {
			listedAt = h.now
			h.register()
		}
		if h.target != "" && h.now >= h.leadsAt {
			h.lead(h.target)
			h.target = ""
		}
		for _, id := range h.view.Upstreams("db") {
			h.report(id)
		}
		for _, e := range h.state.Tick(h.now, h.input(), nil) {
			h.carryOut(&e)
		}
		for _, c := range h.state.Confirm(h.now, "vm") {
			h.view.Apply(h.now, &replicaset.Event{
				Kind: replicaset.EventConfirmed, Upstream: c.Upstream, Term: c.Term, Successor: c.Successor, SentAt: h.now, Until: h.now.Add(ConfirmationTTL),
			}, nil)
		}
	}
	h.register()
}

func (h *statusHarness) report(id model.UpstreamID) {
	ev := replicaset.Event{Kind: replicaset.EventStatus, Upstream: id, SentAt: h.now, Status: h.statuses[id]}
	if h.down[id] || h.silent[id] {
		ev = replicaset.Event{Kind: replicaset.EventFailed, Upstream: id, Refused: h.down[id]}
	}
	h.view.Apply(h.now, &ev, nil)
}

func (h *statusHarness) carryOut(e *Effect) {
	s := h.statuses[e.Upstream]
	switch {
	case e.Kind == EffectWithdraw:
		h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventWithdrawn, Service: "db", Successor: e.Upstream}, nil)
		w := Withdrawal{}
		if !h.restarted {
			w = Withdrawal{PassedOn: h.view.PassedOn("db"), Running: time.Hour}
		}
		if e.VM == "vm" {
			h.state.ReportWithdrawn(h.now, e.Service, e.VM, e.SentAt, w)
		}
	case e.Kind == EffectPromote:
		h.calls = append(h.calls, e.Upstream)
		if h.refuses || h.down[e.Upstream] {
			h.state.ReportPromotion(h.now, e.Service, e.Token, OutcomeRefused)
			return
		}
		h.state.ReportPromotion(h.now, e.Service, e.Token, OutcomeAccepted)
		if h.target == "" {
			h.target, h.leadsAt = e.Upstream, h.now.Add(h.takes)
		}
	case e.Kind != EffectCommand || h.down[e.Upstream] || h.silent[e.Upstream]:
	case e.Command == CommandPause:
		s.FencedTerm = e.Term
		h.statuses[e.Upstream] = s
	case e.Command == CommandResume:
		s.FencedTerm = 0
		h.statuses[e.Upstream] = s
	case e.Command == CommandStepDown:
		s.Primary = false
		h.statuses[e.Upstream] = s
	}
}

// lead makes an upstream the primary of the next term.
func (h *statusHarness) lead(id model.UpstreamID) {
	term := uint64(0)
	for _, s := range h.statuses {
		term = max(term, s.Term)
	}
	for other, s := range h.statuses {
		if h.down[other] {
			continue
		}
		s.Term, s.Primary = term+1, other == id
		if s.Primary {
			s.FencedTerm = 0
		}
		h.statuses[other] = s
	}
}

// pass records that a VM has passed on all commits of the leader.
func (h *statusHarness) pass() {
	h.passedOn = h.statuses[h.leader()].Received
	if h.told {
		h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventPassedOn, Service: "db", Position: h.passedOn}, nil)
	}
}

// switchOver switches the primary over from a, which leaves, to b. While the promotion takes effect, commits are passed on that b has
// received and c, which is fenced, has not. Then b crashes before c has received them.
func (h *statusHarness) switchOver(t *testing.T) {
	t.Helper()
	h.takes = time.Second
	h.leaving["a"] = true
	for begin := h.now; len(h.calls) == 0 && h.now.Sub(begin) < 4*time.Second; h.play(50 * ms) {
		h.commit(1)
	}
	for range 10 {
		h.commit(1)
		h.play(50 * ms)
	}
	h.commit(1)
	if b := h.statuses["b"]; b.Received != h.statuses["a"].Received || b.Received.Compare(h.statuses["c"].Received) <= 0 {
		t.Fatalf("fixture: the target b has received %v, a %v and c %v", b.Received, h.statuses["a"].Received, h.statuses["c"].Received)
	}
	commit := replicaset.AcknowledgedCommit{Service: "db", Primary: "a", AcknowledgedAt: h.now, Position: h.statuses["a"].Received}
	for _, id := range []model.UpstreamID{"a", "b", "c"} {
		h.report(id)
	}
	if !h.view.CommitProof(h.now, &commit).Sufficient() {
		t.Fatal("fixture: the last commit is not passed on")
	}
	h.pass()
	h.deaf["c"] = true
	for h.leader() != "b" {
		h.play(50 * ms)
	}
	h.play(100 * ms)
	h.down["b"] = true
	h.calls = nil
}

// Guards against the loss of commits that were passed on since the target of a switchover had received them, if it is lost right
// after it leads: it has proved them as a replica, though it is the old primary of the next change.
func TestCommitsThatOnlyTheLastPrimaryInheritedAreNotLost(t *testing.T) {
	h := newStatusHarness()
	h.switchOver(t)
	h.play(6 * time.Second)
	for _, id := range h.calls {
		if received := h.statuses[id].Received; received.Compare(h.passedOn) < 0 {
			t.Fatalf("%s was called for with %v; commits up to %v were passed on, and are on a with %v and on b", id, received, h.passedOn, h.statuses["a"].Received)
		}
	}
}

// Guards against a service without a primary while the former one, which leaves but still runs, has all that was passed on: a replica
// that stays and is known to lack some of it hides it.
func TestUpstreamThatLacksWhatWasPassedOnHidesNoOther(t *testing.T) {
	h := newStatusHarness()
	h.told = true
	h.switchOver(t)
	h.play(6 * time.Second)
	if !slices.Contains(h.calls, "a") {
		t.Errorf("no promotion call for a within 6 s (calls %v), though it has %v, all that was passed on", h.calls, h.statuses["a"].Received)
	}
}

// Guards against a service that waits for its former primary since a VM that stopped long ago cannot tell what it has passed on.
func TestVMsThatStoppedLongAgoDoNotBlockAFailover(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		h := newStatusHarness()
		h.told, h.restarted = true, false
		if stopped {
			h.state.Confirm(h.now, "stopped")
		}
		for range 120 {
			h.commit(1)
			h.play(500 * ms)
		}
		h.pass()
		h.silent["b"], h.down["a"] = true, true
		h.play(8 * time.Second)
		if len(h.calls) == 0 {
			t.Errorf("with a VM that had stopped a minute before %t: no promotion call within 8 s, though c has %v, all that was passed on", stopped, h.statuses["c"].Received)
		}
	}
}

// Guards against a service without a primary since the entry of the lost one lapses between two attempts to replace it: it then counts
// as a replica that was lost before it could be asked.
func TestLapseOfTheOldPrimaryBetweenAttemptsBlocksNoTarget(t *testing.T) {
	var longest time.Duration
	for lapse := 3 * time.Second; lapse < 7*time.Second; lapse += 250 * ms {
		h := newStatusHarness()
		h.commit(1)
		h.play(100 * ms)
		h.silent["b"], h.down["a"] = true, true
		h.play(lapse)
		h.unlisted["a"] = true
		h.play(10*time.Second - lapse)
		if len(h.calls) > 0 {
			t.Fatalf("fixture: call for %v while b does not answer", h.calls)
		}
		h.silent["b"] = false
		begin := h.now
		for len(h.calls) == 0 && h.now.Sub(begin) < 10*time.Second {
			h.play(50 * ms)
		}
		if elapsed := h.now.Sub(begin); elapsed > 2*time.Second {
			t.Errorf("the entry of the lost primary is missing from %v on: no call for %v after b answers again, though b and c have all commits", lapse, elapsed)
		} else {
			longest = max(longest, elapsed)
		}
	}
	t.Logf("otherwise a call within %v", longest)
}

// Guards against the loss of commits that a VM which is no voter has passed on, promised by a former lease holder: the present one
// does not ask that VM, and takes what the voters have passed on for all.
func TestNewLeaseHolderDoesNotTakeVotersForAllVMs(t *testing.T) {
	for _, successor := range []bool{false, true} {
		h := newStatusHarness()
		h.told, h.restarted = true, false
		h.pass()
		// A VM of a large deployment that is no hub passes on commits that b has received.
		h.state.Confirm(h.now, "node")
		h.deaf["c"] = true
		h.commit(5)
		h.told = false
		h.pass()
		h.play(100 * ms)
		h.silent["b"], h.down["a"] = true, true
		if successor {
			h.state = New()
			h.state.Acquire(h.now, Acquisition{Revision: 2})
		}
		h.play(8 * time.Second)
		for _, id := range h.calls {
			if received := h.statuses[id].Received; received.Compare(h.passedOn) < 0 {
				t.Fatalf("new lease holder %t: %s was called for with %v; commits up to %v were passed on, and are on b, which is listed", successor, id, received, h.passedOn)
			}
		}
	}
}

// Guards against a replica that counts as stopped since a connection to it was refused, though other VMs have reached it since: what it
// has received since then may have been passed on.
func TestRefusedConnectionProvesNothingOnceAPeerHasReachedTheReplica(t *testing.T) {
	h := newHarness(t)
	h.markFailed("c")
	h.member("c").RefusedSince = h.now
	h.advance(time.Second)
	h.member("b").Status.Received = pos(120)
	h.evidence = replicaset.Evidence{At: h.now, Position: pos(120), Term: 1}
	h.advance(500 * ms)
	h.peerContacts["c"] = h.now
	h.markFailed("a")
	h.advance(5 * time.Second)
	h.wantNoPromoteCall()
}

// Guards against a service that waits for replicas that may not be listed yet until the only safe target, which leaves, has gone.
func TestLeavingTargetIsNotKeptWaiting(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		h := newHarness(t)
		h.member("c").Status.Received = pos(101)
		h.member("c").Leaving = leaving
		h.markFailed("a")
		h.advance(registrationTimeout - 50*ms)
		if called := len(h.promoteCalls) > 0; called != leaving {
			t.Errorf("safe target leaves %t: called for within %v: %t", leaving, registrationTimeout-50*ms, called)
		}
	}
}

// Guards against the loss of commits that a listed replica has which does not answer for long: it runs and keeps its entry, so the
// limit on the wait for the former primary does not apply to it.
func TestListedReplicaThatDoesNotAnswerOutlastsTheWaitForThePrimary(t *testing.T) {
	h := newHarness(t)
	h.member("b").Status.Received = pos(95)
	h.markFailed("a")
	h.markFailed("c")
	h.advance(formerPrimaryTimeout + 15*time.Second)
	h.wantNoPromoteCall()
}

// caseSwitchedOver: the primary is to be replaced. The lease holder does not reach one replica for cut steps, so that the switchover
// begins when all VMs know that the primary leaves. Its target crashes just after it leads, before the other replica has received what
// was passed on since that one was fenced. The former primary has it, and runs until step 200.
func caseSwitchedOver(cut, order int) memberScenario {
	return memberScenario{
		name: "target of a switchover lost at once", vms: 3, steps: 330, order: order, events: []memberEvent{
			{kind: memberLeave, until: 200, upstream: "a"},
			{kind: memberCutVMs, until: cut, upstream: "c", vms: theHolder},
			{kind: memberDeaf, at: 20, until: 250, atCall: true, untilCall: true, upstream: "c"},
			{kind: memberCrash, at: 23, until: 250, atCall: true, untilCall: true, upstream: "b"},
		},
	}
}

// Guards against a service without a primary after the target of a switchover was lost, while the former primary, which leaves, has all
// that was passed on and a replica that lacks some of it is preferred.
func TestFormerPrimaryReplacesALostTarget(t *testing.T) {
	for _, cut := range []int{20, 26, 32, 38} {
		for order := range 3 {
			called := false
			r := newMemberRun(caseSwitchedOver(cut, order))
			r.trace = func(line string) { called = called || strings.Contains(line, "call for a,") }
			r.run()
			if r.violation != "" {
				t.Errorf("%s in scenario %v", r.violation, r.s)
			}
			if !called {
				t.Errorf("no promotion call for the former primary, which has all that was passed on, in scenario %v", r.s)
			}
		}
	}
}

// Guards against a switchover that waits for a replica which does not answer, although the primary and the target do.
func TestSilentReplicaDoesNotDelayASwitchover(t *testing.T) {
	h := newHarness(t)
	h.markFailed("c")
	h.member("c").Leaving = true
	h.member("a").Leaving = true
	h.advance(500 * ms)
	h.wantPromoteCall("b")
}

// Guards against a service that waits for a replica that may not be listed yet, while the former primary is back with all commits.
func TestFormerPrimaryThatSteppedDownLeadsAtOnce(t *testing.T) {
	h := newHarness(t)
	h.member("a").Status.Received = pos(108)
	h.markFailed("a")
	h.advance(900 * ms)
	h.wantNoPromoteCall()
	a := h.member("a")
	a.FailedSince, a.Status.Primary = 0, false
	h.view.Primary = ""
	h.advance(200 * ms)
	h.wantPromoteCall("a")
}

// Guards against the loss of all commits of a term that a new lease holder knows from the store only: the primary of the term before,
// which has lost the lead without learning of its successor, is the last primary in its view and answers as one that has stepped down.
func TestFormerPrimaryOfARecordedTermIsNotPromoted(t *testing.T) {
	h := newStatusHarness()
	// b leads term 2, and c follows. The lease holder reaches neither, and their entries say what they said before.
	a := h.statuses["a"]
	a.Primary = false
	h.statuses["a"] = a
	for _, id := range []model.UpstreamID{"b", "c"} {
		h.silent[id] = true
		h.statuses[id] = replicaset.Status{Term: 2, Received: model.Position{Term: model.Term{Counter: 2}, Pos: 25}}
	}
	h.state = New()
	h.state.Acquire(h.now, Acquisition{Revision: 2, Records: map[catalog.Service]Record{"db": {Upstream: "b", Term: 2, Done: true}}})
	begin := h.now
	for len(h.calls) == 0 && h.now.Sub(begin) < 30*time.Second {
		h.play(50 * ms)
	}
	if len(h.calls) > 0 {
		t.Errorf("%v was called for after %v with %v, though b has been recorded as the primary of term 2 and is listed", h.calls, h.now.Sub(begin), h.statuses[h.calls[0]].Received)
	}
}

// Guards against a service that waits for its former primary since a VM that has stopped never says that it knows of a replica that
// leaves: without a promise it passes no commits on that this replica proves.
func TestStoppedVMDoesNotKeepALeavingReplicaFromRetiring(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		h := newStatusHarness()
		h.told = true
		if stopped {
			h.view.SetVoters([]model.VMID{"other", "stopped"})
		}
		// Once all VMs that run know that c leaves, commits are passed on that b has received. Then b receives nothing, and c and a stop.
		h.leaving["c"] = true
		for range 30 {
			h.commit(1)
			h.play(100 * ms)
		}
		h.pass()
		h.deaf["b"] = true
		for range 6 {
			h.commit(1)
			h.play(100 * ms)
		}
		h.down["a"], h.down["c"] = true, true
		begin := h.now
		for len(h.calls) == 0 && h.now.Sub(begin) < 20*time.Second {
			h.play(50 * ms)
		}
		if elapsed := h.now.Sub(begin); elapsed > fenceTimeout {
			t.Errorf("with a VM that has stopped %t: no promotion call for %v, though b has %v, all that was passed on", stopped, elapsed, h.statuses["b"].Received)
		}
	}
}

// Guards against a stalled primary that is called for again and again, since the fences of the replicas take over a second.
func TestStalledPrimaryIsNotPromotedAgainWhileFencesArePending(t *testing.T) {
	h := newHarness(t)
	h.member("a").Status.Received = pos(130)
	for range 400 {
		for _, id := range []model.UpstreamID{"b", "c"} {
			if h.state.services["db"].transition == nil || h.now.Sub(h.state.services["db"].transition.startedAt) < 2*pendingFenceTimeout {
				h.member(id).Status.FencedTerm = 0
			}
		}
		h.advance(10 * ms)
	}
	for _, call := range h.promoteCalls {
		if call.Upstream == "a" {
			t.Fatal("the stalled primary is called for")
		}
	}
	h.advance(2 * time.Second)
	h.wantPromoteCall("b")
}

// Guards against a service without a primary since a replica whose entry had ended counts as lost before it could be asked, although
// it is back with its log.
func TestReplicaThatIsListedAgainIsNotLost(t *testing.T) {
	h := newStatusHarness()
	h.silent["b"], h.silent["c"], h.down["a"] = true, true, true
	h.play(1500 * ms)
	h.unlisted["c"] = true
	h.play(4 * time.Second)
	h.unlisted["c"], h.registered["c"], h.silent["b"], h.silent["c"] = false, 1, false, false
	begin := h.now
	for len(h.calls) == 0 && h.now.Sub(begin) < 10*time.Second {
		h.play(50 * ms)
	}
	if elapsed := h.now.Sub(begin); elapsed > 2*time.Second {
		t.Errorf("no promotion call for %v, though b and c have all commits", elapsed)
	}
}

// Guards against a primary that is told to step down when peers have found it again, before it has been asked.
func TestPrimaryThatPeersKnowIsAskedFirst(t *testing.T) {
	h := newHarness(t)
	h.member("a").Status.Primary = false
	h.view.Primary, h.view.LastPrimary = "", "a"
	for h.state.services["db"].transition == nil {
		h.advance(10 * ms)
	}
	a := h.member("a")
	answeredAt := a.StatusAt.Add(-time.Second)
	h.view.Primary = "a"
	for range 3 {
		h.now = h.now.Add(10 * ms)
		a.StatusAt, a.ContactAt = answeredAt, answeredAt
		h.tick()
		for _, e := range h.effects {
			if e.Kind == EffectCommand && e.Command == CommandStepDown {
				t.Fatalf("%s is told to step down", e.Upstream)
			}
		}
	}
}

// Guards against a service that never has a primary again: only the last one has what was passed on, and it has stepped down with a
// shorter log than the evidence, which has commits that were not passed on.
func TestFormerPrimaryBelowTheEvidenceIsACandidate(t *testing.T) {
	h := newHarness(t)
	a := h.member("a")
	a.Status.Primary, a.Status.Received = false, pos(108)
	h.view.Primary, h.view.LastPrimary, h.view.PassedOn = "", "a", pos(105)
	h.evidence = replicaset.Evidence{At: h.now, Position: pos(120), Term: 1}
	h.advance(4 * time.Second)
	h.wantPromoteCall("a")
}

// Guards against a service that never has a primary again, since the limit on the wait for the former primary does not end while that
// one is listed, although it answers as a replica.
func TestWaitForAFormerPrimaryThatAnswersIsLimited(t *testing.T) {
	h := newHarness(t)
	a := h.member("a")
	a.Status.Primary, a.Status.Received = false, pos(108)
	h.view.Primary, h.view.LastPrimary = "", "a"
	h.view.Incomplete, h.view.MemberLost, h.view.Whole, h.view.ReplicaLostAt = true, true, true, h.now
	h.evidence = replicaset.Evidence{At: h.now.Add(-ms), Position: pos(120), Term: 1}
	h.advance(formerPrimaryTimeout - 100*ms)
	h.wantNoPromoteCall()
	h.advance(3 * time.Second)
	h.wantPromoteCall("a")
}
