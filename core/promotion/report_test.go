package promotion

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// Guards against a record of a promotion that does not show against which upstreams the target
// was compared, and how old what was known of them is.
func TestReportOfTheGroup(t *testing.T) {
	position := model.Position{Term: model.Term{Counter: 2}, Pos: 9}
	now := model.Time(time.Hour)
	s := New()
	s.Acquire(now.Add(-10*time.Second), Acquisition{Revision: 1})
	svc := s.newService(now, "db")
	svc.transition = &transition{freeze: &freeze{
		fenceTerm: 3, withdrawnAt: now.Add(-200 * time.Millisecond),
		withdrawn: map[model.VMID]withdrawal{"vm": {vouchersEnd: now.Add(300 * time.Millisecond)}},
	}}
	svc.confirmedUntil["other"] = now.Add(-100 * time.Millisecond)
	v := &replicaset.View{Service: "db", ListedAt: now.Add(-time.Second), Members: []replicaset.Member{
		{Registration: replicaset.Registration{ID: "a", Leaving: true}, FailedSince: now},
		{
			Registration: replicaset.Registration{ID: "b"}, StatusAt: now.Add(-50 * time.Millisecond),
			Status: replicaset.Status{Primary: true, Term: 2, FencedTerm: 3, Received: position},
		},
	}}
	for range maxReportedMembers {
		v.Members = append(v.Members, replicaset.Member{})
	}
	h := newListHarness()
	r := s.report(now, svc, v, h.input())
	if r.FenceTerm != 3 || r.ListAge != time.Second || r.Unconfirmed != 100*time.Millisecond || r.Evidence != nil || len(r.Members) != maxReportedMembers {
		t.Errorf("report %+v", r)
	}
	in := h.input()
	in.Voters = []model.VMID{"vm", "unheard"}
	if r := s.report(now, svc, v, in); r.Unconfirmed != -300*time.Millisecond {
		t.Errorf("unconfirmed for %v while a voucher may be used", r.Unconfirmed)
	}
	want := []MemberReport{
		{ID: "a", Leaving: true, Failing: true},
		{ID: "b", Heard: true, Primary: true, Term: 2, FencedTerm: 3, Received: position, StatusAge: 50 * time.Millisecond},
	}
	for i := range want {
		if r.Members[i] != want[i] {
			t.Errorf("member %+v, want %+v", r.Members[i], want[i])
		}
	}
}

// Guards against a transition whose decisions are not recorded with the known upstreams: the
// choice of the target, its lead, and the end without a target.
func TestDecisionsReportTheGroup(t *testing.T) {
	h := newListHarness()
	h.list("a", "b", "c")
	h.state.Acquire(h.now, Acquisition{Revision: 1})
	for range 4 {
		h.run(time.Second)
		h.list("a", "b", "c")
	}
	reported := map[EffectKind]bool{}
	tick := func() {
		for _, e := range h.state.Tick(h.now, h.input(), nil) {
			h.execute(&e)
			if e.Group != nil && len(e.Group.Members) == 3 {
				reported[e.Kind] = true
			}
			if e.Kind == EffectTransitionEnded {
				delete(h.down, "b")
			}
		}
	}
	h.down = map[model.UpstreamID]bool{"a": true, "b": true}
	for range 400 {
		h.now = h.now.Add(50 * time.Millisecond)
		h.list("a", "b", "c")
		for _, id := range h.view.Upstreams("db") {
			h.answer(id)
		}
		if h.promoted != "" {
			h.lead(h.promoted)
		}
		tick()
	}
	for _, k := range []EffectKind{EffectTargetSelected, EffectTargetLeads, EffectTransitionEnded} {
		if !reported[k] {
			t.Errorf("no report with effect %d", k)
		}
	}
}

// lead applies the status of an upstream that leads term 2.
func (h *listHarness) lead(id model.UpstreamID) {
	position := model.Position{Term: model.Term{Counter: 1}, Pos: 10}
	h.now = h.now.Add(time.Millisecond)
	h.view.Apply(h.now, &replicaset.Event{Kind: replicaset.EventStatus, Upstream: id, SentAt: h.now, Status: replicaset.Status{
		Primary: true, Term: 2, Received: position, Applied: position,
	}}, nil)
}
