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

// bench is one service with a primary a and the replicas b and c, as the holder
// of the duty sees it.
type bench struct {
	t         *testing.T
	state     *State
	now       model.Time
	view      replicaset.View
	evacuated map[model.Zone]bool
	peers     map[model.UpstreamID]model.Time
	evidence  replicaset.Evidence
	fewVMs    bool
	effects   []Effect
	calls     []Effect
}

func newBench(t *testing.T) *bench {
	b := &bench{
		t: t, state: New(), now: model.Time(time.Hour), evacuated: map[model.Zone]bool{}, peers: map[model.UpstreamID]model.Time{},
		view: replicaset.View{Service: "db", Primary: "a", PrimaryTerm: 1},
	}
	for i, id := range []model.UpstreamID{"a", "b", "c"} {
		m := replicaset.Member{Registration: replicaset.Registration{ID: id, Service: "db", Zone: model.Zone("zone-" + id)}}
		m.Status = replicaset.Status{Primary: i == 0, Term: 1, Received: pos(100)}
		m.ContactAt, m.StatusAt = b.now, b.now
		b.view.Members = append(b.view.Members, m)
	}
	b.state.Acquire(b.now, 7)
	b.pass(time.Second)
	return b
}

func (b *bench) member(id model.UpstreamID) *replicaset.Member { return find(&b.view, id) }

// pass lets time pass in small steps; members that do not fail answer in each.
func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now < end; {
		b.now = b.now.Add(10 * ms)
		for i := range b.view.Members {
			if m := &b.view.Members[i]; m.FailedSince == 0 {
				m.ContactAt, m.StatusAt = b.now, b.now
			}
		}
		b.tick()
	}
}

func (b *bench) tick() {
	in := Input{
		Views:       []replicaset.View{b.view},
		Evacuated:   func(z model.Zone) bool { return b.evacuated[z] },
		PeerContact: func(id model.UpstreamID) model.Time { return b.peers[id] },
		Evidence: func(catalog.Service) (replicaset.Evidence, bool) {
			return b.evidence, b.evidence.At != 0
		},
		SyncReplicas: func(catalog.Service) int { return 1 },
		FewVMs:       b.fewVMs,
	}
	b.effects = b.state.Tick(b.now, &in, b.effects[:0])
	for _, e := range b.effects {
		b.carryOut(&e)
	}
}

// carryOut does what upstreams do; calls of the platform are only noted.
func (b *bench) carryOut(e *Effect) {
	if e.Kind == EffectPromote {
		b.calls = append(b.calls, *e)
		return
	}
	if e.Kind != EffectOrder {
		return
	}
	m := b.member(e.Upstream)
	if m.FailedSince != 0 {
		return
	}
	switch e.Order {
	case OrderPause:
		m.Status.FencedTerm = e.Term
	case OrderResume:
		m.Status.FencedTerm = 0
	case OrderStepDown:
		m.Status.Primary = false
	}
}

// promote lets the last called upstream lead.
func (b *bench) promote() {
	call := b.calls[len(b.calls)-1]
	b.state.Promoted(b.now, "db", call.Token, OutcomeAccepted)
	for i := range b.view.Members {
		b.view.Members[i].Status.Primary = false
	}
	m := b.member(call.Upstream)
	m.Status.Primary, m.Status.Term, m.Status.FencedTerm = true, 2, 0
	b.view.Primary, b.view.PrimaryTerm = call.Upstream, 2
}

func (b *bench) fail(id model.UpstreamID) { b.member(id).FailedSince = b.now }

func (b *bench) wantCall(id model.UpstreamID) {
	b.t.Helper()
	if len(b.calls) == 0 || b.calls[len(b.calls)-1].Upstream != id {
		b.t.Fatalf("calls %+v, want one for %s", b.calls, id)
	}
}

func (b *bench) wantNoCall() {
	b.t.Helper()
	if len(b.calls) != 0 {
		b.t.Fatalf("calls %+v", b.calls)
	}
}

// Guards against the promotion of a replica that lacks an acknowledged commit.
func TestLostPrimaryIsReplacedByTheFurthestReplica(t *testing.T) {
	b := newBench(t)
	b.member("c").Status.Received = pos(101)
	b.fail("a")
	b.pass(500 * ms)
	b.wantNoCall()
	b.pass(500 * ms)
	b.wantCall("c")
	if b.member("b").Status.FencedTerm == 0 || b.member("c").Status.FencedTerm == 0 {
		t.Error("a replica was not fenced")
	}
	b.promote()
	b.pass(300 * ms)
	if b.member("b").Status.FencedTerm != 0 {
		t.Error("the other replica stays fenced")
	}
	if b.state.Moving() {
		t.Error("the move has not ended")
	}
}

