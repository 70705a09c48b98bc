package routing

import (
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// startBatch starts a batch.
func (s *State) startBatch(now model.Time, ev *Event, out []Effect) []Effect {
	s.budget(ev.Workspace).deposit()
	slot := s.allocate(ev.ID)
	s.batches[slot] = newBatch(ev)
	return s.route(now, slot, out)
}

// route sends a batch to the best upstream, or lets it wait.
func (s *State) route(now model.Time, slot int32, out []Effect) []Effect {
	b := &s.batches[slot]
	g := s.groups[b.database]
	if g == nil {
		b.code = sqlstate.UpstreamUnavail
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

// isExemptFromBudget reports whether an attempt takes nothing from the retry budget: the
// first one of a batch, one probe at a time, and the first one on a primary that
// became known. Without this, batches that wait for a new primary would use the
// budget up, and none would be left to find it.
func (g *group) isExemptFromBudget(b *batch) bool {
	if b.attempt == 0 {
		return true
	}
	if !b.needsPrimary() || b.mayHaveRun {
		return false
	}
	return b.isProbe || b.primaryVersion < g.primaryVersion
}

// send emits an attempt. All that are not free take from the retry budget.
func (s *State) send(now model.Time, slot int32, g *group, i int, out []Effect) []Effect {
	b := &s.batches[slot]
	if !g.isExemptFromBudget(b) && !s.budget(b.workspace).tryWithdraw() {
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

// waitForRetry lets a batch wait for its next attempt, or for a primary.
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

// endProbe lets another batch ask for the primary.
func (s *State) endProbe(b *batch) {
	if g := s.groups[b.database]; g != nil && g.probeBatch == b.id {
		g.probing = false
	}
}

func (s *State) fail(slot int32, out []Effect) []Effect {
	out = append(out, s.batches[slot].failure())
	s.release(slot)
	return out
}

// retryWaiting tries the batches whose pause is over or whose primary has
// become known, and fails those that are past their deadline.
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

func (s *State) isDue(now model.Time, b *batch) bool {
	g := s.groups[b.database]
	return g == nil || now >= b.retryAt || now >= b.deadline || (b.awaitsPrimary && g.primary != "")
}

// endAttempt ends an attempt and decides about the next one.
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
		g.endAttempt(b.upstream)
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

// observeOutcome takes over what the outcome tells about the upstream. It returns
// whether the primary became known by it.
func (s *State) observeOutcome(now model.Time, g *group, b *batch, ev *Event) bool {
	switch {
	case ev.Outcome == Done:
		g.recordLatency(b.upstream, now.Sub(b.sentAt))
		return b.needsPrimary() && g.confirmPrimary(b.upstream)
	case ev.Outcome == FailedNotSent:
		g.suspectPrimary(b.upstream)
	case ev.Outcome != Refused:
	case ev.Code == sqlstate.UpstreamUnavail || ev.Code == sqlstate.NoMajority:
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

// finishOrRetry ends a batch after an attempt, or tries it again.
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
		b.code = sqlstate.UpstreamUnavail
		return s.route(now, slot, out)
	}
	b.code = ev.Code
	if ev.Code == sqlstate.ReadOnly {
		b.class = model.Write
	}
	// What was taken for a read may have written where an earlier attempt ran.
	mustNotRetry := b.mayHaveRun && !b.isIdempotent()
	if mustNotRetry || isFinal(ev.Code, b) {
		return s.fail(slot, out)
	}
	return s.route(now, slot, out)
}

// isFinal reports whether no other upstream would answer a refusal differently.
func isFinal(code sqlstate.Code, b *batch) bool {
	switch code {
	case sqlstate.NoPrimary, sqlstate.NoFreshReplica, sqlstate.NoMajority,
		sqlstate.ZoneDrained, sqlstate.UpstreamUnavail, sqlstate.ReadOnly:
		return false
	case sqlstate.QueueFull, sqlstate.DeadlineTooClose:
		return b.needsPrimary()
	}
	return true
}
