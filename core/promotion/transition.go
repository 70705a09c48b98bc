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
	*freeze
	target model.UpstreamID
	// targetReceived is what the target had received when it was selected.
	targetReceived model.Position
	// steppedDownAt is when this VM learned that the old primary is no longer one, so that it
	// acknowledges no more commits, 0 before. It may have restarted without its log.
	// oldPrimaryLost is true while neither this VM nor a peer reaches it.
	steppedDownAt  model.Time
	oldPrimaryLost bool
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
	if svc.callTookEffect(v) {
		t.target = v.Primary
		return s.targetLed(now, svc, v, in, t.startedAt, out)
	}
	if svc.primaryIsBack(now, v) {
		return svc.endTransition(now, "the primary is back", true, out)
	}
	t.observeOldPrimary(now, v, in)
	if t.planned && t.oldPrimaryLost {
		// Its log cannot be compared any more, and promises that name the target have to end.
		t.planned, svc.withdrawSentAt = false, 0
		fenceTerm := t.fenceTerm
		t.freeze = newFreeze(v, &svc.record)
		t.fenceTerm = fenceTerm
		svc.freeze = t.freeze
		t.enterPhase(now, phaseFence)
	}
	if t.withdrawingSince != 0 && t.promisesEndedAt == 0 && s.confirmationsEnded(now, svc, in) {
		t.promisesEndedAt = now
	}
	former := t.oldPrimary
	if t.observe(now, v, in); t.oldPrimary != former {
		t.steppedDownAt, t.oldPrimaryLost = 0, false
	}
	target, blockedBy := s.selectTarget(now, v, in, svc)
	// A primary that is to be switched over serves until the target has caught up.
	if t.withdrawingSince == 0 && (!t.planned || target != nil) {
		t.withdrawingSince = now
	}
	if t.withdrawingSince != 0 {
		out = svc.withdraw(now, in, out)
	}
	switch {
	case target == nil:
		// blockedBy tells why.
	case svc.otherCallPossible(now, target.ID, in):
		blockedBy = blocked{cause: blockedOtherCall, best: target.ID}
	case t.frozenSince(now, svc) == 0:
		blockedBy = blocked{cause: blockedPromises, best: target.ID}
	}
	if target == nil || blockedBy.cause != "" {
		out = s.reportBlocked(now, svc, v, in, blockedBy, out)
		return t.requestList(now, svc, svc.fenceReplicas(now, v, in, out))
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

// callTookEffect reports whether the target of a promotion call that is still pending says that it leads. The call may be
// one of an earlier lease holder or attempt.
func (svc *serviceState) callTookEffect(v *replicaset.View) bool {
	m := findMember(v, v.Primary)
	return svc.callPending && m != nil && m.ID == svc.record.Upstream && m.FailedSince == 0 && m.StatusAt >= svc.transition.startedAt &&
		v.PrimaryTerm > svc.record.Term && leadsTerm(m, v.PrimaryTerm)
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
	// causeNoPrimary: no upstream says that it is the primary.
	causeNoPrimary = "no primary"
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
func (svc *serviceState) fenceReplicas(now model.Time, v *replicaset.View, in *Input, out []Effect) []Effect {
	t := svc.transition
	t.raiseFenceTerm(v)
	frozenSince := t.frozenSince(now, svc)
	for i := range v.Members {
		c := &v.Members[i]
		switch {
		case t.isOldPrimary(c) && t.steppedDownAt != 0 && hasLog(c, in, svc):
			// It need not be fenced: its log has all that it has acknowledged.
		case t.isOldPrimary(c) && t.steppedDownAt == 0 && t.cause == causeNoPrimary && c.ID == v.Primary && c.StatusAt < t.startedAt:
			// A peer knows it as the primary, so that no other one may be needed.
			out = svc.sendCommand(now, c.ID, CommandStatus, 0, statusPollInterval, out)
		case t.isOldPrimary(c) && t.steppedDownAt == 0 && !t.planned:
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

// isOldPrimary reports whether an upstream is the old primary. Once it has taken part in a later term it is a replica like
// others.
func (t *transition) isOldPrimary(m *replicaset.Member) bool {
	return m.ID == t.oldPrimary && m.Status.Term <= t.oldTerm
}

// fenced reports whether a replica has confirmed during this transition that it is
// fenced.
func (t *transition) fenced(c *replicaset.Member) bool {
	return t.freeze.fenced(c) && c.StatusAt >= t.attemptAt
}

// selectTarget returns the upstream to promote, or why none is safe. The list of
// upstreams has to be newer than the fencing phase, and for a failover newer still (see
// failoverTarget): a replica that was added shortly before may have received commits, and is
// fenced as well once it is known.
func (s *State) selectTarget(now model.Time, v *replicaset.View, in *Input, svc *serviceState) (target *replicaset.Member, b blocked) {
	t := svc.transition
	switch {
	case v.ListedAt < t.phaseStartedAt:
		return nil, blocked{cause: blockedList}
	case t.planned:
		target, b = t.switchoverTarget(now, v, in, svc)
	default:
		target, b = s.failoverTarget(now, v, in, svc)
	}
	if target != nil && target.Status.Received.Compare(t.passedOn(v)) < 0 {
		return nil, blocked{cause: blockedPassedOn, best: target.ID}
	}
	return target, b
}

// switchoverTarget returns the target once all other replicas that answer are fenced and the
// target has received everything that they and the old primary have. A
// replica that has not registered yet may have received commits that the known ones lack;
// only the old primary's log shows that, as it is since frozenSince. In an incomplete group a
// replica that has gone may be the only one that had received a commit, unless the old primary still has its log.
func (t *transition) switchoverTarget(now model.Time, v *replicaset.View, in *Input, svc *serviceState) (*replicaset.Member, blocked) {
	target, oldPrimary, frozenSince := findMember(v, t.target), findMember(v, t.oldPrimary), t.frozenSince(now, svc)
	switch {
	case target == nil:
		return nil, blocked{cause: blockedTargetUnknown, upstream: t.target}
	case v.Incomplete && (oldPrimary == nil || !hasLog(oldPrimary, in, svc)):
		return nil, blocked{cause: blockedIncomplete, best: t.target}
	case target.StatusAt < t.attemptAt:
		return nil, blocked{cause: blockedStatusAge, upstream: t.target, best: t.target}
	}
	for i := range v.Members {
		c := &v.Members[i]
		cause := ""
		switch {
		case c.ID == t.target:
		case c.ID != t.oldPrimary && c.FailedSince != 0 && oldPrimary != nil:
			// What it has proved is in the old primary's log, and VMs pass on only what the target has.
		case c.ID != t.oldPrimary && !t.fenced(c):
			cause = unfencedCause(c)
		case c.ID == t.oldPrimary && c.StatusAt < max(t.attemptAt, frozenSince):
			cause = blockedNotHeard
		case target.Status.Received.Compare(c.Status.Received) < 0:
			cause = blockedAhead
		}
		if cause != "" {
			return nil, blocked{cause: cause, upstream: c.ID, best: t.target}
		}
	}
	return target, blocked{}
}

// failoverTarget returns the upstream to promote once it is certain to have every commit that was
// passed on. If that cannot be found out since upstreams were lost, the most advanced one is as good as another once
// the former primary has not come back for formerPrimaryTimeout. Upstreams that are listed run, and are waited for.
func (s *State) failoverTarget(now model.Time, v *replicaset.View, in *Input, svc *serviceState) (*replicaset.Member, blocked) {
	t := svc.transition
	frozenSince := t.frozenSince(now, svc)
	if frozenSince == 0 {
		return nil, blocked{cause: blockedPromises}
	}
	passedOn := t.passedOn(v)
	candidate := func(c *replicaset.Member) bool {
		return t.candidate(now, c, frozenSince) && c.Status.Received.Compare(passedOn) >= 0
	}
	if again := svc.preferred(v, in, func(c *replicaset.Member) bool { return candidate(c) && t.isSufficient(c.Status.Received) }); again != nil {
		return again, blocked{}
	}
	best := t.mostAdvancedFenced(now, v, in, svc, frozenSince)
	oldPrimary := findMember(v, t.oldPrimary)
	fences, unfenced := t.fencing(v, best, in, svc, frozenSince)
	switch {
	case t.steppedDownAt != 0 && t.oldPrimarySteppedDown(v) && oldPrimary.Status.Term <= t.oldTerm && hasLog(oldPrimary, in, svc):
		target, b := t.targetAfterStepDown(now, v, in, best, oldPrimary, fences, unfenced)
		if target != nil {
			t.found(target.Status.Received)
		}
		return target, b
	case oldPrimary != nil && t.steppedDownAt == 0 && !t.oldPrimaryLost:
		return nil, blocked{cause: blockedPrimaryAnswers, upstream: t.oldPrimary}
	case v.ListedAt < frozenSince:
		return nil, blocked{cause: blockedListAge}
	case best == nil:
		return nil, t.noCandidate(v)
	case fences == fencesPending && now.Sub(max(t.phaseStartedAt, frozenSince)) < pendingFenceTimeout:
		return nil, blocked{cause: unfencedCause(unfenced), upstream: unfenced.ID, best: best.ID}
	}
	target := svc.preferred(v, in, func(c *replicaset.Member) bool {
		return candidate(c) && (t.lacks(now, c, v, in, svc).cause == "" || s.hasAllPassedOn(svc, t.freeze, in, c))
	})
	switch {
	case v.ListedAt < t.aliveAt.Add(registrationTimeout) && (target == nil || !target.Leaving):
		// A replica that had started before the old primary was lost may be missing. It may have commits that were
		// acknowledged, though not passed on. An upstream that leaves would be gone by then.
		return nil, blocked{cause: blockedListAge, best: best.ID}
	case target != nil:
		t.found(target.Status.Received)
		return target, blocked{}
	case (oldPrimary == nil || t.steppedDownAt != 0) && !t.listedMayProve(v, in, frozenSince, best) && now.Sub(max(t.aliveAt, svc.knownSince)) > formerPrimaryTimeout:
		return best, blocked{}
	case best.Status.Received.Compare(passedOn) < 0:
		return nil, blocked{cause: blockedPassedOn, best: best.ID}
	}
	return nil, t.lacks(now, best, v, in, svc)
}

// targetAfterStepDown returns the target after the old primary has stepped down. Its log has
// every acknowledged commit. What no known replica has received of it may have been
// acknowledged through a replica that was not in the list yet, so best is certain only once
// such a replica would be listed. Otherwise the old primary leads again, unless its commits reach no replica.
func (t *transition) targetAfterStepDown(now model.Time, v *replicaset.View, in *Input, best, oldPrimary *replicaset.Member, fences fenceState, unfenced *replicaset.Member) (*replicaset.Member, blocked) {
	switch {
	case best != nil && best.Status.Received.Compare(oldPrimary.Status.Received) >= 0:
		return best, blocked{}
	case fences == fencesPending && (t.cause == causeStalled || now.Sub(max(t.phaseStartedAt, t.steppedDownAt)) < pendingFenceTimeout):
		return nil, blocked{cause: unfencedCause(unfenced), upstream: unfenced.ID}
	case fences != fencesComplete || best == nil || v.Incomplete:
		return oldPrimary, blocked{}
	}
	if until, _ := t.provedUntil(v, in, t.steppedDownAt, best); until != 0 {
		return oldPrimary, blocked{}
	}
	switch {
	case v.ListedAt >= t.steppedDownAt.Add(registrationTimeout):
		return best, blocked{}
	case t.cause != causeStalled && !oldPrimary.Leaving:
		return oldPrimary, blocked{}
	}
	return nil, blocked{cause: blockedListAge, best: best.ID}
}

// fenceState tells which upstreams other than the old primary are fenced.
type fenceState uint8

const (
	// fencesPending: an upstream that is not failing is not fenced yet.
	fencesPending fenceState = iota
	// fencesImpossible: an upstream does not answer, and may have commits that the others lack.
	fencesImpossible
	// fencesComplete: each upstream is fenced, or need not be.
	fencesComplete
)

// fencing returns how far the fencing of the replicas is, and one that is not fenced. best is the most
// advanced fenced one.
func (t *transition) fencing(v *replicaset.View, best *replicaset.Member, in *Input, svc *serviceState, frozenSince model.Time) (state fenceState, unfenced *replicaset.Member) {
	state = fencesComplete
	for i := range v.Members {
		c := &v.Members[i]
		switch {
		case t.isOldPrimary(c) || t.stoppedBeforeEvidence(c, best, in, svc):
		case c.FailedSince == 0 && t.fenced(c) && c.StatusAt >= frozenSince:
		case c.FailedSince != 0 && t.covered(c.ID, best):
		case c.FailedSince == 0:
			return fencesPending, c
		default:
			state, unfenced = fencesImpossible, c
		}
	}
	return state, unfenced
}

// hasLog reports whether an upstream reaches the newest evidence of the primary's log. A
// former primary that does not has restarted without its log.
func hasLog(m *replicaset.Member, in *Input, svc *serviceState) bool {
	e, ok := in.Evidence(svc.name)
	return !ok || m.Status.Received.Compare(e.Position) >= 0
}

// lacks returns why candidate c of a failover may lack a commit that was passed on, by what is
// known of the replicas. A replica that was lost before it could be asked may be the only one that had
// received a commit, and so may one that has more than c. c then needs evidence of the primary's log from
// after the time in which that replica proved commits, or from after the freeze. If this VM cannot know
// whether a replica was lost before its start, c has to reach the newest evidence; that is waited for
// for at most unknownDepartureTimeout, and not at all if there is none.
func (t *transition) lacks(now model.Time, c *replicaset.Member, v *replicaset.View, in *Input, svc *serviceState) blocked {
	until, by := t.provedUntil(v, in, t.frozenSince(now, svc), c)
	by.best = c.ID
	if t.promisesEndedAt != 0 {
		until = min(until, t.promisesEndedAt)
	}
	newest, known := in.Evidence(svc.name)
	covered, ok := in.EvidenceUpTo(svc.name, c.Status.Received)
	switch {
	case t.wholeBefore && (until == 0 || ok && covered.At >= until):
		return blocked{}
	case !t.wholeBefore && until == 0 && !v.MemberLost && (!known || now.Sub(svc.knownSince) > unknownDepartureTimeout):
		return blocked{}
	case by.cause != "" && by.cause != blockedOldEvidence && (t.wholeBefore || !known || newest.At < until):
		return by
	case !known:
		return blocked{cause: blockedNoEvidence, best: c.ID}
	case newest.At < until:
		return blocked{cause: blockedOldEvidence, best: c.ID}
	case t.wholeBefore || c.Status.Received.Compare(newest.Position) < 0:
		return blocked{cause: blockedEvidenceAhead, best: c.ID}
	}
	return blocked{}
}

// candidate reports whether an upstream may be chosen in a failover if it has all commits.
func (t *transition) candidate(now model.Time, c *replicaset.Member, frozenSince model.Time) bool {
	return (!t.isOldPrimary(c) || t.steppedDownAt != 0) && t.fenced(c) && c.StatusAt >= max(frozenSince, c.FailedAt) && c.FailedSince == 0 && now.Sub(c.StatusAt) <= targetStatusMaxAge
}

// preferred returns the upstream that is best to promote among those that ok accepts, nil if there is none: by
// preference, then the one that has received most.
func (svc *serviceState) preferred(v *replicaset.View, in *Input, ok func(*replicaset.Member) bool) *replicaset.Member {
	var best *replicaset.Member
	for i := range v.Members {
		c := &v.Members[i]
		if !ok(c) {
			continue
		}
		if best == nil || svc.preference(c, in) > svc.preference(best, in) ||
			svc.preference(c, in) == svc.preference(best, in) && c.Status.Received.Compare(best.Status.Received) > 0 {
			best = c
		}
	}
	return best
}

// preference ranks upstreams by whether they stay in service, and whether a promotion call for them is pending. That
// comes first where the platform may execute the call after one for another target.
func (svc *serviceState) preference(c *replicaset.Member, in *Input) (rank int) {
	if !c.Leaving && !in.Evacuated(c.Zone) {
		rank += 2
	}
	if svc.callPending && c.ID == svc.record.Upstream {
		rank++
		if !in.FencesChecked {
			rank += 2
		}
	}
	return rank
}

// mostAdvancedFenced returns the fenced replica with the highest received position, or nil if none is fenced.
// Among equals it prefers as preferred does.
func (t *transition) mostAdvancedFenced(now model.Time, v *replicaset.View, in *Input, svc *serviceState, frozenSince model.Time) *replicaset.Member {
	var best *replicaset.Member
	for i := range v.Members {
		c := &v.Members[i]
		if !t.candidate(now, c, frozenSince) {
			continue
		}
		if best == nil {
			best = c
			continue
		}
		order := c.Status.Received.Compare(best.Status.Received)
		if order > 0 || order == 0 && svc.preference(c, in) > svc.preference(best, in) {
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
		return s.targetLed(now, svc, v, in, t.phaseStartedAt, out)
	}
	if target == nil || t.refused || t.targetLostLog(target) || t.targetLost(now, target, in) || now.Sub(t.phaseStartedAt) > promoteTimeout {
		// The next attempt uses a higher fencing token, so that this call can
		// no longer be executed after it if the platform checks tokens. Fences outlast a call without effect.
		t.raiseFenceTerm(v)
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
	if !t.accepted && now.Sub(t.promoteSentAt) > promoteRetryInterval && target.FailedSince == 0 && target.StatusAt >= max(t.promoteSentAt, target.FailedAt) {
		out = s.callPromote(now, svc, v, out)
	}
	return svc.sendCommand(now, t.target, CommandStatus, 0, statusPollInterval, out)
}

// targetLed goes on after the target, which was called for at calledAt or before this transition, has become the primary.
func (s *State) targetLed(now model.Time, svc *serviceState, v *replicaset.View, in *Input, calledAt model.Time, out []Effect) []Effect {
	t := svc.transition
	out = append(out, Effect{
		Kind: EffectTargetLeads, Service: svc.name, Upstream: t.target, Term: v.PrimaryTerm, Cause: t.cause,
		Position: findMember(v, t.target).Status.Received, Elapsed: now.Sub(calledAt), Group: s.report(now, svc, v, in),
	})
	t.enterPhase(now, phaseUnfence)
	return svc.unfence(now, v, svc.recordPrimary(now, v, out))
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

// targetLost reports whether the target does not answer, so that this VM does not repeat its call. If the platform has
// accepted the call, the target may lead as far as peers know.
func (t *transition) targetLost(now model.Time, target *replicaset.Member, in *Input) bool {
	if primaryLost(now, target, in) {
		return true
	}
	return !t.accepted && target.FailedSince != 0 && now.Sub(target.FailedSince) > primaryLostTimeout
}

// startOver returns a failover to the fencing phase after a promotion call that has not led to a new
// primary as far as this VM knows. The call may have been carried out all the same, so the old
// primary and the fences are determined anew.
func (svc *serviceState) startOver(now model.Time, v *replicaset.View) {
	t := svc.transition
	t.enterPhase(now, phaseFence)
	t.attemptAt, t.steppedDownAt = now, 0
	if v.PrimaryTerm > t.oldTerm {
		t.oldPrimaryLost = false
		t.aliveAt = svc.primaryAliveAt
		t.newPrimary(v)
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
