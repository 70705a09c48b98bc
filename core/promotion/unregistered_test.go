package promotion

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// unregisteredHarness is a groupHarness with an upstream "d" that receives the log from its
// start on and registers later. Upstreams "a" to "c" are listed from the beginning.
type unregisteredHarness struct {
	*groupHarness
	// cut has the replicas that receive nothing.
	cut map[model.UpstreamID]bool
	// startsAt is when d starts and registersAt when it is listed; 0 is never.
	startsAt    model.Time
	registersAt model.Time
	// acknowledged is the last commit that a replica has received while a was the primary.
	acknowledged uint64
	// lostStepDowns is how many commands to step down are lost.
	lostStepDowns int
}

// newUnregisteredHarness returns a harness whose lease holder knows the group as complete.
func newUnregisteredHarness() *unregisteredHarness {
	h := &unregisteredHarness{groupHarness: newGroupHarness(), cut: map[model.UpstreamID]bool{}}
	h.received = map[model.UpstreamID]uint64{"a": 10, "b": 10, "c": 10}
	h.completeGroup()
	return h
}

// play lets the primary commit in each step, and lists upstreams every second and on demand,
// until an upstream has been promoted or d has passed.
func (h *unregisteredHarness) play(d time.Duration) {
	listedAt := h.now
	for end := h.now.Add(d); h.now < end && h.promoted == ""; {
		h.commit()
		needed := false
		for _, id := range h.view.Upstreams("db") {
			h.status(id)
		}
		for _, e := range h.state.Tick(h.now, h.input(), nil) {
			needed = needed || e.Kind == EffectListNeeded
			h.executeCommand(&e)
		}
		h.now = h.now.Add(50 * time.Millisecond)
		if !needed && h.now.Sub(listedAt) < time.Second {
			continue
		}
		listedAt = h.now
		ids := []model.UpstreamID{"a", "b", "c"}
		if h.registersAt != 0 && h.now >= h.registersAt {
			ids = append(ids, "d")
		}
		h.list(ids...)
	}
}

// commit adds a commit to the log of a while it leads, and passes the log on.
func (h *unregisteredHarness) commit() {
	if h.replica["a"] {
		return
	}
	h.received["a"]++
	ids := []model.UpstreamID{"b", "c"}
	if h.startsAt != 0 && h.now >= h.startsAt {
		ids = append(ids, "d")
	}
	for _, id := range ids {
		if !h.cut[id] && h.fenced[id] == 0 {
			h.received[id] = h.received["a"]
			h.acknowledged = h.received["a"]
		}
	}
}

func (h *unregisteredHarness) executeCommand(e *Effect) {
	if e.Kind == EffectCommand && e.Command == CommandStepDown && e.Upstream == "a" {
		if h.lostStepDowns > 0 {
			h.lostStepDowns--
			return
		}
		h.replica["a"] = true
	}
	h.execute(e)
}

// Guards against lost commits when a primary that answers is replaced by a replica with a
// shorter log: a replica that has not registered yet has made its commits acknowledged.
func TestNoAcknowledgedCommitOfAnUnregisteredReplicaIsLost(t *testing.T) {
	for start := 0; start <= 2400; start += 100 {
		for _, delay := range []int{50, 300, 600, 1200, 1450} {
			for lost := range 3 {
				h := newUnregisteredHarness()
				h.cut["b"], h.cut["c"] = true, true
				h.startsAt = h.now.Add(time.Duration(start) * time.Millisecond)
				h.registersAt = h.startsAt.Add(time.Duration(delay) * time.Millisecond)
				h.lostStepDowns = lost
				h.play(8 * time.Second)
				if h.promoted != "" && h.received[h.promoted] < h.acknowledged {
					t.Errorf("started %d ms after the cut, registered %d ms later, %d commands lost: %q is promoted at %d, %d is acknowledged",
						start, delay, lost, h.promoted, h.received[h.promoted], h.acknowledged)
				}
			}
		}
	}
}

// Guards against a failover of a stalled primary that waits for a replica although none has
// started: callers are refused all the while.
func TestStalledPrimaryIsReplacedInTime(t *testing.T) {
	h := newUnregisteredHarness()
	h.cut["b"], h.cut["c"] = true, true
	begin := h.now
	h.play(8 * time.Second)
	limit := replicationStallTimeout + registrationTimeout + time.Second
	if elapsed := h.now.Sub(begin); h.promoted != "b" && h.promoted != "c" || elapsed > limit {
		t.Errorf("%q was promoted after %v, want a replica within %v", h.promoted, elapsed, limit)
	}
}

// Guards against a switchover to a replica that receives nothing: what the primary has
// acknowledged through an unregistered replica is lost.
func TestNoSwitchoverToAReplicaBehindThePrimary(t *testing.T) {
	h := newUnregisteredHarness()
	h.cut["b"], h.cut["c"] = true, true
	h.startsAt = h.now
	h.leaving = map[model.UpstreamID]bool{"a": true}
	h.list("a", "b", "c")
	h.play(time.Second)
	if h.promoted != "" {
		t.Errorf("%q was promoted at %d, %d is acknowledged", h.promoted, h.received[h.promoted], h.acknowledged)
	}
	h.cut["b"], h.cut["c"] = false, false
	h.play(6 * time.Second)
	if h.promoted == "" || h.received[h.promoted] < h.acknowledged {
		t.Errorf("%q was promoted at %d once the replicas received again, %d is acknowledged", h.promoted, h.received[h.promoted], h.acknowledged)
	}
}
