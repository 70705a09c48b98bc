package line

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
)

// When the primary crashes and returns as a replica, no acknowledged write may be
// lost, none may be applied twice, and none refused as not run may be committed.
// Writes have to succeed again after the failover.
func TestPrimaryCrash(t *testing.T) {
	f := newFixture(t, 3, fastGroup)
	w := f.startWriters(6)
	f.WaitFor("writes", func() bool { return w.Count("") > 50 })
	f.Group.Server("a").Stop()
	f.WaitFor("another primary", func() bool { return f.Group.Primary() != "a" })
	if err := f.Group.Server("a").Start(); err != nil {
		t.Fatal(err)
	}
	served := w.Count("")
	f.WaitFor("writes after the failover", func() bool { return w.Count("") > served+50 })
	w.stop()
	w.Check(f.Platform)
}

// A planned switchover, caused by a primary that drains, must not lose requests: a
// request may end only with success or with a code for which it can be retried.
func TestLeavingPrimary(t *testing.T) {
	f := newFixture(t, 3, fastGroup)
	w := f.startWriters(6)
	f.WaitFor("writes", func() bool { return w.Count("") > 50 })
	f.Register("a", "draining")
	f.WaitFor("another primary", func() bool { return f.Group.Primary() != "a" })
	served := w.Count("")
	f.WaitFor("writes after the switchover", func() bool { return w.Count("") > served+50 })
	w.stop()
	w.Check(f.Platform)
	for code, n := range w.Codes() {
		if code != "" && code != lineproto.ReadOnly && code != lineproto.Busy {
			t.Errorf("%d requests ended with %s", n, code)
		}
	}
}

// When an upstream executes a write and its answer is lost, the write must not be
// sent again or be refused as not run; its outcome is unknown. A read whose answer
// is lost has to be retried and succeed.
func TestLostAnswers(t *testing.T) {
	f := newFixture(t, 1, fastGroup)
	c := f.dial(0, "own")
	c.MustSucceed("READ item")
	f.Group.Server("a").LoseAnswers(1)
	c.MustFail("WRITE item data", lineproto.InDoubt)
	c.MustSucceed("BEGIN")
	c.MustSucceed("WRITE item data")
	f.Group.Server("a").LoseAnswers(1)
	if r := c.Query("COMMIT"); r.Code != lineproto.InDoubt || r.State != lineproto.Idle {
		t.Errorf("commit: %+v", r)
	}
	c.MustSucceed("BEGIN")
	f.Group.Server("a").LoseAnswers(1)
	if r := c.MustFail("WRITE item data", lineproto.Aborted); r.State != lineproto.TxFailed {
		t.Errorf("state %c", r.State)
	}
	c.MustSucceed("ROLLBACK")
	for _, id := range []string{"b", "c"} {
		f.Group.Server(id).LoseAnswers(1)
	}
	c.MustSucceed("READ item")
	f.CheckHistory(nil, nil)
	if n := len(f.Group.Log()); n != 2 {
		t.Errorf("%d commits, want 2", n)
	}
}

// Reads have to be served by other upstreams while a replica accepts requests and
// does not answer.
func TestUnresponsiveReplica(t *testing.T) {
	f := newFixture(t, 1, fastGroup)
	c := f.dial(0, "bounded")
	for range 4 {
		c.MustSucceed("READ item")
	}
	f.Group.Server("b").SetSilent(true)
	for range 10 {
		c.MustSucceed("READ item")
	}
	f.Group.Server("b").SetSilent(false)
}

// Read-your-writes has to hold while one replica receives no replication: its
// position falls behind the session's commits.
func TestReplicasThatReceiveNothing(t *testing.T) {
	f := newFixture(t, 1, fastGroup)
	w := f.startWriters(2)
	f.Group.Server("b").SetReceiveStopped(true)
	c := f.dial(0, "own")
	for range 20 {
		written := c.MustSucceed("WRITE item data")
		r := c.MustSucceed("READ item")
		if own := f.Group.NumberOf(written.ID); r.CommitsSeen() < own {
			t.Fatalf("read returned %q after commit %d of the session was acknowledged", r.Rows, own)
		}
	}
	w.stop()
	w.Check(f.Platform)
}

// Requests have to be served while the store is down. A configuration written during
// the outage has to take effect afterwards, even if the store has lost the watch
// history and the leases.
func TestStoreOutage(t *testing.T) {
	f := newFixture(t, 2, fastGroup)
	c := f.dial(0, "own")
	f.Store.Down.Store(true)
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		c.MustSucceed("WRITE item data")
		c.MustSucceed("READ item")
	}
	f.Configure("another-key")
	f.Store.ExpireLeases()
	f.Store.CompactHistory()
	f.Store.Down.Store(false)
	f.WaitFor("the new configuration", func() bool { return c.Query("READ item").Code == lineproto.NoAuth })
}

// When the store applies changes and their answers are lost, a VM still has to
// acquire the promotion lease and fail over from a crashed primary.
func TestLostStoreAnswers(t *testing.T) {
	f := newFixture(t, 1, fastGroup)
	f.Store.LoseAnswers.Store(2)
	f.Store.ExpireLeases()
	time.Sleep(500 * time.Millisecond)
	f.Group.Server("a").Stop()
	f.WaitFor("another primary", func() bool { return f.Group.Primary() != "a" })
}

// A graceful stop must not interrupt requests: they end with success or are refused
// with a code for which they can be retried on another VM.
func TestGracefulStop(t *testing.T) {
	f := newFixtureWithoutVMs(t, linegroup.Options{ConnectionLimit: 40, Slots: 4, Work: 5 * time.Millisecond})
	f.grace = 4 * time.Second
	f.startAll(2)
	w := f.startWriters(8)
	f.WaitFor("writes", func() bool { return w.Count("") > 50 })
	f.nodes[0].Stop()
	w.stop()
	w.Check(f.Platform)
	for code, n := range w.Codes() {
		if code != "" && code != lineproto.Busy {
			t.Errorf("%d requests ended with %s", n, code)
		}
	}
}

// All VMs together must not open more connections to an upstream than it accepts.
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
