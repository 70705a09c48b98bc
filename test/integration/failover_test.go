package integration

import (
	"testing"

	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// Guards against an acknowledged write that is lost, or a write that runs
// twice, when the primary's process dies.
func TestPrimaryCrash(t *testing.T) {
	c := startCluster(t, nil)
	w := newWriter(t, c, 0, 1, 2, 3)
	stop := w.start(t)
	w.awaitAcks(t, 50)
	group := c.Groups["entries1"]
	old := group.Primary()
	old.Kill()
	w.awaitAcks(t, 50)
	if err := old.Restart(); err != nil {
		t.Fatal(err)
	}
	await(t, "old primary as a replica", func() bool { return old.Status().Role == dbgroup.Replica })
	w.awaitAcks(t, 50)
	stop()
	w.check(t, connect(t, c.URL(1, "skov", "entries")))
}

// Guards against an old primary that acknowledges writes after it was
// suspended and a new one was promoted.
func TestPrimarySuspended(t *testing.T) {
	c := startCluster(t, nil)
	w := newWriter(t, c, 0, 1, 2, 3)
	stop := w.start(t)
	w.awaitAcks(t, 50)
	group := c.Groups["entries1"]
	old := group.Primary()
	old.Pause()
	await(t, "new primary", func() bool { return group.Primary() != old })
	w.awaitAcks(t, 50)
	old.Resume()
	await(t, "old primary as a replica", func() bool { return old.Status().Role == dbgroup.Replica })
	w.awaitAcks(t, 50)
	stop()
	w.check(t, connect(t, c.URL(2, "skov", "entries")))
}

// Guards against a failover that needs the platform's store.
func TestFailoverDuringStoreOutage(t *testing.T) {
	c := startCluster(t, nil)
	w := newWriter(t, c, 0, 1, 2, 3)
	stop := w.start(t)
	w.awaitAcks(t, 20)
	c.Platform.SetDown(true)
	old := c.Groups["entries1"].Primary()
	old.Kill()
	w.awaitAcks(t, 50)
	stop()
	w.check(t, connect(t, c.URL(3, "skov", "entries")))
}
