package promotion

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// blockedReportInterval is the minimum time between two reports of one transition, whose causes
// may alternate from tick to tick.
const blockedReportInterval = 100 * time.Millisecond

// Causes for which no target is safe yet.
const (
	blockedPromises         = "promises not ended"
	blockedList             = "list older than the attempt"
	blockedListAge          = "a replica may not be listed yet"
	blockedPrimaryAnswers   = "old primary may still acknowledge commits"
	blockedIncomplete       = "group is incomplete"
	blockedTargetUnknown    = "target is not listed"
	blockedNotHeard         = "upstream has not answered since the freeze"
	blockedStatusAge        = "status of the upstream too old"
	blockedNotFenced        = "upstream not fenced"
	blockedFailing          = "upstream does not answer"
	blockedAhead            = "upstream has commits that the best target lacks"
	blockedNoReplica        = "no replica is listed"
	blockedDepartedNotHeard = "departed upstream had not answered"
	blockedDepartedAhead    = "departed upstream had commits that the best target lacks"
	blockedNoEvidence       = "no evidence"
	blockedOldEvidence      = "evidence older than the loss of a replica"
	blockedEvidenceAhead    = "evidence beyond the best target"
	blockedOtherCall        = "call for another target may take effect"
)

// blocked tells why a transition has no safe target.
type blocked struct {
	cause string
	// upstream is the one that the cause is about, empty if it is about none.
	upstream model.UpstreamID
	// best is the most advanced candidate, empty if there is none.
	best model.UpstreamID
}

// reportBlocked appends an effect if no target is safe for another cause than in the last report.
func (s *State) reportBlocked(now model.Time, svc *serviceState, v *replicaset.View, in *Input, target *replicaset.Member, out []Effect) []Effect {
	t := svc.transition
	if t.blockedReportedAt != 0 && now.Sub(t.blockedReportedAt) < blockedReportInterval {
		return out
	}
	b := t.blockedBy(now, svc, v, in, target)
	if b == t.blocked && t.blockedReportedAt != 0 {
		return out
	}
	t.blocked, t.blockedReportedAt = b, now
	return append(out, Effect{
		Kind: EffectTargetBlocked, Service: svc.name, Upstream: b.upstream, Cause: b.cause, Target: b.best,
		Elapsed: now.Sub(t.phaseStartedAt), Group: s.report(now, svc, v, in),
	})
}

// blockedBy returns what selectTarget and fence wait for, in the order in which they test it. target
// is what selectTarget has returned.
func (t *transition) blockedBy(now model.Time, svc *serviceState, v *replicaset.View, in *Input, target *replicaset.Member) blocked {
	frozenSince := t.frozenSince(now, svc)
	switch {
	case target != nil && svc.otherCallPossible(now, target.ID, in):
		return blocked{cause: blockedOtherCall, best: target.ID}
	case target != nil:
		return blocked{cause: blockedPromises, best: target.ID}
	case v.ListedAt < t.phaseStartedAt:
		return blocked{cause: blockedList}
	case t.planned:
		return t.switchoverBlockedBy(v, frozenSince)
	case frozenSince == 0:
		return blocked{cause: blockedPromises}
	}
	return t.failoverBlockedBy(now, svc, v, in, frozenSince)
}

func (t *transition) switchoverBlockedBy(v *replicaset.View, frozenSince model.Time) blocked {
	target := findMember(v, t.target)
	switch {
	case target == nil:
		return blocked{cause: blockedTargetUnknown, upstream: t.target}
	case v.Incomplete:
		return blocked{cause: blockedIncomplete, best: t.target}
	case target.StatusAt < t.attemptAt:
		return blocked{cause: blockedStatusAge, upstream: t.target, best: t.target}
	}
	for i := range v.Members {
		c := &v.Members[i]
		cause := ""
		switch {
		case c.ID == t.target:
		case c.ID != t.oldPrimary && !t.fenced(c):
			cause = notFencedCause(c)
		case c.ID == t.oldPrimary && c.StatusAt < max(t.attemptAt, frozenSince):
			cause = blockedNotHeard
		case target.Status.Received.Compare(c.Status.Received) < 0:
			cause = blockedAhead
		}
		if cause != "" {
			return blocked{cause: cause, upstream: c.ID, best: t.target}
		}
	}
	return blocked{}
}

