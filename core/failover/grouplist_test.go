package failover

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replication"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// Guards against lost commits after a change of the list of upstreams: the majority that
// acknowledged a commit under the old list and the majority that is fenced under the new one
// have to share an upstream.
func TestReplacedUpstreamLosesNoCommit(t *testing.T) {
	f := newFixture()
	f.status["b"].Received = 10
	f.run(time.Second, noEffect)
	// A commit at 11 is held by a and c, a majority of a, b and c: replication acknowledges it.
	r := replication.New()
	out := r.Apply(f.now, &replication.Event{Kind: replication.GroupConfigured, Database: "db", Upstreams: []replication.Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}}, nil)
	round := out[0].Round
	acked := false
	r.Apply(f.now, &replication.Event{Kind: replication.WriteWaiting, Database: "db", ID: 7, Position: model.Position{Term: term1, Pos: 11}, Deadline: f.now.Add(time.Second)}, nil)
	for u, p := range map[model.UpstreamID]model.LogPos{"a": 11, "b": 10, "c": 11} {
		st := dbgroup.Status{Promised: term1, LastTerm: term1, TermStart: 1, Received: p, Applied: p, AppliedTerm: term1}
		if u == "a" {
			st.Role = dbgroup.Primary
		}
		for _, e := range r.Apply(f.now, &replication.Event{Kind: replication.StatusAnswered, Database: "db", Upstream: u, Round: round, Status: st}, nil) {
			acked = acked || e.Kind == replication.WriteAcknowledged
		}
	}
	if !acked {
		t.Fatal("fixture: the write is not acknowledged")
	}
	f.status["a"].Received, f.status["c"].Received = 11, 11
	// The configuration replaces c by d, which has received as much as b; then a is lost.
	f.config.Upstreams = []Upstream{{ID: "a", Zone: "z1", Holder: "vm1"}, {ID: "b", Zone: "z2"}, {ID: "d", Zone: "z1"}}
	f.status["d"] = &dbgroup.Status{Promised: term1, LastTerm: term1, Received: 10}
	f.status["c"] = nil
	f.apply(f.config)
	if u := f.losePrimary(); u != "" {
		t.Fatalf("%s is promoted at 10 by the majority of b and d; 11 was acknowledged by a and c", u)
	}
}

// losePrimary lets upstream a stop answering all watchers for 4 s, and returns the first upstream
// that was promoted according to f.effects, or an empty ID.
func (f *fixture) losePrimary() model.UpstreamID {
	f.status["a"] = nil
	for i := 0; i < 200; i++ {
		f.now = f.now.Add(tickInterval)
		for _, p := range []model.VMID{"vm2", "vm3"} {
			f.apply(Event{Kind: PeerHealth, From: p, Primary: "a", Term: term1, Age: 5 * time.Second})
		}
		f.apply(Event{Kind: Tick, Seed: uint64(i)})
	}
	for _, e := range f.effects {
		if e.Kind == SendPromote {
			return e.Upstream
		}
	}
	return ""
}

// Guards against a database that has no primary for good after a change of its list of
// upstreams: the former list is needed only until the new one has what it acknowledged.
func TestReplacedUpstreamIsForgotten(t *testing.T) {
	f := newFixture()
	f.run(time.Second, noEffect)
	f.config.Upstreams = []Upstream{{ID: "a", Zone: "z1", Holder: "vm1"}, {ID: "b", Zone: "z2"}, {ID: "d", Zone: "z1"}}
	f.status["d"] = &dbgroup.Status{Promised: term1, LastTerm: term1, Received: 4}
	f.status["c"] = nil
	f.apply(f.config)
	f.run(formerListTime+time.Second, noEffect)
	f.status["d"].Received = 10
	f.run(2*time.Second, noEffect)
	f.effects = nil
	if f.losePrimary() == "" {
		t.Error("nothing was promoted after the loss of the primary")
	}
}

// Guards against a database that has no primary after an upstream was added to its list.
func TestAddedUpstreamDoesNotPreventAFailover(t *testing.T) {
	f := newFixture()
	f.run(time.Second, noEffect)
	f.config.Upstreams = append(f.config.Upstreams, Upstream{ID: "d", Zone: "z1"}, Upstream{ID: "e", Zone: "z2"})
	f.status["d"] = &dbgroup.Status{Promised: term1, LastTerm: term1, Received: 10}
	f.apply(f.config)
	f.effects = nil
	if f.losePrimary() == "" {
		t.Error("nothing was promoted after the loss of the primary, though majorities of both lists answer")
	}
}
