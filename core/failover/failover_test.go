package failover

import (
	"slices"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

const tickInterval = 20 * time.Millisecond

var (
	term1 = model.Term{Counter: 1, Proposer: "other"}
	term2 = model.Term{Counter: 2, Proposer: "other"}
)

// fixture is a watcher of the upstreams a, b and c. Each answers with its entry
// in status; an upstream without an entry does not answer.
type fixture struct {
	*State
	now     model.Time
	status  map[model.UpstreamID]*dbgroup.Status
	config  Event
	effects []Effect
	// onTick is called before each tick.
	onTick func()
	// primaryGrowth is the number of log entries that upstream a adds per tick.
	primaryGrowth model.LogPos
}

func newFixture() *fixture {
	f := &fixture{State: New("vm1", 1), now: model.Time(time.Hour), onTick: func() {}}
	f.status = map[model.UpstreamID]*dbgroup.Status{
		"a": {Role: dbgroup.Primary, Promised: term1, LastTerm: term1, Received: 10},
		"b": {Promised: term1, LastTerm: term1, Received: 10},
		"c": {Promised: term1, LastTerm: term1, Received: 10},
	}
	f.config = Event{Kind: GroupConfigured, Watcher: true, Peers: []model.VMID{"vm2", "vm3"}}
	f.config.Upstreams = []Upstream{{ID: "a", Zone: "z1", Holder: "vm1"}, {ID: "b", Zone: "z2"}, {ID: "c", Zone: "z1"}}
	f.apply(f.config)
	return f
}

// apply passes an event to the watcher and answers the requests that it sends to
// upstreams.
func (f *fixture) apply(ev Event) {
	ev.Database = "db"
	for _, e := range f.Apply(f.now, &ev, nil) {
		f.effects = append(f.effects, e)
		st := f.status[e.Upstream]
		switch {
		case e.Kind == CloseWriteGate:
			f.apply(Event{Kind: WritesDrained})
		case st != nil:
			f.answer(&e, st)
		}
	}
}

// answer performs a request on an upstream and passes the response to the watcher.
func (f *fixture) answer(e *Effect, st *dbgroup.Status) {
	switch e.Kind {
	case SendStatus:
		f.apply(Event{Kind: StatusAnswered, Upstream: e.Upstream, SentAt: f.now, Status: *st})
	case SendFence:
		st.Promised, st.Role = e.Term, dbgroup.Fenced
		f.apply(Event{Kind: FenceAnswered, Upstream: e.Upstream, Term: e.Term, Status: *st})
	case SendPromote:
		st.Role, st.LastTerm, st.Received = dbgroup.Primary, e.Term, st.Received+1
		f.apply(Event{Kind: PromoteAnswered, Upstream: e.Upstream, Term: e.Term, Status: *st})
	case SendFollow:
		*st = *f.status[e.Primary]
		st.Role = dbgroup.Replica
	}
}

// run advances the time until the first effect of the kind or, without one, by d.
// It returns how long that took.
func (f *fixture) run(d time.Duration, kind EffectKind) time.Duration {
	f.effects = nil
	for start := f.now; ; {
		if f.find(kind) != nil || f.now.Sub(start) >= d {
			return f.now.Sub(start)
		}
		f.now = f.now.Add(tickInterval)
		f.onTick()
		if f.status["a"] != nil {
			f.status["a"].Received += f.primaryGrowth
		}
		f.apply(Event{Kind: Tick, Seed: uint64(f.now)})
	}
}

func (f *fixture) find(kind EffectKind) *Effect {
	i := slices.IndexFunc(f.effects, func(e Effect) bool { return e.Kind == kind })
	if i < 0 {
		return nil
	}
	return &f.effects[i]
}

// noEffect is a kind that matches no effect.
const noEffect = EffectKind(255)

// TestDetection guards against a lost primary that is not replaced in time, a
// healthy primary that is replaced, and a candidate that lacks log entries.
func TestDetection(t *testing.T) {
	stopPrimary := func(f *fixture) { delete(f.status, "a") }
	reportFrom := func(f *fixture, id model.VMID, age time.Duration) {
		f.apply(Event{Kind: PeerHealth, From: id, Primary: "a", Term: term1, Age: age})
	}
	cases := []struct {
		name    string
		fault   func(f *fixture)
		primary model.UpstreamID
	}{
		{"healthy", func(*fixture) {}, "a"},
		{"silent", func(f *fixture) { stopPrimary(f); f.status["b"].Received = 11 }, "b"},
		{"same zone preferred among equal logs", stopPrimary, "c"},
		{"primary answers both peers", func(f *fixture) {
			stopPrimary(f)
			f.onTick = func() { reportFrom(f, "vm2", 0); reportFrom(f, "vm3", 0) }
		}, "a"},
		{"primary answers one of two peers", func(f *fixture) {
			stopPrimary(f)
			f.onTick = func() { reportFrom(f, "vm2", 0); reportFrom(f, "vm3", time.Second) }
		}, "c"},
		{"only a minority answers", func(f *fixture) { stopPrimary(f); delete(f.status, "b") }, "a"},
		{"this VM was paused", func(f *fixture) { stopPrimary(f); f.now += model.Time(time.Minute) }, "a"},
		{"primary partitioned from its replicas", func(f *fixture) { f.primaryGrowth = 1 }, "c"},
		{"majority fenced by a proposer that stopped", func(f *fixture) {
			f.status["b"].Promised, f.status["b"].Role = term2, dbgroup.Fenced
			f.status["c"].Promised, f.status["c"].Role = term2, dbgroup.Fenced
		}, "c"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.run(time.Second, noEffect)
			before := f.now
			c.fault(f)
			limit := 2 * DefaultDetect
			if f.now != before {
				limit = DefaultDetect - tickInterval
			}
			f.run(limit, SendPromote)
			if p, _ := f.Primary("db"); p != c.primary {
				t.Errorf("primary is %q, want %q; effects %+v", p, c.primary, f.effects)
			}
			fenced := f.find(SendFence) != nil
			if want := c.primary != "a"; fenced != want {
				t.Errorf("SendFence emitted: %v, want %v", fenced, want)
			}
		})
	}
}

