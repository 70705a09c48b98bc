package promotion

import (
	"fmt"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// outage is the present time without a primary.
type outage struct {
	// since is the step since which no VM reaches a primary, never while one does.
	since int
	// holder is the VM that has been a usable lease holder since holderSince, never if there is none.
	holder      int
	holderSince int
	// candidateSince has the step since which an upstream could have been promoted.
	candidateSince map[model.UpstreamID]int
	// failedCalls counts the promotion calls in this outage that did not succeed; secondFailedAt is the
	// step of the last but for the first.
	failedCalls, secondFailedAt int
	// noEffect is true after a call that was accepted and had no effect.
	noEffect bool
	// unknownUntil is the last step at which the lease holder could not know all that was passed on.
	unknownUntil int
	// followedUntil is the last step at which that holds for the last primary as well.
	followedUntil int
	// lateUntil is the step until which a call may be executed late.
	lateUntil int
	// vmLostAt has the step at which each VM was last reached by the lease holder, while what it has passed on may not be known.
	vmLostAt map[model.VMID]int
	// knownSince is the step at which the newest commit was sent that a VM has passed on that the lease holder reaches. All that any VM
	// had passed on before is in that log.
	knownSince int
	// provers are the replicas by which commits may have been proved.
	provers map[process]prover
	// storeDownSince is the step since which the store is down, never if it is not, and storeUsableAt when lists are complete again.
	storeDownSince, storeUsableAt int
}

// process is a process of an upstream.
type process struct {
	id          model.UpstreamID
	incarnation int64
}

// prover is when a process of an upstream was listed and stayed last, and when it ran last.
type prover struct{ stayedAt, ranAt int }

func newOutage() outage {
	return outage{since: never, holderSince: never, storeDownSince: never, candidateSince: map[model.UpstreamID]int{}, vmLostAt: map[model.VMID]int{}, provers: map[process]prover{}}
}

// memberOutageLimit is how long a service may have no primary while an upstream could be promoted: 0.7 s until the loss is
// detected, 0.95 s until the last promise ends, 0.25 s for a list, 1.1 s for a promotion; and, for one call that fails, 1 s until its
// outcome is known, 0.4 s until the retry, 0.25 s for a list and 1.1 s for a promotion: 5.75 s, and so within fenceTimeout, in which
// a failover finds a target. The 1.5 s for unlisted upstreams run while the loss is detected and the promises end.
const memberOutageLimit = int(fenceTimeout / memberStep)

// noEffectSteps is how much longer the loss of a call takes that was accepted and has no effect: its target may take
// promoteTimeout to lead, where the outcome of an unanswered call is known after 1 s and it is repeated 0.4 s later.
const noEffectSteps = int((promoteTimeout-promoteRetryInterval)/memberStep) - callTimeoutSteps

const (
	// promiseSteps is how long a VM may pass commits on after the lease holder has lost it.
	promiseSteps = int((ConfirmationTTL + confirmationMargin) / memberStep)
	// listSteps is how old the list of a VM may be, if it does not reach the store.
	listSteps          = int(2 * time.Second / memberStep)
	missingGraceSteps  = int(replicaset.MissingGracePeriod / memberStep)
	lateCallLimitSteps = int(lateCallTimeout / memberStep)
)

// failOutage records that the primary was not replaced in time. The run goes on.
func (r *memberRun) failOutage(format string, args ...any) {
	if r.overdue == "" {
		r.overdue = fmt.Sprintf("step %d: ", r.step-memberWarmupSteps) + fmt.Sprintf(format, args...)
		r.tracef("OVERDUE %s", r.overdue)
	}
}

// commitPassed records a commit that a VM has passed on.
func (o *outage) commitPassed(step int, vm *simVM, sentStep int) {
	if o.vmLostAt[vm.id] >= step-1 {
		o.knownSince = max(o.knownSince, sentStep)
	}
}

// callFailed records that a promotion call got no answer, was refused, or had no effect.
func (r *memberRun) callFailed() {
	o := &r.outage
	if r.s.fencesUnchecked {
		o.lateUntil = r.step + max(lateCallLimitSteps, r.s.lateSteps)
	}
	if o.failedCalls++; o.failedCalls > 1 {
		o.secondFailedAt = r.step
	}
}

// checkTarget checks the target of a promotion call: it has all that was passed on.
func (r *memberRun) checkTarget(u *simUpstream) {
	if r.newestPassed.Pos == 0 || u.has(r.newestPassed) {
		return
	}
	var others []model.UpstreamID
	for _, other := range r.present() {
		if other.has(r.newestPassed) {
			others = append(others, other.id)
		}
	}
	r.fail("call for %s at %v, which lacks %v that was passed on; present upstreams that have it: %v", u.id, u.position(), r.newestPassed, others)
}

// checkOutage checks that the service is not without a primary for longer than memberOutageLimit while an
// upstream could be promoted.
func (r *memberRun) checkOutage() {
	o := &r.outage
	r.observeStore(o)
	r.observeHolder(o)
	r.observeCandidates(o)
	if r.step < memberWarmupSteps || r.primaryReached() {
		o.since, o.failedCalls, o.secondFailedAt, o.noEffect = never, 0, 0, false
		return
	}
	if o.since == never {
		o.since = r.step
	}
	if o.holderSince == never {
		return
	}
	if r.passedUnknown() {
		// The former primary may come back and show it, see formerPrimaryTimeout.
		o.unknownUntil = r.step
		if r.mayBeFollowed(r.upstreams[r.last]) {
			o.followedUntil = r.step
		}
	}
	limit := memberOutageLimit + 2*max(0, r.s.promoteSteps-memberPromoteSteps)
	if o.noEffect {
		limit += noEffectSteps
	}
	since := max(o.since, o.holderSince, o.storeUsableAt, o.secondFailedAt, o.lateUntil)
	for _, u := range r.present() {
		from, found := o.candidateSince[u.id]
		if from = max(from, since, o.followedUntil); u.id != r.last {
			from = max(from, o.unknownUntil)
		}
		if found && r.step-from > limit {
			r.failOutage("no primary since step %d, though %s at %v could have been promoted since step %d by %s", o.since-memberWarmupSteps, u.id, u.position(), from-memberWarmupSteps, r.vms[o.holder].id)
			return
		}
	}
}

// mayBeFollowed reports whether another upstream may have followed the last primary, as far as the lease holder knows: its call is
// recorded, and not known to be done. Otherwise the last primary has all by itself.
func (r *memberRun) mayBeFollowed(last *simUpstream) bool {
	record, found := r.records[memberService]
	return found && !record.Done && record.Upstream != last.id
}

// primaryReached reports whether a VM reaches the primary.
func (r *memberRun) primaryReached() bool {
	if r.primary == "" {
		return false
	}
	for _, vm := range r.vms {
		if r.reaches(vm, r.upstreams[r.primary]) {
			return true
		}
	}
	return false
}

// observeStore records since when the store lists all upstreams: not for MissingGracePeriod after an outage of that length.
func (r *memberRun) observeStore(o *outage) {
	switch {
	case r.storeDown && o.storeDownSince == never:
		o.storeDownSince = r.step
	case !r.storeDown && o.storeDownSince != never:
		o.storeUsableAt = r.step
		if r.step-o.storeDownSince >= missingGraceSteps {
			o.storeUsableAt += missingGraceSteps
		}
		o.storeDownSince = never
	}
}

// observeHolder records since when the lease holder reaches the store and a majority of the VMs.
func (r *memberRun) observeHolder(o *outage) {
	vm := r.vms[r.holder]
	reached := 0
	for _, other := range r.vms {
		if other.alive && (other == vm || linked(vm, other)) {
			reached++
			r.vmReached(o, other)
		}
	}
	switch usable := vm.alive && vm.holder.Holding() && !vm.cutStore && !r.storeDown && reached*2 > len(r.vms); {
	case !usable:
		o.holderSince = never
	case o.holderSince == never || o.holder != r.holder:
		// A VM that has started knows no complete list for MissingGracePeriod.
		o.holder, o.holderSince = r.holder, max(r.step, vm.startedStep+missingGraceSteps)
	}
}

// vmReached records that the lease holder reaches a VM. What a VM that has restarted had passed on is not known.
func (r *memberRun) vmReached(o *outage, vm *simVM) {
	if lostAt, known := o.vmLostAt[vm.id]; !known || lostAt >= vm.startedStep || r.settled(lostAt) {
		o.vmLostAt[vm.id] = r.step
	}
}

// settled reports whether all that a VM that is reached may have passed on before a step, when it restarted, is in a known log.
func (r *memberRun) settled(lostAt int) bool {
	return lostAt+promiseSteps < max(r.outage.knownSince, r.ledAt)
}

// passedUnknown reports whether the lease holder cannot know all that was passed on, nor ask all replicas that may have received it: a
// VM that it does not reach may have passed on more, with the word of other VMs also after it was lost, and a replica is out of the
// holder's reach that stayed by the last list of that VM, or when the outage began. It does not count if it had gone, and no list had it for
// MissingGracePeriod, before the newest commit that is known was sent.
func (r *memberRun) passedUnknown() bool {
	o := &r.outage
	vm := r.vms[r.holder]
	for p, at := range o.provers {
		u := r.upstreams[p.id]
		if !u.gone && r.reaches(vm, u) && u.incarnation == p.incarnation && r.listed(u) || at.ranAt+missingGraceSteps+listSteps < o.knownSince {
			continue
		}
		for _, lostAt := range o.vmLostAt {
			if lostAt < r.step && at.stayedAt+listSteps >= min(lostAt, o.since) {
				return true
			}
		}
	}
	return false
}

// listed reports whether the store has an entry of an upstream that stays.
func (r *memberRun) listed(u *simUpstream) bool {
	return u.reported.Sequence > 0 && !u.reported.Leaving && r.step-u.reportedAt < entryTTL
}

// observeCandidates records since when each upstream could be promoted: it is listed, stays, is reached by the lease holder and
// has all that was passed on.
func (r *memberRun) observeCandidates(o *outage) {
	vm := r.vms[r.holder]
	for _, u := range r.present() {
		p := process{u.id, u.incarnation}
		at := o.provers[p]
		if u.id != r.last && r.listed(u) {
			at.stayedAt = r.step
		}
		if u.alive {
			at.ranAt = r.step
		}
		if at.stayedAt != 0 {
			o.provers[p] = at
		}
		if !r.listed(u) || u.cutStore || u.leaving || !r.reaches(vm, u) || r.newestPassed.Pos > 0 && !u.has(r.newestPassed) {
			delete(o.candidateSince, u.id)
			continue
		}
		if _, found := o.candidateSince[u.id]; !found {
			o.candidateSince[u.id] = r.step
		}
	}
}
