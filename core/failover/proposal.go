package failover

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// Times of a proposal.
const (
	// resendInterval is the time after which an unanswered request of a
	// proposal is sent again.
	resendInterval = 100 * time.Millisecond
	// fenceGrace is how long a proposer that has a majority waits for the
	// other upstreams, which may be better candidates.
	fenceGrace = 20 * time.Millisecond
)

// phase is the stage of a proposal.
type phase uint8

const (
	idle phase = iota
	fencing
	promoting
)

// fenceReply is what an upstream has answered to a fence.
type fenceReply uint8

const (
	noReply fenceReply = iota
	accepted
	failed
)

// proposal is a term that this VM has proposed.
type proposal struct {
	phase    phase
	term     model.Term
	deadline model.Time
	resendAt model.Time
	// majorityAt is when a majority had accepted, 0 before.
	majorityAt model.Time
	replies    []fenceReply
	// logs are the ends of the logs of those that accepted.
	logs []model.Position
	// superseded is true when an upstream has accepted a higher term.
	superseded bool
	candidate  model.UpstreamID
	// prefer is chosen among equals.
	prefer model.UpstreamID
	// avoid is the lost primary, which is not chosen among equals.
	avoid model.UpstreamID
	// isolated is true when avoid was lost because the group receives nothing
	// from it. It is then chosen only if the others are no majority.
	isolated bool
}

// propose starts a proposal.
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

// sendFences asks all upstreams that have not accepted yet.
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

// observe takes over what any status of member i tells about the proposal. A
// status whose promised term is the proposal's own proves that the upstream
// accepted it, even when the answer to the fence was lost.
func (p *proposal) observe(i int, st *dbgroup.Status) {
	if p.phase == idle {
		return
	}
	if st.Promised == p.term && p.replies[i] != accepted {
		p.replies[i] = accepted
		p.logs[i] = model.Position{Term: st.LastTerm, Pos: st.Received}
	}
}

// fenceAnswered processes an answer to a fence of the current proposal.
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

// advanceProposal advances the proposal as far as the answers allow.
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

// fenceComplete reports whether a majority has accepted and no better
// candidate is to be expected.
func (g *group) fenceComplete(now model.Time) bool {
	p := &g.proposal
	count, open := 0, 0
	for _, r := range p.replies {
		switch r {
		case accepted:
			count++
		case noReply:
			open++
		}
	}
	if count < g.majority() {
		return false
	}
	if p.majorityAt == 0 {
		p.majorityAt = now
	}
	return open == 0 || now.Sub(p.majorityAt) >= fenceGrace
}

// promote chooses the candidate. Only this one is ever promoted in the term,
// since a promotion whose answer is lost may have taken effect.
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

// eligible reports whether member i may be promoted. Any majority of those that
// accepted has every acknowledged write, so an isolated primary can be left out.
func (g *group) eligible(i int) bool {
	p := &g.proposal
	if p.replies[i] != accepted {
		return false
	}
	if !p.isolated || g.members[i].ID != p.avoid {
		return true
	}
	others := 0
	for j, r := range p.replies {
		if j != i && r == accepted {
			others++
		}
	}
	return others < g.majority()
}

func (g *group) sendPromote(t *transition) {
	p := &g.proposal
	p.resendAt = t.now.Add(resendInterval)
	t.emit(Effect{Kind: SendPromote, Database: g.database, Upstream: p.candidate, Term: p.term})
}

// betterCandidate reports whether member i is a betterCandidate candidate than member j. The
// log decides; the rest is a preference among equals.
func (g *group) betterCandidate(i, j int) bool {
	p := &g.proposal
	if c := p.logs[i].Compare(p.logs[j]); c != 0 {
		return c > 0
	}
	return g.preference(i) > g.preference(j)
}

// preference ranks candidates with equal logs.
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

// inPrimaryZone reports whether member i is in the zone of the last primary.
func (g *group) inPrimaryZone(i int) bool {
	j := memberIndex(g.members, g.primary)
	return j >= 0 && g.members[i].Zone == g.members[j].Zone
}

// proposalFailed gives up. The next proposal waits for a random time that
// doubles with each failure.
func (g *group) proposalFailed(t *transition) {
	g.proposal = proposal{}
	g.backoff = min(max(2*g.backoff, g.backoffMin), g.backoffMax)
	g.notBefore = max(g.notBefore, t.now.Add(g.backoff/2+t.jitter(g.backoff/2)))
	g.switchoverFailed(t, ReasonNotPromoted)
}

// proposalSucceeded ends a switchover, if the proposal was part of one.
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
