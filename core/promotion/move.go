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
	// phaseSettle: the target leads; fences are released.
	phaseSettle
)

// move is the change of one service's primary.
type move struct {
	planned   bool
	cause     string
	startedAt model.Time
	phase     phase
	phaseAt   model.Time
	// old is the primary at the start; it may be empty.
	old model.UpstreamID
	// members are the upstreams at the start.
	members   []model.UpstreamID
	fenceTerm uint64
	target    model.UpstreamID

	token    uint64
	calledAt model.Time
	// answered is true when the last call needs no repetition.
	answered bool
	refused  bool
}

// called takes over the outcome of a promotion call.
func (m *move) called(_ model.Time, o Outcome) {
	switch o {
	case OutcomeAccepted:
		m.answered = true
	case OutcomeRefused:
		m.refused = true
	}
}

func (s *State) advance(now model.Time, svc *service, v *replicaset.View, in *Input, out []Effect) []Effect {
	m := svc.move
	if m.phaseAt == 0 {
		m.phaseAt = now
	}
	switch m.phase {
	case phaseFence:
		return s.fence(now, svc, v, in, out)
	case phasePromote:
		return s.promote(now, svc, v, out)
	}
	return s.settle(now, svc, v, out)
}

// enter starts the next phase.
func (m *move) enter(now model.Time, p phase) { m.phase, m.phaseAt = p, now }

// end finishes a move. Fences that are left are released by later ticks.
func (svc *service) end(now model.Time, cause string, failed bool, out []Effect) []Effect {
	m := svc.move
	svc.move = nil
	svc.noPrimarySince, svc.stalledSince, svc.strayFenceSince = 0, 0, 0
	if failed {
		svc.pausedUntil = now.Add(retryMove)
	}
	return append(out, Effect{
		Kind: EffectMoveEnded, Service: svc.name, Upstream: m.target, Cause: cause, Elapsed: now.Sub(m.startedAt),
	})
}

// chooseTarget picks the replica of a planned move: one that may keep its role
// and has received the most.
func (m *move) chooseTarget(now model.Time, v *replicaset.View, in *Input) bool {
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
	m.target = best.ID
	return true
}

// fence orders the fences and promotes once a target is safe.
func (s *State) fence(now model.Time, svc *service, v *replicaset.View, in *Input, out []Effect) []Effect {
	m := svc.move
	limit := fenceTimeout
	if m.planned {
		limit = catchUpTimeout
	}
	if now.Sub(m.phaseAt) > limit {
		return svc.end(now, "no target is safe in time", true, out)
	}
	if old := find(v, m.old); !m.planned && old != nil && m.cause != causeStalled && v.Primary == m.old && reachable(now, old) && old.ContactAt > m.startedAt {
		return svc.end(now, "the primary is back", true, out)
	}
	target := m.planTarget(v)
	if !m.planned {
		target = m.failoverTarget(v, in, svc)
	}
	if target == nil {
		return svc.orderFences(now, v, out)
	}
	m.target, m.token = target.ID, s.token()
	m.calledAt, m.answered, m.refused = now, false, false
	m.enter(now, phasePromote)
	return append(out,
		Effect{Kind: EffectMoveChosen, Service: svc.name, Upstream: m.target, Cause: m.cause, Position: target.Status.Received, Term: m.fenceTerm},
		Effect{Kind: EffectPromote, Service: svc.name, Upstream: m.target, Token: m.token},
	)
}

const causeStalled = "replicas receive nothing"

// orderFences fences what may still receive commits. In a planned move the
// target goes on receiving, so that all new commits are on it. In a failover
// the old primary is told to step down, in case it still runs.
func (svc *service) orderFences(now model.Time, v *replicaset.View, out []Effect) []Effect {
	m := svc.move
	for i := range v.Members {
		c := &v.Members[i]
		switch {
		case c.ID == m.old:
			if !m.planned {
				out = svc.order(now, c.ID, OrderStepDown, m.fenceTerm, orderRetry, out)
			}
		case m.planned && c.ID == m.target:
			out = svc.order(now, c.ID, OrderStatus, 0, pollPause, out)
		case c.Status.FencedTerm < m.fenceTerm:
			out = svc.order(now, c.ID, OrderPause, m.fenceTerm, orderRetry, out)
		}
	}
	return out
}

// fenced reports whether a replica has answered in this move that it receives no more.
func (m *move) fenced(c *replicaset.Member) bool {
	return c.Status.FencedTerm >= m.fenceTerm && c.StatusAt >= m.startedAt
}

