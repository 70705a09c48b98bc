package connshare

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const second = model.Time(time.Second)

// TestShares guards against shares that together exceed the limit, and against a
// main holder without a connection.
func TestShares(t *testing.T) {
	for limit := range 200 {
		main, standby := Share(limit, Main), Share(limit, Standby)
		if free := max(0, limit-ReservedConnections); main+standby != free || (free > 0 && main == 0) {
			t.Errorf("limit %d: main %d, standby %d", limit, main, standby)
		}
	}
	if main, standby := Share(50, Main), Share(50, Standby); main != 33 || standby != 11 {
		t.Errorf("limit 50: main %d, standby %d; want 33 and 11", main, standby)
	}
}

// TestReleaseWaitsForConnections guards against releasing a seat while its
// connections are open or were counted under the old budget, and against a
// confirmation of a later epoch that extends a lost seat.
func TestReleaseWaitsForConnections(t *testing.T) {
	s := New()
	apply := func(ev Event) []Effect {
		ev.Upstream = "u"
		return s.Apply(second, &ev, nil)
	}
	apply(Event{Kind: EventUpstreamSet, Limit: 20, Slots: 3, Zone: "z"})
	got := apply(Event{Kind: EventGained, Seat: Main, Until: 4 * second})
	if len(got) != 1 || got[0].Connections != 11 || got[0].Warm != 4 {
		t.Fatalf("gained: %+v", got)
	}
	apply(Event{Kind: EventOpenConnections, Count: 0, Limit: 11})
	got = apply(Event{Kind: EventLost, Seat: Main, VM: "b", Zone: "z", Epoch: 7})
	if len(got) != 1 || got[0].Connections != 0 || got[0].CloseNow {
		t.Fatalf("lost: %+v", got)
	}
	apply(Event{Kind: EventConfirmed, Zone: "z", Until: 9 * second})
	if got = apply(Event{Kind: EventOpenConnections, Count: 1, Limit: 0}); len(got) != 0 {
		t.Fatalf("one open: %+v", got)
	}
	lapsed := s.Apply(4*second, &Event{Kind: EventTick}, nil)
	if len(lapsed) != 1 || !lapsed[0].CloseNow {
		t.Fatalf("lapsed: %+v", lapsed)
	}
	got = apply(Event{Kind: EventOpenConnections, Count: 0, Limit: 0})
	if len(got) != 1 || got[0].Kind != EffectReleaseSeat || got[0].VM != "b" || got[0].Epoch != 7 {
		t.Fatalf("closed: %+v", got)
	}
}
