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

// harness is one service with a primary a and the replicas b and c, as the holder
// of the duty sees it.
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
		view: replicaset.View{Service: "db", Primary: "a", LeaderTerm: 1},
	}
	for i, id := range []model.UpstreamID{"a", "b", "c"} {
		m := replicaset.Member{Registration: replicaset.Registration{ID: id, Service: "db", Zone: model.Zone("zone-" + id)}}
		m.Status = replicaset.Status{Primary: i == 0, Term: 1, Received: pos(100)}
		m.ContactAt, m.StatusAt = h.now, h.now
		h.view.Members = append(h.view.Members, m)
	}
	h.state.Acquire(h.now, 7)
	h.advance(time.Second)
	return h
}

func (h *harness) member(id model.UpstreamID) *replicaset.Member { return findMember(&h.view, id) }

// advance lets time advance in small steps; members that do not fail answer in each.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now < end; {
		h.now = h.now.Add(10 * ms)
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
		SyncReplicas: func(catalog.Service) int { return 1 },
		Isolated:     h.isolated,
	}
	h.effects = h.state.Tick(h.now, &in, h.effects[:0])
	for _, e := range h.effects {
		h.execute(&e)
	}
}

// execute does what upstreams do; calls of the platform are only noted.
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
		m.Status.HeldTerm = e.Term
	case CommandResume:
		m.Status.HeldTerm = 0
	case CommandStepDown:
		m.Status.Primary = false
	}
}

// completePromotion lets the last called upstream lead.
func (h *harness) completePromotion() {
	call := h.promoteCalls[len(h.promoteCalls)-1]
	h.state.ReportPromotion(h.now, "db", call.Token, OutcomeAccepted)
	for i := range h.view.Members {
		h.view.Members[i].Status.Primary = false
	}
	m := h.member(call.Upstream)
	m.Status.Primary, m.Status.Term, m.Status.HeldTerm = true, 2, 0
	h.view.Primary, h.view.LeaderTerm = call.Upstream, 2
}

func (h *harness) markFailed(id model.UpstreamID) { h.member(id).FailedSince = h.now }

func (h *harness) wantPromoteCall(id model.UpstreamID) {
	h.t.Helper()
	if len(h.promoteCalls) == 0 || h.promoteCalls[len(h.promoteCalls)-1].Upstream != id {
		h.t.Fatalf("calls %+v, want one for %s", h.promoteCalls, id)
	}
}

func (h *harness) wantNoPromoteCall() {
	h.t.Helper()
	if len(h.promoteCalls) != 0 {
		h.t.Fatalf("calls %+v", h.promoteCalls)
	}
}

// Guards against the promotion of a replica that lacks an acknowledged commit.
func TestLostPrimaryIsReplacedByMostAdvancedReplica(t *testing.T) {
	h := newHarness(t)
	h.member("c").Status.Received = pos(101)
	h.markFailed("a")
	h.advance(500 * ms)
	h.wantNoPromoteCall()
	h.advance(500 * ms)
	h.wantPromoteCall("c")
	if h.member("b").Status.HeldTerm == 0 || h.member("c").Status.HeldTerm == 0 {
		t.Error("a replica was not fenced")
	}
	h.completePromotion()
	h.advance(300 * ms)
	if h.member("b").Status.HeldTerm != 0 {
		t.Error("the other replica stays fenced")
	}
	if h.state.InTransition() {
		t.Error("the move has not ended")
	}
}

// Guards against the promotion of one replica while another, which may have
// received an acknowledged commit, cannot be fenced.
func TestUnreachableReplicaBlocksFailover(t *testing.T) {
	h := newHarness(t)
	h.markFailed("a")
	h.markFailed("c")
	h.advance(5 * time.Second)
	h.wantNoPromoteCall()
}

// Guards against a service without a primary when the missing replica had
// certainly stopped before the primary did.
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

// Guards against the same when the remaining replica is behind what the primary
// had after the other one stopped.
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

// Guards against a change because only this VM cannot reach the primary.
func TestPrimaryReachableByPeersIsKept(t *testing.T) {
	h := newHarness(t)
	h.markFailed("a")
	for range 30 {
		h.peerContacts["a"] = h.now
		h.advance(100 * ms)
	}
	h.wantNoPromoteCall()
}

