package promotion

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

// Guards against the loss of a commit that the target of a switchover has proved after it last answered: the switchover
// turns into a failover while neither the primary nor the target answers.
func TestFailoverDoesNotTrustAnswersFromTheSwitchover(t *testing.T) {
	h := newHarness(t)
	h.state.Confirm(h.now, "vm")
	h.member("a").Leaving = true
	h.advance(800 * ms)
	// The primary stops answering before the confirmation has ended.
	h.markFailed("a")
	h.advance(200 * ms)
	h.wantNoPromoteCall()
	confirmed := h.state.Confirm(h.now, "vm")
	if len(confirmed) != 1 || confirmed[0].Successor != "b" {
		t.Fatalf("%+v promised, want the successor b", confirmed)
	}
	// b receives commits, which VMs may pass on, and is then out of reach as well.
	h.member("b").FailedSince = h.now
	h.advance(5 * time.Second)
	for _, call := range h.promoteCalls {
		t.Fatalf("%s is promoted, although b may have proved commits since it last answered", call.Upstream)
	}
}

// Guards against a new lease holder that takes a primary that it has never known for one that is gone for good.
func TestNewLeaseHolderWaitsForTheFormerPrimary(t *testing.T) {
	h := newHarness(t)
	h.view.Incomplete, h.view.MemberLost = true, true
	h.evidence = replicaset.Evidence{At: h.now, Position: pos(500), Term: 1}
	h.view.Primary = ""
	h.view.Members = h.view.Members[1:2]
	h.advance(2 * time.Second)
	h.state.Lose()
	h.state.Acquire(h.now, Acquisition{Revision: 8})
	h.advance(4 * time.Second)
	h.wantNoPromoteCall()
}

// Guards against a promise that names a successor which leaves: commits that only it and the primary have are lost if both go.
func TestLeavingSuccessorIsNotPromised(t *testing.T) {
	h := newHarness(t)
	h.member("a").Leaving = true
	for len(h.promoteCalls) == 0 {
		h.advance(10 * ms)
	}
	target := h.promoteCalls[0].Upstream
	h.member(target).Leaving = true
	h.advance(50 * ms)
	for _, c := range h.state.Confirm(h.now, model.VMID("vm")) {
		t.Errorf("%+v promised although the successor leaves", c)
	}
}

// Guards against a freeze that counts a VM as told although it has kept a promise: its answer to a withdrawal that spared
// the successor arrives after the switchover has turned into a failover.
func TestLateAnswerToAWithdrawalOfTheSwitchoverDoesNotCount(t *testing.T) {
	h := newHarness(t)
	h.state.Confirm(h.now, "vm")
	h.member("a").Leaving = true
	h.advance(20 * ms)
	h.markFailed("a")
	svc := h.state.services["db"]
	for svc.transition != nil && svc.transition.planned {
		h.advance(10 * ms)
		h.state.Confirm(h.now, "vm")
	}
	if svc.transition == nil {
		t.Fatal("the switchover has not turned into a failover")
	}
	t.Logf("promises %v, confirmed %v at %v", svc.promises, svc.confirmedUntil, h.now)
	until := svc.promises[promise{"vm", "b"}]
	h.state.ReportWithdrawn(h.now, "db", "vm", h.now.Add(-100*ms), Withdrawal{})
	for h.now < until {
		h.advance(10 * ms)
		if at := svc.transition.promisesEndedAt; at != 0 && at < until {
			t.Fatalf("frozen %v before the promise of the VM ends", until.Sub(at))
		}
	}
}
