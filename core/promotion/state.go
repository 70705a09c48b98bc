package promotion

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// tokensPerLease is how many tokens one holder may use; the next holder's are above.
const tokensPerLease = 1024

// State is the state of the duty on the VM that holds it.
type State struct {
	holding         bool
	acquiredAt      model.Time
	lastIssuedToken uint64
	maxToken        uint64
	services        map[catalog.Service]*serviceState
}

// serviceState is what the holder knows of a serviceState between ticks.
type serviceState struct {
	name       catalog.Service
	transition *transition
	// backoffUntil is when the next move may start after one that failed.
	backoffUntil model.Time
	// noPrimarySince is when no primary was known first, 0 if one is.
	noPrimarySince model.Time
	// stalledSince is when the replicas stopped receiving at stalledAt.
	stalledSince    model.Time
	stalledPosition model.Position
	// orphanedFenceSince is when a fence without a move was seen first.
	orphanedFenceSince model.Time
	lastCommandAt      map[model.UpstreamID]model.Time
}

// New returns the state of a VM without the duty.
func New() *State { return &State{services: map[catalog.Service]*serviceState{}} }

// Acquire starts the duty. revision is unique to this acquisition and above
// those of all earlier holders.
func (s *State) Acquire(now model.Time, revision uint64) {
	s.holding, s.acquiredAt = true, now
	s.lastIssuedToken = revision * tokensPerLease
	s.maxToken = s.lastIssuedToken + tokensPerLease - 1
	s.services = map[catalog.Service]*serviceState{}
}

// Lose ends the duty: nothing more is ordered.
func (s *State) Lose() {
	s.holding = false
	s.services = map[catalog.Service]*serviceState{}
}

// Holding reports whether this VM has the duty.
func (s *State) Holding() bool { return s.holding }

// TokensExhausted reports whether all tokens of this acquisition are used.
func (s *State) TokensExhausted() bool { return s.lastIssuedToken >= s.maxToken }

// InTransition reports whether a move is in progress.
func (s *State) InTransition() bool {
	for _, svc := range s.services {
		if svc.transition != nil {
			return true
		}
	}
	return false
}

func (s *State) token() uint64 {
	s.lastIssuedToken++
	return s.lastIssuedToken
}

// ReportPromotion reports the outcome of a promotion call.
func (s *State) ReportPromotion(now model.Time, name catalog.Service, token uint64, o Outcome) {
	svc := s.services[name]
	if svc == nil {
		return
	}
	if t := svc.transition; t != nil && t.token == token {
		t.handleOutcome(now, o)
	}
}

// Tick decides what to do now and appends it to out.
func (s *State) Tick(now model.Time, in *Input, out []Effect) []Effect {
	if !s.holding {
		return out
	}
	for i := range in.Views {
		v := &in.Views[i]
		svc := s.services[v.Service]
		if svc == nil {
			svc = &serviceState{name: v.Service, lastCommandAt: map[model.UpstreamID]model.Time{}}
			s.services[v.Service] = svc
		}
		out = s.tickService(now, svc, v, in, out)
	}
	return out
}

func (s *State) tickService(now model.Time, svc *serviceState, v *replicaset.View, in *Input, out []Effect) []Effect {
	svc.observe(now, v)
	if svc.transition != nil {
		return s.advance(now, svc, v, in, out)
	}
	if now < svc.backoffUntil {
		return out
	}
	cause, planned := s.transitionCause(now, svc, v, in)
	if cause == "" {
		return s.releaseOrphanedFences(now, svc, v, out)
	}
	t := &transition{planned: planned, cause: cause, startedAt: now, phase: phaseFence, oldPrimary: v.Primary, fenceTerm: highestTerm(v) + 1}
	for i := range v.Members {
		t.initialMembers = append(t.initialMembers, v.Members[i].ID)
	}
	if planned && !t.selectSwitchoverTarget(now, v, in) {
		return out
	}
	svc.transition = t
	svc.lastCommandAt = map[model.UpstreamID]model.Time{}
	out = append(out, Effect{Kind: EffectTransitionStarted, Service: svc.name, Upstream: v.Primary, Cause: cause, Term: t.fenceTerm})
	return s.advance(now, svc, v, in, out)
}

// observe keeps what needs time: the lack of a primary and stalled replicas.
func (svc *serviceState) observe(now model.Time, v *replicaset.View) {
	if v.Primary != "" {
		svc.noPrimarySince = 0
	} else if svc.noPrimarySince == 0 {
		svc.noPrimarySince = now
	}
	highest, behind := replicaProgress(v)
	if !behind || highest != svc.stalledPosition {
		svc.stalledPosition, svc.stalledSince = highest, now
	}
}

