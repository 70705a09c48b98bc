package failover

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// Times of a proposal.
const (
	// resendInterval is the time after which a proposal resends a fence that was
	// not accepted, or an unconfirmed promotion.
	resendInterval = 100 * time.Millisecond
	// fenceGrace is how long a proposer waits for the remaining upstreams after
	// a majority has accepted, because they may be better candidates.
	fenceGrace = 20 * time.Millisecond
)

// phase is the stage that a proposal has reached.
type phase uint8

const (
	idle phase = iota
	fencing
	promoting
)

// fenceReply is the response of an upstream to a fence.
type fenceReply uint8

const (
	noReply fenceReply = iota
	accepted
	failed
)

// proposal is a new term proposed by this VM, up to the promotion of its primary.
type proposal struct {
	phase    phase
	term     model.Term
	deadline model.Time
	resendAt model.Time
	// majorityAt is when a majority had accepted the fence; 0 before that.
	majorityAt model.Time
	// replies has one entry per member.
	replies []fenceReply
	// logs has the last log position of each member that has accepted the fence.
	logs []model.Position
	// superseded is true once a higher term has been observed.
	superseded bool
	candidate  model.UpstreamID
	// prefer is favored among candidates with equal logs.
	prefer model.UpstreamID
	// avoid is the lost primary, which is disfavored among candidates with equal
	// logs.
	avoid model.UpstreamID
	// isolated is true if avoid was lost because the replicas receive nothing
	// from it. It is then promoted only if the other members that accepted are
	// not a majority.
	isolated bool
}

// propose starts a proposal with a term above all observed ones.
func (g *group) propose(t *transition, prefer, avoid model.UpstreamID) {
	g.highestTerm = g.highestTerm.Next(t.state.proposer)
	g.proposeAt = 0
	g.proposal = proposal{
		phase: fencing, term: g.highestTerm, prefer: prefer, avoid: avoid,
		deadline: t.now.Add(g.detect),
		replies:  make([]fenceReply, len(g.members)),
		logs:     make([]model.Position, len(g.members)),
	}
	g.sendFences(t)
}

// sendFences sends the fence to all members that have not accepted it yet.
func (g *group) sendFences(t *transition) {
	p := &g.proposal
	p.resendAt = t.now.Add(resendInterval)
	for i := range g.members {
		if p.replies[i] == accepted {
			continue
		}
		p.replies[i] = noReply
		t.emit(Effect{Kind: SendFence, Database: g.database, Upstream: g.members[i].ID, Term: p.term})
	}
}

// observe updates the proposal with any status of member i. If the promised term
// in the status is that of the proposal, the member has accepted the fence, even
// if its response to the fence was lost.
func (p *proposal) observe(i int, st *dbgroup.Status) {
	if p.phase == idle {
		return
	}
	if st.Promised == p.term && p.replies[i] != accepted {
		p.replies[i] = accepted
		p.logs[i] = model.Position{Term: st.LastTerm, Pos: st.Received}
	}
}

// fenceAnswered processes the response of member i to a fence.
func (g *group) fenceAnswered(t *transition, ev *Event, i int) {
	if g.proposal.phase == fencing && ev.Term == g.proposal.term {
		g.proposal.observe(i, &ev.Status)
	}
	g.observeTerm(t, ev.Status.Promised)
}

func (g *group) fenceFailed(ev *Event, i int) {
	p := &g.proposal
	if p.phase == fencing && ev.Term == p.term && p.replies[i] == noReply {
		p.replies[i] = failed
	}
}

// advanceProposal takes the next step of the proposal that the responses allow.
func (g *group) advanceProposal(t *transition) {
	p := &g.proposal
	switch {
	case g.term == p.term:
		g.proposal = proposal{}
		g.proposalSucceeded(t)
	case p.superseded || t.now >= p.deadline:
		g.proposalFailed(t)
	case p.phase == fencing && g.fenceComplete(t.now):
		g.promote(t)
	case t.now >= p.resendAt && p.phase == fencing:
		g.sendFences(t)
	case t.now >= p.resendAt:
		g.sendPromote(t)
	}
}

