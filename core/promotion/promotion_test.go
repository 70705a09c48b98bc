package promotion

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

const ms = time.Millisecond

func pos(number uint64) model.Position {
	return model.Position{Term: model.Term{Counter: 1}, Pos: model.LogPos(number)}
}

// harness simulates one service with the primary a and the replicas b and c, as
// seen by the holder of the promotion lease.
type harness struct {
	t            *testing.T
	state        *State
	now          model.Time
	view         replicaset.View
	evacuated    map[model.Zone]bool
	peerContacts map[model.UpstreamID]model.Time
	evidence     replicaset.Evidence
	isolated     bool
	effects      []Effect
	promoteCalls []Effect
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		t: t, state: New(), now: model.Time(time.Hour), evacuated: map[model.Zone]bool{}, peerContacts: map[model.UpstreamID]model.Time{},
		view: replicaset.View{Service: "db", Primary: "a", PrimaryTerm: 1, ListComplete: true},
	}
	for i, id := range []model.UpstreamID{"a", "b", "c"} {
		m := replicaset.Member{Registration: replicaset.Registration{ID: id, Service: "db", Zone: model.Zone("zone-" + id)}}
		m.Status = replicaset.Status{Primary: i == 0, Term: 1, Received: pos(100)}
		m.ContactAt, m.StatusAt = h.now, h.now
		h.view.Members = append(h.view.Members, m)
	}
	h.state.Acquire(h.now, Acquisition{Revision: 7})
	h.advance(time.Second)
	return h
}

func (h *harness) member(id model.UpstreamID) *replicaset.Member { return findMember(&h.view, id) }

// advance moves the clock forward in steps of 10 ms. In each step, members that
// have not failed answer and the state ticks.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now < end; {
		h.now = h.now.Add(10 * ms)
		h.view.ListedAt = h.now
		for i := range h.view.Members {
			if m := &h.view.Members[i]; m.FailedSince == 0 {
				m.ContactAt, m.StatusAt = h.now, h.now
			}
		}
		h.tick()
	}
}

func (h *harness) tick() {
	in := Input{
		Views:       []replicaset.View{h.view},
		Evacuated:   func(z model.Zone) bool { return h.evacuated[z] },
		PeerContact: func(id model.UpstreamID) model.Time { return h.peerContacts[id] },
		Evidence: func(catalog.Service) (replicaset.Evidence, bool) {
			return h.evidence, h.evidence.At != 0
		},
		EvidenceUpTo: func(_ catalog.Service, p model.Position) (replicaset.Evidence, bool) {
			return h.evidence, h.evidence.At != 0 && p.Compare(h.evidence.Position) >= 0
		},
		SyncReplicas: func(catalog.Service) int { return 1 },
		Isolated:     h.isolated, FencesChecked: true,
	}
	h.effects = h.state.Tick(h.now, &in, h.effects[:0])
	for _, e := range h.effects {
		h.execute(&e)
	}
}

// execute applies a command to its upstream; promotion calls are only recorded.
func (h *harness) execute(e *Effect) {
	if e.Kind == EffectPromote {
		h.promoteCalls = append(h.promoteCalls, *e)
		return
	}
	if e.Kind != EffectCommand {
		return
	}
	m := h.member(e.Upstream)
	if m.FailedSince != 0 {
		return
	}
	switch e.Command {
	case CommandPause:
		m.Status.FencedTerm = e.Term
	case CommandResume:
		m.Status.FencedTerm = 0
	case CommandStepDown:
		m.Status.Primary = false
	}
}

// completePromotion makes the upstream of the last promotion call the primary.
func (h *harness) completePromotion() {
	call := h.promoteCalls[len(h.promoteCalls)-1]
	h.state.ReportPromotion(h.now, "db", call.Token, OutcomeAccepted)
	for i := range h.view.Members {
		h.view.Members[i].Status.Primary = false
	}
	m := h.member(call.Upstream)
	m.Status.Primary, m.Status.Term, m.Status.FencedTerm = true, 2, 0
	h.view.Primary, h.view.PrimaryTerm = call.Upstream, 2
}

func (h *harness) markFailed(id model.UpstreamID) { h.member(id).FailedSince = h.now }

func (h *harness) wantPromoteCall(id model.UpstreamID) {
	h.t.Helper()
	if len(h.promoteCalls) == 0 || h.promoteCalls[len(h.promoteCalls)-1].Upstream != id {
		h.t.Fatalf("promotion calls %+v, want the last one for %s", h.promoteCalls, id)
	}
}

