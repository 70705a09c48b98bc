package fairness

import (
	"strconv"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const ms = model.Time(time.Millisecond)

// newBusyState returns a State with one upstream u, whose only slot is used by
// request 1 of workspace a.
func newBusyState() *State {
	s := New(Config{})
	s.Apply(0, &Event{Kind: EventUpstreamSet, Upstream: "u", Slots: 1}, nil)
	s.Apply(0, &Event{Kind: EventEnqueue, ID: 1, Upstream: "u", Workspace: "a", Deadline: 1000 * ms}, nil)
	return s
}

// TestWaitingRequestEnds guards against missing effects and wrong reasons, for each
// way in which a request can stop waiting.
func TestWaitingRequestEnds(t *testing.T) {
	tests := []struct {
		name string
		now  model.Time
		ev   Event
		want []Effect
	}{
		{"slot free", 0, Event{Kind: EventFinished, ID: 1}, []Effect{{Kind: EffectRun, ID: 2, Upstream: "u"}}},
		{"more slots", 0, Event{Kind: EventUpstreamSet, Upstream: "u", Slots: 2}, []Effect{{Kind: EffectRun, ID: 2, Upstream: "u"}}},
		{"deadline", 50 * ms, Event{Kind: EventTick}, []Effect{{Kind: EffectRefuse, ID: 2, Upstream: "u", Reason: DeadlinePassed}}},
		{"key withdrawn", 0, Event{Kind: EventWithdraw, Workspace: "b", Key: "k"}, []Effect{{Kind: EffectRefuse, ID: 2, Upstream: "u", Reason: KeyWithdrawn}}},
		{"other key withdrawn", 0, Event{Kind: EventWithdraw, Workspace: "b", Key: "l"}, nil},
		{"upstream removed", 0, Event{Kind: EventUpstreamRemoved, Upstream: "u"}, []Effect{{Kind: EffectRefuse, ID: 2, Upstream: "u", Reason: UpstreamGone}}},
		{"cancelled", 0, Event{Kind: EventCancel, ID: 2}, nil},
	}
	for _, test := range tests {
		s := newBusyState()
		s.Apply(0, &Event{Kind: EventEnqueue, ID: 2, Upstream: "u", Workspace: "b", Key: "k", Deadline: 50 * ms}, nil)
		got := s.Apply(test.now, &test.ev, nil)
		if len(got) != len(test.want) || (len(got) > 0 && got[0] != test.want[0]) {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}

// TestEarlyRefusal guards against queueing a request that will miss its deadline,
// and against refusing the first one of a queue because of an outdated estimate.
func TestEarlyRefusal(t *testing.T) {
	s := newBusyState()
	s.Apply(200*ms, &Event{Kind: EventFinished, ID: 1}, nil)
	for id := uint64(2); id <= 4; id++ {
		ev := Event{Kind: EventEnqueue, ID: id, Upstream: "u", Workspace: "a", Deadline: 210 * ms}
		got := s.Apply(200*ms, &ev, nil)
		if id < 4 && len(got) > 0 && got[0].Kind == EffectRefuse {
			t.Fatalf("request %d was refused (%v), want it queued or run", id, got[0].Reason)
		}
		if id == 4 && (len(got) != 1 || got[0].Reason != DeadlineTooClose) {
			t.Fatalf("request 4: got %+v, want a refusal because the deadline is too close", got)
		}
	}
}

// TestLongTransactionIsCharged guards against charging a long transaction only when
// it ends. While a occupies one of two slots, the other one has to go to b, which
// has twice the weight.
func TestLongTransactionIsCharged(t *testing.T) {
	s := New(Config{})
	s.Apply(0, &Event{Kind: EventUpstreamSet, Upstream: "u", Slots: 2}, nil)
	for id, w := range []model.Workspace{"a", "b", "a", "b", "b", "b"} {
		weight := int64(w[0]-'a') + 1
		s.Apply(0, &Event{Kind: EventEnqueue, ID: uint64(id), Upstream: "u", Workspace: w, Weight: weight, Deadline: 1000 * ms}, nil)
	}
	running := uint64(1)
	for now := 100 * ms; now < 103*ms; now += ms {
		got := s.Apply(now, &Event{Kind: EventFinished, ID: running}, nil)
		if len(got) != 1 || got[0].Kind != EffectRun || got[0].ID == 2 {
			t.Fatalf("at %v: got %+v, want a request of b to run", now, got)
		}
		running = got[0].ID
	}
}

// BenchmarkEvents measures alternating EventEnqueue and EventFinished. Eight
// workspaces keep every slot busy and 64 requests waiting.
func BenchmarkEvents(b *testing.B) {
	s := New(Config{})
	s.Apply(0, &Event{Kind: EventUpstreamSet, Upstream: "u", Slots: 5}, nil)
	var workspaces []model.Workspace
	for i := range 8 {
		workspaces = append(workspaces, model.Workspace("workspace"+strconv.Itoa(i)))
	}
	out := make([]Effect, 0, 16)
	running := make([]uint64, 0, 128)
	first, next := 0, uint64(0)
	now := model.Time(0)
	step := func(ev *Event) {
		now += 1000
		out = s.Apply(now, ev, out[:0])
		for _, e := range out {
			running = append(running, e.ID)
		}
	}
	enqueue := func() {
		next++
		step(&Event{Kind: EventEnqueue, ID: next, Upstream: "u", Workspace: workspaces[next%8], Deadline: 1 << 60})
	}
	for range 69 {
		enqueue()
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%2 == 0 {
			enqueue()
			continue
		}
		id := running[first]
		first++
		if first == 64 {
			running = append(running[:0], running[first:]...)
			first = 0
		}
		step(&Event{Kind: EventFinished, ID: id})
	}
}
