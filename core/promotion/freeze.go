package promotion

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// Withdrawal is a VM's answer to EffectWithdraw.
type Withdrawal struct {
	// Vouched is for how long vouchers that the VM has given may still be used.
	Vouched time.Duration
	// PassedOn is the end of the newest commit that the VM knows to have been passed on to a caller.
	PassedOn model.Position
	// Running is how long the VM's process has run. PassedOn does not have what an earlier process
	// has passed on.
	Running time.Duration
}

// withdrawal is a Withdrawal with times of this VM.
type withdrawal struct {
	vouchersEnd model.Time
	passedOn    model.Position
	startedAt   model.Time
}

// freeze is the time in which VMs pass no commits of a primary on. It begins in a transition, and lasts
// until a primary is promised again. Further failovers within it go on with what is known.
type freeze struct {
	// oldPrimary is the primary whose commits are not passed on, empty if none of oldTerm was known at the start.
	oldPrimary model.UpstreamID
	oldTerm    uint64
	// formerIDs are earlier IDs of the old primary.
	formerIDs map[model.UpstreamID]bool
	// fenceTerm is the term for which upstreams are fenced; it is higher than all terms of primaries.
	fenceTerm uint64
	// voters are the voters since the start.
	voters map[model.VMID]bool
	// withdrawingSince is when VMs were first told to drop the primary, 0 before. From then on
	// it is not confirmed any more.
	withdrawingSince model.Time
	// withdrawn are the VMs that have dropped the primary.
	withdrawn map[model.VMID]withdrawal
	// withdrawnAt is when a VM last reported that, 0 before.
	withdrawnAt model.Time
	// promisesEndedAt is when the last promise of the old primary had ended, but for those that
	// name the target of a switchover; 0 before. From then on VMs pass on only commits that
	// this target has.
	promisesEndedAt model.Time
	// heard has what each upstream had received when it answered since promisesEndedAt: all commits
	// in its log that VMs have passed on, but for the target of a switchover.
	heard map[model.UpstreamID]model.Position
	// known are the upstreams that were known at the start or since, as last seen, but for those
	// that have gone.
	known map[model.UpstreamID]seenUpstream
	// wholeBefore is true if all upstreams that had left before the freeze are known.
	wholeBefore bool
	// lost has the replicas that were lost after they had answered since promisesEndedAt, with the time until
	// which they may have proved commits. A replica is lost if it goes, or restarts without its log.
	lost map[model.UpstreamID]model.Time
	// unheard has the replicas that were lost before they had answered since then.
	unheard map[model.UpstreamID]lostUpstream
	// unheardUntil is the time until which such replicas may have proved commits that are not in unheard, as those
	// lost before the freeze; 0 if none was since the group was known to be complete.
	unheardUntil model.Time
	// sufficient is the end of a log that was found to have every commit that was passed on, the shortest such
	// one; zero before.
	sufficient model.Position
	// replicaLostAt is View.ReplicaLostAt of the last tick.
	replicaLostAt model.Time
}

// seenUpstream is what a later view is compared with to tell whether an upstream has restarted.
type seenUpstream struct {
	incarnation  int64
	term         uint64
	received     model.Position
	retiredAt    model.Time
	refusedSince model.Time
}

// lostUpstream is a lost replica as it was last seen, and the time until which it may have proved commits.
type lostUpstream struct {
	seenUpstream
	until model.Time
}

// endOfTime is later than all times.
const endOfTime = model.Time(math.MaxInt64)

func newFreeze(v *replicaset.View, record *Record) *freeze {
	f := &freeze{
		oldTerm: v.PrimaryTerm, fenceTerm: highestTerm(v) + 1, formerIDs: map[model.UpstreamID]bool{}, voters: map[model.VMID]bool{}, withdrawn: map[model.VMID]withdrawal{},
		heard: map[model.UpstreamID]model.Position{}, known: map[model.UpstreamID]seenUpstream{}, lost: map[model.UpstreamID]model.Time{}, unheard: map[model.UpstreamID]lostUpstream{},
		wholeBefore: !v.Incomplete || v.Whole, replicaLostAt: v.ReplicaLostAt,
	}
	if v.Incomplete {
		f.unheardUntil = v.ReplicaLostAt
	}
	f.setOldPrimary(v)
	if record.Done && record.Term > v.PrimaryTerm {
		// The primary of this term is not known to this VM, and the one that it knows is a replica since.
		f.oldPrimary, f.oldTerm = "", record.Term
	}
	f.see(v)
	return f
}

// setOldPrimary takes the primary of a view for the old one, or the last one if that has answered as a replica or has
// gone.
func (f *freeze) setOldPrimary(v *replicaset.View) {
	f.oldPrimary = cmp.Or(v.Primary, v.LastPrimary)
	clear(f.formerIDs)
}

