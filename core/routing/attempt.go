package routing

import (
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// request starts a batch.
func (s *State) request(now model.Time, ev *Event, out []Effect) []Effect {
	s.budget(ev.Workspace).deposit()
	at := s.allocate(ev.ID)
	s.batches[at] = newBatch(ev)
	return s.place(now, at, out)
}

// place sends a batch to the best upstream, or lets it wait.
func (s *State) place(now model.Time, at int32, out []Effect) []Effect {
	b := &s.batches[at]
	g := s.groups[b.database]
	if g == nil {
		b.code = sqlstate.UpstreamUnavail
		return s.fail(at, out)
	}
	if now >= b.deadline {
		return s.fail(at, out)
	}
	if b.needsPrimary() {
		i := g.choosePrimary(now, b)
		if i < 0 || b.hasTried(i) {
			return s.park(now, at, i < 0, out)
		}
		b.probes = g.primary == ""
		return s.send(now, at, g, i, out)
	}
	i := g.chooseRead(now, b, s.zone)
	if i < 0 {
		return s.park(now, at, false, out)
	}
	return s.send(now, at, g, i, out)
}

// isFree reports whether an attempt takes nothing from the retry budget: the
// first one of a batch, one probe at a time, and the first one on a primary that
// became known. Without this, batches that wait for a new primary would use the
// budget up, and none would be left to find it.
func (g *group) isFree(b *batch) bool {
	if b.attempt == 0 {
		return true
	}
	if !b.needsPrimary() || b.maybeRun {
		return false
	}
	return b.probes || b.reign < g.reign
}

// send emits an attempt. All that are not free take from the retry budget.
func (s *State) send(now model.Time, at int32, g *group, i int, out []Effect) []Effect {
	b := &s.batches[at]
	if !g.isFree(b) && !s.budget(b.workspace).take() {
		if b.maybeRun {
			return s.fail(at, out)
		}
		return s.park(now, at, false, out)
	}
	m := &g.members[i]
	standby, _ := m.holder(now)
	m.outstanding++
	b.setTried(i)
	b.attempt++
	b.reign = g.reign
	b.upstream = m.ID
	b.sentAt = now
	return append(out, Effect{Kind: Send, ID: b.id, Attempt: b.attempt, Upstream: m.ID, Standby: standby})
}

// park lets a batch wait for its next attempt, or for a primary.
func (s *State) park(now model.Time, at int32, forPrimary bool, out []Effect) []Effect {
	b := &s.batches[at]
	b.upstream = ""
	b.tried = 0
	b.probes = false
	b.waiting = true
	b.forPrimary = forPrimary
	b.retryAt = now.Add(b.pause())
	s.endProbe(b)
	s.waiting = append(s.waiting, at)
	return out
}

// endProbe lets another batch ask for the primary.
func (s *State) endProbe(b *batch) {
	if g := s.groups[b.database]; g != nil && g.probe == b.id {
		g.probing = false
	}
}

func (s *State) fail(at int32, out []Effect) []Effect {
	out = append(out, s.batches[at].failure())
	s.release(at)
	return out
}

// retryWaiting tries the batches whose pause is over or whose primary has
// become known, and fails those that are past their deadline.
func (s *State) retryWaiting(now model.Time, out []Effect) []Effect {
	list := s.waiting
	s.waiting = s.spare[:0]
	s.spare = list
	for _, at := range list {
		b := &s.batches[at]
		if !s.due(now, b) {
			s.waiting = append(s.waiting, at)
			continue
		}
		b.waiting = false
		out = s.place(now, at, out)
	}
	return out
}

func (s *State) due(now model.Time, b *batch) bool {
	g := s.groups[b.database]
	return g == nil || now >= b.retryAt || now >= b.deadline || (b.forPrimary && g.primary != "")
}

// answered ends an attempt and decides about the next one.
func (s *State) answered(now model.Time, ev *Event, out []Effect) []Effect {
	at, found := s.byID[ev.ID]
	if !found {
		return out
	}
	b := &s.batches[at]
	if b.waiting || b.attempt != ev.Attempt {
		return out
	}
	g := s.groups[b.database]
	learned := false
	if g != nil {
		g.finished(b.upstream)
		g.learnApplied(b.upstream, ev.Applied)
		learned = g.learnPrimary(ev.Primary, ev.PrimaryTerm)
		learned = s.learnOutcome(now, g, b, ev) || learned
	}
	s.endProbe(b)
	b.probes = false
	out = s.conclude(now, at, ev, out)
	if learned {
		out = s.retryWaiting(now, out)
	}
	return out
}

// learnOutcome takes over what the outcome tells about the upstream. It returns
// whether the primary became known by it.
func (s *State) learnOutcome(now model.Time, g *group, b *batch, ev *Event) bool {
	switch {
	case ev.Outcome == Done:
		g.sampleLatency(b.upstream, now.Sub(b.sentAt))
		return b.needsPrimary() && g.primaryAnswered(b.upstream)
	case ev.Outcome == FailedNotSent:
		g.suspectPrimary(b.upstream)
	case ev.Outcome != Refused:
	case ev.Code == sqlstate.UpstreamUnavail || ev.Code == sqlstate.NoMajority:
		g.suspectPrimary(b.upstream)
	case ev.Code == sqlstate.NoFreshReplica:
		if i := g.find(b.upstream); i >= 0 {
			g.members[i].staleUntil = now.Add(staleTime)
		}
	case ev.Code == sqlstate.NoPrimary || ev.Code == sqlstate.ReadOnly:
		g.suspectPrimary(b.upstream)
	}
	return false
}

// conclude ends a batch after an attempt, or tries it again.
func (s *State) conclude(now model.Time, at int32, ev *Event, out []Effect) []Effect {
	b := &s.batches[at]
	switch ev.Outcome {
	case Done:
		s.release(at)
		return out
	case FailedMidResponse:
		b.maybeRun = true
		return s.fail(at, out)
	case FailedMaybeSent:
		b.maybeRun = true
		if !b.repeatable() {
			return s.fail(at, out)
		}
		return s.place(now, at, out)
	case FailedNotSent:
		b.code = sqlstate.UpstreamUnavail
		return s.place(now, at, out)
	}
	b.code = ev.Code
	if ev.Code == sqlstate.ReadOnly {
		b.class = model.Write
	}
	// What was taken for a read may have written where an earlier attempt ran.
	mustNotRepeat := b.maybeRun && !b.repeatable()
	if mustNotRepeat || isFinal(ev.Code, b) {
		return s.fail(at, out)
	}
	return s.place(now, at, out)
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
