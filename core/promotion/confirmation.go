package promotion

import (
	"maps"
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

const (
	// ConfirmationTTL is how long a primary is confirmed to a VM, counted from when the
	// VM asked.
	ConfirmationTTL = 900 * time.Millisecond
	// confirmationMargin covers the different speeds of the clocks of two VMs.
	confirmationMargin = 50 * time.Millisecond
	// suspectedContactAge is the age of the last contact from which on a primary that
	// does not answer is no longer confirmed, so that a failover need not wait for the
	// confirmations to end.
	suspectedContactAge = 400 * time.Millisecond
	// lateCallTimeout is how long an unanswered promotion call may still be executed.
	lateCallTimeout = 10 * time.Second
)

// promiseRetention is how long promises are remembered after their end. It is longer than vouchers outlast them.
const promiseRetention = time.Minute

// abandonedVouchPeriod is how long a holder of the promotion lease that cannot reach half
// of the voters waits before it promotes another upstream.
const abandonedVouchPeriod = replicaset.VouchPeriod + confirmationMargin

// Record is what is kept in the store of the last promotion of a service, for the next
// holder of the promotion lease. It is written before the promotion call.
type Record struct {
	// Upstream is the target of the call.
	Upstream model.UpstreamID `json:"upstream"`
	// Term is the term of the primary before the call, or that of Upstream once it
	// is the primary.
	Term uint64 `json:"term"`
	// Done is true once the promotion has ended. Until then the call may still be
	// executed.
	Done bool `json:"done"`
	// Late has the targets of earlier calls that may still be executed, because they
	// were not answered and the platform does not check fencing tokens.
	Late []model.UpstreamID `json:"late,omitempty"`
}

// Confirmation tells a VM that Upstream is the primary of Term, and that no other
// upstream becomes the primary for ConfirmationTTL from when the VM asked. With a Successor, that one
// may become the primary, and no other one is chosen for that time.
type Confirmation struct {
	Service   catalog.Service
	Upstream  model.UpstreamID
	Term      uint64
	Successor model.UpstreamID
}

// promise is a Confirmation with a successor that a VM may hold.
type promise struct {
	vm        model.VMID
	successor model.UpstreamID
}

// Confirm returns the confirmations for a VM that asks now, and keeps the promise in
// them: until they end or are withdrawn, the primary of a confirmed service is not
// changed.
func (s *State) Confirm(now model.Time, vm model.VMID) []Confirmation {
	if !s.holding {
		return nil
	}
	var list []Confirmation
	for _, name := range s.serviceNames() {
		svc := s.services[name]
		if svc.confirmable.Upstream == "" {
			continue
		}
		svc.dropStoppedVMs(now)
		until := now.Add(ConfirmationTTL + confirmationMargin)
		if svc.confirmable.Successor != "" {
			svc.promises[promise{vm, svc.confirmable.Successor}] = until
		} else {
			svc.confirmedUntil[vm] = until
			svc.lastConfirmedAt = now
		}
		list = append(list, svc.confirmable)
	}
	return list
}

// dropStoppedVMs drops VMs that have not asked for so long that nothing which they have passed on can be newer than
// the evidence.
func (svc *serviceState) dropStoppedVMs(now model.Time) {
	if now < svc.stoppedDroppedAt.Add(promiseRetention) {
		return
	}
	svc.stoppedDroppedAt = now
	maps.DeleteFunc(svc.confirmedUntil, func(_ model.VMID, until model.Time) bool { return until.Add(promiseRetention) < now })
	maps.DeleteFunc(svc.promises, func(_ promise, until model.Time) bool { return until.Add(promiseRetention) < now })
}

func (s *State) serviceNames() []catalog.Service {
	names := make([]catalog.Service, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ReportWithdrawn records that a VM has dropped its confirmation of a service and
// vouches for its primary no more, when it was told so by the EffectWithdraw of the
// tick at sentAt.
func (s *State) ReportWithdrawn(now model.Time, name catalog.Service, vm model.VMID, sentAt model.Time, w Withdrawal) {
	svc := s.services[name]
	if svc == nil || svc.transition == nil || svc.transition.phase != phaseFence {
		return
	}
	if since := svc.transition.withdrawingSince; since == 0 || sentAt < since {
		return
	}
	delete(svc.confirmedUntil, vm)
	for p := range svc.promises {
		if p.vm == vm && p.successor != svc.transition.successor() {
			delete(svc.promises, p)
		}
	}
	if _, found := svc.transition.withdrawn[vm]; !found {
		svc.transition.withdrawn[vm] = withdrawal{vouchersEnd: now.Add(w.Vouched + confirmationMargin), passedOn: w.PassedOn, startedAt: now.Add(-w.Running)}
		svc.transition.withdrawnAt = now
	}
}

// updateConfirmable decides whether the primary of a service can be confirmed: it is
// neither suspected nor being changed, and no promotion call can still change it. In a
// switchover it is confirmed until VMs are told to drop it, and from then on with its successor.
func (s *State) updateConfirmable(now model.Time, svc *serviceState, v *replicaset.View, in *Input) {
	svc.confirmable = Confirmation{}
	primary := findMember(v, v.Primary)
	if primary == nil || v.PrimaryTerm == 0 {
		return
	}
	if primary.FailedSince != 0 && now.Sub(max(primary.ContactAt, in.PeerContact(primary.ID))) > suspectedContactAge {
		return
	}
	if r := svc.record; r.Upstream != "" && (v.PrimaryTerm < r.Term || r.Done && v.PrimaryTerm == r.Term && v.Primary != r.Upstream && !leadsTerm(primary, r.Term)) {
		return
	}
	c := Confirmation{Service: svc.name, Upstream: v.Primary, Term: v.PrimaryTerm}
	if t := svc.transition; t != nil && t.phase != phaseUnfence && (t.phase != phaseFence || t.withdrawingSince != 0 || t.cause == causeUnfinished) {
		c.Successor = t.successor()
		target := findMember(v, c.Successor)
		if target != nil && !target.Leaving && target.FailedSince == 0 && target.Status.FencedTerm == 0 && c.Upstream == t.oldPrimary && svc.onlyCallsFor(now, c.Successor) {
			svc.confirmable = c
		}
		return
	}
	if svc.uncertain(now) || len(svc.lateTargets(now, v.Primary)) > 0 {
		return
	}
	svc.confirmable, svc.freeze = c, nil
}

// leadsTerm reports whether an upstream itself says that it is the primary of a term. A term has one primary, which may be back
// from a crash under another ID.
func leadsTerm(m *replicaset.Member, term uint64) bool {
	return m.Status.Primary && m.Status.Term == term
}

// successor returns the upstream that alone may follow the old primary in this transition: the target
// of a switchover, which receives all commits until then. It is empty in a failover.
func (t *transition) successor() model.UpstreamID {
	if !t.planned {
		return ""
	}
	return t.target
}

// onlyCallsFor reports whether no promotion call for another upstream than id may still be executed.
func (svc *serviceState) onlyCallsFor(now model.Time, id model.UpstreamID) bool {
	return now >= svc.unknownUntil && len(svc.lateTargets(now, id)) == 0 && (!svc.callPending || svc.record.Upstream == id)
}

// confirmationsEnded reports whether no VM holds a confirmation of the primary any
// more: neither one by this holder of the promotion lease or an earlier one, nor one by
// the vouchers of more than half of the voters.
func (s *State) confirmationsEnded(now model.Time, svc *serviceState, in *Input) bool {
	if now < s.acquiredAt.Add(ConfirmationTTL+confirmationMargin) {
		return false
	}
	for _, until := range svc.confirmedUntil {
		if now < until {
			return false
		}
	}
	for p, until := range svc.promises {
		if now < until && p.successor != svc.transition.successor() {
			return false
		}
	}
	return svc.transition.vouchersEnded(now, in) || now >= max(s.acquiredAt, svc.lastConfirmedAt).Add(abandonedVouchPeriod)
}

// vouchersEnded reports whether all voters have dropped the primary, or so many that the
// others cannot confirm it, and the vouchers of those have ended.
func (t *transition) vouchersEnded(now model.Time, in *Input) bool {
	withdrawn, ended := 0, 0
	for _, vm := range in.Voters {
		w, found := t.withdrawn[vm]
		if !found {
			continue
		}
		withdrawn++
		if now >= w.vouchersEnd {
			ended++
		}
	}
	return withdrawn == len(in.Voters) || ended*2 >= len(in.Voters)
}

// withdraw asks the voters, and the VMs that still hold a confirmation, to drop the
// primary.
func (svc *serviceState) withdraw(now model.Time, in *Input, out []Effect) []Effect {
	if now.Sub(svc.withdrawSentAt) < commandRetryInterval {
		return out
	}
	svc.withdrawSentAt = now
	vms := slices.Clone(in.Voters)
	for vm, until := range svc.confirmedUntil {
		if now < until && !slices.Contains(vms, vm) {
			vms = append(vms, vm)
		}
	}
	for p, until := range svc.promises {
		if now < until && p.successor != svc.transition.successor() && !slices.Contains(vms, p.vm) {
			vms = append(vms, p.vm)
		}
	}
	slices.Sort(vms)
	for _, vm := range vms {
		if _, withdrawn := svc.transition.withdrawn[vm]; !withdrawn {
			out = append(out, Effect{Kind: EffectWithdraw, Service: svc.name, Upstream: svc.transition.successor(), VM: vm, SentAt: now})
		}
	}
	return out
}

// recordLateCall records that an unanswered call for target may still be executed.
func (s *State) recordLateCall(now model.Time, svc *serviceState, target model.UpstreamID) {
	if !s.fencesChecked {
		svc.lateCallUntil[target] = now.Add(lateCallTimeout)
	}
}

// lateTargets returns the upstreams other than except for which a promotion call may
// still be executed.
func (svc *serviceState) lateTargets(now model.Time, except model.UpstreamID) []model.UpstreamID {
	var late []model.UpstreamID
	for id, until := range svc.lateCallUntil {
		if id != except && now < until {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	return late
}

// otherCallPossible reports whether a promotion call for another target than id may still be
// executed, on a platform that does not check fencing tokens.
func (svc *serviceState) otherCallPossible(now model.Time, id model.UpstreamID, in *Input) bool {
	if in.FencesChecked {
		return false
	}
	limit := lateCallTimeout
	if svc.acceptedCalls >= svc.unknownCalls {
		limit = promoteTimeout
	}
	pending := svc.callPending && svc.unknownCalls > 0 && svc.record.Upstream != id && now.Sub(svc.calledAt) < limit
	return pending || len(svc.lateTargets(now, id)) > 0
}

// settle ends the uncertainty about a promotion call of an earlier transition once its
// target is the primary of a later term, or once the call can no longer be executed.
func (svc *serviceState) settle(now model.Time, v *replicaset.View, out []Effect) []Effect {
	if !svc.callPending || svc.transition != nil {
		return out
	}
	promoted := v.Primary == svc.record.Upstream && v.PrimaryTerm > svc.record.Term
	expired := now.Sub(svc.calledAt) > lateCallTimeout && v.Primary != ""
	if !promoted && !expired {
		return out
	}
	return svc.recordPrimary(now, v, out)
}

// recordPrimary records that no promotion call is pending and which upstream is the
// primary.
func (svc *serviceState) recordPrimary(now model.Time, v *replicaset.View, out []Effect) []Effect {
	svc.callPending, svc.unknownCalls, svc.acceptedCalls = false, 0, 0
	if v.Primary == "" {
		return out
	}
	svc.record = Record{Upstream: v.Primary, Term: v.PrimaryTerm, Done: true, Late: svc.lateTargets(now, "")}
	return append(out, Effect{Kind: EffectRecord, Service: svc.name, Record: svc.record})
}
