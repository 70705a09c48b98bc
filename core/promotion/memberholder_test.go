package promotion

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// runHolder lets the lease holder decide, or another VM become the lease holder.
func (r *memberRun) runHolder() {
	vm := r.vms[r.holder]
	switch {
	case vm.alive && !vm.cutStore && !r.storeDown && (vm.holder.Holding() || r.step < r.holderEndsAt-6):
		if vm.holder.Holding() {
			r.holderEndsAt = r.step + memberLeaseSteps
		}
	case r.step >= r.holderEndsAt:
		vm.holder.Lose()
		r.acquire()
		return
	case r.step >= r.holderEndsAt-6:
		vm.holder.Lose()
	}
	if !vm.alive || !vm.holder.Holding() {
		return
	}
	if !vm.holder.InTransition() && r.step%2 != 0 {
		return
	}
	now := r.now()
	effects := vm.holder.Tick(now, r.input(vm), nil)
	for _, c := range vm.holder.Confirm(now, vm.id) {
		r.apply(vm, &replicaset.Event{Kind: replicaset.EventConfirmed, Upstream: c.Upstream, Term: c.Term, Successor: c.Successor, SentAt: now, Until: now.Add(ConfirmationTTL)})
	}
	if r.step-vm.lastStatusesAt >= 6 {
		vm.lastStatusesAt = r.step
		r.queryMembers(vm)
	}
	for i := range effects {
		r.execute(vm, &effects[i])
	}
}

// acquire makes the first other VM that reaches the store the lease holder.
func (r *memberRun) acquire() {
	for i := range r.vms {
		i = (r.holder + 1 + i) % len(r.vms)
		vm := r.vms[i]
		if !vm.alive || vm.cutStore || r.storeDown {
			continue
		}
		r.holder = i
		r.revision++
		r.holderEndsAt = r.step + memberLeaseSteps
		if record := r.records[memberService]; r.s.fencesUnchecked && record.Upstream != "" && !record.Done {
			// The new lease holder does not know how the recorded call has ended.
			r.outage.lateUntil = max(r.outage.lateUntil, r.step+lateCallLimitSteps)
		}
		vm.holder.Acquire(r.now(), Acquisition{Revision: r.revision, Records: maps.Clone(r.records)})
		r.tracef("%s is the lease holder", vm.id)
		return
	}
}

func (r *memberRun) input(vm *simVM) *Input {
	in := &Input{
		Views: vm.view.Views(), FencesChecked: !r.s.fencesUnchecked, OnlyVotersPassOn: true,
		Evacuated:    func(model.Zone) bool { return false },
		PeerContact:  func(id model.UpstreamID) model.Time { return vm.contacts[id] },
		Evidence:     func(s catalog.Service) (replicaset.Evidence, bool) { return vm.view.NewestEvidence(s) },
		EvidenceUpTo: vm.view.EvidenceUpTo,
		SyncReplicas: func(catalog.Service) int { return 1 },
	}
	heard := 0
	for _, other := range r.vms {
		in.Voters = append(in.Voters, other.id)
		if at, known := vm.heard[other.id]; known && r.now().Sub(at) < time.Second {
			heard++
		}
	}
	in.Isolated = heard*2 < len(r.vms)-1
	if r.s.skipsList {
		for i := range in.Views {
			in.Views[i].ListedAt, in.Views[i].ListComplete = r.now(), true
		}
	}
	return in
}

// queryMembers sends the regular status queries of the lease holder.
func (r *memberRun) queryMembers(vm *simVM) {
	for _, v := range vm.view.Views() {
		for i := range v.Members {
			m := &v.Members[i]
			if m.ID != v.Primary && r.now().Sub(m.StatusAt) < 800*time.Millisecond && !m.Failing() {
				continue
			}
			r.command(vm, m.ID, CommandStatus, 0, delivered)
		}
	}
}

