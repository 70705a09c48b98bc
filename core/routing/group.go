package routing

import (
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Parameters of the choice of an upstream.
const (
	// initialLatency is the latency of an upstream that has not answered yet.
	initialLatency = time.Millisecond
	// latencyEWMADivisor is the inverse weight of a new sample in the smoothed latency.
	latencyEWMADivisor = 8
	// crossZonePenalty is how much busier a replica of the same zone may be
	// before one of another zone is taken.
	crossZonePenalty = 4
	// stalePenaltyTime is how long a replica that refused a read as stale is only
	// used when nothing else is left.
	stalePenaltyTime = 100 * time.Millisecond
	// holderRetryInterval is how long an unreachable holder is not tried.
	holderRetryInterval = time.Second
	// probeTimeout is how long other batches wait for one that asks for the primary.
	probeTimeout = 100 * time.Millisecond
)

// group is what the caller side knows of one database group.
type group struct {
	members []member
	// primary is the primary of term, empty when it is not known.
	primary model.UpstreamID
	term    model.Term
	// primarySuspected is true after the primary of term refused a batch without a hint
	// to another one: it may have failed. Then only a probe is sent there, and
	// hints of the same term say nothing new.
	primarySuspected bool
	// primaryVersion counts how often a primary became known or answered again.
	primaryVersion uint64
	// probing is true while the batch probe asks for the primary; the other
	// batches wait for its result.
	probing      bool
	probeBatch   uint64
	probeStarted model.Time
	nextProbe    int
}

// member is what is known of one upstream.
type member struct {
	Upstream
	applied         model.Position
	smoothedLatency time.Duration
	outstanding     int
	// staleUntil is when a replica may be tried again that refused a read as stale.
	staleUntil model.Time
	// unreachableUntil is when the main and the standby holder may be tried again.
	unreachableUntil [2]model.Time
}

func (g *group) configure(upstreams []Upstream) {
	old := g.members
	g.members = make([]member, len(upstreams))
	for i, u := range upstreams {
		g.members[i].smoothedLatency = initialLatency
		if j := slices.IndexFunc(old, func(m member) bool { return m.ID == u.ID }); j >= 0 {
			g.members[i] = old[j]
		}
		g.members[i].Upstream = u
	}
	if g.memberIndex(g.primary) < 0 {
		g.primary = ""
	}
}

func (g *group) memberIndex(u model.UpstreamID) int {
	for i := range g.members {
		if g.members[i].ID == u {
			return i
		}
	}
	return -1
}

// observePrimary takes over a hint and returns whether it was new.
func (g *group) observePrimary(u model.UpstreamID, term model.Term) bool {
	if u == "" || term.Less(g.term) || g.memberIndex(u) < 0 {
		return false
	}
	if term == g.term && (g.primary != "" || g.primarySuspected) {
		return false
	}
	g.setPrimary(u)
	g.term = term
	return true
}

func (g *group) setPrimary(u model.UpstreamID) {
	g.primary = u
	g.primarySuspected = false
	g.primaryVersion++
}

// suspectPrimary lets the batches wait until a probe has found the primary.
func (g *group) suspectPrimary(u model.UpstreamID) {
	if g.primary == u {
		g.primary = ""
		g.primarySuspected = true
	}
}

// confirmPrimary takes in that a batch that needs the primary was answered on
// u. It returns whether that makes the primary known.
func (g *group) confirmPrimary(u model.UpstreamID) bool {
	if !g.primarySuspected || g.primary != "" || g.memberIndex(u) < 0 {
		return false
	}
	g.setPrimary(u)
	return true
}

// observeApplied takes over a hint about an upstream's applied position.
func (g *group) observeApplied(u model.UpstreamID, p model.Position) {
	if i := g.memberIndex(u); i >= 0 && !p.IsZero() {
		g.members[i].applied = g.members[i].applied.Max(p)
	}
}

func (g *group) setReachable(now model.Time, ev *Event) {
	i := g.memberIndex(ev.Upstream)
	if i < 0 {
		return
	}
	until := model.Time(0)
	if ev.Kind == HolderUnreachable {
		until = now.Add(holderRetryInterval)
	}
	g.members[i].unreachableUntil[holderIndex(ev.Standby)] = until
}

// holderIndex returns the index of the main (0) or standby (1) holder.
func holderIndex(standby bool) int {
	if standby {
		return 1
	}
	return 0
}

// reachableHolder returns whether to use the standby holder, and whether a holder is
// reachable at all.
func (m *member) reachableHolder(now model.Time) (standby, reachable bool) {
	if now >= m.unreachableUntil[0] {
		return false, true
	}
	return true, now >= m.unreachableUntil[1]
}

// endAttempt ends an attempt on an upstream.
func (g *group) endAttempt(u model.UpstreamID) {
	if i := g.memberIndex(u); i >= 0 && g.members[i].outstanding > 0 {
		g.members[i].outstanding--
	}
}

// recordLatency adds the duration of an attempt to the smoothed latency.
func (g *group) recordLatency(u model.UpstreamID, d time.Duration) {
	if i := g.memberIndex(u); i >= 0 {
		m := &g.members[i]
		m.smoothedLatency += (d - m.smoothedLatency) / latencyEWMADivisor
	}
}

// chooseRead returns the member for a read, -1 if none is left.
func (g *group) chooseRead(now model.Time, b *batch, zone model.Zone) int {
	best, bestTier := -1, 0
	var bestScore time.Duration
	for n := range g.members {
		// The start differs between batches, so that equal members share load.
		i := (n + int(b.seed%uint64(len(g.members)))) % len(g.members)
		m := &g.members[i]
		_, reachable := m.reachableHolder(now)
		if m.Drained || m.Leaving || !reachable || b.hasTried(i) {
			continue
		}
		tier, score := g.tier(now, b, m), m.score(zone)
		if best < 0 || tier < bestTier || (tier == bestTier && score < bestScore) {
			best, bestTier, bestScore = i, tier, score
		}
	}
	return best
}

// tier ranks members for a read: replicas that cover the floor, replicas that
// may have reached it since the last hint, the primary, and replicas that
// refused a read as stale a short time ago.
func (g *group) tier(now model.Time, b *batch, m *member) int {
	switch {
	case m.ID == g.primary:
		return 2
	case now < m.staleUntil:
		return 3
	case !b.hasFloor || m.applied.Compare(b.floor) >= 0:
		return 0
	}
	return 1
}

// score estimates how long a batch takes on the member.
func (m *member) score(zone model.Zone) time.Duration {
	score := m.smoothedLatency * time.Duration(m.outstanding+1)
	if m.Zone != zone {
		score *= crossZonePenalty
	}
	return score
}

// choosePrimary returns the primary, or, when it is not known, the next
// member to ask for it if no other batch does that. It returns -1 if the
// batch has to wait.
func (g *group) choosePrimary(now model.Time, b *batch) int {
	if i := g.memberIndex(g.primary); i >= 0 {
		return i
	}
	otherProbes := g.probing && g.probeBatch != b.id && now.Sub(g.probeStarted) < probeTimeout
	if len(g.members) == 0 || otherProbes {
		return -1
	}
	g.probing = true
	g.probeBatch = b.id
	g.probeStarted = now
	g.nextProbe = (g.nextProbe + 1) % len(g.members)
	return g.nextProbe
}
