package confsync

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
)

var parsedDocument = &config.Document{}

// at returns the time on the VM's clock at the given second.
func at(seconds float64) model.Time { return model.Time(seconds * float64(time.Second)) }

// step is one event and its expected result.
type step struct {
	now     float64
	event   Event
	effects string
	// confirmedAge is the expected ConfirmedAge in seconds, or -1 for no evidence.
	confirmedAge float64
}

func storeRead(version uint64, sent float64) Event {
	return Event{Kind: StoreRead, Version: version, Config: parsedDocument, At: at(sent)}
}

func storeChange(version uint64) Event {
	return Event{Kind: StoreChange, Version: version, Config: parsedDocument}
}

func peerReport(vm model.VMID, version uint64, sent float64) Event {
	return Event{Kind: PeerReport, VM: vm, Zone: zoneOf(vm), Version: version, HasEvidence: sent >= 0, At: at(sent)}
}

func peerOutage(vm model.VMID, version uint64, sent float64) Event {
	return Event{Kind: PeerReport, VM: vm, Zone: zoneOf(vm), Version: version, StoreUnreachable: true, UnreachableAt: at(sent)}
}

func peerDocument(vm model.VMID, version uint64, sent float64) Event {
	ev := peerReport(vm, version, sent)
	ev.Kind = PeerDocument
	ev.Config = parsedDocument
	return ev
}

func ownOutage(sent float64) Event { return Event{Kind: StoreUnreachable, Zone: "a", At: at(sent)} }

// zoneOf returns the zone in the VM's name, for example "b" for "b1".
func zoneOf(vm model.VMID) model.Zone { return model.Zone(vm[:1]) }

func members(vms ...model.VMID) Event {
	ev := Event{Kind: Members}
	for _, vm := range vms {
		ev.Members = append(ev.Members, Member{VM: vm, Zone: zoneOf(vm)})
	}
	return ev
}

func formatEffects(effects []Effect) string {
	names := map[EffectKind]string{Apply: "apply", Send: "send", Request: "request", StoreBehind: "behind"}
	text := ""
	for _, e := range effects {
		text += fmt.Sprintf("%s%s:%d ", names[e.Kind], e.VM, e.Version)
	}
	return text
}

func TestApply(t *testing.T) {
	threeZones := members("a1", "b1", "c1")
	cases := map[string][]step{
		// Guards against a store read, a watch or a peer that replaces the version
		// in force by a lower one.
		"the version never decreases": {
			{1, storeRead(5, 0.9), "apply:5 ", 0.1},
			{2, storeChange(4), "", 1.1},
			{3, peerDocument("b1", 4, 3), "", 0},
			{4, storeRead(4, 3.9), "behind:4 ", 1},
			{5, storeChange(6), "apply:6 ", 2},
			{6, storeRead(5, 4.5), "", 1.5},
		},
		// Guards against evidence from a watch, and against dating a read by its
		// response, which makes slow reads look fresh.
		"a read is evidence for the time at which it was sent": {
			{1, storeChange(1), "apply:1 ", -1},
			{9, storeRead(1, 2), "", 7},
			{10, storeRead(1, 1), "", 8},
		},
		"a read of a store without configuration is evidence": {
			{1, storeRead(0, 0.5), "", 0.5},
		},
		"a report is evidence up to the time of the peer's evidence": {
			{1, storeChange(2), "apply:2 ", -1},
			{2, peerReport("b1", 2, -1), "", -1},
			{4, peerReport("b1", 2, 3), "", 1},
			{5, peerReport("b1", 2, 1), "", 2},
		},
		// Guards against evidence for a version that this VM does not have yet.
		"a report of a higher version is no evidence until that version is applied": {
			{1, storeRead(1, 1), "apply:1 ", 0},
			{2, peerReport("b1", 2, 2), "requestb1:2 ", 1},
			{2.2, peerReport("c1", 2, 2.1), "", 1.2},
			{2.6, peerReport("c1", 2, 2.5), "requestc1:2 ", 1.6},
			{3, peerDocument("b1", 2, 2), "apply:2 ", 1},
		},
		"a document is sent to a peer with a lower version": {
			{1, storeRead(2, 1), "apply:2 ", 0},
			{2, peerReport("b1", 1, 2), "sendb1:2 ", 0},
			{3, peerReport("b1", 1, 3), "", 0},
			{5, peerReport("b1", 1, 5), "sendb1:2 ", 0},
			{5.5, storeChange(3), "apply:3 ", 0.5},
			{6, peerReport("b1", 2, 6), "sendb1:3 ", 0},
		},
		"a store outage reported by every zone is evidence": {
			{1, threeZones, "", -1},
			{1, storeRead(1, 1), "apply:1 ", 0},
			{5, ownOutage(5), "", 4},
			{6, peerOutage("b1", 1, 6), "", 5},
			{8, peerOutage("c1", 1, 7), "", 3},
			{9, ownOutage(9), "", 3},
			{10, peerOutage("b1", 1, 10), "", 3},
		},
		// Guards against losing a zone's outage when another VM of the zone, or a
		// relay's summary, reports a version without the state of the store.
		"a report without an outage does not clear one": {
			{1, threeZones, "", -1},
			{1, storeRead(1, 1), "apply:1 ", 0},
			{5, peerOutage("b1", 1, 5), "", 4},
			{5.5, peerReport("b1", 1, -1), "", 4.5},
			{6, peerOutage("c1", 1, 6), "", 5},
			{6, ownOutage(6), "", 1},
		},
		// Guards against newer evidence while one zone can still make changes.
		"a zone that reaches the store stops new evidence": {
			{1, threeZones, "", -1},
			{1, storeRead(1, 1), "apply:1 ", 0},
			{5, ownOutage(5), "", 4},
			{5, peerOutage("c1", 1, 5), "", 4},
			{6, peerOutage("b1", 1, 5), "", 1},
			{7, peerReport("b1", 1, -1), "", 2},
			{8, peerOutage("c1", 1, 8), "", 3},
			{9, ownOutage(9), "", 4},
		},
		// Guards against evidence that ignores a change made through another zone
		// before the outage.
		"an outage is no evidence while a zone has a higher version": {
			{1, members("a1", "b1"), "", -1},
			{1, storeRead(1, 1), "apply:1 ", 0},
			{5, ownOutage(5), "", 4},
			{5, peerOutage("b1", 2, 5), "requestb1:2 ", 4},
			{6, peerDocument("b1", 2, -1), "apply:2 ", 1},
		},
		"a zone without live VMs is not required": {
			{1, threeZones, "", -1},
			{1, storeRead(1, 1), "apply:1 ", 0},
			{5, ownOutage(5), "", 4},
			{5, peerOutage("b1", 1, 5), "", 4},
			{6, members("a1", "b1"), "", 5},
			{7, ownOutage(7), "", 2},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) { runSteps(t, steps) })
	}
}