// execute carries out an effect, subject to the faults of the scenario.
func (r *memberRun) execute(vm *simVM, e *Effect) {
	switch e.Kind {
	case EffectCommand:
		mode := delivered
		if e.Command != CommandStatus && r.step >= vm.inFlight[e.Upstream] {
			mode = r.nextDelivery()
		}
		r.command(vm, e.Upstream, e.Command, e.Term, mode)
	case EffectPromote:
		r.promote(vm, *e, r.nextCall())
	case EffectRecord:
		if !vm.cutStore && !r.storeDown {
			r.records[e.Service] = e.Record
		}
	case EffectWithdraw:
		r.withdraw(vm, e)
	case EffectListNeeded:
		vm.listNeededAt = r.now()
	case EffectTransitionStarted:
		r.tracef("%s: change of primary %s started: %s, term %d", vm.id, e.Upstream, e.Cause, e.Term)
	case EffectTargetSelected:
		r.tracef("%s: target %s at %v, old position %v, stepped down %t", vm.id, e.Upstream, e.Position, e.OldPosition, e.SteppedDown)
	case EffectTargetBlocked:
		r.tracef("%s: no target is safe: %s %s, best %s", vm.id, e.Cause, e.Upstream, e.Target)
		if e.Cause == "" {
			r.fail("no target is chosen, and no cause is reported")
		}
	case EffectTransitionEnded:
		r.tracef("%s: change of primary ended, %s: %s", vm.id, e.Upstream, e.Cause)
	}
}

// nextDelivery returns what happens to the next command or promotion call.
func (r *memberRun) nextDelivery() delivery {
	if r.step < memberWarmupSteps {
		return delivered
	}
	r.messages++
	return r.s.deliveries[r.messages-1]
}

// nextCall is nextDelivery for a promotion call.
func (r *memberRun) nextCall() delivery {
	mode := r.nextDelivery()
	if r.step < memberWarmupSteps {
		return mode
	}
	r.calls++
	return max(mode, r.s.calls[r.calls-1])
}

// command sends a command, unless the last one to the upstream is not answered yet.
func (r *memberRun) command(vm *simVM, id model.UpstreamID, k CommandKind, term uint64, mode delivery) {
	if r.step < vm.inFlight[id] {
		return
	}
	u := r.upstreams[id]
	if k != CommandStatus {
		r.tracef("%s: %v %d to %s (%d)", vm.id, k, term, id, mode)
	}
	if mode == dropped || mode == delayed || mode == replyLost || !r.reaches(vm, u) {
		vm.inFlight[id] = r.step + commandTimeoutSteps
	}
	switch {
	case mode == delayed:
		r.later(r.s.lateSteps, func() {
			r.tracef("late: %v %d to %s", k, term, id)
			r.executeCommand(u, k, term)
		})
	case mode == dropped:
	case !r.reaches(vm, u):
		r.failed(vm, u)
	case mode == replyLost:
		r.executeCommand(u, k, term)
	case r.s.replySteps > 0:
		r.executeCommand(u, k, term)
		r.replyLate(vm, u)
	default:
		r.executeCommand(u, k, term)
		r.query(vm, id)
	}
}

// replyLate passes the status of an upstream on to the lease holder replySteps later.
func (r *memberRun) replyLate(vm *simVM, u *simUpstream) {
	status, sentAt, incarnation := r.status(u), r.now(), u.incarnation
	vm.inFlight[u.id] = r.step + r.s.replySteps
	r.later(r.s.replySteps, func() {
		if !r.reaches(vm, u) || u.incarnation != incarnation {
			r.failed(vm, u)
			return
		}
		r.apply(vm, &replicaset.Event{Kind: replicaset.EventStatus, Upstream: u.id, SentAt: sentAt, Status: status})
	})
}

