package replication

import "github.com/chervilhatch/chervilhatch/core/model"

// waitingWrite is a write that has run and waits for a majority to replicate it.
type waitingWrite struct {
	id       uint64
	position model.Position
	deadline model.Time
	// arrivalRound is the number of the newest round when the write arrived.
	arrivalRound uint64
}

// awaitMajority acknowledges a write that is already committed, and queues any
// other.
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
// included, has replicated the position in that term.
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

// isSuperseded reports whether a newer term has a confirmed primary. That
// primary may have the write in its log, but its status does not tell whether a
// term in between replaced the entry, so the outcome of the write is unknown.
func (g *group) isSuperseded(p model.Position) bool {
	return g.lastConfirmed.number > 0 && p.Term.Less(g.lastConfirmed.position.Term)
}
