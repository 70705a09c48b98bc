package linenode

import (
	"errors"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/balance"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/holderlink"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// BalanceMode is how the upstream of a read is chosen among those of the same rank.
type BalanceMode string

// Balance modes.
const (
	// BalanceLeast chooses the upstream with the lowest estimate. It is the default.
	BalanceLeast BalanceMode = "least"
	// BalanceEven chooses by core/balance.
	BalanceEven BalanceMode = "even"
)

// figureAgeSamples is the number of values that the histogram of ages keeps.
const figureAgeSamples = 256

// balancer chooses upstreams with core/balance, and feeds it with what answers show. A
// nil balancer records nothing.
type balancer struct {
	// mu guards the fields up to candidates.
	mu    sync.Mutex
	state *balance.State
	// seed is the last random number; it begins with the VM's own.
	seed uint64
	// candidates is the buffer of choices.
	candidates []balance.Candidate

	chosen    [balance.Causes]metrics.Counter
	dropped   map[balance.Dropped]metrics.Counter
	figureAge metrics.Histogram
}

func newBalancer(vm model.VMID, startedAt model.Time, registry metrics.Registry) *balancer {
	h := fnv.New64a()
	// Writes to a hash.Hash never return an error.
	_, _ = h.Write([]byte(vm))
	b := &balancer{
		state: balance.New(), seed: h.Sum64() ^ uint64(startedAt), dropped: map[balance.Dropped]metrics.Counter{},
		figureAge: metrics.GetOrRegisterHistogram("balance.figure_age_ms", registry, metrics.NewUniformSample(figureAgeSamples)),
	}
	for i := range b.chosen {
		b.chosen[i] = metrics.GetOrRegisterCounter("balance.chosen."+balance.Cause(i).String(), registry)
	}
	for _, d := range []balance.Dropped{balance.Malformed, balance.FromFuture, balance.Outdated} {
		b.dropped[d] = metrics.GetOrRegisterCounter("balance.figures_dropped."+d.String(), registry)
	}
	return b
}

// sent records that a statement is sent to an upstream through its holder; answered
// has to be called at its end.
func (b *balancer) sent(id model.UpstreamID) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Sent(id)
}

// answered records the end of a statement that was sent to a holder at sentAt, and the
// figures in the holder's answer. r is the zero Report if there was no answer.
func (b *balancer) answered(call *holderCall, r *holderlink.Report, failed bool) {
	if b == nil {
		return
	}
	now := boottime.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Answered(now, call.upstream, &balance.Answer{Latency: now.Sub(call.sentAt), Spent: r.Spent, Failed: failed})
	if r.Spent == 0 {
		return
	}
	b.report(now, call.upstream, &balance.Figures{
		Source: call.holder.vm, At: call.sentAt.Add(r.Spent), InFlight: r.InFlight, Arrivals: r.Arrivals, ServiceTime: r.ServiceTime,
	})
}

// report passes figures on and counts those that are dropped. The caller holds mu.
func (b *balancer) report(now model.Time, id model.UpstreamID, f *balance.Figures) {
	if d := b.state.Report(now, id, f); d != balance.Accepted {
		b.dropped[d].Inc(1)
	}
}

// outcome records whether a statement on one of this VM's own connections failed.
func (b *balancer) outcome(id model.UpstreamID, failed bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Outcome(boottime.Now(), id, failed)
}

// failedOn reports whether a statement failed because of the upstream or the way to it. A
// refusal that says that the statement has not run is none.
func failedOn(code lineproto.Code, err error) bool {
	var broken *upstreampool.BrokenError
	return errors.As(err, &broken) || err == nil && (code == lineproto.Failed || code == lineproto.Timeout)
}

// forget removes the figures of an upstream that no longer exists.
func (b *balancer) forget(id model.UpstreamID) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Forget(id)
}

// readOf returns how core/balance describes a read of a route.
func readOf(route *catalog.Route, w model.Workspace) balance.Read {
	return balance.Read{Group: string(route.Service), Workspace: string(w), Objective: route.TargetLatency}
}

// order puts the candidates of a read into the order in which they are tried. pools are
// the own connections to each upstream for which the VM uses them.
func (b *balancer) order(now model.Time, r *balance.Read, list []replicaset.Candidate, pools []*upstreampool.Pool, zone model.Zone) []replicaset.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prepare(now, list, pools, zone)
	b.seed++
	cause := b.state.Choose(now, r, b.seed, b.candidates)
	ordered := make([]replicaset.Candidate, len(list))
	for i := range b.candidates {
		c := &b.candidates[i]
		ordered[i] = list[c.Index]
		ordered[i].Choice = replicaset.Choice{Cause: cause.String(), Estimate: c.Estimate, FigureAge: c.FigureAge}
		if i > 0 {
			ordered[i].Choice.Cause = causeNext
		}
	}
	if len(ordered) > 0 {
		b.chosen[cause].Inc(1)
		if age := b.candidates[0].FigureAge; age >= 0 {
			b.figureAge.Update(age.Milliseconds())
		}
	}
	return ordered
}

// causeNext is the cause of candidates that are tried after the first.
const causeNext = "next"

// explain returns the candidates of a read with the probability of each to be tried
// first, in the order of their estimates within each rank. It changes nothing.
func (b *balancer) explain(now model.Time, r *balance.Read, list []replicaset.Candidate, pools []*upstreampool.Pool, zone model.Zone) []balance.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prepare(now, list, pools, zone)
	b.state.Explain(now, r, b.seed+1, b.candidates)
	return slices.Clone(b.candidates)
}

// prepare fills the buffer of candidates and reports the load of own connections. The
// caller holds mu.
func (b *balancer) prepare(now model.Time, list []replicaset.Candidate, pools []*upstreampool.Pool, zone model.Zone) {
	b.candidates = b.candidates[:0]
	for i := range list {
		m := &list[i]
		c := balance.Candidate{Upstream: m.ID, Index: i, Rank: m.Rank(), Slots: m.Slots, Primary: m.ServesAsPrimary(), Away: m.LastResort()}
		if m.Zone != zone {
			c.Distance = time.Duration(crossZoneCost * float64(time.Millisecond))
		}
		if pools[i] != nil {
			f := pools[i].Figures()
			b.report(now, m.ID, &balance.Figures{At: now, InFlight: f.InFlight, Arrivals: f.Arrivals, ServiceTime: f.ServiceTime})
		}
		b.candidates = append(b.candidates, c)
	}
}