func (h *harness) wantNoPromoteCall() {
	h.t.Helper()
	if len(h.promoteCalls) != 0 {
		h.t.Fatalf("promotion calls %+v, want none", h.promoteCalls)
	}
}

// Guards against the promotion of a replica that lacks an acknowledged commit, or before a replica
// that had started by the last answer of the primary would be listed, and against a later one.
func TestLostPrimaryIsReplacedByMostAdvancedReplica(t *testing.T) {
	h := newHarness(t)
	h.member("c").Status.Received = pos(101)
	h.markFailed("a")
	h.advance(registrationTimeout - 50*ms)
	h.wantNoPromoteCall()
	h.advance(100 * ms)
	h.wantPromoteCall("c")
	if h.member("b").Status.FencedTerm == 0 || h.member("c").Status.FencedTerm == 0 {
		t.Error("a replica was not fenced")
	}
	h.completePromotion()
	h.advance(300 * ms)
	if h.member("b").Status.FencedTerm != 0 {
		t.Error("the other replica is still fenced after the failover")
	}
	if h.state.InTransition() {
		t.Error("the transition has not ended")
	}
}

// Guards against the promotion of a replica while another one, which may have
// received an acknowledged commit, cannot be fenced.
func TestUnreachableReplicaBlocksFailover(t *testing.T) {
	h := newHarness(t)
	h.markFailed("a")
	h.markFailed("c")
	h.advance(5 * time.Second)
	h.wantNoPromoteCall()
}

// Guards against a service that stays without a primary because of a missing
// replica that had certainly stopped before the primary did.
func TestReplicaStoppedBeforePrimaryDoesNotBlockFailover(t *testing.T) {
	h := newHarness(t)
	h.markFailed("c")
	h.member("c").RefusedSince = h.now
	h.advance(time.Second)
	h.member("b").Status.Received = pos(120)
	h.evidence = replicaset.Evidence{At: h.now, Position: pos(120), Term: 1}
	h.markFailed("a")
	h.advance(2 * time.Second)
	h.wantPromoteCall("b")
}

// Guards against the promotion of the remaining replica when it is behind the
// position that the primary reached after the other replica had stopped.
func TestReplicaBehindEvidenceIsNotPromoted(t *testing.T) {
	h := newHarness(t)
	h.markFailed("c")
	h.member("c").RefusedSince = h.now
	h.advance(time.Second)
	h.evidence = replicaset.Evidence{At: h.now, Position: pos(121), Term: 1}
	h.markFailed("a")
	h.advance(5 * time.Second)
	h.wantNoPromoteCall()
}

// Guards against a failover when this VM cannot reach the primary but its peers can.
func TestPrimaryReachableByPeersIsKept(t *testing.T) {
	h := newHarness(t)
	h.markFailed("a")
	for range 30 {
		h.peerContacts["a"] = h.now
		h.advance(100 * ms)
	}
	h.wantNoPromoteCall()
}

// Guards against a switchover that leaves the service without a primary for a
// while: the old primary stays in its role until the target, the only replica
// that is not fenced, has been promoted.
func TestLeavingPrimaryServesUntilTargetIsPromoted(t *testing.T) {
	h := newHarness(t)
	h.member("b").Status.Received = pos(105)
	h.member("a").Leaving = true
	h.advance(200 * ms)
	h.wantPromoteCall("b")
	if !h.member("a").Status.Primary {
		t.Error("the old primary was told to step down")
	}
	if h.member("b").Status.FencedTerm != 0 || h.member("c").Status.FencedTerm == 0 {
		t.Error("the target is fenced, or the other replica is not")
	}
}

// Guards against a switchover to a target that lacks commits that the other replica
// has received.
func TestSwitchoverTargetCatchesUpFirst(t *testing.T) {
	h := newHarness(t)
	h.member("a").Leaving = true
	h.tick()
	h.member("c").Status.Received = pos(110)
	h.advance(300 * ms)
	h.wantNoPromoteCall()
	h.member("b").Status.Received = pos(110)
	h.advance(100 * ms)
	h.wantPromoteCall("b")
}

// Guards against switchovers that fail again and again, because their target is still fenced by
// an earlier transition and receives nothing.
func TestSwitchoverReleasesTheFenceOfItsTarget(t *testing.T) {
	h := newHarness(t)
	h.member("b").Status.FencedTerm, h.member("c").Status.FencedTerm = 2, 2
	h.member("a").Status.Received = pos(105)
	h.member("a").Leaving = true
	h.advance(300 * ms)
	h.wantNoPromoteCall()
	if h.member("b").Status.FencedTerm != 0 || h.member("c").Status.FencedTerm == 0 {
		t.Errorf("fences %d of the target and %d of the other replica", h.member("b").Status.FencedTerm, h.member("c").Status.FencedTerm)
	}
	h.member("b").Status.Received = pos(105)
	h.advance(100 * ms)
	h.wantPromoteCall("b")
}

