package line

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
)

// leaseTime is how long after the start a VM holds the promotion lease and confirms the primary.
const leaseTime = 3 * time.Second

// cutZoneA makes the upstreams of the other zones receive and answer nothing, and starts a
// replica in zone-a that cannot register.
func (f *fixture) cutZoneA() {
	f.t.Helper()
	f.setOthersCut(true)
	if _, err := f.Group.Add("d", "zone-a"); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) setOthersCut(cut bool) {
	for _, id := range []string{"b", "c"} {
		f.Group.Server(id).SetReceiveStopped(cut)
		f.Group.Server(id).SetSilent(cut)
	}
}

// Guards against commits that are lost with a zone that is cut off: the primary acknowledges them
// through a replica of its zone that cannot register, so that another upstream is promoted
// without them.
func TestCommitThatDoesNotLeaveItsZoneIsNotConfirmed(t *testing.T) {
	for _, inTx := range []bool{false, true} {
		f := newFixture(t, 3, linegroup.Options{ConnectionLimit: 40, Slots: 4, Work: time.Millisecond})
		time.Sleep(leaseTime)
		c := f.dial(1, "own")
		c.MustSucceed("WRITE item before")
		text := "WRITE item x"
		if inTx {
			c.MustSucceed("BEGIN")
			c.MustSucceed(text)
			text = "COMMIT"
		}
		f.cutZoneA()
		r := c.Query(text)
		if r.OK() || r.Code != lineproto.InDoubt && r.Code != lineproto.Timeout {
			t.Errorf("in a transaction %t: %s was answered with %q %s (broken: %t)", inTx, text, r.Code, r.Text, r.Broken)
		}
		f.setOthersCut(false)
		other := f.dial(2, "own")
		f.WaitFor("a write after the cut", func() bool { r := other.Query("WRITE item y"); return r.OK() })
	}
}

// Guards against commits that wait for a replica that is cut off although another one has them.
func TestCommitIsConfirmedByAnotherZone(t *testing.T) {
	f := newFixtureWithoutVMs(t, linegroup.Options{ConnectionLimit: 40, Slots: 4, Work: time.Millisecond})
	f.spreadZones = true
	f.startAll(6)
	time.Sleep(leaseTime)
	for vm := range f.nodes {
		f.dial(vm, "own").MustSucceed("WRITE item before")
	}
	// A silent replica delays no commit by as long as a status query of it takes.
	f.cutZoneA()
	f.Group.Server("b").SetReceiveStopped(false)
	f.Group.Server("b").SetSilent(false)
	for vm := range f.nodes {
		c := f.dial(vm, "own")
		begin := time.Now()
		r := c.Query("WRITE item x")
		if took := time.Since(begin); !r.OK() || took > 500*time.Millisecond {
			t.Errorf("VM %d: %q %s after %v", vm, r.Code, r.Text, took)
		}
	}
}
