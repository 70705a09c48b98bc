package replication

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

const ms = model.Time(time.Millisecond)

// apply gives an event of the group "db" to the state.
func apply(s *State, now model.Time, ev Event) []Effect {
	ev.Database = "db"
	return s.Apply(now, &ev, nil)
}

// find returns the first effect of the kind.
func find(out []Effect, kind EffectKind) *Effect {
	for i := range out {
		if out[i].Kind == kind {
			return &out[i]
		}
	}
	return nil
}

// answerAll sends a round's statuses of a, b and c, where a is the primary of its term.
func answerAll(s *State, now model.Time, round uint64, a, b, c dbgroup.Status) []Effect {
	a.Role = dbgroup.Primary
	var out []Effect
	for i, st := range []dbgroup.Status{a, b, c} {
		u := model.UpstreamID('a' + rune(i))
		out = append(out, apply(s, now, Event{Kind: StatusAnswered, Upstream: u, Round: round, Status: st})...)
	}
	return out
}

// TestReadCheck guards against a read that the last round allows and that is
// refused or delayed, and against one that it does not allow.
func TestReadCheck(t *testing.T) {
	at := func(counter uint64, pos model.LogPos) model.Position {
		return model.Position{Term: term(counter), Pos: pos}
	}
	cases := []struct {
		name    string
		change  func(ev *Event)
		allowed bool
	}{
		{"replica at the floor", func(*Event) {}, true},
		{"replica below the floor", func(ev *Event) { ev.Floor = at(1, 11) }, false},
		{"position of an earlier term", func(ev *Event) { ev.Floor = at(0, 99) }, true},
		{"position of a later term", func(ev *Event) { ev.Floor = at(2, 1) }, false},
		{"primary has all of its term", func(ev *Event) { ev.Upstream, ev.Floor = "a", at(1, 11) }, true},
		{"older than its bound", func(ev *Event) { ev.MaxAge = time.Nanosecond }, false},
		{"no floor needs a new round", func(ev *Event) { ev.HasFloor = false }, false},
		{"primary only", func(ev *Event) { ev.Upstream, ev.MaxAge = "a", 0 }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := confirmedState(0)
			ev := readCheck(7, "b", 10)
			c.change(&ev)
			out := apply(s, ms, ev)
			if allowed := find(out, ReadAdmitted) != nil; allowed != c.allowed {
				t.Errorf("allowed=%v, want %v", allowed, c.allowed)
			}
			if !c.allowed && find(out, PollRound) == nil {
				t.Error("nothing was polled for a read that waits")
			}
		})
	}
}

// TestNoFloorTakesConfirmedPosition guards against a new session that gets no
// position or one that the replica has not reached.
func TestNoFloorTakesConfirmedPosition(t *testing.T) {
	s := confirmedState(0)
	ev := readCheck(7, "b", 0)
	ev.HasFloor = false
	round := find(apply(s, ms, ev), PollRound).Round
	out := answerAll(s, 2*ms, round, status(0, 1, 12), status(0, 1, 12), status(0, 1, 12))
	e := find(out, ReadAdmitted)
	if e == nil || e.Floor.Pos != 12 || e.Applied.Pos != 12 {
		t.Errorf("got %+v", e)
	}
}

// TestPrimaryOnlyIsRefusedElsewhere guards against a read with a bound of 0 on
// a replica, and a write there.
func TestPrimaryOnlyIsRefusedElsewhere(t *testing.T) {
	for _, kind := range []EventKind{ReadCheck, WriteCheck} {
		s := confirmedState(0)
		round := find(apply(s, ms, Event{Kind: kind, ID: 7, Upstream: "b", Deadline: never}), PollRound).Round
		out := answerAll(s, 2*ms, round, status(0, 1, 10), status(0, 1, 10), status(0, 1, 10))
		e := find(out, ReadRefused)
		if kind == WriteCheck {
			e = find(out, WriteRefused)
		}
		if e == nil || e.Reason != ReasonNotPrimary {
			t.Errorf("kind %d: got %+v", kind, e)
		}
	}
}

// TestAcknowledgement guards against a success that is not certain, and
// against one that is certain and not reported.
func TestAcknowledgement(t *testing.T) {
	fenced := status(dbgroup.Fenced, 1, 11)
	fenced.Promised = term(2)
	cases := []struct {
		name    string
		a, b, c dbgroup.Status
		want    EffectKind
	}{
		{"held by two", status(0, 1, 11), status(0, 1, 11), status(0, 1, 10), WriteAcknowledged},
		{"held by the primary", status(0, 1, 11), status(0, 1, 10), status(0, 1, 10), RoundConfirmed},
		{"fenced upstream does not count", status(0, 1, 11), fenced, status(0, 1, 10), RoundConfirmed},
		{"newer term", status(0, 2, 11), status(0, 2, 11), status(0, 2, 11), WriteUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := confirmedState(0)
			p := model.Position{Term: term(1), Pos: 11}
			round := find(apply(s, ms, Event{Kind: WriteWaiting, ID: 7, Position: p, Deadline: 9 * ms}), PollRound).Round
			out := answerAll(s, 2*ms, round, c.a, c.b, c.c)
			for _, kind := range []EffectKind{WriteAcknowledged, WriteUnknown} {
				if (find(out, kind) != nil) != (c.want == kind) {
					t.Errorf("got %+v", out)
				}
			}
			late := find(apply(s, 9*ms, Event{Kind: Tick}), WriteUnknown)
			if (late != nil) != (c.want == RoundConfirmed) {
				t.Errorf("at the deadline: %+v", late)
			}
		})
	}
}

// TestPolling guards against a round for each waiter, rounds without a pause
// while a replica lags, and polls of an idle group.
func TestPolling(t *testing.T) {
	s := confirmedState(0)
	if out := apply(s, 500*ms, Event{Kind: Tick}); len(out) != 0 {
		t.Errorf("an idle group is polled: %+v", out)
	}
	first := find(apply(s, 500*ms, readCheck(1, "b", 12)), PollRound)
	if second := find(apply(s, 501*ms, readCheck(2, "b", 12)), PollRound); first == nil || second != nil {
		t.Fatalf("rounds %+v and %+v, want one", first, second)
	}
	if at := s.NextTick(501 * ms); at != (500 * ms).Add(unconfirmedInterval) {
		t.Errorf("next round at %v although one is under way", at)
	}
	// The second check arrived after the round had started.
	out := answerAll(s, 502*ms, first.Round, status(0, 1, 12), status(0, 1, 11), status(0, 1, 12))
	next := find(out, PollRound)
	if next == nil {
		t.Fatal("no round for the check that arrived later")
	}
	out = answerAll(s, 503*ms, next.Round, status(0, 1, 12), status(0, 1, 11), status(0, 1, 12))
	if find(out, PollRound) != nil {
		t.Error("no pause while the replica lags")
	}
	if at := s.NextTick(503 * ms); at != (502 * ms).Add(catchUpInterval) {
		t.Errorf("next tick at %v", at)
	}
	apply(s, 503*ms, Event{Kind: Abandoned, ID: 1})
	out = apply(s, 510*ms, Event{Kind: GroupRemoved})
	if e := find(out, ReadRefused); len(out) != 1 || e == nil || e.ID != 2 {
		t.Errorf("got %+v", out)
	}
}