// Guards against callers that are refused while the target of a switchover catches up, and against
// a primary that stays confirmed once its successor is being promoted.
func TestLeavingPrimaryIsConfirmedUntilItsTargetHasCaughtUp(t *testing.T) {
	h := newHarness(t)
	h.member("a").Status.Received = pos(110)
	h.member("a").Leaving = true
	for range 15 {
		h.advance(100 * ms)
		if confirmed := h.state.Confirm(h.now, "vm"); len(confirmed) != 1 || confirmed[0].Upstream != "a" {
			t.Fatalf("confirmed %+v while the target is behind, want a", confirmed)
		}
	}
	h.wantNoPromoteCall()
	h.member("b").Status.Received, h.member("c").Status.Received = pos(110), pos(110)
	for h.advance(20 * ms); len(h.promoteCalls) == 0; h.advance(20 * ms) {
		if confirmed := h.state.Confirm(h.now, "vm"); len(confirmed) > 0 && confirmed[0].Successor != "b" {
			t.Fatalf("confirmed %+v while VMs are told to drop the primary", confirmed)
		}
	}
}

// Guards against fences that remain after an abandoned switchover.
func TestOrphanedFencesAreReleased(t *testing.T) {
	h := newHarness(t)
	h.member("c").Status.FencedTerm = 2
	h.advance(time.Second)
	h.wantNoPromoteCall()
	if h.member("c").Status.FencedTerm != 0 {
		t.Error("the fence stays")
	}
}

// Guards against a late promotion call of an earlier lease holder that finds the fences
// released and a confirmed primary: the promotion is completed, with the recorded target
// if it can be reached.
func TestUnfinishedPromotionIsCompleted(t *testing.T) {
	for target, reachable := range map[model.UpstreamID]bool{"b": true, "c": false} {
		h := newHarness(t)
		h.member("b").Status.FencedTerm, h.member("c").Status.FencedTerm = 2, 2
		if !reachable {
			h.markFailed(target)
		}
		h.state.Acquire(h.now, Acquisition{Revision: 9, Records: map[catalog.Service]Record{"db": {Upstream: target, Term: 1}}})
		for range 100 {
			h.advance(20 * ms)
			if confirmed := h.state.Confirm(h.now, "vm"); len(confirmed) > 0 && confirmed[0].Successor != target {
				t.Fatalf("target %s: %+v confirmed while a call for %s is pending", target, confirmed, target)
			}
		}
		if reachable {
			h.wantPromoteCall(target)
			h.completePromotion()
			h.advance(300 * ms)
			if confirmed := h.state.Confirm(h.now, "vm"); len(confirmed) != 1 || confirmed[0].Upstream != target {
				t.Errorf("confirmed %+v after the promotion, want %s", confirmed, target)
			}
		}
	}
}

// Guards against a primary that stays in an evacuated zone, and against a
// switchover to a target in an evacuated zone.
func TestPrimaryLeavesEvacuatedZone(t *testing.T) {
	h := newHarness(t)
	h.member("b").Status.Received = pos(105)
	h.evacuated["zone-a"], h.evacuated["zone-b"] = true, true
	h.advance(time.Second)
	h.wantNoPromoteCall()
	h.member("c").Status.Received = pos(105)
	h.advance(200 * ms)
	h.wantPromoteCall("c")
}

// Guards against a primary whose commits reach no replica, and against its replacement before
// a replica that may have received them would be listed.
func TestStalledPrimaryIsReplaced(t *testing.T) {
	h := newHarness(t)
	h.member("a").Status.Received = pos(130)
	h.advance(replicationStallTimeout + registrationTimeout - 50*ms)
	h.wantNoPromoteCall()
	h.advance(150 * ms)
	h.wantPromoteCall("b")
	if h.member("a").Status.Primary {
		t.Error("the old primary was not told to step down")
	}
}

