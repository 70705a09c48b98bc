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
	// settleTime is longer than the platform's list lags, and than two epochs
	// with their waits.
	settleTime = 30 * time.Second
)

// step moves the time on and sometimes causes a fault.
func (c *cluster) step(t *rapid.T) {
	if rapid.IntRange(0, 29).Draw(t, "step") == 0 {
		c.fault()
	}
	c.advance(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
}

// Guards against two VMs that act as the owner of one item at the same time,
// and against items that nobody owns after the faults.
//
// Shown to fail with: a wait of half of EpochTTL, a start without release, evidence
// that is dated when it arrives, records that may go back to a lower epoch, writes
// by VMs that are not members, seats of zones without members that are used
// without evidence for the empty record (two VMs own one item), and a restarted
// VM that takes its former self for running (nobody owns an item).
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
				c.t.Fatalf("%v own %+v after the faults", c.owners(it), it)
			}
		}
	})
}