// raiseFenceTerm makes the fence term higher than all terms in which an upstream may have led.
func (f *freeze) raiseFenceTerm(v *replicaset.View) {
	highest := v.PrimaryTerm
	for i := range v.Members {
		highest = max(highest, v.Members[i].Status.Term)
	}
	f.fenceTerm = max(f.fenceTerm, highest+1)
}

// see updates known.
func (f *freeze) see(v *replicaset.View) {
	for i := range v.Members {
		m := &v.Members[i]
		f.known[m.ID] = seenUpstream{incarnation: m.Incarnation, term: m.Status.Term, received: m.Status.Received, retiredAt: m.RetiredAt, refusedSince: m.RefusedSince}
	}
}

// observe records voters, lost replicas and what upstreams have received.
func (f *freeze) observe(now model.Time, v *replicaset.View, in *Input) {
	for _, vm := range in.Voters {
		f.voters[vm] = true
	}
	f.observeRename(v)
	if found := f.observeLosses(now, v); !found && v.ReplicaLostAt > f.replicaLostAt {
		f.unheardUntil = max(f.unheardUntil, v.ReplicaLostAt)
	}
	f.replicaLostAt = max(f.replicaLostAt, v.ReplicaLostAt)
	f.see(v)
	for i := range v.Members {
		m := &v.Members[i]
		if f.promisesEndedAt == 0 || m.StatusAt < f.promisesEndedAt {
			continue
		}
		f.heard[m.ID] = f.heard[m.ID].Max(m.Status.Received)
		if last, found := f.unheard[m.ID]; found && m.Incarnation == last.incarnation && m.Status.Received.Compare(last.received) >= 0 {
			// Only its entry had ended.
			delete(f.unheard, m.ID)
		}
	}
}

// observeRename records that the old primary is back under another ID, as after a crash: a term has one primary.
func (f *freeze) observeRename(v *replicaset.View) {
	for i := range v.Members {
		if m := &v.Members[i]; m.ID != f.oldPrimary && f.oldTerm != 0 && m.Status.Primary && m.Status.Term == f.oldTerm {
			f.formerIDs[f.oldPrimary] = true
			f.oldPrimary = m.ID
		}
	}
}

// wasPrimary reports whether an ID is or was that of the old primary.
func (f *freeze) wasPrimary(id model.UpstreamID) bool { return id == f.oldPrimary || f.formerIDs[id] }

// observeLosses records the upstreams that were lost since the last tick, and reports whether any was.
func (f *freeze) observeLosses(now model.Time, v *replicaset.View) (found bool) {
	for id, last := range f.known {
		m := findMember(v, id)
		if m != nil && m.Incarnation == last.incarnation {
			if m.Status.Received.Compare(last.received) >= 0 {
				continue
			}
			if m.Status.Term > last.term {
				// An upstream that was promoted in the freeze has discarded the rest.
				delete(f.heard, id)
				continue
			}
		}
		found = true
		if m == nil {
			delete(f.known, id)
		}
		if f.wasPrimary(id) {
			continue
		}
		until := cmp.Or(last.retiredAt, last.refusedSince, now)
		if m != nil {
			until = cmp.Or(last.retiredAt, now)
		}
		if _, heard := f.heard[id]; heard {
			f.lost[id] = max(f.lost[id], until)
		} else {
			f.unheard[id] = lostUpstream{seenUpstream: last, until: until}
		}
	}
	return found
}

// found records that a log up to position has every commit that was passed on.
func (f *freeze) found(position model.Position) {
	if f.sufficient == (model.Position{}) || position.Compare(f.sufficient) < 0 {
		f.sufficient = position
	}
}

// isSufficient reports whether a log up to position is known to have every commit that was passed on.
func (f *freeze) isSufficient(position model.Position) bool {
	return f.sufficient != (model.Position{}) && position.Compare(f.sufficient) >= 0
}

// newPrimary records that an upstream has been promoted in the freeze, which has discarded what it lacked.
// Whether lost replicas had more is no longer known.
func (f *freeze) newPrimary(v *replicaset.View) {
	f.oldTerm = v.PrimaryTerm
	f.setOldPrimary(v)
	for _, until := range f.lost {
		f.unheardUntil = max(f.unheardUntil, until)
	}
	for _, u := range f.unheard {
		f.unheardUntil = max(f.unheardUntil, u.until)
	}
	clear(f.lost)
	clear(f.unheard)
	clear(f.heard)
}

