package limits

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	ms      = model.Time(time.Millisecond)
	started = 10_000 * ms
)

// ownerState returns the state of VM a, the owner of zone z1's share of
// workspace w, which is 100 tokens per second with a burst of 100 tokens. At
// started its bucket is full, with 79 tokens.
func ownerState() *State {
	s := New(Config{Self: "a", Zone: "z1", FirstRequestID: 1})
	apply(s, 0, Event{
		Kind: EventConfigure, Version: 1, Rate: 200 * Token, Burst: 200 * Token, Zones: []model.Zone{"z1", "z2"},
	})
	apply(s, 0, Event{Kind: EventRolledOut, Version: 1})
	apply(s, 1000*ms, Event{Kind: EventTick})
	apply(s, 1000*ms, Event{Kind: EventOwner, Zone: "z1", VM: "a"})
	apply(s, 1000*ms, Event{Kind: EventOwner, Zone: "z2", VM: "c"})
	apply(s, 1000*ms, Event{Kind: EventGained, Epoch: 1, Until: 1 << 60})
	apply(s, started, Event{Kind: EventTick})
	return s
}

func apply(s *State, now model.Time, ev Event) []Effect {
	ev.Workspace = "w"
	return s.Apply(now, &ev, nil)
}

func balance(s *State) int64 {
	b := &s.workspaces["w"].bucket
	b.refill(s.now)
	return b.balance
}

// Guards against a clock jump that fills the bucket above its capacity, or
// fills it twice for the same interval.
func TestClockJumps(t *testing.T) {
	s := ownerState()
	capacity := s.workspaces["w"].bucket.capacity
	apply(s, started+1<<50, Event{Kind: EventTick})
	if balance(s) != capacity {
		t.Errorf("balance %d after a jump, limit %d", balance(s), capacity)
	}
	apply(s, started+1<<50, Event{Kind: EventTokenRequest, VM: "b", RequestID: 1, Amount: capacity})
	for _, now := range []model.Time{started, started + 1<<50} {
		apply(s, now, Event{Kind: EventTick})
	}
	if balance(s) != 0 {
		t.Errorf("balance %d after the clock went back", balance(s))
	}
}

// Guards against a repeated token request that is debited twice or gets a
// different response.
func TestRepeatedRequest(t *testing.T) {
	s := ownerState()
	before := balance(s)
	for range 2 {
		got := apply(s, started, Event{Kind: EventTokenRequest, VM: "b", RequestID: 9, Amount: 5 * Token})
		if len(got) != 1 || got[0].Kind != EffectTokenResponse || got[0].Amount != 5*Token {
			t.Fatalf("got %+v", got)
		}
	}
	if balance(s) != before-5*Token {
		t.Errorf("debited %d", before-balance(s))
	}
}

// Guards against a share that is raised while other VMs still use the old
// split, or that is not lowered immediately.
func TestShareDuringChange(t *testing.T) {
	tests := []struct {
		name  string
		rate  int64
		event Event
		now   model.Time
		want  int64
	}{
		{"lowered at once", 100, Event{Kind: EventTick}, started, 49_500},
		{"raised, not rolled out", 400, Event{Kind: EventTick}, started + 9000*ms, 99_000},
		{"raised, rolled out", 400, Event{Kind: EventRolledOut, Version: 2}, started, 198_000},
	}
	for _, test := range tests {
		s := ownerState()
		apply(s, started, Event{
			Kind: EventConfigure, Version: 2, Rate: test.rate * Token, Burst: 200 * Token, Zones: []model.Zone{"z1", "z2"},
		})
		apply(s, test.now, test.event)
		apply(s, test.now+1000*ms, Event{Kind: EventTick})
		if got := s.workspaces["w"].bucket.share.rate; got != test.want {
			t.Errorf("%s: rate %d, want %d", test.name, got, test.want)
		}
	}
}

// Guards against an owner that responds to a peer with part of the tokens and
// never borrows the rest. With that fault, TestLimitsLending saw 2211 of 3600
// requests inside the rate refused.
func TestShortOwnerBorrows(t *testing.T) {
	s := ownerState()
	got := apply(s, started, Event{Kind: EventTokenRequest, VM: "b", RequestID: 1, Amount: balance(s) + 5*Token})
	if len(got) != 1 || got[0].Kind != EffectTokenRequest || !got[0].Borrow || got[0].VM != "c" || got[0].Amount < 5*Token {
		t.Fatalf("got %+v", got)
	}
	got = apply(s, started, Event{Kind: EventTokenResponse, RequestID: got[0].RequestID, Amount: 5 * Token, Validity: time.Second})
	if len(got) != 1 || got[0].Kind != EffectTokenResponse || got[0].VM != "b" {
		t.Fatalf("got %+v", got)
	}
}

// Guards against the use of tokens after their validity, which counts from when
// the request was sent, and against allocations in the admission of a request.
func TestPrefetched(t *testing.T) {
	s := New(Config{Self: "b", Zone: "z1"})
	apply(s, 0, Event{Kind: EventConfigure, Version: 1, Rate: 200 * Token, Burst: 200 * Token, Zones: []model.Zone{"z1"}})
	apply(s, 0, Event{Kind: EventOwner, Zone: "z1", VM: "a"})
	for _, test := range []struct {
		answered model.Time
		admitted bool
	}{{50 * ms, true}, {100 * ms, false}} {
		got := apply(s, 0, Event{Kind: EventAdmit, ID: 1, Amount: Token, Deadline: 1000 * ms})
		got = apply(s, test.answered, Event{Kind: EventTokenResponse, RequestID: got[0].RequestID, Amount: Token, Validity: 100 * time.Millisecond})
		admitted := len(got) > 0 && got[0].Kind == EffectAdmit
		if admitted != test.admitted {
			t.Errorf("answered at %v: got %+v", test.answered, got)
		}
		s.now = 0
	}
	out := make([]Effect, 0, 4)
	ev := Event{Kind: EventAdmit, Workspace: "w", Amount: 1, Deadline: 1 << 60}
	s = ownerState()
	if n := testing.AllocsPerRun(1000, func() { out = s.Apply(started, &ev, out[:0]) }); n != 0 {
		t.Errorf("%v allocations per admission", n)
	}
}

// BenchmarkAdmit measures the admission of requests from the balance of an
// owned share.
func BenchmarkAdmit(b *testing.B) {
	s := ownerState()
	out := make([]Effect, 0, 4)
	ev := Event{Kind: EventAdmit, Workspace: "w", Amount: 1, Deadline: 1 << 60}
	now := started
	b.ReportAllocs()
	for b.Loop() {
		now += 100_000
		out = s.Apply(now, &ev, out[:0])
	}
}
