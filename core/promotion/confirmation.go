package promotion

import (
	"cmp"
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
}

// Confirmation tells a VM that Upstream is the primary of Term, and that no other
// upstream becomes the primary for ConfirmationTTL from when the VM asked.
type Confirmation struct {
	Service  catalog.Service
	Upstream model.UpstreamID
	Term     uint64
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
		svc.confirmedUntil[vm] = now.Add(ConfirmationTTL + confirmationMargin)
		list = append(list, svc.confirmable)
	}
	return list
}

func (s *State) serviceNames() []catalog.Service {
	names := make([]catalog.Service, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ReportWithdrawn records that a VM has dropped its confirmation of a service when it
// was told so by the EffectWithdraw of the tick at sentAt.
func (s *State) ReportWithdrawn(name catalog.Service, vm model.VMID, sentAt model.Time) {
	svc := s.services[name]
	if svc != nil && svc.transition != nil && svc.transition.phase == phaseFence && sentAt >= svc.transition.startedAt {
		delete(svc.confirmedUntil, vm)
	}
}

// updateConfirmable decides whether the primary of a service can be confirmed: it is
// neither suspected nor being changed, and no promotion call can still change it.
func (s *State) updateConfirmable(now model.Time, svc *serviceState, v *replicaset.View, in *Input) {
	svc.confirmable = Confirmation{}
	primary := findMember(v, v.Primary)
	if primary == nil || v.PrimaryTerm == 0 || svc.callPending || now < svc.abandonedUntil {
		return
	}
	if svc.transition != nil && svc.transition.phase != phaseUnfence {
		return
	}
	if r := svc.record; r.Upstream != "" && (v.PrimaryTerm < r.Term || v.PrimaryTerm == r.Term && v.Primary != r.Upstream) {
		return
	}
	if primary.FailedSince != 0 && now.Sub(max(primary.ContactAt, in.PeerContact(primary.ID))) > suspectedContactAge {
		return
	}
	svc.confirmable = Confirmation{Service: svc.name, Upstream: v.Primary, Term: v.PrimaryTerm}
}

// confirmationsEnded reports whether no VM holds a confirmation of the primary any
// more, neither by this holder of the promotion lease nor by an earlier one.
func (s *State) confirmationsEnded(now model.Time, svc *serviceState) bool {
	if now < s.acquiredAt.Add(ConfirmationTTL+confirmationMargin) {
		return false
	}
	for _, until := range svc.confirmedUntil {
		if now < until {
			return false
		}
	}
	return true
}

// withdraw asks the VMs that still hold a confirmation to drop it.
func (svc *serviceState) withdraw(now model.Time, out []Effect) []Effect {
	if now.Sub(svc.withdrawnAt) < commandRetryInterval {
		return out
	}
	svc.withdrawnAt = now
	first := len(out)
	for vm, until := range svc.confirmedUntil {
		if now < until {
			out = append(out, Effect{Kind: EffectWithdraw, Service: svc.name, VM: vm, SentAt: now})
		}
	}
	slices.SortFunc(out[first:], func(a, b Effect) int { return cmp.Compare(a.VM, b.VM) })
	return out
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
	return svc.recordPrimary(v, out)
}

// recordPrimary records that no promotion call is pending and which upstream is the
// primary.
func (svc *serviceState) recordPrimary(v *replicaset.View, out []Effect) []Effect {
	svc.callPending, svc.unknownCalls = false, 0
	if v.Primary == "" {
		return out
	}
	svc.record = Record{Upstream: v.Primary, Term: v.PrimaryTerm, Done: true}
	return append(out, Effect{Kind: EffectRecord, Service: svc.name, Record: svc.record})
}
