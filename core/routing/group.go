package routing

import (
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Parameters of the choice of an upstream.
const (
	// assumedLatency is the latency of an upstream that has not answered yet.
	assumedLatency = time.Millisecond
	// latencyWeight is the inverse weight of a new sample in the smoothed latency.
	latencyWeight = 8
	// otherZoneFactor is how much busier a replica of the same zone may be
	// before one of another zone is taken.
	otherZoneFactor = 4
	// staleTime is how long a replica that refused a read as stale is only
	// used when nothing else is left.
	staleTime = 100 * time.Millisecond
	// holderRetry is how long an unreachable holder is not tried.
	holderRetry = time.Second
	// probeTimeout is how long other batches wait for one that asks for the primary.
	probeTimeout = 100 * time.Millisecond
)

// group is what the caller side knows of one database group.
type group struct {
	members []member
	// primary is the primary of term, empty when it is not known.
	primary model.UpstreamID
	term    model.Term
	// suspect is true after the primary of term refused a batch without a hint
	// to another one: it may have failed. Then only a probe is sent there, and
	// hints of the same term say nothing new.
	suspect bool
	// reign counts how often a primary became known or answered again.
	reign uint64
	// probing is true while the batch probe asks for the primary; the other
	// batches wait for its result.
	probing   bool
	probe     uint64
	probeAt   model.Time
	nextProbe int
}

// member is what is known of one upstream.
type member struct {
	Upstream
	applied     model.Position
	latency     time.Duration
	outstanding int
	// staleUntil is when a replica may be tried again that refused a read as stale.
	staleUntil model.Time
	// downUntil is when the main and the standby holder may be tried again.
	downUntil [2]model.Time
}

func (g *group) configure(upstreams []Upstream) {
	old := g.members
	g.members = make([]member, len(upstreams))
	for i, u := range upstreams {
		g.members[i].latency = assumedLatency
		if j := slices.IndexFunc(old, func(m member) bool { return m.ID == u.ID }); j >= 0 {
			g.members[i] = old[j]
		}
		g.members[i].Upstream = u
	}
	if g.find(g.primary) < 0 {
		g.primary = ""
	}
}

func (g *group) find(u model.UpstreamID) int {
	for i := range g.members {
		if g.members[i].ID == u {
			return i
		}
	}
	return -1
}

// learnPrimary takes over a hint and returns whether it was new.
func (g *group) learnPrimary(u model.UpstreamID, term model.Term) bool {
	if u == "" || term.Less(g.term) || g.find(u) < 0 {
		return false
	}
	if term == g.term && (g.primary != "" || g.suspect) {
		return false
	}
	g.setPrimary(u)
	g.term = term
	return true
}

func (g *group) setPrimary(u model.UpstreamID) {
	g.primary = u
	g.suspect = false
	g.reign++
}

// suspectPrimary lets the batches wait until a probe has found the primary.
func (g *group) suspectPrimary(u model.UpstreamID) {
	if g.primary == u {
		g.primary = ""
		g.suspect = true
	}
}

// primaryAnswered takes in that a batch that needs the primary was answered on
// u. It returns whether that makes the primary known.
func (g *group) primaryAnswered(u model.UpstreamID) bool {
	if !g.suspect || g.primary != "" || g.find(u) < 0 {
		return false
	}
	g.setPrimary(u)
	return true
}

// learnApplied takes over a hint about an upstream's applied position.
func (g *group) learnApplied(u model.UpstreamID, p model.Position) {
	if i := g.find(u); i >= 0 && !p.IsZero() {
		g.members[i].applied = g.members[i].applied.Max(p)
	}
}

func (g *group) setReachable(now model.Time, ev *Event) {
	i := g.find(ev.Upstream)
	if i < 0 {
		return
	}
	until := model.Time(0)
	if ev.Kind == HolderUnreachable {
		until = now.Add(holderRetry)
	}
	g.members[i].downUntil[seat(ev.Standby)] = until
}

// seat returns the index of the main (0) or standby (1) holder.
func seat(standby bool) int {
	if standby {
		return 1
	}
	return 0
}

// holder returns whether to use the standby holder, and whether a holder is
// reachable at all.
func (m *member) holder(now model.Time) (standby, reachable bool) {
	if now >= m.downUntil[0] {
		return false, true
	}
	return true, now >= m.downUntil[1]
}

// finished ends an attempt on an upstream.
func (g *group) finished(u model.UpstreamID) {
	if i := g.find(u); i >= 0 && g.members[i].outstanding > 0 {
		g.members[i].outstanding--
	}
}

// sampleLatency adds the duration of an attempt to the smoothed latency.
func (g *group) sampleLatency(u model.UpstreamID, d time.Duration) {
	if i := g.find(u); i >= 0 {
		m := &g.members[i]
		m.latency += (d - m.latency) / latencyWeight
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
		_, reachable := m.holder(now)
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
	score := m.latency * time.Duration(m.outstanding+1)
	if m.Zone != zone {
		score *= otherZoneFactor
	}
	return score
}

// choosePrimary returns the primary, or, when it is not known, the next
// member to ask for it if no other batch does that. It returns -1 if the
// batch has to wait.
func (g *group) choosePrimary(now model.Time, b *batch) int {
	if i := g.find(g.primary); i >= 0 {
		return i
	}
	busy := g.probing && g.probe != b.id && now.Sub(g.probeAt) < probeTimeout
	if len(g.members) == 0 || busy {
		return -1
	}
	g.probing = true
	g.probe = b.id
	g.probeAt = now
	g.nextProbe = (g.nextProbe + 1) % len(g.members)
	return g.nextProbe
}