// provedUntil returns the time until which replicas may have proved commits that c lacks, 0 if none may have, and
// the last of them. What they had received is known since frozenSince.
func (f *freeze) provedUntil(v *replicaset.View, in *Input, frozenSince model.Time, c *replicaset.Member) (latest model.Time, by blocked) {
	add := func(until model.Time, cause string, id model.UpstreamID) {
		if until > latest || until == latest && id < by.upstream {
			latest, by = until, blocked{cause: cause, upstream: id}
		}
	}
	add(f.unheardUntil, blockedOldEvidence, "")
	for id, u := range f.unheard {
		add(u.until, blockedLostNotHeard, id)
	}
	for id, until := range f.lost {
		if !f.wasPrimary(id) && c.Status.Received.Compare(f.heard[id]) < 0 {
			add(until, blockedLostAhead, id)
		}
	}
	for i := range v.Members {
		m := &v.Members[i]
		if f.has(frozenSince, c, m) {
			continue
		}
		cause := blockedAhead
		if _, heard := f.heard[m.ID]; !heard {
			cause = unfencedCause(m)
		}
		add(mayProveUntil(in, m), cause, m.ID)
	}
	if !f.hasInherited(v, in, c) {
		// It may have proved commits of an earlier term.
		add(endOfTime, blockedInherited, f.oldPrimary)
	}
	return latest, by
}

// hasInherited reports whether c is known to have the log with which the old primary began.
func (f *freeze) hasInherited(v *replicaset.View, in *Input, c *replicaset.Member) bool {
	received := c.Status.Received
	if received.Term.Counter >= f.oldTerm || c.ID == f.oldPrimary && c.Status.Term >= f.oldTerm || v.InheritedTerm == f.oldTerm && received.Compare(v.Inherited) >= 0 {
		return true
	}
	e, ok := in.EvidenceUpTo(v.Service, received)
	return ok && e.Term >= f.oldTerm
}

// listedMayProve reports whether a listed replica may have proved commits until the freeze that c lacks.
func (f *freeze) listedMayProve(v *replicaset.View, in *Input, frozenSince model.Time, c *replicaset.Member) bool {
	return slices.ContainsFunc(v.Members, func(m replicaset.Member) bool {
		return !f.has(frozenSince, c, &m) && mayProveUntil(in, &m) == endOfTime
	})
}

// has reports whether c has all commits that m may have proved as a replica of the old primary.
func (f *freeze) has(frozenSince model.Time, c, m *replicaset.Member) bool {
	if m.ID == c.ID || f.wasPrimary(m.ID) {
		return true
	}
	if received, found := f.heard[m.ID]; found {
		_, lost := f.lost[m.ID]
		return lost || c.Status.Received.Compare(received) >= 0
	}
	return f.fenced(m) && m.StatusAt >= frozenSince && m.FailedSince == 0 && c.Status.Received.Compare(m.Status.Received) >= 0
}

// mayProveUntil returns the time until which a replica may have proved commits. A host that refuses connections may
// accept them again unless no VM has reached it since.
func mayProveUntil(in *Input, m *replicaset.Member) model.Time {
	switch {
	case m.RetiredAt != 0:
		return m.RetiredAt
	case m.RefusedSince != 0 && in.PeerContact(m.ID) < m.RefusedSince:
		return m.RefusedSince
	}
	return endOfTime
}

// fenced reports whether a replica has said that it is fenced. Its answer may be from an earlier attempt.
func (f *freeze) fenced(m *replicaset.Member) bool { return m.Status.FencedTerm >= f.fenceTerm }

// covered reports whether an upstream has answered since promisesEndedAt, and best has all that it had
// received then. It need not answer any more.
func (f *freeze) covered(id model.UpstreamID, best *replicaset.Member) bool {
	received, found := f.heard[id]
	return found && best != nil && best.Status.Received.Compare(received) >= 0
}

// passedOn returns the end of the newest commit that is known to have been passed on.
func (f *freeze) passedOn(v *replicaset.View) model.Position {
	newest := v.PassedOn
	for _, w := range f.withdrawn {
		newest = newest.Max(w.passedOn)
	}
	return newest
}

// hasAllPassedOn reports whether m has every commit that was passed on because all VMs that may have passed any
// on have said which. What an earlier process of a VM has passed on was acknowledged before the start
// of the present one, so m needs the evidence of that time. VMs that are no voters are known only since this VM
// has the lease.
func (s *State) hasAllPassedOn(svc *serviceState, f *freeze, in *Input, m *replicaset.Member) bool {
	if f.promisesEndedAt == 0 || len(f.voters) == 0 {
		return false
	}
	e, ok := in.EvidenceUpTo(svc.name, m.Status.Received)
	if !ok || !in.OnlyVotersPassOn && e.At < s.acquiredAt {
		return false
	}
	known := func(vm model.VMID, until model.Time) bool {
		if w, found := f.withdrawn[vm]; found {
			return w.startedAt.Add(confirmationMargin) <= e.At && m.Status.Received.Compare(w.passedOn) >= 0
		}
		// It has stopped, or vouchers have ended as well.
		return !f.voters[vm] && until.Add(abandonedVouchPeriod) <= e.At
	}
	for vm := range f.voters {
		if !known(vm, 0) {
			return false
		}
	}
	for vm, until := range svc.confirmedUntil {
		if !known(vm, until) {
			return false
		}
	}
	for p, until := range svc.promises {
		if !known(p.vm, until) {
			return false
		}
	}
	return true
}
