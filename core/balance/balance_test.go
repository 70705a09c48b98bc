package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const ms = model.Time(time.Millisecond)

// report gives s figures of an upstream that were made at t.
func report(t *testing.T, s *State, at model.Time, id model.UpstreamID, inFlight int, arrivals uint64, service time.Duration) {
	t.Helper()
	if d := s.Report(at, id, &Figures{Source: "h", At: at, InFlight: inFlight, Arrivals: arrivals, ServiceTime: service}); d != Accepted {
		t.Fatalf("figures dropped as %v", d)
	}
}

func candidates(ids ...model.UpstreamID) []Candidate {
	var list []Candidate
	for i, id := range ids {
		list = append(list, Candidate{Upstream: id, Index: i, Slots: 4})
	}
	return list
}

// shares returns how often each candidate is chosen among n reads of different workspaces.
func shares(s *State, now model.Time, n int, list func() []Candidate) map[model.UpstreamID]float64 {
	counts := map[model.UpstreamID]float64{}
	for i := range n {
		l := list()
		s.Choose(now, &Read{Group: "g", Workspace: fmt.Sprint("w", i)}, uint64(i), l)
		counts[l[0].Upstream] += 1 / float64(n)
	}
	return counts
}

// Guards against figures of another VM that are trusted although they cannot be true, or
// that are fatal.
func TestImplausibleFiguresAreDropped(t *testing.T) {
	now := 10_000 * ms
	for _, c := range []struct {
		name   string
		change func(*Figures)
		want   Dropped
	}{
		{"plausible", func(*Figures) {}, Accepted},
		{"negative count", func(f *Figures) { f.InFlight = -1 }, Malformed},
		{"absurd count", func(f *Figures) { f.InFlight = math.MaxInt32 }, Malformed},
		{"negative time", func(f *Figures) { f.ServiceTime = -1 }, Malformed},
		{"absurd time", func(f *Figures) { f.ServiceTime = time.Hour }, Malformed},
		{"absurd arrivals", func(f *Figures) { f.Arrivals = math.MaxUint64 }, Malformed},
		{"future", func(f *Figures) { f.At = now + 1 }, FromFuture},
		{"too old", func(f *Figures) { f.At = now - model.Time(maxFigureAge) - 1 }, Outdated},
		{"older than known", func(f *Figures) { f.At = now - 200*ms }, Outdated},
	} {
		s := New()
		report(t, s, now-100*ms, "a", 3, 1000, 20*time.Millisecond)
		before := *s.upstreams["a"]
		f := Figures{Source: "h", At: now, InFlight: 5, Arrivals: 1010, ServiceTime: 30 * time.Millisecond}
		c.change(&f)
		if got := s.Report(now, "a", &f); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if c.want != Accepted && *s.upstreams["a"] != before {
			t.Errorf("%s: dropped figures changed the state", c.name)
		}
	}
}

// Guards against all VMs sending everything to the upstream that looked idle when old
// figures were made: the older they are, the nearer the shares are to the speeds.
func TestOlderFiguresCountLess(t *testing.T) {
	share := func(age time.Duration) float64 {
		s := New()
		for _, id := range []model.UpstreamID{"busy", "idle"} {
			report(t, s, 1*ms, id, 0, 0, 20*time.Millisecond)
			report(t, s, 501*ms, id, map[model.UpstreamID]int{"busy": 12, "idle": 0}[id], 50, 20*time.Millisecond)
		}
		list := candidates("busy", "idle")
		s.Choose(501*ms+model.Time(age), &Read{Group: "g", Workspace: "w"}, 1, list)
		s.fill(2)
		return s.items[0].share
	}
	// Items are in order of their estimates, so the first is the idle upstream.
	fresh, old := share(10*time.Millisecond), share(800*time.Millisecond)
	if fresh < 0.9 || old > 0.6 {
		t.Errorf("share of the idle upstream %.2f by fresh figures, %.2f by old ones; want above 0.9 and below 0.6", fresh, old)
	}
}

