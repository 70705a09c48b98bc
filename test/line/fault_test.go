package line

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
)

// Guards against lost and doubled writes, and false refusals, when the primary
// crashes and comes back as a replica; and against writes that stay refused.
func TestPrimaryCrash(t *testing.T) {
	f := newFixture(t, 3, quick)
	w := f.startWriters(6)
	f.Await("writes", func() bool { return w.Count("") > 50 })
	f.Group.Server("a").Stop()
	f.Await("another primary", func() bool { return f.Group.Primary() != "a" })
	if err := f.Group.Server("a").Start(); err != nil {
		t.Fatal(err)
	}
	served := w.Count("")
	f.Await("writes after the change", func() bool { return w.Count("") > served+50 })
	w.stop()
	w.Check(f.Platform)
}

// Guards against requests lost by the planned change of a primary.
func TestLeavingPrimary(t *testing.T) {
	f := newFixture(t, 3, quick)
	w := f.startWriters(6)
	f.Await("writes", func() bool { return w.Count("") > 50 })
	f.Register("a", "draining")
	f.Await("another primary", func() bool { return f.Group.Primary() != "a" })
	served := w.Count("")
	f.Await("writes after the change", func() bool { return w.Count("") > served+50 })
	w.stop()
	w.Check(f.Platform)
	for code, n := range w.Codes() {
		if code != "" && code != lineproto.ReadOnly && code != lineproto.Busy {
			t.Errorf("%d requests ended with %s", n, code)
		}
	}
}

// Guards against a write that is sent again, or refused as not run, after its
// answer was lost, and against a read that fails for it.
func TestLostAnswers(t *testing.T) {
	f := newFixture(t, 1, quick)
	c := f.dial(0, "own")
	c.Want("READ item")
	f.Group.Server("a").LoseAnswers(1)
	c.Refused("WRITE item data", lineproto.InDoubt)
	c.Want("BEGIN")
	c.Want("WRITE item data")
	f.Group.Server("a").LoseAnswers(1)
	if r := c.Query("COMMIT"); r.Code != lineproto.InDoubt || r.State != lineproto.Idle {
		t.Errorf("commit: %+v", r)
	}
	c.Want("BEGIN")
	f.Group.Server("a").LoseAnswers(1)
	if r := c.Refused("WRITE item data", lineproto.Aborted); r.State != lineproto.TxFailed {
		t.Errorf("state %c", r.State)
	}
	c.Want("ROLLBACK")
	for _, id := range []string{"b", "c"} {
		f.Group.Server(id).LoseAnswers(1)
	}
	c.Want("READ item")
	f.CheckHistory(nil, nil)
	if n := len(f.Group.Log()); n != 2 {
		t.Errorf("%d commits, want 2", n)
	}
}

// Guards against reads that wait for an upstream that answers nothing.
func TestSilentReplica(t *testing.T) {
	f := newFixture(t, 1, quick)
	c := f.dial(0, "bounded")
	for range 4 {
		c.Want("READ item")
	}
	f.Group.Server("b").SetSilent(true)
	for range 10 {
		c.Want("READ item")
	}
	f.Group.Server("b").SetSilent(false)
}

// Guards against stale reads while a replica receives nothing.
func TestDeafReplicas(t *testing.T) {
	f := newFixture(t, 1, quick)
	w := f.startWriters(2)
	f.Group.Server("b").SetReceiveStopped(true)
	c := f.dial(0, "own")
	for range 20 {
		c.Want("WRITE item data")
		commits := len(f.Group.Log())
		r := c.Want("READ item")
		if r.Seen() < commits {
			t.Fatalf("a read saw %q, %d commits were acknowledged", r.Rows, commits)
		}
	}
	w.stop()
	w.Check(f.Platform)
}

// Guards against service that ends with the store, and against a configuration
// that is missed when the store loses its history meanwhile.
func TestStoreOutage(t *testing.T) {
	f := newFixture(t, 2, quick)
	c := f.dial(0, "own")
	f.Store.Down.Store(true)
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		c.Want("WRITE item data")
		c.Want("READ item")
	}
	f.Configure("another-key")
	f.Store.EndLeases()
	f.Store.ForgetHistory()
	f.Store.Down.Store(false)
	f.Await("the new configuration", func() bool { return c.Query("READ item").Code == lineproto.NoAuth })
}

// Guards against changes whose answers are lost: the duty is taken all the same,
// and a primary is replaced.
func TestLostStoreAnswers(t *testing.T) {
	f := newFixture(t, 1, quick)
	f.Store.LoseAnswers.Store(2)
	f.Store.EndLeases()
	time.Sleep(500 * time.Millisecond)
	f.Group.Server("a").Stop()
	f.Await("another primary", func() bool { return f.Group.Primary() != "a" })
}

// Guards against a stop that cuts requests.
func TestGracefulStop(t *testing.T) {
	f := newPlatform(t, linegroup.Options{ConnectionLimit: 40, Slots: 4, Work: 5 * time.Millisecond})
	f.grace = 4 * time.Second
	f.startAll(2)
	w := f.startWriters(8)
	f.Await("writes", func() bool { return w.Count("") > 50 })
	f.nodes[0].Stop()
	w.stop()
	w.Check(f.Platform)
	for code, n := range w.Codes() {
		if code != "" && code != lineproto.Busy {
			t.Errorf("%d requests ended with %s", n, code)
		}
	}
}

// Guards against more connections to an upstream than it accepts.
func TestConnectionLimit(t *testing.T) {
	f := newFixture(t, 3, linegroup.Options{ConnectionLimit: 40, Slots: 4, Work: time.Millisecond})
	w := f.startWriters(60)
	time.Sleep(2 * time.Second)
	w.stop()
	w.Check(f.Platform)
	for _, id := range []string{"a", "b", "c"} {
		if n := f.Group.Server(id).OverLimit(); n > 0 {
			t.Errorf("upstream %s refused %d connections above its limit", id, n)
		}
	}
}
