package membership

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const second = model.Time(time.Second)

// testVM is a State with a clock that the test sets.
type testVM struct {
	*State
	now model.Time
}

func newVM(id string, incarnation uint64) *testVM {
	c := Config{Self: model.VMID(id), Zone: "z1", Incarnation: incarnation}
	return &testVM{State: New(c), now: 100 * second}
}

func (v *testVM) apply(ev Event) []Effect { return v.Apply(v.now, &ev, nil) }

func (v *testVM) list(version uint64, ids ...model.VMID) []Effect {
	var vms []VM
	for _, id := range ids {
		vms = append(vms, VM{ID: id, Zone: "z1"})
	}
	return v.apply(Event{Kind: EventVMList, VMs: vms, Version: version})
}

func (v *testVM) read(epoch uint64, members ...Member) []Effect {
	return v.apply(Event{
		Kind: EventRecordRead, Record: Record{Zone: "z1", Epoch: epoch, Members: members},
		Revision: int64(epoch), SentAt: v.now,
	})
}

func findEffect(effects []Effect, kind EffectKind) (Effect, bool) {
	for _, e := range effects {
		if e.Kind == kind {
			return e, true
		}
	}
	return Effect{}, false
}

// Guards against the first VM of a zone never owning items, or owning them before
// the owners of an earlier epoch have expired.
func TestFirstVMJoinsAndWaits(t *testing.T) {
	v := newVM("a", 1)
	item := Item{Kind: Tokens, Zone: "z1", Name: "w"}
	v.apply(Event{Kind: EventTrack, Item: item})
	v.list(1, "a")
	w, found := findEffect(v.read(0), EffectWriteRecord)
	if !found || w.Record.Epoch != 1 || len(w.Record.Members) != 1 {
		t.Fatalf("got write %+v (found: %v), want epoch 1 with one member", w, found)
	}
	v.apply(Event{Kind: EventWriteDone, Record: w.Record, Revision: 7, SentAt: v.now})
	v.now += 3 * second
	v.apply(Event{Kind: EventTick})
	if v.Owns(v.now, item) {
		t.Fatal("owned before the takeover delay has passed")
	}
	v.now += second
	v.read(1, w.Record.Members...)
	if !v.Owns(v.now, item) {
		t.Fatal("not owned after the takeover delay")
	}
}

// Guards against the only VM of a zone never rejoining the record after a restart
// because its old incarnation still counts as a running member.
func TestRestartedOnlyMemberRejoins(t *testing.T) {
	v := newVM("a", 2)
	v.list(1, "a")
	w, found := findEffect(v.read(5, Member{VM: "a", Incarnation: 1}), EffectWriteRecord)
	if !found || w.Epoch != 6 || w.Record.Members[0].Incarnation != 2 {
		t.Fatalf("got write %+v (found: %v), want epoch 6 with incarnation 2", w, found)
	}
}

// steadyReport returns a peer's report that it knows of no epoch above epoch.
func steadyReport(from string, sentAt model.Time, epoch uint64, members ...Member) Event {
	return Event{Kind: EventReport, SentAt: sentAt, Report: Report{
		From: model.VMID(from), FromZone: "z1", Incarnation: 1, Steady: true,
		Record: Record{Zone: "z1", Epoch: epoch, Members: members},
	}}
}

// Guards against confirmation by a delayed report, and against a zone that stops
// working during an outage of the store although all members report steady.
func TestConfirmationByMembers(t *testing.T) {
	members := []Member{{VM: "a", Incarnation: 1}, {VM: "b", Incarnation: 1}}
	tests := []struct {
		name   string
		sentAt model.Time
		epoch  uint64
		want   bool
	}{
		{"in time", 108 * second, 4, true},
		{"delayed", 105 * second, 4, false},
		{"other epoch", 108 * second, 3, false},
	}
	for _, test := range tests {
		v := newVM("a", 1)
		v.list(1, "a", "b")
		v.read(4, members...)
		for v.now < 110*second {
			v.now += second
			v.apply(Event{Kind: EventReadFailed, Zone: "z1"})
		}
		v.apply(steadyReport("b", test.sentAt, test.epoch, members...))
		if got := v.ConfirmedUntil() > v.now; got != test.want {
			t.Errorf("%s: confirmed = %v", test.name, got)
		}
	}
}