// Guards against a gap in a planned change: the old primary leads until the
// target, which alone goes on receiving, has been promoted.
func TestLeavingPrimaryServesUntilTargetIsPromoted(t *testing.T) {
	h := newHarness(t)
	h.member("b").Status.Received = pos(105)
	h.member("a").Leaving = true
	h.advance(200 * ms)
	h.wantPromoteCall("b")
	if !h.member("a").Status.Primary {
		t.Error("the old primary was told to step down")
	}
	if h.member("b").Status.HeldTerm != 0 || h.member("c").Status.HeldTerm == 0 {
		t.Error("the target is fenced, or the other replica is not")
	}
}

// Guards against a target that lacks what the other replica has received.
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

// Guards against fences that stay after a planned change was given up, and
// against a late call of an earlier holder: the present primary is promoted
// anew first.
func TestOrphanedFencesAreReleased(t *testing.T) {
	h := newHarness(t)
	h.member("c").Status.HeldTerm = 2
	h.advance(time.Second)
	h.wantPromoteCall("a")
	if len(h.promoteCalls) != 1 {
		t.Errorf("%d calls", len(h.promoteCalls))
	}
	if h.member("c").Status.HeldTerm != 0 {
		t.Error("the fence stays")
	}
}

// Guards against the evacuation of a zone that leaves its primary in place, and
// against a target in an evacuated zone.
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

// Guards against a primary whose commits reach no replica.
func TestStalledPrimaryIsReplaced(t *testing.T) {
	h := newHarness(t)
	h.member("a").Status.Received = pos(130)
	h.advance(time.Second)
	h.wantNoPromoteCall()
	h.advance(time.Second)
	h.wantPromoteCall("b")
	if h.member("a").Status.Primary {
		t.Error("the old primary was not told to step down")
	}
}

// Guards against tokens that do not grow with each choice and each holder, and
// against a repeated call that uses another token.
func TestFencingTokensIncrease(t *testing.T) {
	h := newHarness(t)
	h.markFailed("a")
	h.advance(2 * time.Second)
	first := h.promoteCalls[0].Token
	for _, c := range h.promoteCalls {
		if c.Token != first {
			t.Errorf("a repeated call uses token %d after %d", c.Token, first)
		}
	}
	h.state.ReportPromotion(h.now, "db", first, OutcomeRefused)
	h.advance(500 * ms)
	last := h.promoteCalls[len(h.promoteCalls)-1].Token
	if last <= first {
		t.Errorf("token %d follows %d", last, first)
	}
	h.state.Lose()
	promoteCalls := len(h.promoteCalls)
	h.advance(3 * time.Second)
	if len(h.promoteCalls) != promoteCalls {
		t.Error("a VM without the duty called the platform")
	}
	h.state.Acquire(h.now, 8)
	h.advance(3 * time.Second)
	if next := h.promoteCalls[len(h.promoteCalls)-1].Token; next <= last {
		t.Errorf("the next holder's token %d follows %d", next, last)
	}
}

// Guards against a failover that goes on after the primary has come back.
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
	if len(h.promoteCalls) > 1 || len(h.promoteCalls) == 1 && h.promoteCalls[0].Upstream != "a" {
		t.Errorf("calls %+v", h.promoteCalls)
	}
	if h.member("b").Status.HeldTerm != 0 {
		t.Error("the fence stays")
	}
}

// Guards against a change that leaves most VMs without the primary that they
// still reach, because the holder is on the smaller side of a cut.
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
// is gone: the primary that steps down is the only upstream that has them.
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
			t.Fatalf("calls %+v", h.promoteCalls)
		}
	}
}

// Guards against a service that stays without a primary when its primary and
// another upstream are gone for good.
func TestRemainingReplicaIsPromotedWhenThePrimaryIsGone(t *testing.T) {
	h := newHarness(t)
	h.view.Incomplete = true
	h.evidence = replicaset.Evidence{At: h.now, Position: pos(500), Term: 1}
	h.view.Primary = ""
	h.view.Members = h.view.Members[1:2]
	h.advance(3 * time.Second)
	h.wantPromoteCall("b")
}

// Guards against a stall that is no reason for a change: one replica is down, the
// other receives nothing, and no upstream could do better than the primary.
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

// Guards against the promotion of a replica that is behind the old primary, which
// answers again after a cut, because the replica that went on receiving commits
// with it has gone meanwhile.
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
