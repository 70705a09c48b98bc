package promotion

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// maxReportedMembers is the largest number of upstreams in a GroupReport.
const maxReportedMembers = 16

// GroupReport is what a decision about a target went by, for the log. Ages are counted
// from when the questions were sent.
type GroupReport struct {
	// Members are at most maxReportedMembers of the known upstreams.
	Members   []MemberReport
	FenceTerm uint64
	ListAge   time.Duration
	// Evidence is the newest evidence, nil if there is none.
	Evidence    *replicaset.Evidence
	EvidenceAge time.Duration
	// PassedOn is the end of the newest commit that is known to have been passed on, zero if none is.
	PassedOn model.Position
	// Unconfirmed is how long ago the last confirmation or voucher known to this lease
	// holder ended or was dropped; negative if one may still be used.
	Unconfirmed time.Duration
}

// MemberReport is what is known of one upstream.
type MemberReport struct {
	ID model.UpstreamID
	// Heard is false if the upstream has answered no status query. The fields up to
	// StatusAge are then zero.
	Heard      bool
	Primary    bool
	Term       uint64
	FencedTerm uint64
	Received   model.Position
	StatusAge  time.Duration
	Leaving    bool
	Failing    bool
}

// report returns what is known of a service in a transition.
func (s *State) report(now model.Time, svc *serviceState, v *replicaset.View, in *Input) *GroupReport {
	r := &GroupReport{FenceTerm: svc.transition.fenceTerm, PassedOn: svc.transition.passedOn(v), ListAge: now.Sub(v.ListedAt), Unconfirmed: now.Sub(s.confirmationsEndAt(svc, in))}
	if e, ok := in.Evidence(svc.name); ok {
		r.Evidence, r.EvidenceAge = &e, now.Sub(e.At)
	}
	for i := range min(len(v.Members), maxReportedMembers) {
		m := &v.Members[i]
		reported := MemberReport{ID: m.ID, Heard: m.StatusAt != 0, Leaving: m.Leaving, Failing: m.Failing()}
		if reported.Heard {
			status := &m.Status
			reported.Primary, reported.Term, reported.FencedTerm = status.Primary, status.Term, status.FencedTerm
			reported.Received, reported.StatusAge = status.Received, now.Sub(m.StatusAt)
		}
		r.Members = append(r.Members, reported)
	}
	return r
}

// confirmationsEndAt returns when the last confirmation or voucher ends that this lease
// holder knows of. Vouchers end with the withdrawal once all voters have dropped the primary.
func (s *State) confirmationsEndAt(svc *serviceState, in *Input) model.Time {
	t := svc.transition
	end := max(s.acquiredAt.Add(ConfirmationTTL+confirmationMargin), t.withdrawnAt)
	for _, until := range svc.confirmedUntil {
		end = max(end, until)
	}
	for _, w := range t.withdrawn {
		if !t.allWithdrawn(in) {
			end = max(end, w.vouchersEnd)
		}
	}
	return end
}

// allWithdrawn reports whether all voters have dropped the primary.
func (t *transition) allWithdrawn(in *Input) bool {
	for _, vm := range in.Voters {
		if _, found := t.withdrawn[vm]; !found {
			return false
		}
	}
	return true
}