func (r *memberRun) executeCommand(u *simUpstream, k CommandKind, term uint64) {
	if !u.alive {
		return
	}
	switch k {
	case CommandPause:
		if term > r.term && r.primary != u.id {
			u.fencedTerm = max(u.fencedTerm, term)
		}
	case CommandResume:
		u.fencedTerm = 0
	case CommandStepDown:
		if term > r.term && r.primary == u.id {
			r.primary, r.steppedDownStep = "", r.step
			r.tracef("%s steps down at %v", u.id, u.position())
		}
	}
}

// promote calls the platform.
func (r *memberRun) promote(vm *simVM, e Effect, mode delivery) {
	r.tracef("%s: call for %s, token %d (%d)", vm.id, e.Upstream, e.Token, mode)
	if vm.cutStore || r.storeDown {
		vm.holder.ReportPromotion(r.now(), e.Service, e.Token, OutcomeRejected)
		return
	}
	r.records[e.Service] = e.Record
	if r.firstCall == never && r.step >= memberWarmupSteps {
		r.firstCall = r.step
	}
	r.lastTarget = e.Upstream
	r.checkTarget(r.upstreams[e.Upstream])
	if mode != delivered {
		r.callFailed()
	}
	unknown := func() {
		if vm.alive {
			vm.holder.ReportPromotion(r.now(), e.Service, e.Token, OutcomeUnknown)
		}
	}
	switch mode {
	case dropped:
		r.later(callTimeoutSteps, unknown)
	case delayed:
		r.later(callTimeoutSteps, unknown)
		r.lateCalls[e.Upstream]++
		r.later(r.s.lateSteps, func() {
			r.lateCalls[e.Upstream]--
			r.tracef("late: call for %s, token %d", e.Upstream, e.Token)
			r.executeCall(&e)
		})
	case replyLost:
		r.executeCall(&e)
		r.later(callTimeoutSteps, unknown)
	default:
		outcome := r.executeCall(&e)
		r.later(1, func() {
			if vm.alive {
				vm.holder.ReportPromotion(r.now(), e.Service, e.Token, outcome)
			}
		})
	}
}

func (r *memberRun) executeCall(e *Effect) Outcome {
	u := r.upstreams[e.Upstream]
	if e.Token < r.highestToken && !r.s.fencesUnchecked || !u.alive {
		r.tracef("call for %s refused", e.Upstream)
		r.callFailed()
		return OutcomeRefused
	}
	r.highestToken = max(r.highestToken, e.Token)
	pending := slices.ContainsFunc(r.promotions, func(p simCall) bool { return p.target == e.Upstream })
	if r.primary != e.Upstream && !pending {
		r.promotions = append(r.promotions, simCall{at: r.step + cmp.Or(r.s.promoteSteps, memberPromoteSteps), target: e.Upstream})
	}
	return OutcomeAccepted
}

// withdraw tells a VM that the primary is no longer confirmed.
func (r *memberRun) withdraw(vm *simVM, e *Effect) {
	i := slices.IndexFunc(r.vms, func(other *simVM) bool { return other.id == e.VM })
	other := r.vms[i]
	if other != vm && !linked(vm, other) {
		if r.s.assumesWithdrawal {
			vm.holder.ReportWithdrawn(r.now(), e.Service, e.VM, e.SentAt, Withdrawal{Running: time.Hour})
		}
		return
	}
	r.apply(other, &replicaset.Event{Kind: replicaset.EventWithdrawn, Service: e.Service, Successor: e.Upstream})
	vm.holder.ReportWithdrawn(r.now(), e.Service, e.VM, e.SentAt, Withdrawal{
		Vouched:  max(other.view.Vouched(r.now(), e.Service), other.startedAt.Add(replicaset.VoucherTTL).Sub(r.now())),
		PassedOn: other.view.PassedOn(e.Service), Running: r.running(other),
	})
}

// running returns for how long a VM says that it has run.
func (r *memberRun) running(vm *simVM) time.Duration {
	if r.s.unknownRestarts {
		return 0
	}
	return r.now().Sub(vm.startedAt)
}
