package membership

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const second = model.Time(time.Second)

// testVM is a State with a clock that a test moves.
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

func find(effects []Effect, kind EffectKind) (Effect, bool) {
	for _, e := range effects {
		if e.Kind == kind {
			return e, true
		}
	}
	return Effect{}, false
}

// Guards against a zone whose first VM never starts, or starts before the
// owners of an earlier epoch have lapsed.
func TestFirstVMJoinsAndWaits(t *testing.T) {
	v := newVM("a", 1)
	item := Item{Kind: Tokens, Zone: "z1", Name: "w"}
	v.apply(Event{Kind: EventTrack, Item: item})
	v.list(1, "a")
	w, found := find(v.read(0), EffectWriteRecord)
	if !found || w.Record.Epoch != 1 || len(w.Record.Members) != 1 {
		t.Fatalf("write %+v, %v", w, found)
	}
	v.apply(Event{Kind: EventWriteDone, Record: w.Record, Revision: 7, SentAt: v.now})
	v.now += 3 * second
	v.apply(Event{Kind: EventTick})
	if v.Owns(v.now, item) {
		t.Fatal("owned within the wait")
	}
	v.now += second
	v.read(1, w.Record.Members...)
	if !v.Owns(v.now, item) {
		t.Fatal("not owned after the wait")
	}
}

// Guards against a restarted only VM that counts as a member in its old
// incarnation, and so never gets back into the record.
func TestRestartedOnlyMemberRejoins(t *testing.T) {
	v := newVM("a", 2)
	v.list(1, "a")
	w, found := find(v.read(5, Member{VM: "a", Incarnation: 1}), EffectWriteRecord)
	if !found || w.Epoch != 6 || w.Record.Members[0].Incarnation != 2 {
		t.Fatalf("write %+v, %v", w, found)
	}
}
