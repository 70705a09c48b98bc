package replication

import (
	"math"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// never is the latest time that can be represented; it means no deadline.
const never = model.Time(math.MaxInt64)

// group is the replication state of one database group.
type group struct {
	database            model.Database
	members             []member
	confirmationTimeout time.Duration

	rounds  rounds
	history history
	// lastConfirmed is the confirmed round that started last; its number is 0
	// if there is none.
	lastConfirmed confirmedRound

	checks []check
	writes []waitingWrite
	// nextDeadline is a lower bound of the deadlines of checks and writes.
	nextDeadline model.Time
	// refreshNeeded requests a round although nothing waits, because the last
	// one will soon be too old for checks like those that it has satisfied.
	refreshNeeded bool
}

// member is the replication state of one upstream.
type member struct {
	id model.UpstreamID
	// applied is the applied position reported in appliedRound, the newest round
	// that the upstream has answered.
	applied      model.Position
	appliedRound uint64
	// caughtUpRound is the latest confirmed round whose position the upstream
	// has applied.
	caughtUpRound confirmedRound
	// replicated is the highest position that the upstream reported while it had
	// accepted no fence above the position's term. It remains valid, because
	// every later fence finds the entry in the upstream's log.
	replicated model.Position
	// primaryTerm is the highest term in which the upstream answered as primary.
	primaryTerm model.Term
}

func (g *group) find(u model.UpstreamID) int {
	for i := range g.members {
		if g.members[i].id == u {
			return i
		}
	}
	return -1
}

func (g *group) majority() int { return len(g.members)/2 + 1 }

// configure replaces the list of members and keeps the state of members in both
// lists. Rounds of the old list can no longer be confirmed.
func (g *group) configure(ev *Event) {
	g.confirmationTimeout = ev.ConfirmationTimeout
	if g.confirmationTimeout == 0 {
		g.confirmationTimeout = DefaultConfirmationTimeout
	}
	old := g.members
	g.members = make([]member, len(ev.Upstreams))
	for i, u := range ev.Upstreams {
		g.members[i].id = u.ID
		for j := range old {
			if old[j].id == u.ID {
				g.members[i] = old[j]
			}
		}
	}
	g.rounds.reset(len(g.members))
}

func (g *group) statusAnswered(now model.Time, ev *Event, out []Effect) []Effect {
	i := g.find(ev.Upstream)
	if i < 0 {
		return out
	}
	g.members[i].observe(ev.Round, &ev.Status)
	if t := g.rounds.find(ev.Round); t != nil {
		t.answer(i, &ev.Status)
		out = g.confirm(t, out)
	}
	g.members[i].updateCaughtUpRound(&g.history)
	return g.resolve(now, out)
}

func (g *group) statusFailed(ev *Event) {
	i := g.find(ev.Upstream)
	t := g.rounds.find(ev.Round)
	if i >= 0 && t != nil {
		t.fail(i)
	}
}

// observe updates the member from its status. What it records is valid even if
// the round of the status is never confirmed.
func (m *member) observe(round uint64, st *dbgroup.Status) {
	if round >= m.appliedRound {
		m.appliedRound = round
		m.setApplied(model.Position{Term: st.AppliedTerm, Pos: st.Applied})
	}
	if st.Promised != st.LastTerm {
		return
	}
	m.replicated = m.replicated.Max(model.Position{Term: st.LastTerm, Pos: st.Received})
	if st.Role == dbgroup.Primary && m.primaryTerm.Less(st.LastTerm) {
		m.primaryTerm = st.LastTerm
	}
}

// setApplied records the applied position. A decrease means that the upstream
// was rewound, which invalidates caughtUpRound.
func (m *member) setApplied(p model.Position) {
	if p.Compare(m.applied) < 0 {
		m.caughtUpRound = confirmedRound{}
	}
	m.applied = p
}

// updateCaughtUpRound sets caughtUpRound to the latest confirmed round whose
// position the member has applied.
func (m *member) updateCaughtUpRound(h *history) {
	if r := h.latestAtOrBelow(m.applied); r != nil && r.number > m.caughtUpRound.number {
		m.caughtUpRound = *r
	}
}

// confirm checks whether the answers so far confirm a round, and makes it the
// last confirmed round unless a newer one is confirmed already.
func (g *group) confirm(t *tally, out []Effect) []Effect {
	if t.confirmed {
		return out
	}
	i := t.confirmedPrimary(g.majority())
	if i < 0 {
		return out
	}
	t.confirmed = true
	if t.number < g.lastConfirmed.number {
		return out
	}
	previous := g.lastConfirmed
	g.lastConfirmed = confirmedRound{number: t.number, start: t.start, primary: g.members[i].id, position: t.answers[i].position}
	g.history.add(g.lastConfirmed)
	for j := range g.members {
		if g.members[j].applied.Compare(g.lastConfirmed.position) >= 0 {
			g.members[j].caughtUpRound = g.lastConfirmed
		}
	}
	e := Effect{
		Kind: RoundConfirmed, Database: g.database, Upstream: g.lastConfirmed.primary,
		Round: t.number, Term: g.lastConfirmed.position.Term, Floor: g.lastConfirmed.position,
	}
	out = append(out, e)
	if previous.primary != e.Upstream || previous.position.Term != e.Term {
		e.Kind = PrimaryChanged
		out = append(out, e)
	}
	return out
}
