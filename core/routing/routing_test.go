package routing

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

const (
	ms = model.Time(time.Millisecond)
	// expiry is the deadline of the batches.
	expiry = 1000 * ms
)

// newState returns the State of a VM in zone z1 with the primary a in z1 and the
// replicas b in z1 and c in z2.
func newState() *State {
	s := New("z1")
	apply(s, 0, Event{Kind: GroupConfigured, Upstreams: []Upstream{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z1"}, {ID: "c", Zone: "z2"}}})
	apply(s, 0, Event{Kind: PrimaryKnown, Primary: "a", PrimaryTerm: model.Term{Counter: 1}})
	return s
}

func apply(s *State, now model.Time, ev Event) []Effect {
	ev.Database = "db"
	return s.Apply(now, &ev, nil)
}

// read returns the request of a read that a replica may serve.
func read(id uint64) Event {
	return Event{Kind: BatchRequested, ID: id, Class: model.Read, MaxAge: time.Second, Deadline: expiry}
}

func write(id uint64) Event { return Event{Kind: BatchRequested, ID: id, Deadline: expiry} }

// TestChooseUpstream guards against reads on the primary while a replica could
// serve them, and on replicas that are drained, unreachable or known to lag.
func TestChooseUpstream(t *testing.T) {
	floor := model.Position{Term: model.Term{Counter: 1}, Pos: 5}
	unreachable := func(s *State, u model.UpstreamID, standby bool) {
		apply(s, 0, Event{Kind: HolderUnreachable, Upstream: u, Standby: standby})
	}
	drain := func(s *State, drained, leaving bool) {
		apply(s, 0, Event{Kind: GroupConfigured, Upstreams: []Upstream{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z1", Drained: drained}, {ID: "c", Zone: "z2", Leaving: leaving}}})
	}
	withFloor := read(1)
	withFloor.Floor, withFloor.HasFloor = floor, true
	cases := []struct {
		name    string
		ev      Event
		prepare func(s *State)
		want    model.UpstreamID
		standby bool
	}{
		{"same zone", read(1), func(*State) {}, "b", false},
		{"covers the floor", withFloor, func(s *State) { s.groups["db"].observeApplied("c", floor) }, "c", false},
		{"drained", read(1), func(s *State) { drain(s, true, false) }, "c", false},
		{"drained and leaving", read(1), func(s *State) { drain(s, true, true) }, "a", false},
		{"standby holder", read(1), func(s *State) { unreachable(s, "b", false) }, "b", true},
		{"no holder", read(1), func(s *State) { unreachable(s, "b", false); unreachable(s, "b", true) }, "c", false},
		{"busy", read(1), func(s *State) {
			for id := range uint64(crossZonePenalty) {
				apply(s, 0, read(100+id))
			}
		}, "c", false},
		{"write", write(1), func(*State) {}, "a", false},
		{"bound of 0", Event{Kind: BatchRequested, ID: 1, Class: model.Read, Deadline: expiry}, func(*State) {}, "a", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newState()
			c.prepare(s)
			out := apply(s, ms, c.ev)
			if len(out) != 1 || out[0].Upstream != c.want || out[0].Standby != c.standby {
				t.Errorf("got %+v, want one attempt on %s through the expected holder", out, c.want)
			}
		})
	}
}

// TestMisclassifiedWriteIsNotRetried guards against running a write twice: it was
// classified as a read, its first attempt may have run, and a replica refuses the
// second one as a write.
func TestMisclassifiedWriteIsNotRetried(t *testing.T) {
	s := newState()
	first := apply(s, ms, read(1))[0]
	second := apply(s, ms, Event{Kind: AttemptEnded, ID: 1, Attempt: 1, Upstream: first.Upstream, Outcome: FailedMaybeSent})[0]
	out := apply(s, ms, Event{Kind: AttemptEnded, ID: 1, Attempt: 2, Upstream: second.Upstream, Outcome: Refused, Code: sqlstate.ReadOnly})
	if len(out) != 1 || out[0].Kind != Fail || out[0].Code != sqlstate.OutcomeUnknown || out[0].NotRun {
		t.Errorf("got %+v, want a failure with OutcomeUnknown", out)
	}
}

// TestWaitForPrimary guards against writes that fail, or that all probe for the
// primary, while there is none for a short time.
func TestWaitForPrimary(t *testing.T) {
	s := newState()
	apply(s, 0, write(1))
	out := apply(s, ms, Event{Kind: AttemptEnded, ID: 1, Attempt: 1, Upstream: "a", Outcome: Refused, Code: sqlstate.NoPrimary})
	if len(out) != 1 || out[0].Upstream == "a" {
		t.Fatalf("got %+v, want a probe of another upstream", out)
	}
	if out = apply(s, ms, write(2)); len(out) != 0 {
		t.Fatalf("a second batch probes for the primary too: %+v", out)
	}
	out = apply(s, 20*ms, Event{Kind: PrimaryKnown, Primary: "c", PrimaryTerm: model.Term{Counter: 2}})
	if len(out) != 1 || out[0].ID != 2 || out[0].Upstream != "c" {
		t.Errorf("got %+v, want batch 2 on c", out)
	}
}

// TestNoPrimaryUntilDeadline guards against a batch that waits beyond its
// deadline for a primary.
func TestNoPrimaryUntilDeadline(t *testing.T) {
	s := New("z1")
	apply(s, 0, Event{Kind: GroupConfigured})
	apply(s, 0, write(1))
	out := apply(s, expiry, Event{Kind: Tick})
	if len(out) != 1 || out[0].Code != sqlstate.NoPrimary || !out[0].NotRun {
		t.Errorf("got %+v, want a failure with NoPrimary as not run", out)
	}
}
