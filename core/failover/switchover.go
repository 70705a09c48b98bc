package failover

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// Times of a planned switchover.
const (
	// drainTimeout bounds how long a switchover drains writes, which blocks new
	// ones, before it fails.
	drainTimeout = time.Second
	// drainPollInterval is the interval between status polls while the target
	// catches up.
	drainPollInterval = 10 * time.Millisecond
	// autoSwitchoverRetryDetects is the delay of an automatic switchover after a
	// failed switchover, in detection times.
	autoSwitchoverRetryDetects = 5
)

// maxTargetLag is how far the target of an automatic switchover may lag behind the
// primary. It keeps the write gate from being closed for long.
const maxTargetLag = 100 * time.Millisecond

// lagSample holds two positions of the primary that were sampled at least
// maxTargetLag apart, so that previous is always at least that old.
type lagSample struct {
	// at is when current was sampled.
	at       model.Time
	current  model.LogPos
	previous model.LogPos
}

func (l *lagSample) observePrimary(pos model.LogPos, now model.Time) {
	if l.at == 0 || now.Sub(l.at) >= maxTargetLag {
		*l = lagSample{at: now, current: pos, previous: l.current}
	}
}

// switchoverPhase is the stage that a planned switchover has reached.
type switchoverPhase uint8

const (
	noSwitchover switchoverPhase = iota
	draining
	proposing
)

// switchover is a planned change of the primary.
type switchover struct {
	phase    switchoverPhase
	target   model.UpstreamID
	term     model.Term
	deadline model.Time
	pollAt   model.Time
	// drainedAt is when the last write in progress had ended; 0 before that.
	drainedAt model.Time
}

// autoSwitchover schedules switchovers that are not requested by an operator.
type autoSwitchover struct {
	// due is when this VM starts the switchover; 0 while there is no reason for
	// one.
	due model.Time
	// notBefore delays the next switchover after a failed one.
	notBefore model.Time
}

// requestSwitchover starts a switchover to target or, if that is empty, to the
// best candidate.
func (g *group) requestSwitchover(t *transition, target model.UpstreamID) {
	if reason, refused := g.switchoverRefused(t.now); refused {
		t.emit(Effect{Kind: SwitchoverFailed, Database: g.database, Reason: reason})
		return
	}
	if target == "" {
		target = g.bestTarget(t.now)
	}
	if target == "" || target == g.primary || memberIndex(g.members, target) < 0 {
		t.emit(Effect{Kind: SwitchoverFailed, Database: g.database, Reason: ReasonNoCandidate})
		return
	}
	g.beginSwitchover(t, target)
}

func (g *group) switchoverRefused(now model.Time) (Reason, bool) {
	switch {
	case g.proposal.phase != idle || g.switchover.phase != noSwitchover:
		return ReasonBusy, true
	case g.primary == "" || g.unresponsiveFor(now) >= g.detect:
		return ReasonNoPrimary, true
	}
	return 0, false
}

func (g *group) beginSwitchover(t *transition, target model.UpstreamID) {
	g.switchover = switchover{
		phase: draining, target: target, term: g.term,
		deadline: t.now.Add(drainTimeout),
	}
	t.emit(Effect{Kind: SwitchoverBegun, Database: g.database, Primary: g.primary, Upstream: target})
	t.emit(Effect{Kind: CloseWriteGate, Database: g.database})
}