// TestFlappingPrimary guards against changes of the primary in quick succession:
// detecting the loss of a primary that was promoted only recently takes longer, by
// one detection time.
func TestFlappingPrimary(t *testing.T) {
	f := newFixture()
	f.run(time.Second, noEffect)
	delete(f.status, "a")
	first := f.run(time.Minute, SendFence)
	f.run(time.Second, noEffect)
	lost, _ := f.Primary("db")
	f.status["a"] = &dbgroup.Status{Promised: term1, LastTerm: term1, Received: 10}
	f.run(time.Second, noEffect)
	delete(f.status, lost)
	if second := f.run(time.Minute, SendFence); second < first+DefaultDetect {
		t.Errorf("first loss detected after %v, second loss after %v; want one detection time more", first, second)
	}
}

// TestOldPrimaryFollows guards against a former primary that comes back and is
// not made a replica of the new one.
func TestOldPrimaryFollows(t *testing.T) {
	f := newFixture()
	f.run(time.Second, noEffect)
	old := f.status["a"]
	delete(f.status, "a")
	f.run(2*DefaultDetect, SendPromote)
	f.status["a"] = old
	f.run(time.Second, SendFollow)
	e := f.find(SendFollow)
	primary, term := f.Primary("db")
	if e == nil || e.Upstream != "a" || e.Primary != primary || e.Term != term {
		t.Errorf("first SendFollow is %+v, want one that makes a follow the new primary", e)
	}
}

// TestSwitchover guards against a switchover that does not drain writes, a write
// gate that stays closed, and an unknown target that is accepted.
func TestSwitchover(t *testing.T) {
	f := newFixture()
	f.run(time.Second, noEffect)
	f.onTick = func() {
		f.onTick = func() {}
		f.apply(Event{Kind: SwitchoverRequested, Target: "b"})
	}
	f.run(time.Second, OpenWriteGate)
	f.effects = slices.DeleteFunc(f.effects, func(e Effect) bool {
		return e.Kind != SendPromote && e.Kind < SwitchoverBegun
	})
	var kinds []EffectKind
	for _, e := range f.effects {
		kinds = append(kinds, e.Kind)
	}
	want := []EffectKind{SwitchoverBegun, CloseWriteGate, SendPromote, SwitchoverFinished, OpenWriteGate}
	if p, _ := f.Primary("db"); p != "b" || !slices.Equal(kinds, want) {
		t.Errorf("primary is %q, want b, or wrong order of the effects: %v", p, kinds)
	}
	f.apply(Event{Kind: SwitchoverRequested, Target: "x"})
	if e := f.find(SwitchoverFailed); e == nil || e.Reason != ReasonNoCandidate {
		t.Errorf("switchover to an unknown target: got %+v, want ReasonNoCandidate", e)
	}
}

// TestSwitchoverTimeout guards against writes that stay blocked because the
// target does not catch up.
func TestSwitchoverTimeout(t *testing.T) {
	f := newFixture()
	f.run(time.Second, noEffect)
	f.status["a"].Received++
	f.status["c"].Received++
	f.apply(Event{Kind: SwitchoverRequested, Target: "b"})
	took := f.run(time.Minute, OpenWriteGate)
	if e := f.find(SwitchoverFailed); e == nil || e.Reason != ReasonNotDrained || took > drainTimeout {
		t.Errorf("after %v: got %+v, want ReasonNotDrained within drainTimeout", took, e)
	}
}

// TestAutoSwitchover guards against a primary that stays in a drained zone, and
// against a switchover to a target that is leaving.
func TestAutoSwitchover(t *testing.T) {
	f := newFixture()
	f.run(time.Second, noEffect)
	f.config.Upstreams = slices.Clone(f.config.Upstreams)
	f.config.Upstreams[0].Drained = true
	f.config.Upstreams[2].Leaving = true
	f.apply(f.config)
	f.run(time.Second, SwitchoverFinished)
	if p, _ := f.Primary("db"); p != "b" {
		t.Errorf("primary is %q, want b", p)
	}
}