// Guards against fencing tokens that do not increase with each promotion and each
// lease holder, and against a retried call that uses another token.
func TestFencingTokensIncrease(t *testing.T) {
	h := newHarness(t)
	h.markFailed("a")
	h.advance(2 * time.Second)
	first := h.promoteCalls[0].Token
	for _, c := range h.promoteCalls {
		if c.Token != first {
			t.Errorf("a retried call uses token %d after %d", c.Token, first)
		}
	}
	h.state.ReportPromotion(h.now, "db", first, OutcomeRefused)
	h.advance(500 * ms)
	last := h.promoteCalls[len(h.promoteCalls)-1].Token
	if last <= first {
		t.Errorf("token %d after a refused call with token %d", last, first)
	}
	h.state.Lose()
	promoteCalls := len(h.promoteCalls)
	h.advance(3 * time.Second)
	if len(h.promoteCalls) != promoteCalls {
		t.Error("a VM without the lease called the platform")
	}
	h.state.Acquire(h.now, Acquisition{Revision: 8})
	h.advance(3 * time.Second)
	if next := h.promoteCalls[len(h.promoteCalls)-1].Token; next <= last {
		t.Errorf("the next holder's token %d follows %d", next, last)
	}
}

// Guards against a failover that continues after the primary has come back.
func TestReturningPrimaryIsKept(t *testing.T) {
	h := newHarness(t)
	h.markFailed("a")
	h.markFailed("c")
	h.advance(2 * time.Second)
	h.member("a").FailedSince = 0
	h.member("c").FailedSince = 0
	h.advance(10 * ms)
	h.wantNoPromoteCall()
	h.advance(3 * time.Second)
	h.wantNoPromoteCall()
	if h.member("b").Status.FencedTerm != 0 {
		t.Error("the fence stays")
	}
}

// Guards against a failover that takes a reachable primary from most VMs, because
// the lease holder is on the smaller side of a network partition.
func TestIsolatedHolderWaitsLonger(t *testing.T) {
	h := newHarness(t)
	h.isolated = true
	h.markFailed("a")
	h.advance(3 * time.Second)
	h.wantNoPromoteCall()
	h.advance(2 * time.Second)
	h.wantPromoteCall("b")
}

// Guards against the promotion of a replica that has received nothing for a
// while, after the other replica, which had received the acknowledged commits,
// is gone: only the old primary, which steps down, has them.
func TestStaleReplicaIsNotPromotedWhenOtherReplicaIsGone(t *testing.T) {
	h := newHarness(t)
	h.member("a").Status.Received = pos(452)
	h.member("b").Status.Received = pos(413)
	h.view.Members = h.view.Members[:2]
	h.view.Incomplete = true
	h.evidence = replicaset.Evidence{At: h.now, Position: pos(452), Term: 1}
	h.advance(8 * time.Second)
	for _, c := range h.promoteCalls {
		if c.Upstream == "b" {
			t.Fatalf("promotion calls %+v, want none for b", h.promoteCalls)
		}
	}
}

// Guards against a service that stays without a primary after its primary and
// another upstream are permanently gone, and against the promotion of a replica that is known to
// lack commits while the primary may still come back with them.
func TestRemainingReplicaIsPromotedWhenThePrimaryIsGone(t *testing.T) {
	for _, behind := range []bool{false, true} {
		h := newHarness(t)
		h.view.Incomplete, h.view.MemberLost = true, true
		h.evidence = replicaset.Evidence{At: h.now, Position: pos(100), Term: 1}
		if behind {
			h.evidence.Position = pos(500)
		}
		h.view.Primary = ""
		h.view.Members = h.view.Members[1:2]
		if behind {
			h.advance(formerPrimaryTimeout - 100*ms)
			h.wantNoPromoteCall()
		}
		h.advance(3 * time.Second)
		h.wantPromoteCall("b")
	}
}

// Guards against a failover that cannot help: one replica is down, the other
// receives nothing, and no upstream is a better primary than the current one.
func TestStalledPrimaryIsKeptWhileReplicaIsDown(t *testing.T) {
	h := newHarness(t)
	h.member("a").Status.Received = pos(130)
	h.markFailed("c")
	h.advance(5 * time.Second)
	h.wantNoPromoteCall()
	if !h.member("a").Status.Primary {
		t.Error("the primary was told to step down")
	}
}

// Guards against the promotion of a replica that is behind the old primary. The
// old primary answers again after a network partition, while the replica that
// received its commits during the partition is gone.
func TestOldPrimaryIsPromotedWhenItsReplicaIsGone(t *testing.T) {
	h := newHarness(t)
	h.markFailed("a")
	h.markFailed("c")
	h.advance(2 * time.Second)
	h.wantNoPromoteCall()
	a := h.member("a")
	a.FailedSince = 0
	a.Status = replicaset.Status{Term: 1, Received: pos(108)}
	h.view.Primary = ""
	h.view.Members = h.view.Members[:2]
	h.advance(time.Second)
	h.wantPromoteCall("a")
}