// fenceComplete reports whether a majority (see hasMajority) has accepted the fence, and either
// no response is outstanding or fenceGrace has passed.
func (g *group) fenceComplete(now model.Time) bool {
	p := &g.proposal
	open := 0
	for _, r := range p.replies {
		if r == noReply {
			open++
		}
	}
	if !g.hasMajority(func(i int) bool { return p.replies[i] == accepted }) {
		return false
	}
	if p.majorityAt == 0 {
		p.majorityAt = now
	}
	return open == 0 || now.Sub(p.majorityAt) >= fenceGrace
}

// promote selects the candidate and promotes it. No other candidate is promoted
// in the same term, because a promotion whose response was lost may have taken
// effect.
func (g *group) promote(t *transition) {
	p := &g.proposal
	best := -1
	for i := range g.members {
		if g.eligible(i) && (best < 0 || g.betterCandidate(i, best)) {
			best = i
		}
	}
	p.phase = promoting
	p.candidate = g.members[best].ID
	p.deadline = t.now.Add(g.detect)
	g.sendPromote(t)
}

// eligible reports whether member i may be promoted. Every majority of members
// that accepted the fence has all acknowledged writes, so an isolated primary can
// be excluded if the others are a majority.
func (g *group) eligible(i int) bool {
	p := &g.proposal
	if p.replies[i] != accepted {
		return false
	}
	if !p.isolated || g.members[i].ID != p.avoid {
		return true
	}
	return !g.hasMajority(func(j int) bool { return j != i && p.replies[j] == accepted })
}

func (g *group) sendPromote(t *transition) {
	p := &g.proposal
	p.resendAt = t.now.Add(resendInterval)
	t.emit(Effect{Kind: SendPromote, Database: g.database, Upstream: p.candidate, Term: p.term})
}

// betterCandidate reports whether member i is a better candidate than member j.
// The more recent log wins; preference breaks ties.
func (g *group) betterCandidate(i, j int) bool {
	p := &g.proposal
	if c := p.logs[i].Compare(p.logs[j]); c != 0 {
		return c > 0
	}
	return g.preference(i) > g.preference(j)
}

// preference returns the rank of member i among candidates with equal logs.
func (g *group) preference(i int) int {
	m := &g.members[i]
	rank := 0
	for _, good := range [...]bool{
		m.ID == g.proposal.prefer, !m.Drained, !m.Leaving, m.ID != g.proposal.avoid, g.inPrimaryZone(i),
	} {
		rank <<= 1
		if good {
			rank++
		}
	}
	return rank
}

// inPrimaryZone reports whether member i is in the zone of the last known primary.
func (g *group) inPrimaryZone(i int) bool {
	j := memberIndex(g.members, g.primary)
	return j >= 0 && g.members[i].Zone == g.members[j].Zone
}

// proposalFailed abandons the proposal. The next one is delayed by a randomized
// exponential backoff.
func (g *group) proposalFailed(t *transition) {
	g.proposal = proposal{}
	g.backoff = min(max(2*g.backoff, g.backoffMin), g.backoffMax)
	g.notBefore = max(g.notBefore, t.now.Add(g.backoff/2+t.jitter(g.backoff/2)))
	g.switchoverFailed(t, ReasonNotPromoted)
}

// proposalSucceeded completes the switchover that the proposal was part of, if
// any.
func (g *group) proposalSucceeded(t *transition) {
	if g.switchover.phase == noSwitchover {
		return
	}
	if g.primary != g.switchover.target {
		g.switchoverFailed(t, ReasonOtherPrimary)
		return
	}
	g.switchover = switchover{}
	t.emit(Effect{Kind: SwitchoverFinished, Database: g.database, Primary: g.primary, Term: g.term})
	t.emit(Effect{Kind: OpenWriteGate, Database: g.database})
}
