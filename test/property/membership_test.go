package property

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/membership"
)

const (
	// clusterSteps is the number of random steps in one check.
	clusterSteps = 2000
	// settleTime exceeds both the lag of the platform's list and two epochs with
	// their takeover delays.
	settleTime = 30 * time.Second
)

// step advances the time and occasionally injects a fault.
func (c *cluster) step(t *rapid.T) {
	if rapid.IntRange(0, 29).Draw(t, "step") == 0 {
		c.fault()
	}
	c.advance(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
}

// Guards against two VMs that act as the owner of one item at the same time, and
// against items without an owner after all faults are repaired.
//
// The test detects these faults in membership. Two VMs own one item with a takeover
// delay of half of EpochTTL, a takeover without delay or release, confirmations
// dated when they arrive, records that go back to a lower epoch, writes by VMs that
// are not members, and seats of empty zones used without a confirmation of the empty
// record. No VM owns an item if a restarted VM takes its previous incarnation for
// running.
func TestMembershipOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, "z1a", "z1b", "z1c", "z2a", "z2b", "z3a")
		c.items = append(seatItems("z1", "u1"), seatItems("z2", "u2")...)
		c.items = append(c.items, seatItems("z3", "u3")[0])
		for _, z := range c.zones {
			c.items = append(c.items, membership.Item{Kind: membership.Tokens, Zone: z, Name: "w"})
		}
		c.startAll()
		c.check = c.checkOwners
		c.advance(10 * time.Second)
		switch rapid.IntRange(0, 3).Draw(t, "start") {
		case 0:
			c.isolateOwner(c.items[0])
			c.advance(10 * time.Second)
		case 1:
			c.isolateMembers(c.vms[rapid.IntRange(0, 2).Draw(t, "newcomer")])
			c.advance(10 * time.Second)
		}
		for range clusterSteps {
			c.step(t)
		}
		c.heal()
		c.advance(settleTime)
		for _, it := range c.items {
			if len(c.owners(it)) != 1 {
				c.t.Fatalf("%v own %+v after all faults were repaired, want exactly one owner", c.owners(it), it)
			}
		}
	})
}