func (t *transition) failoverBlockedBy(now model.Time, svc *serviceState, v *replicaset.View, in *Input, frozenSince model.Time) blocked {
	best := t.mostAdvancedFenced(now, v, in, svc, frozenSince)
	b := blocked{}
	if best != nil {
		b.best = best.ID
	}
	oldPrimary := findMember(v, t.oldPrimary)
	switch {
	case t.steppedDownAt != 0 && t.oldPrimarySteppedDown(v) && oldPrimary.Status.Term <= t.oldTerm && hasLog(oldPrimary, in, svc):
		if t.fencing(v, best, in, svc, frozenSince) == fencesComplete {
			b.cause = blockedListAge
			return b
		}
		b.cause, b.upstream = t.unfencedBy(now, svc, v, in, best, frozenSince)
		return b
	case oldPrimary != nil && t.steppedDownAt == 0 && !t.oldPrimaryLost:
		b.cause, b.upstream = blockedPrimaryAnswers, t.oldPrimary
		return b
	case v.ListedAt < max(frozenSince, t.aliveAt.Add(registrationTimeout)):
		b.cause = blockedListAge
		return b
	}
	if b.cause, b.upstream = t.unfencedBy(now, svc, v, in, best, frozenSince); b.cause != "" || best == nil {
		return b
	}
	e, ok := in.Evidence(svc.name)
	switch {
	case !ok:
		b.cause = blockedNoEvidence
	case e.At < v.ReplicaLostAt:
		b.cause = blockedOldEvidence
	default:
		b.cause = blockedEvidenceAhead
	}
	return b
}

// unfencedBy returns the first cause for which the fences of a failover are not complete or best is
// nil. Upstreams that may still be fenced come before those that are missing.
func (t *transition) unfencedBy(now model.Time, svc *serviceState, v *replicaset.View, in *Input, best *replicaset.Member, frozenSince model.Time) (cause string, id model.UpstreamID) {
	for i := range v.Members {
		c := &v.Members[i]
		if c.ID == t.oldPrimary || t.stoppedBeforeEvidence(c, best, in, svc) {
			continue
		}
		received, heard := t.heard[c.ID]
		found := ""
		switch {
		case c.FailedSince != 0 && !heard:
			found = blockedFailing
		case c.FailedSince == 0 && !(t.fenced(c) && c.StatusAt >= frozenSince):
			found = notFencedCause(c)
		case best == nil && c.FailedSince != 0:
			found = blockedFailing
		case best == nil && now.Sub(c.StatusAt) > targetStatusMaxAge:
			found = blockedStatusAge
		case best != nil && best.Status.Received.Compare(received) < 0:
			found = blockedAhead
		}
		if found != "" && (cause == "" || c.FailedSince == 0) {
			cause, id = found, c.ID
		}
		if found != "" && c.FailedSince == 0 {
			return cause, id
		}
	}
	if cause != "" {
		return cause, id
	}
	return t.departedBy(v, best)
}

// departedBy returns the cause for which allAccountedFor is false.
func (t *transition) departedBy(v *replicaset.View, best *replicaset.Member) (cause string, id model.UpstreamID) {
	for member := range t.members {
		if member == t.oldPrimary || findMember(v, member) != nil || t.covered(member, best) || id != "" && id < member {
			continue
		}
		id, cause = member, blockedDepartedAhead
		if _, heard := t.heard[member]; !heard {
			cause = blockedDepartedNotHeard
		}
	}
	if id == "" && best == nil {
		cause = blockedNoReplica
	}
	return cause, id
}

// notFencedCause tells a replica that is not fenced from one whose fence is not known to hold still.
func notFencedCause(c *replicaset.Member) string {
	switch {
	case c.FailedSince != 0:
		return blockedFailing
	case c.Status.FencedTerm != 0:
		return blockedNotHeard
	}
	return blockedNotFenced
}