func runSteps(t *testing.T, steps []step) {
	s := New("a1")
	for i, st := range steps {
		now := at(st.now)
		if got := formatEffects(s.Apply(now, &st.event, nil)); got != st.effects {
			t.Errorf("step %d: effects %q, want %q", i, got, st.effects)
		}
		age, ok := s.ConfirmedAge(now)
		want := time.Duration(st.confirmedAge * float64(time.Second)).Round(time.Millisecond)
		if ok != (st.confirmedAge >= 0) || ok && age.Round(time.Millisecond) != want {
			t.Errorf("step %d: confirmed age %v, %v; want %v", i, age, ok, want)
		}
	}
}

// Guards against reporting a version as in force while a live VM has a lower
// one, and against waiting for a VM that has left.
func TestProgress(t *testing.T) {
	s := New("a1")
	apply := func(ev Event) { s.Apply(at(1), &ev, nil) }
	apply(members("c1", "b1", "a1"))
	apply(storeRead(3, 1))
	apply(peerReport("b1", 4, 1))
	apply(peerReport("c1", 2, 1))
	confirmed, missing := s.Progress(3)
	if !slices.Equal(confirmed, []model.VMID{"a1", "b1"}) || !slices.Equal(missing, []model.VMID{"c1"}) || s.InForce(3) {
		t.Errorf("Progress = %v, %v; want [a1 b1], [c1] and version 3 not in force", confirmed, missing)
	}
	apply(members("a1", "b1"))
	if !s.InForce(3) || s.InForce(4) {
		t.Errorf("InForce(3), InForce(4) = %v, %v; want true, false", s.InForce(3), s.InForce(4))
	}
	if version, _, ok := s.LastHeard("b1"); !ok || version != 4 {
		t.Errorf("LastHeard = %v, %v; want 4, true", version, ok)
	}
	if _, _, ok := s.LastHeard("c1"); ok {
		t.Error("LastHeard still returns a VM that has left")
	}
}

// Guards against a VM that reports its zone's outage, and with it all changes made
// through the zone, while it lacks one of these changes.
func TestStoreUnreachableAgeRequiresTheVersionOfTheZone(t *testing.T) {
	s := New("a2")
	apply := func(ev Event) { s.Apply(at(5), &ev, nil) }
	apply(members("a1", "a2", "b1"))
	apply(storeRead(1, 1))
	apply(peerOutage("a1", 2, 4))
	if _, ok := s.StoreUnreachableAge("a", at(6)); ok {
		t.Error("the outage is returned although this VM lacks version 2")
	}
	apply(peerDocument("a1", 2, -1))
	if age, ok := s.StoreUnreachableAge("a", at(6)); !ok || age != 2*time.Second {
		t.Errorf("StoreUnreachableAge = %v, %v; want 2s, true", age, ok)
	}
	if _, ok := s.StoreUnreachableAge("b", at(6)); ok {
		t.Error("an outage is returned for a zone that reported none")
	}
}
