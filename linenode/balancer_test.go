package linenode

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/holderlink"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// newBalanceFixture returns a forwarder whose VM uses a holder for the upstreams i-0 to
// i-4 of the service s, of which i-0 is the primary.
func newBalanceFixture(t *testing.T) (*forwarder, holderVM) {
	_, f, h := startHolder(t)
	await(t, "connected", func() bool { return f.usable(h) != nil })
	f.cluster.forward = f
	var list []replicaset.Registration
	for i := range 5 {
		list = append(list, replicaset.Registration{
			ID: model.UpstreamID(fmt.Sprint("i-", i)), Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 1 + i%3, Primary: i == 0,
		})
	}
	now := boottime.Now()
	f.cluster.Observe(&replicaset.Event{Kind: replicaset.EventRegistrations, Registrations: list, SentAt: now})
	f.cluster.Observe(&replicaset.Event{Kind: replicaset.EventPrimary, Service: "s", Upstream: "i-0", Term: 1})
	return f, h
}

// Guards against a default mode that orders reads by anything but rank and the latency
// measured through the holder, increased by the statements in flight per slot.
func TestDefaultModeOrdersByLeastEstimate(t *testing.T) {
	f, _ := newBalanceFixture(t)
	if f.balancer != nil {
		t.Fatal("reads are balanced evenly without the setting")
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for round := range 300 {
		loads := map[model.UpstreamID]float64{}
		for i := range 5 {
			id := model.UpstreamID(fmt.Sprint("i-", i))
			f.forget(id)
			f.cluster.Observe(&replicaset.Event{Kind: replicaset.EventServed, Upstream: id})
			if rng.IntN(4) == 0 {
				continue
			}
			if rng.IntN(4) == 0 {
				f.cluster.Observe(&replicaset.Event{Kind: replicaset.EventFailed, Upstream: id})
			}
			latency, inFlight := time.Duration(rng.IntN(50_000))*time.Microsecond, rng.IntN(9)
			f.recordLatency(id, latency, &upstreamrun.Outcome{}, &holderlink.Report{InFlight: inFlight})
			loads[id] = float64(latency.Microseconds()) / 1000 * (1 + float64(inFlight)/float64(1+i%3))
		}
		got := f.cluster.ReadCandidates(&catalog.Route{Service: "s", TargetLatency: 250 * time.Millisecond}, model.Position{}, "w")
		want := slices.Clone(got)
		slices.SortFunc(want, func(a, b replicaset.Candidate) int {
			return cmp.Or(cmp.Compare(a.Rank(), b.Rank()), cmp.Compare(loads[a.ID], loads[b.ID]), cmp.Compare(a.ID, b.ID))
		})
		for i := range got {
			if len(got) != 5 || got[i].ID != want[i].ID || got[i].Choice != (replicaset.Choice{}) {
				t.Fatalf("round %d: candidate %d is %s, want %s by loads %v", round, i, got[i].ID, want[i].ID, loads)
			}
		}
	}
}

// Guards against an order that breaks the ranks, an explanation without figures, and one
// that sends anything or changes the next choice.
func TestEvenModeOrdersWithinRanksAndExplains(t *testing.T) {
	f, h := newBalanceFixture(t)
	f.balancer = newBalancer("vm-1", 1, f.cluster.registry)
	route := &catalog.Route{Service: "s", TargetLatency: 250 * time.Millisecond}
	f.cluster.Observe(&replicaset.Event{Kind: replicaset.EventFailed, Upstream: "i-4"})
	for i := range 4 {
		call := &holderCall{holder: h, upstream: model.UpstreamID(fmt.Sprint("i-", i)), sentAt: boottime.Now().Add(-20 * time.Millisecond)}
		f.balancer.sent(call.upstream)
		f.balancer.answered(call, &holderlink.Report{Spent: 19 * time.Millisecond, InFlight: i, Arrivals: 7, ServiceTime: 18 * time.Millisecond}, false)
	}
	for w := range 40 {
		workspace := model.Workspace(fmt.Sprint("w", w))
		explained := f.cluster.explainCandidates(route, model.Position{}, workspace)
		got := f.cluster.ReadCandidates(route, model.Position{}, workspace)
		if len(got) != 5 || len(explained) != 5 || got[0].ID == "i-0" || got[0].ID == "i-4" || got[3].ID != "i-0" || got[4].ID != "i-4" {
			t.Fatalf("%s: %+v", workspace, got)
		}
		sum := 0.0
		for _, c := range explained {
			sum += c.Probability
			if known := c.FigureAgeMS >= 0; known != (c.Upstream != "i-4") {
				t.Errorf("%s: age of the figures of %s is %d ms", workspace, c.Upstream, c.FigureAgeMS)
			}
		}
		if math.Abs(sum-1) > 1e-9 || explained[0].Upstream != got[0].ID || got[0].Choice.Cause == "" || got[0].Choice.Estimate <= 0 {
			t.Errorf("%s: explained %+v, chosen %+v", workspace, explained, got[0])
		}
	}
	for _, tt := range []struct{ database, workspace, refused string }{
		{"d", "w", "freshness cannot be proved"}, {"none", "w", "no route has this database"}, {"d", "other", "the workspace is not known"},
	} {
		f.cluster.catalog.Store((&catalog.Snapshot{
			Routes:     []catalog.Route{{Database: "d", Service: "s", Freshness: catalog.FreshBounded, MaxStaleness: time.Second}},
			Workspaces: []catalog.Workspace{{Name: "w"}},
		}).Index())
		if x := f.cluster.explain(tt.database, model.Workspace(tt.workspace)); x.Refused != tt.refused {
			t.Errorf("%+v: %+v", tt, x)
		}
	}
	if n := f.cluster.registry.Get("holder.forwarded"); n != nil {
		t.Error("an explanation or a choice has sent something")
	}
	for name, want := range map[string]int64{"balance.figures_dropped.malformed": 1, "balance.figures_dropped.future": 1} {
		report := holderlink.Report{Spent: time.Millisecond, InFlight: -1}
		if name == "balance.figures_dropped.future" {
			report = holderlink.Report{Spent: time.Hour}
		}
		f.balancer.answered(&holderCall{holder: h, upstream: "i-1", sentAt: boottime.Now().Add(-time.Second)}, &report, false)
		if got := f.cluster.registry.Get(name).(metrics.Counter).Count(); got != want {
			t.Errorf("%s = %d, want %d", name, got, want)
		}
	}
}

// Guards against a refusal that counts as a failure of the upstream, and against a
// failure that does not.
func TestFailedOn(t *testing.T) {
	broken := &upstreampool.BrokenError{Upstream: "i-1", Err: errors.New("reset")}
	for _, c := range []struct {
		code lineproto.Code
		err  error
		want bool
	}{
		{"", nil, false}, {lineproto.Busy, nil, false}, {lineproto.Lagging, nil, false}, {"", upstreampool.ErrAcquireTimeout, false},
		{lineproto.Failed, nil, true}, {lineproto.Timeout, nil, true}, {"", broken, true},
	} {
		if got := failedOn(c.code, c.err); got != c.want {
			t.Errorf("failedOn(%q, %v) = %v, want %v", c.code, c.err, got, c.want)
		}
	}
}
