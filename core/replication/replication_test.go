package replication

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

const ms = model.Time(time.Millisecond)

// apply applies an event of the group "db".
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

// answerAll applies the statuses of a, b and c for a round; a is the primary of
// its term.
func answerAll(s *State, now model.Time, round uint64, a, b, c dbgroup.Status) []Effect {
	a.Role = dbgroup.Primary
	var out []Effect
	for i, st := range []dbgroup.Status{a, b, c} {
		u := model.UpstreamID('a' + rune(i))
		out = append(out, apply(s, now, Event{Kind: StatusAnswered, Upstream: u, Round: round, Status: st})...)
	}
	return out
}

// TestReadCheck guards against delaying or refusing a read that the last round
// allows, and against admitting one that it does not allow.
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
		{"primary with a floor above its last reported position", func(ev *Event) { ev.Upstream, ev.Floor = "a", at(1, 11) }, true},
		{"round older than the freshness bound", func(ev *Event) { ev.MaxAge = time.Nanosecond }, false},
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
				t.Errorf("read admitted: %v, want %v", allowed, c.allowed)
			}
			if !c.allowed && find(out, PollRound) == nil {
				t.Error("no round started for a waiting read")
			}
		})
	}
}

// TestNoFloorTakesConfirmedPosition guards against a read of a new session that
// returns no floor, or a floor that the replica has not applied.
func TestNoFloorTakesConfirmedPosition(t *testing.T) {
	s := confirmedState(0)
	ev := readCheck(7, "b", 0)
	ev.HasFloor = false
	round := find(apply(s, ms, ev), PollRound).Round
	out := answerAll(s, 2*ms, round, status(0, 1, 12), status(0, 1, 12), status(0, 1, 12))
	e := find(out, ReadAdmitted)
	if e == nil || e.Floor.Pos != 12 || e.Applied.Pos != 12 {
		t.Errorf("effect %+v, want ReadAdmitted with floor and applied position 12", e)
	}
}

// TestPrimaryOnlyIsRefusedElsewhere guards against admitting a write, or a read
// with MaxAge 0, on a replica.
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
			t.Errorf("event kind %d: effect %+v, want a refusal with ReasonNotPrimary", kind, e)
		}
	}
}

// TestAcknowledgement guards against acknowledging a write that a later term may
// discard, and against not acknowledging a committed write.
func TestAcknowledgement(t *testing.T) {
	fenced := status(dbgroup.Fenced, 1, 11)
	fenced.Promised = term(2)
	cases := []struct {
		name    string
		a, b, c dbgroup.Status
		want    EffectKind
	}{
		{"replicated to a majority", status(0, 1, 11), status(0, 1, 11), status(0, 1, 10), WriteAcknowledged},
		{"only on the primary", status(0, 1, 11), status(0, 1, 10), status(0, 1, 10), RoundConfirmed},
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
					t.Errorf("effects %+v do not match the expected outcome", out)
				}
			}
			late := find(apply(s, 9*ms, Event{Kind: Tick}), WriteUnknown)
			if (late != nil) != (c.want == RoundConfirmed) {
				t.Errorf("effect at the deadline: %+v, want WriteUnknown if and only if the write was still waiting", late)
			}
		})
	}
}

// TestPolling guards against a round for each waiting request, against rounds
// without an interval while a replica lags, and against polling an idle group.
func TestPolling(t *testing.T) {
	s := confirmedState(0)
	if out := apply(s, 500*ms, Event{Kind: Tick}); len(out) != 0 {
		t.Errorf("idle group polled: %+v", out)
	}
	first := find(apply(s, 500*ms, readCheck(1, "b", 12)), PollRound)
	if second := find(apply(s, 501*ms, readCheck(2, "b", 12)), PollRound); first == nil || second != nil {
		t.Fatalf("rounds %+v and %+v, want only the first", first, second)
	}
	if at := s.NextTick(501 * ms); at != (500 * ms).Add(unconfirmedInterval) {
		t.Errorf("next tick at %v, want it unconfirmedInterval after the start of the running round", at)
	}
	// The second check arrived after the round had started.
	out := answerAll(s, 502*ms, first.Round, status(0, 1, 12), status(0, 1, 11), status(0, 1, 12))
	next := find(out, PollRound)
	if next == nil {
		t.Fatal("no round for the check that arrived after the first one started")
	}
	out = answerAll(s, 503*ms, next.Round, status(0, 1, 12), status(0, 1, 11), status(0, 1, 12))
	if find(out, PollRound) != nil {
		t.Error("round started without an interval while the replica lags")
	}
	if at := s.NextTick(503 * ms); at != (502 * ms).Add(catchUpInterval) {
		t.Errorf("next tick at %v, want it catchUpInterval after the start of the last round", at)
	}
	apply(s, 503*ms, Event{Kind: Canceled, ID: 1})
	out = apply(s, 510*ms, Event{Kind: GroupRemoved})
	if e := find(out, ReadRefused); len(out) != 1 || e == nil || e.ID != 2 {
		t.Errorf("effects %+v of removing the group, want one ReadRefused for check 2", out)
	}
}
