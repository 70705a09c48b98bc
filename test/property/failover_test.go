package property

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	failoverChecks = 200
	failoverSteps  = 1000
	// recoveryTime is the design's bound of 7 s at the default detection time,
	// scaled to testDetect, for a primary, and twice that for the replicas.
	recoveryTime = 7 * time.Second / 6
)

// TestFailover guards against two primaries in one term, a term used by two
// proposers or for two candidates, the loss of an acknowledged write, a write
// gate that stays closed, and a group that does not recover once the faults
// have stopped.
//
// Mutations of core/failover that it was seen to reject, and how:
//   - promote after one accepted fence; compare candidates by preference only,
//     or by position without the term; never promote an isolated primary:
//     "primary lacks acknowledged writes"
//   - proposer's name without the incarnation: "term is used by ... and ..."
//   - choose the candidate again while promoting: "term has the candidates"
//   - no Follow after a status, no new term for a replica that accepted a lost
//     fence, no OpenGate after a failed proposal: "not recovered"
func TestFailover(t *testing.T) {
	checkWithFixedSeed(t, failoverChecks, func(rt *rapid.T) {
		w := newFailoverWorld(rt)
		w.draw(rt)
		w.faultPercent = w.intN(12)
		for range failoverSteps {
			w.draw(rt)
			w.step()
		}
		w.heal()
		w.runUntil(recoveryTime, func() bool { return w.primary() >= 0 })
		w.runUntil(2*recoveryTime, w.converged)
	})
}