// Guards against an upstream that takes all reads of all VMs when it returns, and against
// one that gets none.
func TestReturningUpstreamStartsSlowly(t *testing.T) {
	s, now := New(), 1000*ms
	list := func() []Candidate { return candidates("a", "b", "c") }
	for _, id := range []model.UpstreamID{"a", "b"} {
		report(t, s, now, id, 1, 0, 20*time.Millisecond)
	}
	shares(s, now, 1, func() []Candidate { return candidates("a", "b") })
	now += 10 * ms
	first := shares(s, now, 3000, list)["c"]
	full := shares(s, now+model.Time(rampTime), 3000, list)["c"]
	if first < 0.01 || first > 1.5*minRamp/3 || full < 0.25 || full > 0.45 {
		t.Errorf("share %.3f on return and %.3f after the slow start, want about %.3f and 0.333", first, full, minRamp/3)
	}
}

// Guards against an upstream that keeps its share after it has become slow or fails
// statements, one that gets nothing any more, and one that stays without reads after
// it has recovered.
func TestSlowOrFailingUpstreamKeepsASmallShare(t *testing.T) {
	for _, fault := range []string{"slow", "failing"} {
		s, list := New(), func() []Candidate { return candidates("a", "b") }
		for i := range uint64(20) {
			now := model.Time(i+1) * 50 * ms
			report(t, s, now, "a", 1, 10*i, 20*time.Millisecond)
			report(t, s, now, "b", 1, 10*i, 20*time.Millisecond)
		}
		now := 1000 * ms
		if fault == "slow" {
			report(t, s, now, "b", 4, 200, 100*time.Millisecond)
		} else {
			for range 8 {
				s.Outcome(now, "b", true)
			}
		}
		bad := shares(s, now, 2000, list)["b"]
		if bad < probeShare/4 || bad > 0.35 {
			t.Errorf("%s: share %.3f, want a small one", fault, bad)
		}
		for range 20 {
			s.Outcome(now, "b", false)
		}
		report(t, s, now+20*ms, "b", 1, 200, 20*time.Millisecond)
		if good := shares(s, now+20*ms, 2000, list)["b"]; good < 0.4 {
			t.Errorf("%s: share %.3f after its answers are good again", fault, good)
		}
	}
}

// Guards against workspaces that wander between upstreams of equal load and open
// connections everywhere.
func TestWorkspaceKeepsToItsUpstream(t *testing.T) {
	s, now := New(), 1000*ms
	for _, id := range []model.UpstreamID{"a", "b"} {
		report(t, s, now, id, 1, 0, 20*time.Millisecond)
	}
	for w := range 20 {
		var first model.UpstreamID
		for seed := range uint64(50) {
			list := candidates("a", "b")
			cause := s.Choose(now, &Read{Group: "g", Workspace: fmt.Sprint("w", w)}, seed, list)
			if seed == 0 {
				first = list[0].Upstream
			}
			if cause != Affinity || list[0].Upstream != first || list[0].Probability != 1 {
				t.Fatalf("workspace %d: %v on %s after %s", w, cause, list[0].Upstream, first)
			}
		}
	}
}

// Guards against reads that wait for overloaded replicas beside an idle primary, and
// against reads that take the primary's slots from writes: a burst at the replicas.
func TestPrimaryTakesABoundedPartOfABurst(t *testing.T) {
	play := func(replicas, primary int, objective time.Duration) (share float64) {
		s, now := New(), 1000*ms
		list := func() []Candidate {
			l := candidates("p", "a", "b")
			l[0].Rank, l[0].Primary = 1, true
			return l
		}
		shares(s, now, 1, list)
		report(t, s, now, "a", replicas, 0, 20*time.Millisecond)
		report(t, s, now, "b", replicas, 0, 20*time.Millisecond)
		report(t, s, now, "p", primary, 0, 20*time.Millisecond)
		for i := range 1000 {
			l := list()
			s.Choose(now, &Read{Group: "g", Workspace: fmt.Sprint("w", i), Objective: objective}, uint64(i), l)
			if l[0].Upstream == "p" {
				share += 0.001
			}
		}
		return share
	}
	const objective = 250 * time.Millisecond
	for _, c := range []struct {
		name              string
		replicas, primary int
		objective         time.Duration
		least, most       float64
	}{
		{"replicas are not overloaded", 4, 0, objective, 0, 0},
		{"replicas are overloaded", 12, 0, objective, 0.05, 1},
		{"the primary is busy with writes", 12, 3, objective, 0, 0},
		{"callers have time", 12, 0, 10 * time.Second, 0, 0},
		{"no objective", 12, 0, 0, 0, 0},
	} {
		if got := play(c.replicas, c.primary, c.objective); got < c.least || got > c.most {
			t.Errorf("%s: the primary gets %.3f of the reads, want %.2f to %.2f", c.name, got, c.least, c.most)
		}
	}
}