// planTarget returns the target once all other replicas are fenced and the
// target has received what they have.
func (m *move) planTarget(v *replicaset.View) *replicaset.Member {
	target := find(v, m.target)
	if target == nil {
		return nil
	}
	for i := range v.Members {
		c := &v.Members[i]
		if c.ID == m.target || c.ID == m.old {
			continue
		}
		if !m.fenced(c) || target.Status.Received.Compare(c.Status.Received) < 0 {
			return nil
		}
	}
	if target.StatusAt < m.startedAt {
		return nil
	}
	return target
}

// failoverTarget returns the upstream to promote once no acknowledged commit
// can be missing on it.
func (m *move) failoverTarget(v *replicaset.View, in *Input, svc *service) *replicaset.Member {
	best := m.furthestFenced(v, in)
	old := find(v, m.old)
	steppedDown := old != nil && !old.Status.Primary && old.StatusAt >= m.startedAt && old.Status.Term != 0
	all := m.allPresent(v)
	for i := range v.Members {
		c := &v.Members[i]
		if c.ID != m.old && !m.fenced(c) && !m.absent(c, best, in, svc) {
			all = false
		}
	}
	switch {
	case all && best != nil && m.hasAll(best, old, v, in, svc):
		return best
	case steppedDown && best != nil && best.Status.Received.Compare(old.Status.Received) >= 0:
		return best
	case steppedDown:
		// The old primary has every commit that was acknowledged.
		return old
	}
	return nil
}

// allPresent reports whether no upstream has gone since the move started; one that
// has may have received commits until then.
func (m *move) allPresent(v *replicaset.View) bool {
	for _, id := range m.members {
		if find(v, id) == nil {
			return false
		}
	}
	return true
}

// hasAll reports whether the furthest replica certainly has every acknowledged
// commit. When another replica has gone without notice, commits may have been
// acknowledged by that one; then the replica has to reach the newest proof of
// the primary's log, unless the primary is gone as well and nothing else is left.
func (m *move) hasAll(best, old *replicaset.Member, v *replicaset.View, in *Input, svc *service) bool {
	if !v.Incomplete || old == nil {
		return true
	}
	e, ok := in.Evidence(svc.name)
	return ok && best.Status.Received.Compare(e.Position) >= 0
}

// furthestFenced returns the fenced replica that has received the most; among
// equals one that stays in service.
func (m *move) furthestFenced(v *replicaset.View, in *Input) *replicaset.Member {
	var best *replicaset.Member
	stays := func(c *replicaset.Member) bool { return !c.Leaving && !in.Evacuated(c.Zone) }
	for i := range v.Members {
		c := &v.Members[i]
		if c.ID == m.old || !m.fenced(c) {
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

// absent reports whether a replica that cannot be fenced had certainly stopped
// before the newest proof of the primary's log was made: all commits since then
// needed another replica, and best has all earlier ones.
func (m *move) absent(c, best *replicaset.Member, in *Input, svc *service) bool {
	if c.RefusedSince == 0 || best == nil {
		return false
	}
	e, ok := in.Evidence(svc.name)
	return ok && c.RefusedSince < e.At && best.Status.Received.Compare(e.Position) >= 0
}

// promote waits until the target leads, and repeats a call without an answer.
func (s *State) promote(now model.Time, svc *service, v *replicaset.View, out []Effect) []Effect {
	m := svc.move
	target := find(v, m.target)
	if v.Primary == m.target && target.Status.Primary && target.StatusAt >= m.phaseAt {
		m.enter(now, phaseSettle)
		return s.settle(now, svc, v, out)
	}
	if target == nil || m.refused || now.Sub(m.phaseAt) > promoteTimeout {
		// The next try uses a higher token, so that this call can no longer
		// be carried out after it.
		m.fenceTerm = newestTerm(v) + 1
		if m.planned {
			return svc.end(now, "the promotion was refused", true, out)
		}
		m.enter(now, phaseFence)
		return out
	}
	if !m.answered && now.Sub(m.calledAt) > callRetry {
		m.calledAt = now
		out = append(out, Effect{Kind: EffectPromote, Service: svc.name, Upstream: m.target, Token: m.token})
	}
	return svc.order(now, m.target, OrderStatus, 0, pollPause, out)
}

// settle releases the fences.
func (s *State) settle(now model.Time, svc *service, v *replicaset.View, out []Effect) []Effect {
	m := svc.move
	open := 0
	for i := range v.Members {
		c := &v.Members[i]
		if c.ID == m.target || c.Status.FencedTerm == 0 {
			continue
		}
		open++
		out = svc.order(now, c.ID, OrderResume, m.fenceTerm, orderRetry, out)
	}
	if open == 0 || now.Sub(m.phaseAt) > settleTimeout {
		return svc.end(now, m.cause, false, out)
	}
	return out
}
