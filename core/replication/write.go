package replication

import "github.com/chervilhatch/chervilhatch/core/model"

// waitingWrite is a write that has run and waits for its majority.
type waitingWrite struct {
	id       uint64
	position model.Position
	deadline model.Time
	// arrivalRound is the newest round when the write arrived.
	arrivalRound uint64
}

// awaitMajority records a write, unless the last answers already cover it.
func (g *group) awaitMajority(ev *Event, out []Effect) []Effect {
	w := waitingWrite{id: ev.ID, position: ev.Position, deadline: ev.Deadline, arrivalRound: g.rounds.current().number}
	if g.isCommitted(w.position) {
		return append(out, Effect{Kind: WriteAcknowledged, Database: g.database, ID: w.id})
	}
	g.writes = append(g.writes, w)
	g.nextDeadline = min(g.nextDeadline, w.deadline)
	return out
}

func (g *group) resolveWrites(now model.Time, out []Effect) []Effect {
	kept := g.writes[:0]
	for i := range g.writes {
		w := &g.writes[i]
		switch {
		case g.isCommitted(w.position):
			out = append(out, Effect{Kind: WriteAcknowledged, Database: g.database, ID: w.id})
		case now >= w.deadline || g.isSuperseded(w.position):
			out = append(out, Effect{Kind: WriteUnknown, Database: g.database, ID: w.id})
		default:
			kept = append(kept, *w)
		}
	}
	g.writes = kept
	return out
}

// isCommitted reports whether a majority, the primary of the position's term
// included, has held the position in that term.
func (g *group) isCommitted(p model.Position) bool {
	copies := 0
	primary := false
	for i := range g.members {
		m := &g.members[i]
		if m.replicated.Term == p.Term && m.replicated.Pos >= p.Pos {
			copies++
			primary = primary || m.primaryTerm == p.Term
		}
	}
	return primary && copies >= g.majority()
}

// isSuperseded reports whether a newer term has a confirmed primary. A
// position of an earlier term may be held there, but a status does not tell
// whether a term in between has replaced it, so its outcome is unknown.
func (g *group) isSuperseded(p model.Position) bool {
	return g.lastConfirmed.number > 0 && p.Term.Less(g.lastConfirmed.position.Term)
}
