package promotion

import (
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// phase is a phase of a transition.
type phase uint8

const (
	// phaseFence: the replicas are being fenced until a safe target is known.
	phaseFence phase = iota
	// phasePromote: the platform has been called to promote the target.
	phasePromote
	// phaseUnfence: the target is the primary and the fences are being released.
	phaseUnfence
)

// transition is a change of one service's primary.
type transition struct {
	// planned is true for a switchover and false for a failover.
	planned   bool
	cause     string
	startedAt model.Time
	// attemptAt is when the present attempt to find a target started.
	attemptAt      model.Time
	phase          phase
	phaseStartedAt model.Time
	// oldPrimary is the primary at the start, empty if none was known.
	oldPrimary model.UpstreamID
	// oldTerm is the term of the old primary.
	oldTerm uint64
	// members are the upstreams that were known at the start or since.
	members map[model.UpstreamID]bool
	// fenceTerm is the term for which upstreams are fenced; it is higher than
	// all terms known before.
	fenceTerm uint64
	target    model.UpstreamID
	// targetReceived is what the target had received when it was selected.
	targetReceived model.Position
	// withdrawn are the VMs that have dropped the primary during this transition, with
	// the time at which the vouchers that they gave end.
	withdrawn map[model.VMID]model.Time
	// withdrawnAt is when a VM last reported that, 0 before.
	withdrawnAt model.Time
	// withdrawingSince is when VMs were first told to drop the primary, 0 before. From then on
	// it is not confirmed any more.
	withdrawingSince model.Time
	// steppedDownAt is when this VM learned that the old primary is no longer one, so that it
	// acknowledges no more commits, 0 before. It may have restarted without its log.
	// oldPrimaryLost is true while neither this VM nor a peer reaches it.
	steppedDownAt  model.Time
	oldPrimaryLost bool
	// promisesEndedAt is when the last promise of the old primary had ended, but for those that
	// name the target of a switchover; 0 before. From then on VMs pass on only commits that
	// this target has.
	promisesEndedAt model.Time
	// heard has what each upstream had received when it answered since frozenSince: all commits
	// in its log that VMs have passed on, but for the target of a switchover.
	heard map[model.UpstreamID]model.Position
	// aliveAt is when the old primary, or the last known one if there was none at the start,
	// last answered this VM or a peer as the primary, 0 if never.
	aliveAt model.Time
	// listNeededAt is when a list of upstreams was last asked for.
	listNeededAt model.Time
	// blocked is the last reported cause for which no target is safe, blockedReportedAt the time of
	// that report.
	blocked           blocked
	blockedReportedAt model.Time

	// token is the fencing token of the last promotion call.
	token         uint64
	promoteSentAt model.Time
	// accepted and refused tell the platform's answer to the last promotion
	// call. While neither is set, the call is retried.
	accepted bool
	refused  bool
}

// handleOutcome records the outcome of the last promotion call.
func (t *transition) handleOutcome(o Outcome) {
	switch o {
	case OutcomeAccepted:
		t.accepted = true
	case OutcomeRefused:
		t.refused = true
	}
}

// advance runs the current phase of a transition.
func (s *State) advance(now model.Time, svc *serviceState, v *replicaset.View, in *Input, out []Effect) []Effect {
	t := svc.transition
	if t.phaseStartedAt == 0 {
		t.phaseStartedAt = now
	}
	switch t.phase {
	case phaseFence:
		return s.fence(now, svc, v, in, out)
	case phasePromote:
		return s.promote(now, svc, v, in, out)
	}
	return svc.unfence(now, v, out)
}

func (t *transition) enterPhase(now model.Time, p phase) { t.phase, t.phaseStartedAt = p, now }

// endTransition ends a transition. Remaining fences are released by later ticks.
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

// selectSwitchoverTarget selects the target of a switchover: the target of a promotion
// call that is still pending, otherwise the most advanced reachable replica that is not
// leaving and not in an evacuated zone. It returns false if there is none.
func (t *transition) selectSwitchoverTarget(now model.Time, svc *serviceState, v *replicaset.View, in *Input) bool {
	if t.cause == causeUnfinished {
		t.target = svc.record.Upstream
		return true
	}
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

// fence fences the replicas and calls for the promotion once a target is safe.
func (s *State) fence(now model.Time, svc *serviceState, v *replicaset.View, in *Input, out []Effect) []Effect {
	t := svc.transition
	limit := fenceTimeout
	if t.planned {
		limit = catchUpTimeout
	}
	if now.Sub(max(t.phaseStartedAt, t.withdrawingSince)) > limit {
		group := s.report(now, svc, v, in)
		out = svc.endTransition(now, "no target is safe in time", true, out)
		out[len(out)-1].Group = group
		return out
	}
	if svc.primaryIsBack(now, v) {
		return svc.endTransition(now, "the primary is back", true, out)
	}
	t.observeOldPrimary(now, v, in)
	if t.planned && t.oldPrimaryLost {
		// Its log cannot be compared any more, and promises that name the target have to end.
		t.planned, t.withdrawingSince, t.promisesEndedAt = false, 0, 0
		t.withdrawn, svc.withdrawSentAt = map[model.VMID]model.Time{}, 0
		clear(t.heard)
		t.enterPhase(now, phaseFence)
	}
	if t.withdrawingSince != 0 && t.promisesEndedAt == 0 && s.confirmationsEnded(now, svc, in) {
		t.promisesEndedAt = now
	}
	t.hear(now, svc, v)
	target := t.selectTarget(now, v, in, svc)
	// A primary that is to be switched over serves until the target has caught up.
	if t.withdrawingSince == 0 && (!t.planned || target != nil) {
		t.withdrawingSince = now
	}
	if t.withdrawingSince != 0 {
		out = svc.withdraw(now, in, out)
	}
	if target == nil || svc.otherCallPossible(now, target.ID, in) || t.frozenSince(now, svc) == 0 {
		out = s.reportBlocked(now, svc, v, in, target, out)
		return t.requestList(now, svc, svc.fenceReplicas(now, v, out))
	}
	t.target, t.targetReceived, t.token = target.ID, target.Status.Received, s.token()
	t.accepted, t.refused = false, false
	t.enterPhase(now, phasePromote)
	out = append(out, Effect{
		Kind: EffectTargetSelected, Service: svc.name, Upstream: t.target, Cause: t.cause, Position: target.Status.Received, Term: t.fenceTerm,
		Members: len(v.Members), OldPosition: t.oldPosition(v), SteppedDown: t.steppedDownAt != 0, Group: s.report(now, svc, v, in),
	})
	return s.callPromote(now, svc, v, out)
}

// frozenSince returns the time since which VMs pass no commit on, but for those that the target of a
// switchover has: the last promise of the old primary has ended, or it has stepped down; 0 before. Only
// if no call is pending, the old primary is certain to be the one that was promised.
func (t *transition) frozenSince(now model.Time, svc *serviceState) model.Time {
	if t.steppedDownAt != 0 && !svc.uncertain(now) && (t.promisesEndedAt == 0 || t.steppedDownAt < t.promisesEndedAt) {
		return t.steppedDownAt
	}
	return t.promisesEndedAt
}

// hear records what upstreams had received when they answered since frozenSince. One that has
// restarted without its log counts with what it had before.
func (t *transition) hear(now model.Time, svc *serviceState, v *replicaset.View) {
	since := t.frozenSince(now, svc)
	for i := range v.Members {
		m := &v.Members[i]
		t.members[m.ID] = true
		if since != 0 && m.StatusAt >= since {
			t.heard[m.ID] = t.heard[m.ID].Max(m.Status.Received)
		}
	}
}

// covered reports whether an upstream has answered since frozenSince, and best has all that it had
// received then. It need not answer any more.
func (t *transition) covered(id model.UpstreamID, best *replicaset.Member) bool {
	received, found := t.heard[id]
	return found && best != nil && best.Status.Received.Compare(received) >= 0
}

// primaryIsBack reports whether the primary whose loss is the cause of the transition answers
// again, so that no other one is needed. After a crash it may come back under another ID.
func (svc *serviceState) primaryIsBack(now model.Time, v *replicaset.View) bool {
	t := svc.transition
	if t.planned || t.cause == causeStalled || t.cause == causeUnfinished || svc.callPending {
		return false
	}
	m := findMember(v, v.Primary)
	if m == nil || !reachable(now, m) || m.ContactAt <= t.startedAt {
		return false
	}
	return m.ID == t.oldPrimary || m.Status.Primary && m.StatusAt > t.startedAt
}

// callPromote calls the platform to promote the target of the transition.
func (s *State) callPromote(now model.Time, svc *serviceState, v *replicaset.View, out []Effect) []Effect {
	t := svc.transition
	t.promoteSentAt = now
	retargeted := svc.callPending && svc.record.Upstream != t.target
	if retargeted {
		s.recordLateCall(now, svc, svc.record.Upstream)
	}
	if !svc.callPending || retargeted {
		svc.record = Record{Upstream: t.target, Term: v.PrimaryTerm, Late: svc.lateTargets(now, "")}
	}
	svc.callPending, svc.calledAt = true, now
	svc.unknownCalls++
	return append(out, Effect{Kind: EffectPromote, Service: svc.name, Upstream: t.target, Token: t.token, Record: svc.record})
}

// Causes of transitions that are treated differently from others.
const (
	causeStalled = "replicas receive nothing"
	// causeUnfinished: a promotion call of an earlier transition may still be
	// executed, so the promotion is completed, or another one made if its target cannot
	// be reached.
	causeUnfinished = "unfinished promotion"
)

// oldPrimarySteppedDown reports whether the old primary has confirmed during this
// transition that it is a replica.
func (t *transition) oldPrimarySteppedDown(v *replicaset.View) bool {
	m := findMember(v, t.oldPrimary)
	return m != nil && !m.Status.Primary && m.StatusAt >= t.attemptAt && m.Status.Term != 0
}

// observeOldPrimary records whether the old primary may still acknowledge commits.
func (t *transition) observeOldPrimary(now model.Time, v *replicaset.View, in *Input) {
	m := findMember(v, t.oldPrimary)
	if m == nil {
		return
	}
	switch {
	case reachable(now, m):
		t.oldPrimaryLost = false
	case primaryLost(now, m, in):
		t.oldPrimaryLost = true
	}
	switch isReplica := !m.Status.Primary && m.StatusAt >= t.attemptAt; {
	case !isReplica:
		t.steppedDownAt = 0
		t.aliveAt = max(t.aliveAt, m.ContactAt, in.PeerContact(m.ID))
	case t.steppedDownAt == 0:
		t.steppedDownAt = now
	}
}

// oldPosition returns the last known end of the old primary's log.
func (t *transition) oldPosition(v *replicaset.View) model.Position {
	if m := findMember(v, t.oldPrimary); m != nil {
		return m.Status.Received
	}
	return model.Position{}
}

// requestList asks for a list of upstreams while the target may depend on a replica that
// has not registered yet.
func (t *transition) requestList(now model.Time, svc *serviceState, out []Effect) []Effect {
	if t.planned || now.Sub(t.listNeededAt) < listRefreshInterval {
		return out
	}
	t.listNeededAt = now
	return append(out, Effect{Kind: EffectListNeeded, Service: svc.name})
}

// fenceReplicas fences the replicas that may still receive commits. In a switchover
// the target keeps receiving, so that it gets all new commits, and the old primary is asked
// how far its log reaches. In a failover the old primary is told to step down, in case it
// still runs.
func (svc *serviceState) fenceReplicas(now model.Time, v *replicaset.View, out []Effect) []Effect {
	t := svc.transition
	frozenSince := t.frozenSince(now, svc)
	for i := range v.Members {
		c := &v.Members[i]
		switch {
		case c.ID == t.oldPrimary && t.steppedDownAt != 0:
		case c.ID == t.oldPrimary && !t.planned:
			out = svc.sendCommand(now, c.ID, CommandStepDown, t.fenceTerm, commandRetryInterval, out)
		case t.planned && c.ID == t.target && c.Status.FencedTerm != 0:
			// An earlier transition has fenced the target.
			out = svc.sendCommand(now, c.ID, CommandResume, c.Status.FencedTerm, commandRetryInterval, out)
		case t.planned && (c.ID == t.target || c.ID == t.oldPrimary):
			out = svc.sendCommand(now, c.ID, CommandStatus, 0, statusPollInterval, out)
		case !t.planned && c.Status.Primary && c.FailedSince == 0:
			// The old primary has come back under another ID.
			out = svc.sendCommand(now, c.ID, CommandStepDown, t.fenceTerm, commandRetryInterval, out)
		case !t.planned && frozenSince == 0:
			// Commits that VMs still pass on would be acknowledged through replicas that are not
			// listed, if the listed ones were fenced.
		case c.Status.FencedTerm < t.fenceTerm:
			out = svc.sendCommand(now, c.ID, CommandPause, t.fenceTerm, commandRetryInterval, out)
		case !t.planned && (c.StatusAt < max(frozenSince, t.attemptAt) || now.Sub(c.StatusAt) > targetStatusRefreshAge):
			out = svc.sendCommand(now, c.ID, CommandStatus, 0, statusPollInterval, out)
		}
	}
	return out
}

// fenced reports whether a replica has confirmed during this transition that it is
// fenced.
func (t *transition) fenced(c *replicaset.Member) bool {
	return c.Status.FencedTerm >= t.fenceTerm && c.StatusAt >= t.attemptAt
}

// selectTarget returns the upstream to promote, or nil while none is safe. The list of
// upstreams has to be newer than the fencing phase, and for a failover newer still (see
// failoverTarget): a replica that was added shortly before may have received commits, and is
// fenced as well once it is known.
func (t *transition) selectTarget(now model.Time, v *replicaset.View, in *Input, svc *serviceState) *replicaset.Member {
	switch {
	case v.ListedAt < t.phaseStartedAt:
		return nil
	case t.planned:
		return t.switchoverTarget(v, t.frozenSince(now, svc))
	}
	return t.failoverTarget(now, v, in, svc)
}

// switchoverTarget returns the target once all other replicas are fenced and the
// target has received everything that they and the old primary have, otherwise nil. A
// replica that has not registered yet may have received commits that the known ones lack;
// only the old primary's log shows that, as it is since frozenSince. In an incomplete group a
// replica that has gone may be the only one that had received a commit.
func (t *transition) switchoverTarget(v *replicaset.View, frozenSince model.Time) *replicaset.Member {
	target := findMember(v, t.target)
	if target == nil || v.Incomplete || target.StatusAt < t.attemptAt {
		return nil
	}
	for i := range v.Members {
		c := &v.Members[i]
		switch {
		case c.ID == t.target:
			continue
		case c.ID != t.oldPrimary:
			if !t.fenced(c) {
				return nil
			}
		case c.StatusAt < max(t.attemptAt, frozenSince):
			return nil
		}
		if target.Status.Received.Compare(c.Status.Received) < 0 {
			return nil
		}
	}
	return target
}

// failoverTarget returns the upstream to promote once it is certain to have every
// acknowledged commit, otherwise nil. While the old primary may still acknowledge commits,
// no upstream is certain to: a replica that has not registered yet counts for
// acknowledgements and is not fenced.
func (t *transition) failoverTarget(now model.Time, v *replicaset.View, in *Input, svc *serviceState) *replicaset.Member {
	frozenSince := t.frozenSince(now, svc)
	if frozenSince == 0 {
		return nil
	}
	best := t.mostAdvancedFenced(now, v, in, svc, frozenSince)
	oldPrimary := findMember(v, t.oldPrimary)
	fences := t.fencing(v, best, in, svc, frozenSince)
	switch {
	case t.steppedDownAt != 0 && t.oldPrimarySteppedDown(v) && oldPrimary.Status.Term <= t.oldTerm && hasLog(oldPrimary, in, svc):
		return t.targetAfterStepDown(v, best, oldPrimary, fences)
	case oldPrimary != nil && t.steppedDownAt == 0 && !t.oldPrimaryLost:
		return nil
	case v.ListedAt < max(frozenSince, t.aliveAt.Add(registrationTimeout)):
		// A replica that had started before the old primary was lost may be missing.
		return nil
	case fences == fencesComplete && best != nil && t.hasAllCommits(now, best, oldPrimary, v, in, svc):
		return best
	}
	return nil
}

// targetAfterStepDown returns the target after the old primary has stepped down. Its log has
// every acknowledged commit. What no known replica has received of it may have been
// acknowledged through a replica that was not in the list yet, so best is certain only once
// such a replica would be listed. Otherwise the old primary leads again.
func (t *transition) targetAfterStepDown(v *replicaset.View, best, oldPrimary *replicaset.Member, fences fenceState) *replicaset.Member {
	switch {
	case best != nil && best.Status.Received.Compare(oldPrimary.Status.Received) >= 0:
		return best
	case fences == fencesPending:
		return nil
	case fences == fencesImpossible || best == nil || v.Incomplete:
		return oldPrimary
	case v.ListedAt < t.steppedDownAt.Add(registrationTimeout):
		return nil
	}
	return best
}

// fenceState tells which upstreams other than the old primary are fenced.
type fenceState uint8

const (
	// fencesPending: an upstream that is not failing is not fenced yet.
	fencesPending fenceState = iota
	// fencesImpossible: an upstream is missing, or does not answer and is not fenced.
	fencesImpossible
	// fencesComplete: no upstream is missing, and each one is fenced or had stopped before
	// the newest evidence.
	fencesComplete
)

// fencing returns how far the fencing of the replicas is. best is the most advanced fenced one.
func (t *transition) fencing(v *replicaset.View, best *replicaset.Member, in *Input, svc *serviceState, frozenSince model.Time) fenceState {
	state := fencesComplete
	if !t.allAccountedFor(v, best) {
		state = fencesImpossible
	}
	for i := range v.Members {
		c := &v.Members[i]
		switch {
		case c.ID == t.oldPrimary || t.stoppedBeforeEvidence(c, best, in, svc):
		case t.covered(c.ID, best) && (t.fenced(c) && c.StatusAt >= frozenSince || c.FailedSince != 0):
		case c.FailedSince == 0:
			return fencesPending
		default:
			state = fencesImpossible
		}
	}
	return state
}

// hasLog reports whether an upstream reaches the newest evidence of the primary's log. A
// former primary that does not has restarted without its log.
func hasLog(m *replicaset.Member, in *Input, svc *serviceState) bool {
	e, ok := in.Evidence(svc.name)
	return !ok || m.Status.Received.Compare(e.Position) >= 0
}

// allAccountedFor reports whether all upstreams that were known during the transition are still
// known, or have nothing that best lacks. One that has been removed may have received commits until
// then.
func (t *transition) allAccountedFor(v *replicaset.View, best *replicaset.Member) bool {
	for id := range t.members {
		if id != t.oldPrimary && findMember(v, id) == nil && !t.covered(id, best) {
			return false
		}
	}
	return true
}

// hasAllCommits reports whether best, the most advanced fenced replica, has every
// acknowledged commit. If another replica has disappeared, commits may have been
// acknowledged by that one only. best must then reach the position of the newest
// evidence of the primary's log, and that has to be from after the disappearance. If the old
// primary is gone as well, it may still come back with its log, for at most
// formerPrimaryTimeout. If this VM saw no replica go, it waits for at most
// unknownDepartureTimeout, and not at all without evidence.
func (t *transition) hasAllCommits(now model.Time, best, oldPrimary *replicaset.Member, v *replicaset.View, in *Input, svc *serviceState) bool {
	if !v.Incomplete || oldPrimary == nil && now.Sub(max(t.aliveAt, svc.knownSince)) > formerPrimaryTimeout {
		return true
	}
	e, ok := in.Evidence(svc.name)
	if !v.MemberLost && (!ok || now.Sub(svc.knownSince) > unknownDepartureTimeout) {
		return true
	}
	if !ok || e.At < v.ReplicaLostAt {
		return false
	}
	return best.Status.Received.Compare(e.Position) >= 0
}

// mostAdvancedFenced returns the fenced replica with the highest received position,
// or nil if none is fenced. Among equals it prefers the target of a promotion call that
// is still pending, then one that stays in service.
func (t *transition) mostAdvancedFenced(now model.Time, v *replicaset.View, in *Input, svc *serviceState, frozenSince model.Time) *replicaset.Member {
	var best *replicaset.Member
	preference := func(c *replicaset.Member) int {
		switch {
		case svc.callPending && c.ID == svc.record.Upstream:
			return 2
		case !c.Leaving && !in.Evacuated(c.Zone):
			return 1
		}
		return 0
	}
	for i := range v.Members {
		c := &v.Members[i]
		if c.ID == t.oldPrimary || !t.fenced(c) || c.StatusAt < frozenSince || c.FailedSince != 0 || now.Sub(c.StatusAt) > targetStatusMaxAge {
			continue
		}
		if best == nil {
			best = c
			continue
		}
		order := c.Status.Received.Compare(best.Status.Received)
		if order > 0 || order == 0 && preference(c) > preference(best) {
			best = c
		}
	}
	return best
}

// stoppedBeforeEvidence reports whether replica c, which cannot be fenced, had
// certainly stopped before the newest evidence of the primary's log, and best has
// received the log up to that evidence. Then c is not needed: best has all commits
// before the evidence, and all later ones needed another replica than c.
func (t *transition) stoppedBeforeEvidence(c, best *replicaset.Member, in *Input, svc *serviceState) bool {
	if c.RefusedSince == 0 || best == nil {
		return false
	}
	e, ok := in.Evidence(svc.name)
	return ok && c.RefusedSince < e.At && best.Status.Received.Compare(e.Position) >= 0
}

// promote waits until the target is the primary, and retries the promotion call
// while it is unanswered.
func (s *State) promote(now model.Time, svc *serviceState, v *replicaset.View, in *Input, out []Effect) []Effect {
	t := svc.transition
	target := findMember(v, t.target)
	if svc.targetLeads(v, target) {
		out = append(out, Effect{
			Kind: EffectTargetLeads, Service: svc.name, Upstream: t.target, Term: v.PrimaryTerm, Cause: t.cause,
			Position: target.Status.Received, Elapsed: now.Sub(t.phaseStartedAt), Group: s.report(now, svc, v, in),
		})
		t.enterPhase(now, phaseUnfence)
		return svc.unfence(now, v, svc.recordPrimary(now, v, out))
	}
	if target == nil || t.refused || t.targetLostLog(target) || now.Sub(t.phaseStartedAt) > promoteTimeout {
		// The next attempt uses a higher fencing token, so that this call can
		// no longer be executed after it if the platform checks tokens.
		t.fenceTerm = highestTerm(v) + 1
		if svc.unknownCalls <= 0 {
			out = svc.recordPrimary(now, v, out)
		}
		if t.planned {
			return svc.endTransition(now, "the promotion was refused", true, out)
		}
		svc.startOver(now, v)
		return append(out, Effect{Kind: EffectListNeeded, Service: svc.name})
	}
	// A target that has not answered since the last call may have restarted without its log.
	if !t.accepted && now.Sub(t.promoteSentAt) > promoteRetryInterval && target.FailedSince == 0 && target.StatusAt >= t.promoteSentAt {
		out = s.callPromote(now, svc, v, out)
	}
	return svc.sendCommand(now, t.target, CommandStatus, 0, statusPollInterval, out)
}

// targetLeads reports whether the target has become the primary, by its own answer or, if it does
// not answer this VM, by that of another one.
func (svc *serviceState) targetLeads(v *replicaset.View, target *replicaset.Member) bool {
	t := svc.transition
	if target == nil || v.Primary != t.target {
		return false
	}
	return target.Status.Primary && target.StatusAt >= t.phaseStartedAt || target.FailedSince != 0 && v.PrimaryTerm > svc.record.Term
}

// targetLostLog reports whether the target has restarted without its log since it was selected.
func (t *transition) targetLostLog(target *replicaset.Member) bool {
	return target.StatusAt >= t.phaseStartedAt && !target.Status.Primary && target.Status.Received.Compare(t.targetReceived) < 0
}

// startOver returns a failover to the fencing phase after a promotion call that has not led to a new
// primary as far as this VM knows. The call may have been carried out all the same, so the old
// primary and the fences are determined anew.
func (svc *serviceState) startOver(now model.Time, v *replicaset.View) {
	t := svc.transition
	t.enterPhase(now, phaseFence)
	t.attemptAt, t.steppedDownAt = now, 0
	if v.PrimaryTerm > t.oldTerm {
		t.oldPrimary, t.oldTerm, t.oldPrimaryLost = v.Primary, v.PrimaryTerm, false
		t.aliveAt = svc.primaryAliveAt
		// The promotion has discarded what its primary lacked.
		clear(t.heard)
	}
}

// unfence releases the fences, tells the old primary to step down if it still serves,
// and ends the transition.
func (svc *serviceState) unfence(now model.Time, v *replicaset.View, out []Effect) []Effect {
	t := svc.transition
	out = svc.stepDownFormerPrimaries(now, v, out)
	remaining := 0
	for i := range v.Members {
		c := &v.Members[i]
		if c.ID == t.target || c.Status.FencedTerm == 0 {
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
