package failover

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// Limits of the hysteresis against a flapping primary.
const (
	// stableTime is how long a primary must last for the next loss to be
	// detected at the normal speed.
	stableTime = 10 * time.Second
	// maxFlaps bounds the detection time to Detect << maxFlaps, 1.2 s by
	// default, so that the target of 1.5 s holds also for a second loss.
	maxFlaps = 1
)

// health is the knowledge about the primary's answers.
type health struct {
	answered bool
	// lastAnswer is when the last poll that the primary answered was sent.
	lastAnswer model.Time
	changedAt  model.Time
	// flaps counts losses of a primary that had not become stable.
	flaps uint
}

// primaryChanged records a change of the primary. It counts as a flap if the old
// primary was lost, rather than handed over, and was not yet stable.
func (h *health) primaryChanged(now model.Time, g *group) {
	lost := g.primary != "" && g.unresponsiveFor(now) >= g.detect/2
	switch {
	case now.Sub(h.changedAt) >= stableTime:
		h.flaps = 0
	case lost && h.flaps < maxFlaps:
		h.flaps++
	}
	h.changedAt = now
	h.answered = false
	h.lastAnswer = 0
}

// unresponsiveFor returns how long the primary has not done its work: it did not
// answer, or the group has received nothing from it.
func (g *group) unresponsiveFor(now model.Time) time.Duration {
	since := g.monitoredSince
	if g.health.answered {
		since = max(since, g.health.lastAnswer)
	}
	d := now.Sub(since)
	if g.isStalled(now) {
		d = max(d, g.stall.duration(now))
	}
	return d
}

// isStalled reports whether the group receives nothing from the primary,
// although the others answer and could continue without it.
func (g *group) isStalled(now model.Time) bool {
	return g.stall.duration(now) >= g.detect/2 && g.countAnswering(now, g.primary) >= g.majority()
}

// countAnswering counts the members other than except that have lately
// answered a status poll.
func (g *group) countAnswering(now model.Time, except model.UpstreamID) int {
	n := 0
	for i := range g.members {
		m := &g.members[i]
		if m.known && m.ID != except && now.Sub(m.sentAt) <= g.detect {
			n++
		}
	}
	return n
}

// detectionTime is the silence after which the primary counts as lost.
func (g *group) detectionTime(now model.Time) time.Duration {
	if now.Sub(g.health.changedAt) >= stableTime {
		return g.detect
	}
	return g.detect << g.health.flaps
}

// recordPeerHealth records another watcher's report.
func (g *group) recordPeerHealth(t *transition, ev *Event) {
	g.observeTerm(t, ev.Term)
	if g.term.Less(ev.Term) && memberIndex(g.members, ev.Primary) >= 0 {
		g.setPrimary(t, ev.Primary, ev.Term)
	}
	for i := range g.peers {
		p := &g.peers[i]
		if p.id != ev.From {
			continue
		}
		p.reported = true
		p.reportedAt = t.now
		p.term = ev.Term
		p.neverAnswered = ev.Age < 0
		p.lastAnswer = t.now.Add(-ev.Age)
	}
}

// isLost reports whether the primary is silent for this watcher and for a
// majority of the watchers that it can reach.
func (g *group) isLost(now model.Time) bool {
	limit := g.detectionTime(now)
	if g.unresponsiveFor(now) < limit {
		return false
	}
	reachable, unresponsive := 1, 1
	for i := range g.peers {
		p := &g.peers[i]
		// A report older than this could claim silence only because it is old.
		if !p.reported || now.Sub(p.reportedAt) > g.detect*3/4 {
			continue
		}
		reachable++
		if p.term == g.term && (p.neverAnswered || now.Sub(p.lastAnswer) >= limit) {
			unresponsive++
		}
	}
	return unresponsive > reachable/2
}

// publishHealth reports the primary's health to the other watchers.
func (g *group) publishHealth(t *transition) {
	age := g.unresponsiveFor(t.now)
	if !g.health.answered {
		age = -1
	}
	t.emit(Effect{Kind: PublishHealth, Database: g.database, Primary: g.primary, Term: g.term, Age: age})
	g.nextReport = t.now.Add(g.detect / reportsPerDetect)
}

// stall detects a primary that answers its watchers but is cut off from its
// group: a majority lacks a position of the primary, and no replica receives
// anything.
type stall struct {
	waiting bool
	// since is when a replica last received something, or the wait began.
	since model.Time
	// notBefore is when the next wait may begin.
	notBefore model.Time
	// position is the primary's position at since.
	position model.LogPos
	received uint64
}

// observePrimary starts to wait for the primary's position to reach a majority.
func (s *stall) observePrimary(pos model.LogPos, now model.Time) {
	if !s.waiting && now >= s.notBefore && pos > s.position {
		*s = stall{waiting: true, since: now, position: pos}
	}
}

func (s *stall) duration(now model.Time) time.Duration {
	if !s.waiting {
		return 0
	}
	return now.Sub(s.since)
}

// updateStall updates the stall from the members' last statuses.
func (g *group) updateStall(now model.Time) {
	s := &g.stall
	if !s.waiting {
		return
	}
	holders := 0
	var received uint64
	for i := range g.members {
		m := &g.members[i]
		if m.known && m.status.LastTerm == g.term && m.status.Received >= s.position {
			holders++
		}
		if m.known && m.ID != g.primary && m.status.Role == dbgroup.Replica {
			received += uint64(m.status.Received) + m.status.LastTerm.Counter
		}
	}
	switch {
	case holders >= g.majority():
		s.waiting = false
		s.notBefore = now.Add(g.detect / 2)
	case received != s.received:
		s.received = received
		s.since = now
	}
}
