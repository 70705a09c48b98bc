package replication

import (
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// check is a read or write that has not been allowed to run yet.
type check struct {
	id       uint64
	write    bool
	upstream model.UpstreamID
	floor    model.Position
	hasFloor bool
	maxAge   time.Duration
	deadline model.Time
	// after is the newest round when the check arrived. Rounds with a higher
	// number started after that.
	after uint64
}

// verdict tells what is to be done with a check.
type verdict uint8

const (
	wait verdict = iota
	ready
	refuse
)

// check answers a check at once if the last rounds allow it. This is the
// path of nearly all reads and does not allocate.
func (g *group) check(now model.Time, ev *Event, out []Effect) []Effect {
	c := check{
		id: ev.ID, write: ev.Kind == WriteCheck, upstream: ev.Upstream,
		floor: ev.Floor, hasFloor: ev.HasFloor, maxAge: ev.MaxAge,
		deadline: ev.Deadline, after: g.rounds.current().number,
	}
	out, done := g.decide(now, &c, out)
	if !done {
		g.checks = append(g.checks, c)
		g.nextDeadline = min(g.nextDeadline, c.deadline)
	}
	return out
}

// decide appends the final effect of a check and returns whether there is one.
func (g *group) decide(now model.Time, c *check, out []Effect) ([]Effect, bool) {
	i := g.find(c.upstream)
	if i < 0 {
		return append(out, c.refusal(g.database, ReasonUnknownUpstream)), true
	}
	m := &g.members[i]
	var v verdict
	if c.write {
		v = g.decideWrite(now, c, m)
	} else {
		v = g.decideRead(now, c, m)
	}
	switch {
	case v == ready:
		return append(out, g.permission(c, m)), true
	case v == refuse:
		return append(out, c.refusal(g.database, ReasonNotPrimary)), true
	case now >= c.deadline:
		return append(out, c.refusal(g.database, g.lateReason(c))), true
	}
	return out, false
}

func (g *group) decideWrite(now model.Time, c *check, m *member) verdict {
	age := now.Sub(g.last.start)
	if g.last.primary == m.id && g.last.number > 0 && age <= g.confirmationTimeout {
		g.refreshWanted = g.refreshWanted || age > g.confirmationTimeout/2
		return ready
	}
	if g.last.number > c.after && g.last.primary != m.id {
		return refuse
	}
	return wait
}

func (g *group) decideRead(now model.Time, c *check, m *member) verdict {
	if c.maxAge == 0 && g.last.number > c.after && g.last.primary != m.id {
		return refuse
	}
	if m.fresh.number == 0 || !g.covers(c, m) || (c.maxAge == 0 && m.id != g.last.primary) {
		return wait
	}
	startedLater := m.fresh.number > c.after
	if c.maxAge == 0 || !c.hasFloor {
		if !startedLater {
			return wait
		}
	}
	age := now.Sub(m.fresh.start)
	if c.maxAge > 0 && age > c.maxAge {
		return wait
	}
	g.refreshWanted = g.refreshWanted || age > c.maxAge/2
	return ready
}

// covers reports whether the member has applied the check's floor. A position
// of an earlier term counts as the start of the next term, which is what
// comparing by term first amounts to. A primary has applied every position of
// its own term, also those that it wrote after the last round.
func (g *group) covers(c *check, m *member) bool {
	if !c.hasFloor || m.applied.Compare(c.floor) >= 0 {
		return true
	}
	return m.reign == c.floor.Term && m.applied.Term == c.floor.Term && m.id == g.last.primary
}

func (g *group) permission(c *check, m *member) Effect {
	e := Effect{Kind: ReadAdmitted, Database: g.database, Upstream: m.id, ID: c.id, Term: g.last.position.Term, Floor: c.floor, Applied: m.applied}
	if c.write {
		e.Kind = WriteAdmitted
		return e
	}
	if !c.hasFloor {
		e.Floor = m.fresh.position
	}
	return e
}

// lateReason tells why a check was not satisfied by its deadline.
func (g *group) lateReason(c *check) Reason {
	if c.write || g.last.number <= c.after {
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

// settle ends all checks and writes that can be decided now.
func (g *group) settle(now model.Time, out []Effect) []Effect {
	kept := g.checks[:0]
	for i := range g.checks {
		var done bool
		out, done = g.decide(now, &g.checks[i], out)
		if !done {
			kept = append(kept, g.checks[i])
		}
	}
	g.checks = kept
	return g.settleWrites(now, out)
}

// expire ends what has passed its deadline.
func (g *group) expire(now model.Time, out []Effect) []Effect {
	if now < g.nextDeadline {
		return out
	}
	out = g.settle(now, out)
	g.nextDeadline = never
	for i := range g.checks {
		g.nextDeadline = min(g.nextDeadline, g.checks[i].deadline)
	}
	for i := range g.writes {
		g.nextDeadline = min(g.nextDeadline, g.writes[i].deadline)
	}
	return out
}

// abandon drops a check or a waiting write.
func (g *group) abandon(id uint64) {
	g.checks = slices.DeleteFunc(g.checks, func(c check) bool { return c.id == id })
	g.writes = slices.DeleteFunc(g.writes, func(w waitingWrite) bool { return w.id == id })
}
