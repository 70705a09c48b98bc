package routing

import (
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Parameters of the selection of an upstream.
const (
	// initialLatency is the latency of an upstream that has not answered yet.
	initialLatency = time.Millisecond
	// latencyEWMADivisor is the inverse weight of a new sample in the moving
	// average of the latency.
	latencyEWMADivisor = 8
	// crossZonePenalty is the factor by which a replica of the same zone may be
	// busier or slower before one of another zone is preferred.
	crossZonePenalty = 4
	// stalePenaltyTime is how long a replica that refused a read as stale is used
	// only as a last resort.
	stalePenaltyTime = 100 * time.Millisecond
	// holderRetryInterval is how long an unreachable holder is not used.
	holderRetryInterval = time.Second
	// probeTimeout is how long other batches wait for the current probe before one
	// of them may probe too.
	probeTimeout = 100 * time.Millisecond
)

// group is the known state of one database group.
type group struct {
	members []member
	// primary is the primary of term, empty if it is unknown.
	primary model.UpstreamID
	term    model.Term
	// primarySuspected is true after a batch could not be sent to the primary of
	// term, or was refused there for lack of the upstream, a majority or the role
	// of primary, without a hint to a newer primary. Until it is confirmed or
	// replaced, batches that need the primary are sent only as probes, and hints
	// of the same term are ignored.
	primarySuspected bool
	// primaryVersion is incremented when a primary becomes known or is confirmed.
	primaryVersion uint64
	// probing is true while the batch probeBatch is sent to a member to find the
	// primary. The other batches wait for its result.
	probing      bool
	probeBatch   uint64
	probeStarted model.Time
	// lastProbed is the index of the last member that was probed.
	lastProbed int
}

// member is the known state of one upstream.
type member struct {
	Upstream
	// applied is the highest applied position reported so far.
	applied model.Position
	// smoothedLatency is a moving average of the duration of attempts.
	smoothedLatency time.Duration
	// outstanding is the number of attempts in flight.
	outstanding int
	// staleUntil is when the penalty for refusing a read as stale ends.
	staleUntil model.Time
	// unreachableUntil is when the main and the standby holder may be used again.
	unreachableUntil [2]model.Time
}

// configure replaces the members. Members that stay keep their state.
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

// memberIndex returns the index of the member with the ID, or -1.
func (g *group) memberIndex(u model.UpstreamID) int {
	for i := range g.members {
		if g.members[i].ID == u {
			return i
		}
	}
	return -1
}

// observePrimary adopts the primary of a hint and returns true, unless the hint
// is empty, outdated or already known.
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

// setPrimary makes u the known primary.
func (g *group) setPrimary(u model.UpstreamID) {
	g.primary = u
	g.primarySuspected = false
	g.primaryVersion++
}

// suspectPrimary marks u as possibly failed if it is the primary, so that
// batches wait until a probe has found a primary.
func (g *group) suspectPrimary(u model.UpstreamID) {
	if g.primary == u {
		g.primary = ""
		g.primarySuspected = true
	}
}

// confirmPrimary makes u the primary, after it served a batch that needs the
// primary, if the primary is unknown because it was suspected. It returns whether
// the primary became known.
func (g *group) confirmPrimary(u model.UpstreamID) bool {
	if !g.primarySuspected || g.primary != "" || g.memberIndex(u) < 0 {
		return false
	}
	g.setPrimary(u)
	return true
}

// observeApplied raises the applied position of an upstream to that of a hint.
func (g *group) observeApplied(u model.UpstreamID, p model.Position) {
	if i := g.memberIndex(u); i >= 0 && !p.IsZero() {
		g.members[i].applied = g.members[i].applied.Max(p)
	}
}

// setReachable records whether a holder is reachable.
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

// holderIndex returns the index of the main (0) or standby (1) holder in
// member.unreachableUntil.
func holderIndex(standby bool) int {
	if standby {
		return 1
	}
	return 0
}

// reachableHolder returns whether to use the standby holder, which is the case
// while the main holder is unreachable, and whether any holder is reachable.
func (m *member) reachableHolder(now model.Time) (standby, reachable bool) {
	if now >= m.unreachableUntil[0] {
		return false, true
	}
	return true, now >= m.unreachableUntil[1]
}

// removeOutstanding removes an attempt from the outstanding ones of an upstream.
func (g *group) removeOutstanding(u model.UpstreamID) {
	if i := g.memberIndex(u); i >= 0 && g.members[i].outstanding > 0 {
		g.members[i].outstanding--
	}
}

// recordLatency adds the duration of an attempt to the moving average.
func (g *group) recordLatency(u model.UpstreamID, d time.Duration) {
	if i := g.memberIndex(u); i >= 0 {
		m := &g.members[i]
		m.smoothedLatency += (d - m.smoothedLatency) / latencyEWMADivisor
	}
}

// chooseRead returns the index of the best member for a read, or -1 if no member
// is available that has not been tried.
func (g *group) chooseRead(now model.Time, b *batch, zone model.Zone) int {
	best, bestTier := -1, 0
	var bestScore time.Duration
	for n := range g.members {
		// Each batch starts at a random member, so that equal members share the load.
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

// tier ranks a member for a read; lower is better:
//   - 0: a replica that is known to have applied the floor
//   - 1: a replica that may have applied it since the last hint
//   - 2: the primary
//   - 3: a replica that recently refused a read as stale
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

// score estimates how long a batch takes on the member, with a penalty for
// another zone. Lower is better.
func (m *member) score(zone model.Zone) time.Duration {
	score := m.smoothedLatency * time.Duration(m.outstanding+1)
	if m.Zone != zone {
		score *= crossZonePenalty
	}
	return score
}

// choosePrimary returns the index of the primary. If the primary is unknown and
// no other batch is probing, it makes b the probe and returns the next member
// in turn. It returns -1 if the batch has to wait.
func (g *group) choosePrimary(now model.Time, b *batch) int {
	if i := g.memberIndex(g.primary); i >= 0 {
		return i
	}
	otherProbing := g.probing && g.probeBatch != b.id && now.Sub(g.probeStarted) < probeTimeout
	if len(g.members) == 0 || otherProbing {
		return -1
	}
	g.probing = true
	g.probeBatch = b.id
	g.probeStarted = now
	g.lastProbed = (g.lastProbed + 1) % len(g.members)
	return g.lastProbed
}
