package routing

import (
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// startBatch credits the workspace's retry budget and routes a new batch.
func (s *State) startBatch(now model.Time, ev *Event, out []Effect) []Effect {
	s.retryBudget(ev.Workspace).deposit()
	slot := s.allocate(ev.ID)
	s.batches[slot] = newBatch(ev)
	return s.route(now, slot, out)
}

// route sends a batch to the best upstream, queues it for a later retry if
// there is none, or fails it if its group is gone or its deadline has passed.
func (s *State) route(now model.Time, slot int32, out []Effect) []Effect {
	b := &s.batches[slot]
	g := s.groups[b.database]
	if g == nil {
		b.code = sqlstate.UpstreamUnavailable
		return s.fail(slot, out)
	}
	if now >= b.deadline {
		return s.fail(slot, out)
	}
	if b.needsPrimary() {
		i := g.choosePrimary(now, b)
		if i < 0 || b.hasTried(i) {
			return s.waitForRetry(now, slot, i < 0, out)
		}
		b.isProbe = g.primary == ""
		return s.send(now, slot, g, i, out)
	}
	i := g.chooseRead(now, b, s.zone)
	if i < 0 {
		return s.waitForRetry(now, slot, false, out)
	}
	return s.send(now, slot, g, i, out)
}

// isExemptFromBudget reports whether the next attempt of b is not charged to the
// retry budget: the first attempt of a batch, a probe, and the first attempt
// after a primary became known. Probes and retries on a new primary are exempt
// because the batches that wait for the primary would otherwise exhaust the
// budget, and none could find it any more. Retries of batches that may have run
// are always charged.
func (g *group) isExemptFromBudget(b *batch) bool {
	if b.attempt == 0 {
		return true
	}
	if !b.needsPrimary() || b.mayHaveRun {
		return false
	}
	return b.isProbe || b.primaryVersion < g.primaryVersion
}

// send sends a batch to member i. If the attempt is not exempt and the retry
// budget is exhausted, the batch waits instead, or fails if it may have run.
func (s *State) send(now model.Time, slot int32, g *group, i int, out []Effect) []Effect {
	b := &s.batches[slot]
	if !g.isExemptFromBudget(b) && !s.retryBudget(b.workspace).tryWithdraw() {
		if b.mayHaveRun {
			return s.fail(slot, out)
		}
		return s.waitForRetry(now, slot, false, out)
	}
	m := &g.members[i]
	standby, _ := m.reachableHolder(now)
	m.outstanding++
	b.setTried(i)
	b.attempt++
	b.primaryVersion = g.primaryVersion
	b.upstream = m.ID
	b.sentAt = now
	return append(out, Effect{Kind: Send, ID: b.id, Attempt: b.attempt, Upstream: m.ID, Standby: standby})
}

// waitForRetry queues a batch until its backoff has passed or, if awaitsPrimary
// is set, until a primary becomes known.
func (s *State) waitForRetry(now model.Time, slot int32, awaitsPrimary bool, out []Effect) []Effect {
	b := &s.batches[slot]
	b.upstream = ""
	b.tried = 0
	b.isProbe = false
	b.waiting = true
	b.awaitsPrimary = awaitsPrimary
	b.retryAt = now.Add(b.nextBackoff())
	s.endProbe(b)
	s.waiting = append(s.waiting, slot)
	return out
}

// endProbe allows another batch to probe for the primary if b was the probe.
func (s *State) endProbe(b *batch) {
	if g := s.groups[b.database]; g != nil && g.probeBatch == b.id {
		g.probing = false
	}
}

// fail ends a batch with a Fail effect.
func (s *State) fail(slot int32, out []Effect) []Effect {
	out = append(out, s.batches[slot].failure())
	s.release(slot)
	return out
}

// retryWaiting routes the waiting batches that are due, which fails those past
// their deadline.
func (s *State) retryWaiting(now model.Time, out []Effect) []Effect {
	list := s.waiting
	s.waiting = s.spareWaiting[:0]
	s.spareWaiting = list
	for _, slot := range list {
		b := &s.batches[slot]
		if !s.isDue(now, b) {
			s.waiting = append(s.waiting, slot)
			continue
		}
		b.waiting = false
		out = s.route(now, slot, out)
	}
	return out
}

// isDue reports whether a waiting batch has to be routed again: its backoff or
// deadline has passed, the primary that it waits for is known, or its group is
// gone.
func (s *State) isDue(now model.Time, b *batch) bool {
	g := s.groups[b.database]
	return g == nil || now >= b.retryAt || now >= b.deadline || (b.awaitsPrimary && g.primary != "")
}

// endAttempt processes the result of an attempt, then finishes or retries its
// batch. Results of earlier attempts and of finished batches are ignored.
func (s *State) endAttempt(now model.Time, ev *Event, out []Effect) []Effect {
	slot, found := s.slotByID[ev.ID]
	if !found {
		return out
	}
	b := &s.batches[slot]
	if b.waiting || b.attempt != ev.Attempt {
		return out
	}
	g := s.groups[b.database]
	primaryLearned := false
	if g != nil {
		g.removeOutstanding(b.upstream)
		g.observeApplied(b.upstream, ev.Applied)
		primaryLearned = g.observePrimary(ev.Primary, ev.PrimaryTerm)
		primaryLearned = s.observeOutcome(now, g, b, ev) || primaryLearned
	}
	s.endProbe(b)
	b.isProbe = false
	out = s.finishOrRetry(now, slot, ev, out)
	if primaryLearned {
		out = s.retryWaiting(now, out)
	}
	return out
}

// observeOutcome updates the latency, staleness and primary of the group from
// the outcome of an attempt. It returns whether the primary became known.
func (s *State) observeOutcome(now model.Time, g *group, b *batch, ev *Event) bool {
	switch {
	case ev.Outcome == Done:
		g.recordLatency(b.upstream, now.Sub(b.sentAt))
		return b.needsPrimary() && g.confirmPrimary(b.upstream)
	case ev.Outcome == FailedNotSent:
		g.suspectPrimary(b.upstream)
	case ev.Outcome != Refused:
	case ev.Code == sqlstate.UpstreamUnavailable || ev.Code == sqlstate.NoMajority:
		g.suspectPrimary(b.upstream)
	case ev.Code == sqlstate.NoFreshReplica:
		if i := g.memberIndex(b.upstream); i >= 0 {
			g.members[i].staleUntil = now.Add(stalePenaltyTime)
		}
	case ev.Code == sqlstate.NoPrimary || ev.Code == sqlstate.ReadOnly:
		g.suspectPrimary(b.upstream)
	}
	return false
}

// finishOrRetry ends a batch after an attempt, or routes it again.
func (s *State) finishOrRetry(now model.Time, slot int32, ev *Event, out []Effect) []Effect {
	b := &s.batches[slot]
	switch ev.Outcome {
	case Done:
		s.release(slot)
		return out
	case FailedMidResponse:
		b.mayHaveRun = true
		return s.fail(slot, out)
	case FailedMaybeSent:
		b.mayHaveRun = true
		if !b.isIdempotent() {
			return s.fail(slot, out)
		}
		return s.route(now, slot, out)
	case FailedNotSent:
		b.code = sqlstate.UpstreamUnavailable
		return s.route(now, slot, out)
	}
	b.code = ev.Code
	if ev.Code == sqlstate.ReadOnly {
		b.class = model.Write
	}
	// An upstream that answers ReadOnly shows that the batch writes. If an earlier
	// attempt, made while it was classified as a read, may have run, it may have
	// written, and the batch must not run again.
	mustNotRetry := b.mayHaveRun && !b.isIdempotent()
	if mustNotRetry || isFinal(ev.Code, b) {
		return s.fail(slot, out)
	}
	return s.route(now, slot, out)
}

// isFinal reports whether a refusal with the code ends the batch, because no
// other upstream would answer differently. A full queue and a close deadline are
// final only for batches that need the primary; other reads may find a shorter
// queue elsewhere.
func isFinal(code sqlstate.Code, b *batch) bool {
	switch code {
	case sqlstate.NoPrimary, sqlstate.NoFreshReplica, sqlstate.NoMajority,
		sqlstate.ZoneDrained, sqlstate.UpstreamUnavailable, sqlstate.ReadOnly:
		return false
	case sqlstate.QueueFull, sqlstate.DeadlineTooClose:
		return b.needsPrimary()
	}
	return true
}