// Guards against a steady report from a VM whose write has an unknown outcome: the
// write may have added a member that already acts on the new epoch.
func TestUnknownWriteIsNotSteady(t *testing.T) {
	v := newVM("a", 1)
	a, b := Member{VM: "a", Incarnation: 1}, Member{VM: "b", Incarnation: 1}
	v.list(1, "a", "b")
	v.read(4, a)
	v.apply(steadyReport("b", v.now, 4, a))
	w, found := findEffect(v.apply(Event{Kind: EventTick}), EffectWriteRecord)
	if !found || !hasMember(w.Record.Members, b) {
		t.Fatalf("got write %+v (found: %v), want one with member b", w, found)
	}
	v.apply(Event{Kind: EventWriteDone, Record: Record{Zone: "z1"}, Outcome: WriteUnknown})
	v.now += second / 2
	v.apply(Event{Kind: EventTick})
	r := v.Report(v.now, "z1")
	if r.Steady && r.SteadyAge < time.Second/2 {
		t.Errorf("reported steady %v ago although b may know epoch 5", r.SteadyAge)
	}
	v.apply(steadyReport("b", v.now, 4, a))
	if r = v.Report(v.now, "z1"); !r.Steady {
		t.Error("not reported steady although b does not know epoch 5")
	}
}

// Guards against a graceful stop that leaves the VM's items without an owner until
// the epoch has expired. By hash, a is the relay.
func TestLeavingVMHandsOver(t *testing.T) {
	a, d := Member{VM: "a", Incarnation: 1}, Member{VM: "d", Incarnation: 1}
	v := newVM("a", 1)
	v.list(1, "a", "d")
	v.read(4, a, d)
	v.now += 4 * second
	v.read(4, a, d)
	leave := steadyReport("d", v.now, 4, a, d)
	leave.Report.ReleasedEpoch = 4
	v.apply(leave)
	w, found := findEffect(v.apply(Event{Kind: EventTick}), EffectWriteRecord)
	if !found || len(w.Record.Members) != 1 {
		t.Fatalf("got write %+v (found: %v), want one with one member", w, found)
	}
	v.apply(Event{Kind: EventWriteDone, Record: w.Record, Revision: 5, SentAt: v.now})
	for _, name := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		if !v.Owns(v.now, Item{Kind: Tokens, Zone: "z1", Name: name}) {
			t.Errorf("%s is not owned after its owner released it", name)
		}
	}
}

// Guards against taking over an item too early in three cases: from a VM that
// released its items in an earlier epoch only, from a VM that stops before its own
// takeover delay has passed, and from a zone that has just become empty.
func TestOwnershipIsNotTakenEarly(t *testing.T) {
	a, d := Member{VM: "a", Incarnation: 1}, Member{VM: "d", Incarnation: 1}
	v := newVM("a", 1)
	v.read(4, a, d)
	early := steadyReport("d", v.now, 4, a, d)
	early.Report.ReleasedEpoch = 3
	v.apply(early)
	v.read(5, a)
	for _, name := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		if v.Owns(v.now, Item{Kind: Tokens, Zone: "z1", Name: name}) {
			t.Errorf("took over %s, which was released in an earlier epoch", name)
		}
	}
	v.apply(Event{Kind: EventStopped})
	if r := v.Report(v.now, "z1"); r.ReleasedEpoch != 0 {
		t.Error("reported a release before the takeover delay has passed")
	}
	v = newVM("a", 1)
	v.read(4, a)
	v.now += 4 * second
	v.read(4, a)
	empty := Event{Kind: EventRecordRead, Record: Record{Zone: "z2", Epoch: 3}, SentAt: v.now}
	v.apply(empty)
	seat := Item{Kind: MainSeat, Zone: "z2", Name: "u"}
	if v.Owns(v.now, seat) {
		t.Error("took over a seat before its owners in the other zone have expired")
	}
	v.now += 4 * second
	empty.SentAt = v.now
	v.read(4, a)
	v.apply(empty)
	if !v.Owns(v.now, seat) {
		t.Error("seat of an empty zone is not owned after the takeover delay")
	}
}
