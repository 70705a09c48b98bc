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
	blockedPromises       = "promises not ended"
	blockedList           = "list older than the attempt"
	blockedListAge        = "a replica may not be listed yet"
	blockedPrimaryAnswers = "old primary may still acknowledge commits"
	blockedIncomplete     = "group is incomplete"
	blockedTargetUnknown  = "target is not listed"
	blockedNotHeard       = "upstream has not answered since the freeze"
	blockedStatusAge      = "status of the upstream too old"
	blockedNotFenced      = "upstream not fenced"
	blockedFailing        = "upstream does not answer"
	blockedAhead          = "upstream has commits that the best target lacks"
	blockedNoReplica      = "no replica is listed"
	blockedLostNotHeard   = "lost upstream had not answered"
	blockedLostAhead      = "lost upstream had commits that the best target lacks"
	blockedNoEvidence     = "no evidence"
	blockedOldEvidence    = "evidence older than the loss of a replica"
	blockedEvidenceAhead  = "evidence beyond the best target"
	blockedInherited      = "best target may lack what the old primary began with"
	blockedPassedOn       = "best target lacks commits that were passed on"
	blockedOtherCall      = "call for another target may take effect"
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
func (s *State) reportBlocked(now model.Time, svc *serviceState, v *replicaset.View, in *Input, b blocked, out []Effect) []Effect {
	t := svc.transition
	if t.blockedReportedAt != 0 && (b == t.blocked || now.Sub(t.blockedReportedAt) < blockedReportInterval) {
		return out
	}
	t.blocked, t.blockedReportedAt = b, now
	return append(out, Effect{
		Kind: EffectTargetBlocked, Service: svc.name, Upstream: b.upstream, Cause: b.cause, Target: b.best,
		Elapsed: now.Sub(t.phaseStartedAt), Group: s.report(now, svc, v, in),
	})
}

// unfencedCause returns why an upstream does not count as fenced.
func unfencedCause(c *replicaset.Member) string {
	switch {
	case c.FailedSince != 0:
		return blockedFailing
	case c.Status.FencedTerm != 0:
		return blockedNotHeard
	}
	return blockedNotFenced
}

// noCandidate returns why no replica is a candidate in a failover.
func (t *transition) noCandidate(v *replicaset.View) blocked {
	b := blocked{cause: blockedNoReplica}
	for i := range v.Members {
		c := &v.Members[i]
		if t.isOldPrimary(c) || b.upstream != "" && c.FailedSince != 0 {
			continue
		}
		b = blocked{cause: unfencedCause(c), upstream: c.ID}
		if c.FailedSince == 0 {
			break
		}
	}
	return b
}
