package integration

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/dbgroup"
	"github.com/chervilhatch/chervilhatch/test/cluster"
)

// Guards against a lost acknowledged write or a write that runs twice when the
// primary's process is killed.
func TestPrimaryCrash(t *testing.T) {
	c := startCluster(t, nil)
	w := newWriter(t, c, 0, 1, 2, 3)
	stop := w.start(t)
	w.awaitAcks(t, 50)
	group := c.Groups["entries1"]
	oldPrimary := group.Primary()
	oldPrimary.Kill()
	w.awaitAcks(t, 50)
	if err := oldPrimary.Restart(); err != nil {
		t.Fatal(err)
	}
	await(t, "old primary as a replica", func() bool { return oldPrimary.Status().Role == dbgroup.Replica })
	w.awaitAcks(t, 50)
	stop()
	w.check(t, connect(t, c.URL(1, "skov", "entries")))
}

// Guards against an old primary that still acknowledges writes when it resumes
// after a new one has been promoted.
func TestPrimarySuspended(t *testing.T) {
	c := startCluster(t, nil)
	w := newWriter(t, c, 0, 1, 2, 3)
	stop := w.start(t)
	w.awaitAcks(t, 50)
	group := c.Groups["entries1"]
	oldPrimary := group.Primary()
	oldPrimary.Pause()
	await(t, "new primary", func() bool { return group.Primary() != oldPrimary })
	w.awaitAcks(t, 50)
	oldPrimary.Resume()
	await(t, "old primary as a replica", func() bool { return oldPrimary.Status().Role == dbgroup.Replica })
	w.awaitAcks(t, 50)
	stop()
	w.check(t, connect(t, c.URL(2, "skov", "entries")))
}

// Guards against a failover that does not complete while the platform's store
// is down.
func TestFailoverDuringStoreOutage(t *testing.T) {
	c := startCluster(t, nil)
	w := newWriter(t, c, 0, 1, 2, 3)
	stop := w.start(t)
	w.awaitAcks(t, 20)
	c.Platform.SetDown(true)
	oldPrimary := c.Groups["entries1"].Primary()
	oldPrimary.Kill()
	w.awaitAcks(t, 50)
	stop()
	w.check(t, connect(t, c.URL(3, "skov", "entries")))
}

// Guards against running statements that keep waiting for an unresponsive
// primary after another one was promoted. Such a session would continue only
// after its statement timeout, which is longer than the test here.
func TestRunningWritesEndWithThePrimary(t *testing.T) {
	c := startCluster(t, func(o *cluster.Options) {
		o.Jobs[0].StatementTimeout = config.Duration(5 * time.Minute)
	})
	setup := connect(t, c.URL(0, "skov", "entries"))
	exec(t, setup, "CREATE TABLE entry (id int)")
	group := c.Groups["entries1"]
	oldPrimary := group.Primary()
	var running []*writer
	for i := range 8 {
		w := &writer{cluster: c, table: "entry", firstID: 1 + 1_000_000*i, vms: []int{i % 4}}
		defer w.start(t)()
		running = append(running, w)
	}
	for _, w := range running {
		w.awaitAcks(t, 10)
	}
	oldPrimary.Partition(true)
	oldPrimary.Pause()
	suspended := time.Now()
	for _, w := range running {
		w.awaitAcks(t, 10)
	}
	t.Logf("all writers have new acknowledgements after %v", time.Since(suspended))
	if group.Primary() == oldPrimary {
		t.Fatal("writes were acknowledged without a new primary")
	}
	oldPrimary.Resume()
	oldPrimary.Partition(false)
	await(t, "old primary as a replica", func() bool { return oldPrimary.Status().Role == dbgroup.Replica })
}
