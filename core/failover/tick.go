package failover

import "github.com/chervilhatch/chervilhatch/core/model"

// Rates of status polls and health reports, relative to the detection time. They
// are low because at the target size a VM monitors about 16 databases, and its
// budget for control traffic is 20 KB/s.
const (
	// pollsPerDetect is the number of polls of the primary per detection time.
	// The primary counts as unresponsive from the last poll that it answered, so
	// this rate determines how many lost answers are tolerated, but not the
	// detection time.
	pollsPerDetect = 3
	// reportsPerDetect is the number of health reports per detection time.
	reportsPerDetect = 3
	// replicaPollDetects is the interval between polls of the replicas of a
	// healthy group, in detection times.
	replicaPollDetects = 2
)

// tick advances the time of one group.
func (g *group) tick(t *transition) {
	if t.now.Sub(g.lastTick) > g.detect*2/3 {
		g.restartDetection(t.now)
	}
	g.lastTick = t.now
	g.poll(t)
	if t.now >= g.nextReport {
		g.publishHealth(t)
	}
	g.advance(t)
	if g.proposal.phase == idle && g.switchover.phase == noSwitchover {
		g.considerProposal(t)
	}
	if g.proposal.phase == idle && g.switchover.phase == noSwitchover {
		g.considerAutoSwitchover(t)
	}
}

// poll requests the status of the primary or, when due, of all members.
func (g *group) poll(t *transition) {
	if t.now < g.nextPoll {
		return
	}
	g.nextPoll = t.now.Add(g.detect / pollsPerDetect)
	all := t.now.Sub(g.allPolledAt) >= replicaPollDetects*g.detect || g.needsFastPolling(t.now)
	if all {
		g.allPolledAt = t.now
	}
	for i := range g.members {
		if all || g.members[i].ID == g.primary {
			g.sendStatus(t, g.members[i].ID)
		}
	}
}

// needsFastPolling reports whether the replicas must be polled as often as the
// primary, because the primary is unknown or may be lost or partitioned, a
// switchover is in progress or expected, or a member does not follow the primary.
func (g *group) needsFastPolling(now model.Time) bool {
	if g.proposal.phase != idle || g.switchover.phase != noSwitchover {
		return true
	}
	if g.unresponsiveFor(now) >= g.detect/2 || g.stall.duration(now) >= g.detect/3 {
		return true
	}
	for i := range g.members {
		m := &g.members[i]
		leavesPrimary := m.ID == g.primary && (m.Drained || m.Leaving)
		if leavesPrimary || !m.known || m.status.Promised != g.term {
			return true
		}
	}
	return g.primary == ""
}

// restartDetection restarts the detection after a pause of this VM, during which
// it has neither polled the members nor received reports of its peers.
func (g *group) restartDetection(now model.Time) {
	g.monitoredSince = now
	g.proposeAt = 0
	g.stall = stall{}
	for i := range g.peers {
		g.peers[i].reported = false
	}
}

func (g *group) sendStatus(t *transition, u model.UpstreamID) {
	t.emit(Effect{Kind: SendStatus, Database: g.database, Upstream: u})
}

// advance moves a proposal or switchover forward after an event.
func (g *group) advance(t *transition) {
	g.updateStall(t.now)
	g.updateFormerLists()
	if g.proposal.phase != idle {
		g.advanceProposal(t)
		return
	}
	if g.switchover.phase == draining {
		g.advanceSwitchover(t)
	}
}

// considerProposal proposes a new term if the primary is lost. A random delay
// makes it unlikely that several watchers propose at the same time. Without a
// majority of members that answer, no proposal is made: it could only fence a
// minority, which would then no longer follow the primary.
func (g *group) considerProposal(t *transition) {
	if !g.isLost(t.now) || !g.hasMajority(func(i int) bool { return g.answering(t.now, i) }) {
		g.proposeAt = 0
		return
	}
	if g.proposeAt == 0 {
		g.proposeAt = t.now.Add(t.jitter(g.detect / 4))
	}
	if t.now >= max(g.proposeAt, g.notBefore) {
		isolated := g.isStalled(t.now)
		g.propose(t, "", g.primary)
		g.proposal.isolated = isolated
	}
}

// nextTick returns when the group needs its next tick.
func (g *group) nextTick() model.Time {
	next := min(g.nextPoll, g.nextReport)
	if g.proposeAt != 0 {
		next = min(next, max(g.proposeAt, g.notBefore))
	}
	if p := &g.proposal; p.phase != idle {
		next = min(next, p.deadline, p.resendAt)
		if p.phase == fencing && p.majorityAt != 0 {
			next = min(next, p.majorityAt.Add(fenceGrace))
		}
	}
	if s := &g.switchover; s.phase == draining {
		next = min(next, s.deadline, s.pollAt)
	}
	return next
}
