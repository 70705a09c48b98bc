package replication

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// confirmedState returns a state whose group has one confirmed round.
func confirmedState(now model.Time) *State {
	s := New()
	ev := Event{Kind: GroupConfigured, Database: "db", Upstreams: []Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	round := s.Apply(now, &ev, nil)[0].Round
	for _, u := range []model.UpstreamID{"a", "b", "c"} {
		ev = Event{Kind: StatusAnswered, Database: "db", Upstream: u, Round: round, Status: status(dbgroup.Replica, 1, 10)}
		if u == "a" {
			ev.Status.Role = dbgroup.Primary
		}
		s.Apply(now, &ev, nil)
	}
	return s
}

// status returns the status of an upstream that has applied all entries of a term.
func status(role dbgroup.Role, counter uint64, pos model.LogPos) dbgroup.Status {
	t := term(counter)
	return dbgroup.Status{
		Role: role, Promised: t, LastTerm: t, TermStart: 1,
		Received: pos, Applied: pos, AppliedTerm: t,
	}
}

func term(counter uint64) model.Term { return model.Term{Counter: counter, Proposer: "p"} }

func readCheck(id uint64, u model.UpstreamID, pos model.LogPos) Event {
	return Event{
		Kind: ReadCheck, Database: "db", ID: id, Upstream: u, HasFloor: true,
		Floor: model.Position{Term: term(1), Pos: pos}, MaxAge: time.Second, Deadline: never,
	}
}

// BenchmarkReadCheck measures a read that the last round allows at once.
func BenchmarkReadCheck(b *testing.B) {
	s := confirmedState(0)
	ev := readCheck(1, "b", 10)
	out := make([]Effect, 0, 8)
	b.ReportAllocs()
	for b.Loop() {
		out = s.Apply(model.Time(time.Millisecond), &ev, out[:0])
	}
	if len(out) != 1 || out[0].Kind != ReadAdmitted {
		b.Fatalf("effects %+v, want one ReadAdmitted", out)
	}
}

// TestReadCheckDoesNotAllocate guards against allocations on the read path.
func TestReadCheckDoesNotAllocate(t *testing.T) {
	s := confirmedState(0)
	ev := readCheck(1, "b", 10)
	out := make([]Effect, 0, 8)
	n := testing.AllocsPerRun(1000, func() {
		out = s.Apply(model.Time(time.Millisecond), &ev, out[:0])
	})
	if n != 0 {
		t.Errorf("%v allocations per read check, want 0", n)
	}
}