// bestTarget returns the best target of a switchover, or an empty ID. A target
// must be a replica in the primary's term with a recent status that is neither
// drained nor leaving. Replicas in the primary's zone are preferred, then those
// that have received more of the log.
func (g *group) bestTarget(now model.Time) model.UpstreamID {
	best := -1
	for i := range g.members {
		m := &g.members[i]
		fit := m.ID != g.primary && !m.Drained && !m.Leaving && m.known &&
			now.Sub(m.sentAt) <= 2*replicaPollDetects*g.detect &&
			m.status.Role == dbgroup.Replica && m.status.LastTerm == g.term
		if fit && (best < 0 || g.betterTarget(i, best)) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return g.members[best].ID
}

func (g *group) betterTarget(i, j int) bool {
	if a, b := g.inPrimaryZone(i), g.inPrimaryZone(j); a != b {
		return a
	}
	return g.members[i].status.Received > g.members[j].status.Received
}

func (g *group) writesDrained(t *transition) {
	if g.switchover.phase == draining && g.switchover.drainedAt == 0 {
		g.switchover.drainedAt = t.now
	}
}

// advanceSwitchover takes the next step of a switchover that drains writes.
func (g *group) advanceSwitchover(t *transition) {
	s := &g.switchover
	switch {
	case g.term != s.term:
		g.switchoverFailed(t, ReasonOtherPrimary)
	case g.unresponsiveFor(t.now) >= g.detect:
		g.switchoverFailed(t, ReasonNoPrimary)
	case t.now >= s.deadline:
		g.switchoverFailed(t, ReasonNotDrained)
	case s.drainedAt != 0 && g.caughtUp():
		s.phase = proposing
		g.propose(t, s.target, "")
	case t.now >= s.pollAt:
		s.pollAt = t.now.Add(drainPollInterval)
		g.sendStatus(t, g.primary)
		if s.target != g.primary {
			g.sendStatus(t, s.target)
		}
	}
}

// caughtUp reports whether the target has received the whole log of the primary,
// according to a status of the primary from after the end of the last write.
func (g *group) caughtUp() bool {
	i := memberIndex(g.members, g.primary)
	j := memberIndex(g.members, g.switchover.target)
	if i < 0 || j < 0 || g.members[i].sentAt < g.switchover.drainedAt {
		return false
	}
	p, c := &g.members[i].status, &g.members[j].status
	return p.LastTerm == g.term && c.LastTerm == g.term && c.Received >= p.Received
}

// switchoverFailed ends the switchover in progress, if any, and opens the write
// gate.
func (g *group) switchoverFailed(t *transition, r Reason) {
	if g.switchover.phase == noSwitchover {
		return
	}
	g.switchover = switchover{}
	g.autoSwitchover.notBefore = t.now.Add(autoSwitchoverRetryDetects * g.detect)
	t.emit(Effect{Kind: SwitchoverFailed, Database: g.database, Reason: r})
	t.emit(Effect{Kind: OpenWriteGate, Database: g.database})
}

// abort abandons the proposal and the switchover in progress, if any.
func (g *group) abort(t *transition, r Reason) {
	g.proposal = proposal{}
	g.switchoverFailed(t, r)
}

// considerAutoSwitchover starts a switchover if the primary is drained or leaving.
// It also does so if an upstream has accepted the fence of a failed proposal and
// can therefore not follow the primary; the primary is then promoted again in a
// new term. The watcher on the primary's holder acts first.
func (g *group) considerAutoSwitchover(t *transition) {
	target := g.autoSwitchoverTarget(t.now)
	if target == "" {
		g.autoSwitchover.due = 0
		return
	}
	if g.autoSwitchover.due == 0 {
		g.autoSwitchover.due = t.now.Add(g.autoSwitchoverDelay(t, target))
	}
	if t.now >= max(g.autoSwitchover.due, g.autoSwitchover.notBefore) {
		g.beginSwitchover(t, target)
	}
}

func (g *group) autoSwitchoverTarget(now model.Time) model.UpstreamID {
	i := memberIndex(g.members, g.primary)
	if i < 0 || g.unresponsiveFor(now) >= g.detect {
		return ""
	}
	if g.members[i].Drained || g.members[i].Leaving {
		if target := g.bestTarget(now); target != "" && g.withinMaxTargetLag(target) {
			return target
		}
	}
	if g.countPromisedAbove() > 0 {
		return g.primary
	}
	return ""
}

// withinMaxTargetLag reports whether a target has received the position that the
// primary had at least maxTargetLag ago.
func (g *group) withinMaxTargetLag(target model.UpstreamID) bool {
	return g.members[memberIndex(g.members, target)].status.Received >= g.lag.previous
}

// autoSwitchoverDelay returns how long to wait before an automatic switchover. The
// holder of a drained or leaving primary acts immediately, and the other watchers
// wait for it. If the reason is an accepted fence, all wait longer, because its
// proposal may still be in progress.
func (g *group) autoSwitchoverDelay(t *transition, target model.UpstreamID) time.Duration {
	i := memberIndex(g.members, g.primary)
	delay := time.Duration(0)
	if target == g.primary {
		delay = 2 * g.detect
	}
	if g.members[i].Holder != t.state.self {
		delay += 3*g.detect + t.jitter(g.detect)
	}
	return delay
}