// Guards against decisions that differ for the same input, and against an explanation
// that changes the state or names another upstream than the choice.
func TestExplainMatchesTheChoiceAndChangesNothing(t *testing.T) {
	build := func() *State {
		s := New()
		shares(s, 900*ms, 1, func() []Candidate { return candidates("a", "b", "c") })
		report(t, s, 1000*ms, "a", 9, 0, 20*time.Millisecond)
		report(t, s, 1000*ms, "b", 1, 0, 30*time.Millisecond)
		report(t, s, 1000*ms, "c", 2, 0, 15*time.Millisecond)
		return s
	}
	explained, plain := build(), build()
	causes := map[Cause]bool{}
	for seed := range uint64(300) {
		now, r := 1000*ms+model.Time(seed)*ms, Read{Group: "g", Workspace: fmt.Sprint("w", seed%29), Objective: 250 * time.Millisecond}
		for _, s := range []*State{explained, plain} {
			switch seed {
			case 150:
				s.Forget("b")
			case 200:
				for _, id := range []model.UpstreamID{"a", "b", "c"} {
					report(t, s, now, id, 40, 0, 20*time.Millisecond)
				}
			}
		}
		list := func() []Candidate {
			l := candidates("a", "b", "c", "p")
			l[3].Rank, l[3].Primary = 1, true
			return l
		}
		e, got, want := list(), list(), list()
		cause := explained.Explain(now, &r, seed, e)
		sum := 0.0
		for i := range e {
			sum += e[i].Probability
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("seed %d: probabilities add up to %v", seed, sum)
		}
		c := explained.Choose(now, &r, seed, got)
		causes[c] = true
		if c != plain.Choose(now, &r, seed, want) || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("seed %d: %v after an explanation, %v without", seed, got, want)
		}
		if seed != 150 && (c != cause || e[0].Upstream != got[0].Upstream) {
			t.Fatalf("seed %d: explained %s (%v), chosen %s (%v)", seed, e[0].Upstream, cause, got[0].Upstream, c)
		}
	}
	for _, c := range []Cause{Affinity, Estimate, SlowStart, Overflow} {
		if !causes[c] {
			t.Errorf("no choice by %v", c)
		}
	}
}

// benchmarkState returns a state with figures of 24 upstreams of one group.
func benchmarkState() (*State, []Candidate) {
	s, list := New(), []Candidate{}
	for i := range 24 {
		id := model.UpstreamID(fmt.Sprint("i-", i))
		list = append(list, Candidate{Upstream: id, Slots: 4})
		for k := range 3 {
			at := model.Time(k+1) * 100 * ms
			s.Report(at, id, &Figures{Source: "h", At: at, InFlight: (i * 7) % 11, Arrivals: uint64(k * 10), ServiceTime: time.Duration(15+i) * time.Millisecond})
		}
	}
	return s, list
}

// BenchmarkChoose measures a choice among 24 upstreams of the same rank.
func BenchmarkChoose(b *testing.B) {
	s, list := benchmarkState()
	r, seed := Read{Group: "g", Workspace: "w"}, uint64(0)
	buffer := make([]Candidate, len(list))
	b.ReportAllocs()
	for b.Loop() {
		seed++
		copy(buffer, list)
		s.Choose(500*ms, &r, seed, buffer)
	}
}

// Guards against allocations on the path of each read.
func TestChoiceDoesNotAllocate(t *testing.T) {
	s, list := benchmarkState()
	r, seed := Read{Group: "g", Workspace: "w"}, uint64(0)
	n := testing.AllocsPerRun(1000, func() {
		seed++
		s.Choose(500*ms, &r, seed, list)
		s.Sent(list[0].Upstream)
		s.Answered(500*ms, list[0].Upstream, &Answer{Latency: time.Millisecond, Spent: time.Microsecond})
		s.Report(500*ms, list[0].Upstream, &Figures{Source: "h", At: 500 * ms, InFlight: 1, Arrivals: 40, ServiceTime: time.Millisecond})
	})
	if n != 0 {
		t.Errorf("a read makes %v allocations, want 0", n)
	}
}
