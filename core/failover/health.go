package failover

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// Limits of the hysteresis against a flapping primary.
const (
	// stableTime is how long a primary must last for its loss to be detected
	// within the normal detection time.
	stableTime = 10 * time.Second
	// maxFlaps bounds the detection time to Detect << maxFlaps, which is 1.2 s
	// by default and keeps a second loss within the target of 1.5 s.
	maxFlaps = 1
)

// health records when the primary answers and how often it is lost.
type health struct {
	answered bool
	// lastAnswer is the send time of the last status poll that the primary
	// answered.
	lastAnswer model.Time
	changedAt  model.Time
	// flaps counts the losses of a primary before stableTime had passed.
	flaps uint
}

// primaryChanged records a change of the primary. The change counts as a flap if
// the old primary was lost, not replaced by a switchover, before stableTime had
// passed.
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

// unresponsiveFor returns for how long the primary has not answered status polls
// or, if that is longer, for how long it has been stalled.
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

// isStalled reports whether the replicas have received nothing from the primary
// for half the detection time, although a majority without the primary answers
// and could continue without it.
func (g *group) isStalled(now model.Time) bool {
	return g.stall.duration(now) >= g.detect/2 &&
		g.hasMajority(func(i int) bool { return g.members[i].ID != g.primary && g.answering(now, i) })
}

// answering reports whether member i has answered a status poll sent within the last
// detection time.
func (g *group) answering(now model.Time, i int) bool {
	m := &g.members[i]
	return m.known && now.Sub(m.sentAt) <= g.detect
}

// detectionTime returns how long the primary must be unresponsive before it
// counts as lost.
func (g *group) detectionTime(now model.Time) time.Duration {
	if now.Sub(g.health.changedAt) >= stableTime {
		return g.detect
	}
	return g.detect << g.health.flaps
}

// recordPeerHealth processes the health report of another watcher.
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

// isLost reports whether the primary is unresponsive for this watcher and for a
// majority of the watchers from which it has a recent report, itself included.
func (g *group) isLost(now model.Time) bool {
	limit := g.detectionTime(now)
	if g.unresponsiveFor(now) < limit {
		return false
	}
	reachable, unresponsive := 1, 1
	for i := range g.peers {
		p := &g.peers[i]
		// In an older report, the primary would appear unresponsive only because
		// of the age of the report.
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

// publishHealth sends the health of the primary to the other watchers.
func (g *group) publishHealth(t *transition) {
	age := g.unresponsiveFor(t.now)
	if !g.health.answered {
		age = -1
	}
	t.emit(Effect{Kind: PublishHealth, Database: g.database, Primary: g.primary, Term: g.term, Age: age})
	g.nextReport = t.now.Add(g.detect / reportsPerDetect)
}

// stall detects a primary that answers the status polls of the watchers but is
// partitioned from its group: a majority has not received the log up to a
// position of the primary, and no replica makes progress.
type stall struct {
	// waiting is true while position has not reached a majority.
	waiting bool
	// since is when a replica last made progress, or when the wait started.
	since model.Time
	// notBefore is the earliest start of the next wait.
	notBefore model.Time
	// position is the position of the primary when the wait started.
	position model.LogPos
	// received sums the log positions and last terms of the replicas; a change
	// shows progress.
	received uint64
}

// observePrimary starts a wait for the position of the primary to reach a
// majority, unless one is in progress.
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

// updateStall updates the stall detection with the latest statuses of the
// members.
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