// Guards against the promotion of one replica while another, which may have
// received an acknowledged commit, cannot be fenced.
func TestUnreachableReplicaBlocksTheFailover(t *testing.T) {
	b := newBench(t)
	b.fail("a")
	b.fail("c")
	b.pass(5 * time.Second)
	b.wantNoCall()
}

// Guards against a service without a primary when the missing replica had
// certainly stopped before the primary did.
func TestReplicaThatStoppedBeforeBlocksNothing(t *testing.T) {
	b := newBench(t)
	b.fail("c")
	b.member("c").RefusedSince = b.now
	b.pass(time.Second)
	b.member("b").Status.Received = pos(120)
	b.evidence = replicaset.Evidence{At: b.now, Position: pos(120), Term: 1}
	b.fail("a")
	b.pass(2 * time.Second)
	b.wantCall("b")
}

// Guards against the same when the remaining replica is behind what the primary
// had after the other one stopped.
func TestReplicaBehindTheProofIsNotPromoted(t *testing.T) {
	b := newBench(t)
	b.fail("c")
	b.member("c").RefusedSince = b.now
	b.pass(time.Second)
	b.evidence = replicaset.Evidence{At: b.now, Position: pos(121), Term: 1}
	b.fail("a")
	b.pass(5 * time.Second)
	b.wantNoCall()
}

// Guards against a change because only this VM cannot reach the primary.
func TestPrimaryThatPeersReachStays(t *testing.T) {
	b := newBench(t)
	b.fail("a")
	for range 30 {
		b.peers["a"] = b.now
		b.pass(100 * ms)
	}
	b.wantNoCall()
}

// Guards against a gap in a planned change: the old primary leads until the
// target, which alone goes on receiving, has been promoted.
func TestLeavingPrimaryLeadsUntilTheTargetDoes(t *testing.T) {
	b := newBench(t)
	b.member("b").Status.Received = pos(105)
	b.member("a").Leaving = true
	b.pass(200 * ms)
	b.wantCall("b")
	if !b.member("a").Status.Primary {
		t.Error("the old primary was told to step down")
	}
	if b.member("b").Status.FencedTerm != 0 || b.member("c").Status.FencedTerm == 0 {
		t.Error("the target is fenced, or the other replica is not")
	}
}

// Guards against a target that lacks what the other replica has received.
func TestPlannedTargetCatchesUpFirst(t *testing.T) {
	b := newBench(t)
	b.member("a").Leaving = true
	b.tick()
	b.member("c").Status.Received = pos(110)
	b.pass(300 * ms)
	b.wantNoCall()
	b.member("b").Status.Received = pos(110)
	b.pass(100 * ms)
	b.wantCall("b")
}

// Guards against fences that stay after a planned change was given up, and
// against a late call of an earlier holder: the present primary is promoted
// anew first.
func TestStrayFencesAreReleased(t *testing.T) {
	b := newBench(t)
	b.member("c").Status.FencedTerm = 2
	b.pass(time.Second)
	b.wantCall("a")
	if len(b.calls) != 1 {
		t.Errorf("%d calls", len(b.calls))
	}
	if b.member("c").Status.FencedTerm != 0 {
		t.Error("the fence stays")
	}
}

// Guards against the evacuation of a zone that leaves its primary in place, and
// against a target in an evacuated zone.
func TestEvacuatedZoneLosesItsPrimary(t *testing.T) {
	b := newBench(t)
	b.member("b").Status.Received = pos(105)
	b.evacuated["zone-a"], b.evacuated["zone-b"] = true, true
	b.pass(time.Second)
	b.wantNoCall()
	b.member("c").Status.Received = pos(105)
	b.pass(200 * ms)
	b.wantCall("c")
}

// Guards against a primary whose commits reach no replica.
func TestStalledPrimaryIsReplaced(t *testing.T) {
	b := newBench(t)
	b.member("a").Status.Received = pos(130)
	b.pass(time.Second)
	b.wantNoCall()
	b.pass(time.Second)
	b.wantCall("b")
	if b.member("a").Status.Primary {
		t.Error("the old primary was not told to step down")
	}
}

