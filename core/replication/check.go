package replication

import (
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// check is a read or write that waits for admission.
type check struct {
	id       uint64
	write    bool
	upstream model.UpstreamID
	floor    model.Position
	hasFloor bool
	maxAge   time.Duration
	deadline model.Time
	// arrivalRound is the number of the newest round when the check arrived.
	// Rounds with a higher number started after the arrival.
	arrivalRound uint64
}

// decision is the result of evaluating a check.
type decision uint8

const (
	wait decision = iota
	admit
	refuse
)

// check decides a new check at once if past rounds suffice, and otherwise
// queues it. Nearly all reads are decided here, so this path does not allocate.
func (g *group) check(now model.Time, ev *Event, out []Effect) []Effect {
	c := check{
		id: ev.ID, write: ev.Kind == WriteCheck, upstream: ev.Upstream,
		floor: ev.Floor, hasFloor: ev.HasFloor, maxAge: ev.MaxAge,
		deadline: ev.Deadline, arrivalRound: g.rounds.current().number,
	}
	out, done := g.decide(now, &c, out)
	if !done {
		g.checks = append(g.checks, c)
		g.nextDeadline = min(g.nextDeadline, c.deadline)
	}
	return out
}

// decide appends the final effect of a check, if it can be decided now, and
// reports whether it did.
func (g *group) decide(now model.Time, c *check, out []Effect) ([]Effect, bool) {
	i := g.find(c.upstream)
	if i < 0 {
		return append(out, c.refusal(g.database, ReasonUnknownUpstream)), true
	}
	m := &g.members[i]
	var d decision
	if c.write {
		d = g.decideWrite(now, c, m)
	} else {
		d = g.decideRead(now, c, m)
	}
	switch {
	case d == admit:
		return append(out, g.admission(c, m)), true
	case d == refuse:
		return append(out, c.refusal(g.database, ReasonNotPrimary)), true
	case now >= c.deadline:
		return append(out, c.refusal(g.database, g.timeoutReason(c))), true
	}
	return out, false
}

// decideWrite admits a write on the primary of a confirmed round that is not
// older than confirmationTimeout. It refuses the write if a round that started
// after its arrival has confirmed another primary.
func (g *group) decideWrite(now model.Time, c *check, m *member) decision {
	age := now.Sub(g.lastConfirmed.start)
	if g.lastConfirmed.primary == m.id && g.lastConfirmed.number > 0 && age <= g.confirmationTimeout {
		g.refreshNeeded = g.refreshNeeded || age > g.confirmationTimeout/2
		return admit
	}
	if g.lastConfirmed.number > c.arrivalRound && g.lastConfirmed.primary != m.id {
		return refuse
	}
	return wait
}

// decideRead admits a read if the member has reached the read's floor and a
// confirmed round within maxAge. A read without a floor, or with maxAge 0, needs
// a round that started after its arrival.
func (g *group) decideRead(now model.Time, c *check, m *member) decision {
	if c.maxAge == 0 && g.lastConfirmed.number > c.arrivalRound && g.lastConfirmed.primary != m.id {
		return refuse
	}
	if m.caughtUpRound.number == 0 || !g.hasAppliedFloor(c, m) || (c.maxAge == 0 && m.id != g.lastConfirmed.primary) {
		return wait
	}
	startedLater := m.caughtUpRound.number > c.arrivalRound
	if c.maxAge == 0 || !c.hasFloor {
		if !startedLater {
			return wait
		}
	}
	age := now.Sub(m.caughtUpRound.start)
	if c.maxAge > 0 && age > c.maxAge {
		return wait
	}
	g.refreshNeeded = g.refreshNeeded || age > c.maxAge/2
	return admit
}

// hasAppliedFloor reports whether the member has applied the check's floor.
// Positions compare by term first, so a floor of an earlier term counts as the
// start of the next term. The primary has applied every position of its own
// term, including those that it wrote after the last round.
func (g *group) hasAppliedFloor(c *check, m *member) bool {
	if !c.hasFloor || m.applied.Compare(c.floor) >= 0 {
		return true
	}
	return m.primaryTerm == c.floor.Term && m.applied.Term == c.floor.Term && m.id == g.lastConfirmed.primary
}

func (g *group) admission(c *check, m *member) Effect {
	e := Effect{Kind: ReadAdmitted, Database: g.database, Upstream: m.id, ID: c.id, Term: g.lastConfirmed.position.Term, Floor: c.floor, Applied: m.applied}
	if c.write {
		e.Kind = WriteAdmitted
		return e
	}
	if !c.hasFloor {
		e.Floor = m.caughtUpRound.position
	}
	return e
}

// timeoutReason returns why a check was not admitted by its deadline.
func (g *group) timeoutReason(c *check) Reason {
	if c.write || g.lastConfirmed.number <= c.arrivalRound {
		return ReasonNoConfirmedRound
	}
	return ReasonStale
}

func (c *check) refusal(db model.Database, r Reason) Effect {
	e := Effect{Kind: ReadRefused, Database: db, Upstream: c.upstream, ID: c.id, Reason: r}
	if c.write {
		e.Kind = WriteRefused
	}
	return e
}

// resolve completes all checks and writes that can be decided now.
func (g *group) resolve(now model.Time, out []Effect) []Effect {
	kept := g.checks[:0]
	for i := range g.checks {
		var done bool
		out, done = g.decide(now, &g.checks[i], out)
		if !done {
			kept = append(kept, g.checks[i])
		}
	}
	g.checks = kept
	return g.resolveWrites(now, out)
}

// expire completes the checks and writes whose deadline has passed.
func (g *group) expire(now model.Time, out []Effect) []Effect {
	if now < g.nextDeadline {
		return out
	}
	out = g.resolve(now, out)
	g.nextDeadline = never
	for i := range g.checks {
		g.nextDeadline = min(g.nextDeadline, g.checks[i].deadline)
	}
	for i := range g.writes {
		g.nextDeadline = min(g.nextDeadline, g.writes[i].deadline)
	}
	return out
}

// cancel removes a check or a waiting write without an effect.
func (g *group) cancel(id uint64) {
	g.checks = slices.DeleteFunc(g.checks, func(c check) bool { return c.id == id })
	g.writes = slices.DeleteFunc(g.writes, func(w waitingWrite) bool { return w.id == id })
}
