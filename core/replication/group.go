package replication

import (
	"math"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// never is a time that does not come.
const never = model.Time(math.MaxInt64)

// group is what is known of one database group.
type group struct {
	database            model.Database
	members             []member
	confirmationTimeout time.Duration

	rounds  rounds
	history history
	// lastConfirmed is the confirmed round with the latest start; its number is 0 if
	// there is none.
	lastConfirmed confirmedRound

	checks []check
	writes []waitingWrite
	// nextDeadline is not later than the first deadline of a check or write.
	nextDeadline model.Time
	// refreshNeeded asks for a round although nothing waits, because the last
	// one will soon be too old for the checks that it satisfies.
	refreshNeeded bool
}

// member is what is known of one upstream.
type member struct {
	id model.UpstreamID
	// applied is from the newest round that the upstream answered.
	applied      model.Position
	appliedRound uint64
	// caughtUpRound is the latest confirmed round whose position applied covers.
	caughtUpRound confirmedRound
	// replicated is the highest position that the upstream has reported while it had
	// accepted no fence above the position's term. It stays valid: every later
	// fence finds the entry in the upstream's log.
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

// configure replaces the list of members and keeps what is known of those
// that stay. Rounds of the old list cannot be confirmed any more.
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

// observe takes over what a status proves by itself, whatever its round.
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

// setApplied records the applied position, which decreases when an upstream
// was rewound.
func (m *member) setApplied(p model.Position) {
	if p.Compare(m.applied) < 0 {
		m.caughtUpRound = confirmedRound{}
	}
	m.applied = p
}

// updateCaughtUpRound finds the latest confirmed round that the member covers.
func (m *member) updateCaughtUpRound(h *history) {
	if r := h.latestAtOrBelow(m.applied); r != nil && r.number > m.caughtUpRound.number {
		m.caughtUpRound = *r
	}
}

// confirm checks whether a round is confirmed now, and takes it over.
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