// Guards against tokens that do not grow with each choice and each holder, and
// against a repeated call that uses another token.
func TestTokensGrow(t *testing.T) {
	b := newBench(t)
	b.fail("a")
	b.pass(2 * time.Second)
	first := b.calls[0].Token
	for _, c := range b.calls {
		if c.Token != first {
			t.Errorf("a repeated call uses token %d after %d", c.Token, first)
		}
	}
	b.state.Promoted(b.now, "db", first, OutcomeRefused)
	b.pass(500 * ms)
	last := b.calls[len(b.calls)-1].Token
	if last <= first {
		t.Errorf("token %d follows %d", last, first)
	}
	b.state.Lose()
	calls := len(b.calls)
	b.pass(3 * time.Second)
	if len(b.calls) != calls {
		t.Error("a VM without the duty called the platform")
	}
	b.state.Acquire(b.now, 8)
	b.pass(3 * time.Second)
	if next := b.calls[len(b.calls)-1].Token; next <= last {
		t.Errorf("the next holder's token %d follows %d", next, last)
	}
}

// Guards against a failover that goes on after the primary has come back.
func TestPrimaryThatReturnsStays(t *testing.T) {
	b := newBench(t)
	b.fail("a")
	b.fail("c")
	b.pass(2 * time.Second)
	b.member("a").FailedSince = 0
	b.member("c").FailedSince = 0
	b.pass(10 * ms)
	b.wantNoCall()
	b.pass(3 * time.Second)
	if len(b.calls) > 1 || len(b.calls) == 1 && b.calls[0].Upstream != "a" {
		t.Errorf("calls %+v", b.calls)
	}
	if b.member("b").Status.FencedTerm != 0 {
		t.Error("the fence stays")
	}
}

// Guards against a change that leaves most VMs without the primary that they
// still reach, because the holder is on the smaller side of a cut.
func TestHolderThatHearsFewVMsWaits(t *testing.T) {
	b := newBench(t)
	b.fewVMs = true
	b.fail("a")
	b.pass(3 * time.Second)
	b.wantNoCall()
	b.pass(2 * time.Second)
	b.wantCall("b")
}

// Guards against the promotion of a replica that has received nothing for a
// while, after the other replica, which had received the acknowledged commits,
// is gone: the primary that steps down is the only upstream that has them.
func TestDeafReplicaIsNotPromotedWhenTheOtherIsGone(t *testing.T) {
	b := newBench(t)
	b.member("a").Status.Received = pos(452)
	b.member("b").Status.Received = pos(413)
	b.view.Members = b.view.Members[:2]
	b.view.Incomplete = true
	b.evidence = replicaset.Evidence{At: b.now, Position: pos(452), Term: 1}
	b.pass(8 * time.Second)
	for _, c := range b.calls {
		if c.Upstream == "b" {
			t.Fatalf("calls %+v", b.calls)
		}
	}
}

// Guards against a service that stays without a primary when its primary and
// another upstream are gone for good.
func TestRemainingReplicaIsPromotedWhenThePrimaryIsGone(t *testing.T) {
	b := newBench(t)
	b.view.Incomplete = true
	b.evidence = replicaset.Evidence{At: b.now, Position: pos(500), Term: 1}
	b.view.Primary = ""
	b.view.Members = b.view.Members[1:2]
	b.pass(3 * time.Second)
	b.wantCall("b")
}

// Guards against a stall that is no reason for a change: one replica is down, the
// other receives nothing, and no upstream could do better than the primary.
func TestStalledPrimaryStaysWhileAReplicaIsDown(t *testing.T) {
	b := newBench(t)
	b.member("a").Status.Received = pos(130)
	b.fail("c")
	b.pass(5 * time.Second)
	b.wantNoCall()
	if !b.member("a").Status.Primary {
		t.Error("the primary was told to step down")
	}
}

// Guards against the promotion of a replica that is behind the old primary, which
// answers again after a cut, because the replica that went on receiving commits
// with it has gone meanwhile.
func TestOldPrimaryLeadsAgainWhenItsReplicaIsGone(t *testing.T) {
	b := newBench(t)
	b.fail("a")
	b.fail("c")
	b.pass(2 * time.Second)
	b.wantNoCall()
	a := b.member("a")
	a.FailedSince = 0
	a.Status = replicaset.Status{Term: 1, Received: pos(108)}
	b.view.Primary = ""
	b.view.Members = b.view.Members[:2]
	b.pass(time.Second)
	b.wantCall("a")
}
