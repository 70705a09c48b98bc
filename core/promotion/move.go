package promotion

import (
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// Phases of a move.
type phase uint8

const (
	// phaseFence: replicas are fenced until a safe target is known.
	phaseFence phase = iota
	// phasePromote: the platform has been called.
	phasePromote
	// phaseUnfence: the target leads; fences are released.
	phaseUnfence
)

// transition is the change of one service's primary.
type transition struct {
	planned        bool
	cause          string
	startedAt      model.Time
	phase          phase
	phaseStartedAt model.Time
	// oldPrimary is the primary at the start; it may be empty.
	oldPrimary model.UpstreamID
	// initialMembers are the upstreams at the start.
	initialMembers []model.UpstreamID
	fenceTerm      uint64
	target         model.UpstreamID

	token         uint64
	promoteSentAt model.Time
	// accepted is true when the last call needs no repetition.
	accepted bool
	refused  bool
}

// handleOutcome takes over the outcome of a promotion call.
func (t *transition) handleOutcome(_ model.Time, o Outcome) {
	switch o {
	case OutcomeAccepted:
		t.accepted = true
	case OutcomeRefused:
		t.refused = true
	}
}

func (s *State) advance(now model.Time, svc *serviceState, v *replicaset.View, in *Input, out []Effect) []Effect {
	t := svc.transition
	if t.phaseStartedAt == 0 {
		t.phaseStartedAt = now
	}
	switch t.phase {
	case phaseFence:
		return s.fence(now, svc, v, in, out)
	case phasePromote:
		return s.promote(now, svc, v, out)
	}
	return s.unfence(now, svc, v, out)
}

// enterPhase starts the next phase.
func (t *transition) enterPhase(now model.Time, p phase) { t.phase, t.phaseStartedAt = p, now }

// endTransition finishes a move. Fences that are left are released by later ticks.
func (svc *serviceState) endTransition(now model.Time, cause string, failed bool, out []Effect) []Effect {
	t := svc.transition
	svc.transition = nil
	svc.noPrimarySince, svc.stalledSince, svc.orphanedFenceSince = 0, 0, 0
	if failed {
		svc.backoffUntil = now.Add(transitionRetryDelay)
	}
	return append(out, Effect{
		Kind: EffectTransitionEnded, Service: svc.name, Upstream: t.target, Cause: cause, Elapsed: now.Sub(t.startedAt),
	})
}

// selectSwitchoverTarget picks the replica of a planned move: one that may keep its role
// and has received the most.
func (t *transition) selectSwitchoverTarget(now model.Time, v *replicaset.View, in *Input) bool {
	var best *replicaset.Member
	for i := range v.Members {
		c := &v.Members[i]
		if c.ID == v.Primary || c.Leaving || in.Evacuated(c.Zone) || !reachable(now, c) || c.StatusAt == 0 {
			continue
		}
		if best == nil || c.Status.Received.Compare(best.Status.Received) > 0 {
			best = c
		}
	}
	if best == nil {
		return false
	}
	t.target = best.ID
	return true
}

// fence orders the fences and promotes once a target is safe.
func (s *State) fence(now model.Time, svc *serviceState, v *replicaset.View, in *Input, out []Effect) []Effect {
	t := svc.transition
	limit := fenceTimeout
	if t.planned {
		limit = catchUpTimeout
	}
	if now.Sub(t.phaseStartedAt) > limit {
		return svc.endTransition(now, "no target is safe in time", true, out)
	}
	if oldPrimary := findMember(v, t.oldPrimary); !t.planned && oldPrimary != nil && t.cause != causeStalled && v.Primary == t.oldPrimary && reachable(now, oldPrimary) && oldPrimary.ContactAt > t.startedAt {
		return svc.endTransition(now, "the primary is back", true, out)
	}
	target := t.switchoverTarget(v)
	if !t.planned {
		target = t.failoverTarget(v, in, svc)
	}
	if target == nil {
		return svc.fenceReplicas(now, v, out)
	}
	t.target, t.token = target.ID, s.token()
	t.promoteSentAt, t.accepted, t.refused = now, false, false
	t.enterPhase(now, phasePromote)
	return append(out,
		Effect{Kind: EffectTargetSelected, Service: svc.name, Upstream: t.target, Cause: t.cause, Position: target.Status.Received, Term: t.fenceTerm},
		Effect{Kind: EffectPromote, Service: svc.name, Upstream: t.target, Token: t.token},
	)
}

const causeStalled = "replicas receive nothing"

// fenceReplicas fences what may still receive commits. In a planned move the
// target goes on receiving, so that all new commits are on it. In a failover
// the old primary is told to step down, in case it still runs.
func (svc *serviceState) fenceReplicas(now model.Time, v *replicaset.View, out []Effect) []Effect {
	t := svc.transition
	for i := range v.Members {
		c := &v.Members[i]
		switch {
		case c.ID == t.oldPrimary:
			if !t.planned {
				out = svc.sendCommand(now, c.ID, CommandStepDown, t.fenceTerm, commandRetryInterval, out)
			}
		case t.planned && c.ID == t.target:
			out = svc.sendCommand(now, c.ID, CommandStatus, 0, statusPollInterval, out)
		case c.Status.HeldTerm < t.fenceTerm:
			out = svc.sendCommand(now, c.ID, CommandPause, t.fenceTerm, commandRetryInterval, out)
		}
	}
	return out
}

// fenced reports whether a replica has answered in this move that it receives no more.
func (t *transition) fenced(c *replicaset.Member) bool {
	return c.Status.HeldTerm >= t.fenceTerm && c.StatusAt >= t.startedAt
}

// switchoverTarget returns the target once all other replicas are fenced and the
// target has received what they have.
func (t *transition) switchoverTarget(v *replicaset.View) *replicaset.Member {
	target := findMember(v, t.target)
	if target == nil {
		return nil
	}
	for i := range v.Members {
		c := &v.Members[i]
		if c.ID == t.target || c.ID == t.oldPrimary {
			continue
		}
		if !t.fenced(c) || target.Status.Received.Compare(c.Status.Received) < 0 {
			return nil
		}
	}
	if target.StatusAt < t.startedAt {
		return nil
	}
	return target
}

// failoverTarget returns the upstream to promote once no acknowledged commit
// can be missing on it.
func (t *transition) failoverTarget(v *replicaset.View, in *Input, svc *serviceState) *replicaset.Member {
	best := t.mostAdvancedFenced(v, in)
	oldPrimary := findMember(v, t.oldPrimary)
	steppedDown := oldPrimary != nil && !oldPrimary.Status.Primary && oldPrimary.StatusAt >= t.startedAt && oldPrimary.Status.Term != 0
	all := t.allPresent(v)
	for i := range v.Members {
		c := &v.Members[i]
		if c.ID != t.oldPrimary && !t.fenced(c) && !t.stoppedBeforeEvidence(c, best, in, svc) {
			all = false
		}
	}
	switch {
	case all && best != nil && t.hasAllCommits(best, oldPrimary, v, in, svc):
		return best
	case steppedDown && best != nil && best.Status.Received.Compare(oldPrimary.Status.Received) >= 0:
		return best
	case steppedDown:
		// The old primary has every commit that was acknowledged.
		return oldPrimary
	}
	return nil
}

// allPresent reports whether no upstream has gone since the move started; one that
// has may have received commits until then.
func (t *transition) allPresent(v *replicaset.View) bool {
	for _, id := range t.initialMembers {
		if findMember(v, id) == nil {
			return false
		}
	}
	return true
}

// hasAllCommits reports whether the furthest replica certainly has every acknowledged
// commit. When another replica has gone without notice, commits may have been
// acknowledged by that one; then the replica has to reach the newest proof of
// the primary's log, unless the primary is gone as well and nothing else is left.
func (t *transition) hasAllCommits(best, oldPrimary *replicaset.Member, v *replicaset.View, in *Input, svc *serviceState) bool {
	if !v.Incomplete || oldPrimary == nil {
		return true
	}
	e, ok := in.Evidence(svc.name)
	return ok && best.Status.Received.Compare(e.Position) >= 0
}

// mostAdvancedFenced returns the fenced replica that has received the most; among
// equals one that stays in service.
func (t *transition) mostAdvancedFenced(v *replicaset.View, in *Input) *replicaset.Member {
	var best *replicaset.Member
	stays := func(c *replicaset.Member) bool { return !c.Leaving && !in.Evacuated(c.Zone) }
	for i := range v.Members {
		c := &v.Members[i]
		if c.ID == t.oldPrimary || !t.fenced(c) {
			continue
		}
		if best == nil {
			best = c
			continue
		}
		order := c.Status.Received.Compare(best.Status.Received)
		if order > 0 || order == 0 && stays(c) && !stays(best) {
			best = c
		}
	}
	return best
}

// stoppedBeforeEvidence reports whether a replica that cannot be fenced had certainly stopped
// before the newest proof of the primary's log was made: all commits since then
// needed another replica, and best has all earlier ones.
func (t *transition) stoppedBeforeEvidence(c, best *replicaset.Member, in *Input, svc *serviceState) bool {
	if c.RefusedSince == 0 || best == nil {
		return false
	}
	e, ok := in.Evidence(svc.name)
	return ok && c.RefusedSince < e.At && best.Status.Received.Compare(e.Position) >= 0
}

// promote waits until the target leads, and repeats a call without an answer.
func (s *State) promote(now model.Time, svc *serviceState, v *replicaset.View, out []Effect) []Effect {
	t := svc.transition
	target := findMember(v, t.target)
	if v.Primary == t.target && target.Status.Primary && target.StatusAt >= t.phaseStartedAt {
		t.enterPhase(now, phaseUnfence)
		return s.unfence(now, svc, v, out)
	}
	if target == nil || t.refused || now.Sub(t.phaseStartedAt) > promoteTimeout {
		// The next try uses a higher token, so that this call can no longer
		// be carried out after it.
		t.fenceTerm = highestTerm(v) + 1
		if t.planned {
			return svc.endTransition(now, "the promotion was refused", true, out)
		}
		t.enterPhase(now, phaseFence)
		return out
	}
	if !t.accepted && now.Sub(t.promoteSentAt) > promoteRetryInterval {
		t.promoteSentAt = now
		out = append(out, Effect{Kind: EffectPromote, Service: svc.name, Upstream: t.target, Token: t.token})
	}
	return svc.sendCommand(now, t.target, CommandStatus, 0, statusPollInterval, out)
}

// unfence releases the fences.
func (s *State) unfence(now model.Time, svc *serviceState, v *replicaset.View, out []Effect) []Effect {
	t := svc.transition
	remaining := 0
	for i := range v.Members {
		c := &v.Members[i]
		if c.ID == t.target || c.Status.HeldTerm == 0 {
			continue
		}
		remaining++
		out = svc.sendCommand(now, c.ID, CommandResume, t.fenceTerm, commandRetryInterval, out)
	}
	if remaining == 0 || now.Sub(t.phaseStartedAt) > unfenceTimeout {
		return svc.endTransition(now, t.cause, false, out)
	}
	return out
}