// replicaProgress returns the furthest position that a replica has received;
// behind is true when the primary has written more.
func replicaProgress(v *replicaset.View) (highest model.Position, behind bool) {
	primary := model.Position{}
	for i := range v.Members {
		m := &v.Members[i]
		if m.ID == v.Primary {
			primary = m.Status.Received
			continue
		}
		highest = highest.Max(m.Status.Received)
	}
	return highest, highest.Compare(primary) < 0
}

// highestTerm returns the newest term that any upstream knows.
func highestTerm(v *replicaset.View) uint64 {
	highest := v.LeaderTerm
	for i := range v.Members {
		highest = max(highest, v.Members[i].Status.Term, v.Members[i].Status.HeldTerm)
	}
	return highest
}

func findMember(v *replicaset.View, id model.UpstreamID) *replicaset.Member {
	for i := range v.Members {
		if v.Members[i].ID == id {
			return &v.Members[i]
		}
	}
	return nil
}

// transitionCause returns why the primary has to move, or "".
func (s *State) transitionCause(now model.Time, svc *serviceState, v *replicaset.View, in *Input) (cause string, planned bool) {
	if now.Sub(s.acquiredAt) < observationPeriod {
		// A new holder first has to see for itself.
		return "", false
	}
	if v.Primary == "" {
		if svc.noPrimarySince != 0 && now.Sub(svc.noPrimarySince) > noPrimaryTimeout {
			return "no primary", false
		}
		return "", false
	}
	m := findMember(v, v.Primary)
	if primaryLost(now, m, in) {
		return "primary lost", false
	}
	if m.Leaving {
		return "primary leaves", true
	}
	if in.Evacuated(m.Zone) {
		return "zone evacuated", true
	}
	if !v.Incomplete && svc.replicationStalled(now, v, in) {
		return causeStalled, false
	}
	return "", false
}

// primaryLost reports whether neither this VM nor a peer reaches the upstream.
func primaryLost(now model.Time, m *replicaset.Member, in *Input) bool {
	if m.FailedSince == 0 {
		return false
	}
	last := max(m.ContactAt, in.PeerContact(m.ID))
	if m.RefusedSince != 0 && now.Sub(m.RefusedSince) > connRefusedTimeout && last < m.RefusedSince {
		return true
	}
	limit := primaryLostTimeout
	if in.Isolated {
		limit = isolatedLostTimeout
	}
	return now.Sub(m.FailedSince) > limit/2 && now.Sub(last) > limit
}

// replicationStalled reports whether the primary's commits reach no replica although all
// replicas can be reached, so that a change would help.
func (svc *serviceState) replicationStalled(now model.Time, v *replicaset.View, in *Input) bool {
	if in.SyncReplicas(svc.name) == 0 || svc.stalledSince == 0 || now.Sub(svc.stalledSince) < replicationStallTimeout {
		return false
	}
	replicas := 0
	for i := range v.Members {
		m := &v.Members[i]
		if m.ID == v.Primary {
			continue
		}
		if !reachable(now, m) || m.Status.HeldTerm != 0 || m.StatusAt <= svc.stalledSince {
			return false
		}
		replicas++
	}
	return replicas > 0
}

func reachable(now model.Time, m *replicaset.Member) bool {
	return m.FailedSince == 0 && m.ContactAt != 0 && now.Sub(m.ContactAt) < contactMaxAge
}

// releaseOrphanedFences ends fences that a move left behind. When an earlier
// holder's call may still be carried out, the present primary is promoted
// anew first: that changes nothing but the token which later calls must exceed.
func (s *State) releaseOrphanedFences(now model.Time, svc *serviceState, v *replicaset.View, out []Effect) []Effect {
	primary := findMember(v, v.Primary)
	fenced := false
	for i := range v.Members {
		fenced = fenced || v.Members[i].Status.HeldTerm != 0
	}
	if !fenced || primary == nil || !reachable(now, primary) {
		svc.orphanedFenceSince = 0
		return out
	}
	if svc.orphanedFenceSince == 0 {
		svc.orphanedFenceSince = now
		return append(out, Effect{Kind: EffectPromote, Service: svc.name, Upstream: v.Primary, Token: s.token()})
	}
	if now.Sub(svc.orphanedFenceSince) < orphanedFenceTimeout {
		return out
	}
	for i := range v.Members {
		if m := &v.Members[i]; m.Status.HeldTerm != 0 {
			out = svc.sendCommand(now, m.ID, CommandResume, m.Status.HeldTerm, commandRetryInterval, out)
		}
	}
	return out
}

// sendCommand sends an sendCommand unless one was sent to the upstream within pause.
func (svc *serviceState) sendCommand(now model.Time, id model.UpstreamID, k CommandKind, term uint64, interval time.Duration, out []Effect) []Effect {
	if last, sent := svc.lastCommandAt[id]; sent && now.Sub(last) < interval {
		return out
	}
	svc.lastCommandAt[id] = now
	return append(out, Effect{Kind: EffectCommand, Service: svc.name, Upstream: id, Command: k, Term: term})
}
