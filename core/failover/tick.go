package failover

import "github.com/chervilhatch/chervilhatch/core/model"

// Rates of polls and reports. They are low because a VM watches about 16
// databases at the target size and may use 20 KB per second for control.
const (
	// pollsPerDetect is how many polls of the primary fit into the detection
	// time; silence counts from the last poll that was answered, so the rate
	// bounds how many lost answers are tolerated, not the detection time.
	pollsPerDetect = 3
	// reportsPerDetect is how many health reports fit into the detection time.
	reportsPerDetect = 3
	// replicaPollDetects is how many detection times pass between polls of the
	// replicas while nothing is wrong.
	replicaPollDetects = 2
)

// tick lets time pass for one group.
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

// poll asks the primary for its status, and all members if that is due.
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
// primary: it may be lost or cut off, it is to be handed over, or a member
// does not follow it.
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

// restartDetection restarts the detection after a pause of this VM, during which it
// polled nothing and heard nobody.
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

// advance advances a proposal or switchover after an event.
func (g *group) advance(t *transition) {
	g.updateStall(t.now)
	if g.proposal.phase != idle {
		g.advanceProposal(t)
		return
	}
	if g.switchover.phase == draining {
		g.advanceSwitchover(t)
	}
}

// considerProposal starts a proposal when the primary is lost, after a random
// delay in which another watcher may act first. Without a majority that answers
// the proposal could only fence a minority, which then no longer follows.
func (g *group) considerProposal(t *transition) {
	if !g.isLost(t.now) || g.countAnswering(t.now, "") < g.majority() {
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

// nextTick returns when the group needs a tick.
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
