package promotion

import (
	"maps"
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// tokensPerLease is the size of the range of fencing tokens that an acquisition
// of the lease reserves. The ranges of later acquisitions are higher.
const tokensPerLease = 1024

// State is the state machine of the promotion lease holder.
type State struct {
	holding    bool
	acquiredAt model.Time
	// lastIssuedToken is the fencing token of the last promotion.
	lastIssuedToken uint64
	// maxToken is the last token of the reserved range.
	maxToken uint64
	// records has what the store had of each service at the time of the acquisition.
	records map[catalog.Service]Record
	// unknownUntil is the time until which promotion calls may be executed that records
	// lacks.
	unknownUntil model.Time
	// fencesChecked is Input.FencesChecked of the last tick.
	fencesChecked bool
	services      map[catalog.Service]*serviceState
}

// serviceState is the state of one service that is kept between ticks.
type serviceState struct {
	name catalog.Service
	// knownSince is when this lease holder first saw the service.
	knownSince model.Time
	transition *transition
	// freeze is that of the last failover, nil once a primary is promised again.
	freeze *freeze
	// backoffUntil is when the next transition may start after a failed one.
	backoffUntil model.Time
	// noPrimarySince is the time since which no primary is known, 0 if one is.
	noPrimarySince model.Time
	// primaryAliveAt is when a primary last answered this VM or a peer, 0 if none has.
	primaryAliveAt model.Time
	// stalledSince is the time since which the replicas have been stuck at
	// stalledPosition behind the primary. While they are not stuck, each tick
	// sets it to the current time.
	stalledSince    model.Time
	stalledPosition model.Position
	// orphanedFenceSince is when a fence outside a transition was first seen,
	// 0 if there is none.
	orphanedFenceSince model.Time
	lastCommandAt      map[model.UpstreamID]model.Time

	// record is the last promotion of the service. callPending is true while its call
	// may still be executed; calledAt is when it was sent, or when this VM learned of
	// it, unknownCalls the number of its calls whose outcome is not known, and acceptedCalls how
	// many of them were accepted, so that their target leads shortly or not at all.
	record        Record
	callPending   bool
	calledAt      model.Time
	unknownCalls  int
	acceptedCalls int
	// lateCallUntil has, by target, the time until which an unanswered promotion call
	// may still be executed.
	lateCallUntil map[model.UpstreamID]model.Time
	// unknownUntil is State.unknownUntil, 0 once those calls cannot be executed any more.
	unknownUntil model.Time
	// confirmable is the primary that VMs may use, empty if none is confirmed.
	// confirmedUntil has the time until which each VM may use it.
	// promises has those with a successor.
	confirmable    Confirmation
	confirmedUntil map[model.VMID]model.Time
	promises       map[promise]model.Time
	// lastConfirmedAt is when this holder last confirmed the primary to a VM, and
	// withdrawSentAt when it last told VMs that the primary is no longer confirmed.
	lastConfirmedAt model.Time
	withdrawSentAt  model.Time
	// stoppedDroppedAt is when ended promises were last dropped.
	stoppedDroppedAt model.Time
}

func (s *State) newService(now model.Time, name catalog.Service) *serviceState {
	svc := &serviceState{
		name: name, knownSince: now, lastCommandAt: map[model.UpstreamID]model.Time{}, confirmedUntil: map[model.VMID]model.Time{},
		promises: map[promise]model.Time{},
		record:   s.records[name], lateCallUntil: map[model.UpstreamID]model.Time{}, unknownUntil: s.unknownUntil,
	}
	for _, id := range svc.record.Late {
		s.recordLateCall(now, svc, id)
	}
	if svc.record.Upstream != "" && !svc.record.Done {
		svc.callPending, svc.calledAt, svc.unknownCalls = true, now, 1
		s.recordLateCall(now, svc, svc.record.Upstream)
	}
	return svc
}

// New returns the state of a VM that does not hold the lease.
func New() *State { return &State{services: map[catalog.Service]*serviceState{}} }

// Acquisition is an acquisition of the promotion lease.
type Acquisition struct {
	// Revision is unique to this acquisition and higher than those of all earlier ones.
	Revision uint64
	// Records are those in the store, read after the acquisition, or those that this VM
	// had itself if Verdict.KeepRecords was set.
	Records map[catalog.Service]Record
	// CallsUnknown is Verdict.CallsUnknown.
	CallsUnknown bool
}

// Acquire records that this VM has acquired the lease.
func (s *State) Acquire(now model.Time, a Acquisition) {
	s.records = a.Records
	s.holding, s.acquiredAt = true, now
	s.unknownUntil = 0
	if a.CallsUnknown {
		s.unknownUntil = now.Add(lateCallTimeout)
	}
	s.lastIssuedToken = a.Revision * tokensPerLease
	s.maxToken = s.lastIssuedToken + tokensPerLease - 1
	s.services = map[catalog.Service]*serviceState{}
}

// Settled reports whether no promotion call from before the acquisition can be executed
// any more for which there may be no record in the store.
func (s *State) Settled(now model.Time) bool { return now.Sub(s.acquiredAt) >= lateCallTimeout }

// Records returns what the store has, or should have, of the last promotion of each
// service.
func (s *State) Records(now model.Time) map[catalog.Service]Record {
	records := maps.Clone(s.records)
	if records == nil {
		records = map[catalog.Service]Record{}
	}
	for name, svc := range s.services {
		if svc.record.Upstream != "" {
			r := svc.record
			r.Late = svc.lateTargets(now, "")
			records[name] = r
		}
	}
	return records
}

// Lose records that this VM no longer holds the lease: Tick returns no effects
// until the next Acquire.
func (s *State) Lose() {
	s.holding = false
	s.services = map[catalog.Service]*serviceState{}
}

// Holding reports whether this VM holds the lease.
func (s *State) Holding() bool { return s.holding }

// TokensExhausted reports whether all fencing tokens of this acquisition are used.
func (s *State) TokensExhausted() bool { return s.lastIssuedToken >= s.maxToken }

// InTransition reports whether the primary of any service is being changed.
func (s *State) InTransition() bool {
	for _, svc := range s.services {
		if svc.transition != nil {
			return true
		}
	}
	return false
}

// token issues the next fencing token.
func (s *State) token() uint64 {
	s.lastIssuedToken++
	return s.lastIssuedToken
}

// ReportPromotion records the outcome of a promotion call. Outcomes of calls with
// another token than the current one are ignored.
func (s *State) ReportPromotion(now model.Time, name catalog.Service, token uint64, o Outcome) {
	svc := s.services[name]
	if svc == nil {
		return
	}
	switch o {
	case OutcomeAccepted:
		svc.acceptedCalls++
		if s.fencesChecked {
			// Calls with lower tokens are refused from now on.
			svc.unknownUntil = 0
		}
	case OutcomeRefused, OutcomeRejected:
		svc.unknownCalls--
	case OutcomeUnknown:
		s.recordLateCall(now, svc, svc.record.Upstream)
	}
	if t := svc.transition; t != nil && t.token == token {
		t.handleOutcome(o)
	}
}

// Tick evaluates all services and appends the resulting effects to out.
func (s *State) Tick(now model.Time, in *Input, out []Effect) []Effect {
	if !s.holding {
		return out
	}
	s.fencesChecked = in.FencesChecked
	for i := range in.Views {
		v := &in.Views[i]
		svc := s.services[v.Service]
		if svc == nil {
			svc = s.newService(now, v.Service)
			s.services[v.Service] = svc
		}
		out = svc.settle(now, v, out)
		out = s.tickService(now, svc, v, in, out)
		s.updateConfirmable(now, svc, v, in)
	}
	return out
}

// tickService advances the transition of a service, or starts one if there is a
// cause.
func (s *State) tickService(now model.Time, svc *serviceState, v *replicaset.View, in *Input, out []Effect) []Effect {
	svc.observe(now, v, in)
	if svc.freeze != nil && svc.transition == nil {
		svc.freeze.observe(now, v, in)
	}
	if svc.transition != nil {
		return s.advance(now, svc, v, in, out)
	}
	out = svc.stepDownFormerPrimaries(now, v, out)
	// A new holder first needs its own observations of the upstreams.
	if now < svc.backoffUntil || now.Sub(s.acquiredAt) < observationPeriod {
		return out
	}
	cause, planned := s.transitionCause(now, svc, v, in)
	if cause == "" {
		return svc.releaseOrphanedFences(now, v, out)
	}
	t := &transition{
		planned: planned, cause: cause, startedAt: now, attemptAt: now, phase: phaseFence,
		aliveAt: svc.primaryAliveAt,
	}
	if planned && !t.selectSwitchoverTarget(now, svc, v, in) {
		return out
	}
	svc.startFreeze(v, t)
	svc.transition = t
	svc.lastCommandAt, svc.withdrawSentAt = map[model.UpstreamID]model.Time{}, 0
	out = append(out, Effect{Kind: EffectTransitionStarted, Service: svc.name, Upstream: v.Primary, Cause: cause, Term: t.fenceTerm, Members: len(v.Members)}, Effect{Kind: EffectListNeeded, Service: svc.name})
	return s.advance(now, svc, v, in, out)
}

// startFreeze gives a transition its freeze: that of the last failover, if no primary was promised since.
func (svc *serviceState) startFreeze(v *replicaset.View, t *transition) {
	if t.planned {
		svc.freeze = nil
	}
	t.freeze = svc.freeze
	switch {
	case t.freeze == nil:
		t.freeze = newFreeze(v, &svc.record)
	case v.PrimaryTerm > t.oldTerm:
		t.newPrimary(v)
	}
	t.raiseFenceTerm(v)
	if !t.planned {
		svc.freeze = t.freeze
	}
}

// observe tracks the conditions that must last for a while to start a failover:
// a missing primary and stalled replication.
func (svc *serviceState) observe(now model.Time, v *replicaset.View, in *Input) {
	if m := findMember(v, v.Primary); m != nil {
		svc.noPrimarySince = 0
		svc.primaryAliveAt = max(svc.primaryAliveAt, m.ContactAt, in.PeerContact(m.ID))
	} else if svc.noPrimarySince == 0 {
		svc.noPrimarySince = now
	}
	highest, behind := replicaProgress(v)
	if !behind || highest != svc.stalledPosition {
		svc.stalledPosition, svc.stalledSince = highest, now
	}
}

// replicaProgress returns the highest position that any replica has received.
// behind is true if the primary has written more.
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

// highestTerm returns the highest known term, whether of a primary or of a fence.
func highestTerm(v *replicaset.View) uint64 {
	highest := v.PrimaryTerm
	for i := range v.Members {
		highest = max(highest, v.Members[i].Status.Term, v.Members[i].Status.FencedTerm)
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

// transitionCause returns why another upstream has to become the primary, or ""
// if none has to or not all upstreams may be known. planned is true for a switchover.
func (s *State) transitionCause(now model.Time, svc *serviceState, v *replicaset.View, in *Input) (cause string, planned bool) {
	if !v.ListComplete {
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
	if svc.callPending && svc.record.Upstream != v.Primary {
		target := findMember(v, svc.record.Upstream)
		return causeUnfinished, target != nil && reachable(now, target)
	}
	if now < svc.unknownUntil && anyFenced(v) {
		return causeUnfinished, false
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

// primaryLost reports whether neither this VM nor a peer reaches the primary m.
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
	// An idle upstream has no recent contact either, so requests must also have
	// failed for half of the limit.
	return now.Sub(m.FailedSince) > limit/2 && now.Sub(last) > limit
}

// replicationStalled reports whether the primary's commits reach no replica although
// this VM reaches all of them, so that a failover would help.
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
		if !reachable(now, m) || m.Status.FencedTerm != 0 || m.StatusAt <= svc.stalledSince {
			return false
		}
		replicas++
	}
	return replicas > 0
}

// reachable reports whether an upstream has recently answered this VM and not failed
// since.
func reachable(now model.Time, m *replicaset.Member) bool {
	return m.FailedSince == 0 && m.ContactAt != 0 && now.Sub(m.ContactAt) < contactMaxAge
}

// stepDownFormerPrimaries tells upstreams that still act as the primary of an earlier
// term to step down.
func (svc *serviceState) stepDownFormerPrimaries(now model.Time, v *replicaset.View, out []Effect) []Effect {
	for i := range v.Members {
		m := &v.Members[i]
		if m.ID != v.Primary && m.Status.Primary && m.Status.Term < v.PrimaryTerm && m.FailedSince == 0 {
			out = svc.sendCommand(now, m.ID, CommandStepDown, v.PrimaryTerm, commandRetryInterval, out)
		}
	}
	return out
}

// releaseOrphanedFences releases fences that an earlier transition left behind, unless
// its promotion call may still be executed.
func (svc *serviceState) releaseOrphanedFences(now model.Time, v *replicaset.View, out []Effect) []Effect {
	primary := findMember(v, v.Primary)
	if svc.uncertain(now) || !anyFenced(v) || primary == nil || !reachable(now, primary) {
		svc.orphanedFenceSince = 0
		return out
	}
	if svc.orphanedFenceSince == 0 {
		svc.orphanedFenceSince = now
	}
	if now.Sub(svc.orphanedFenceSince) < orphanedFenceTimeout {
		return out
	}
	for i := range v.Members {
		if m := &v.Members[i]; m.Status.FencedTerm != 0 {
			out = svc.sendCommand(now, m.ID, CommandResume, m.Status.FencedTerm, commandRetryInterval, out)
		}
	}
	return out
}

// uncertain reports whether a promotion call that is not part of the present transition
// may still be executed.
func (svc *serviceState) uncertain(now model.Time) bool {
	return svc.callPending || now < svc.unknownUntil
}

func anyFenced(v *replicaset.View) bool {
	return slices.ContainsFunc(v.Members, func(m replicaset.Member) bool { return m.Status.FencedTerm != 0 })
}

// sendCommand appends a command unless the last one to the upstream was sent less
// than interval ago.
func (svc *serviceState) sendCommand(now model.Time, id model.UpstreamID, k CommandKind, term uint64, interval time.Duration, out []Effect) []Effect {
	if last, sent := svc.lastCommandAt[id]; sent && now.Sub(last) < interval {
		return out
	}
	svc.lastCommandAt[id] = now
	return append(out, Effect{Kind: EffectCommand, Service: svc.name, Upstream: id, Command: k, Term: term})
}
