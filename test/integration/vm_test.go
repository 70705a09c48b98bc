package integration

import (
	"syscall"
	"testing"
	"time"
)

// Guards against lost or duplicated writes when a VM's process is killed and the
// platform removes the VM from its list and lists it again.
func TestVMDeath(t *testing.T) {
	c := startCluster(t, nil)
	w := newWriter(t, c, 0, 1, 2, 3)
	stop := w.start(t)
	for i := range 2 {
		w.awaitAcks(t, 50)
		c.Daemons[i].Kill()
		w.awaitAcks(t, 20)
		c.Daemons[i].Remove()
		w.awaitAcks(t, 50)
		if err := c.Daemons[i].Restart(testContext(t)); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	w.check(t, connect(t, c.URL(0, "skov", "entries")))
}

// Guards against a transaction that is partly stored, or still blocks writes, after
// the process of the VM that served it was killed.
func TestVMDeathInTransaction(t *testing.T) {
	c := startCluster(t, nil)
	setup := connect(t, c.URL(1, "skov", "entries"))
	exec(t, setup, "CREATE TABLE entry (id int)")
	conn := connect(t, c.URL(0, "skov", "entries"))
	exec(t, conn, "BEGIN")
	exec(t, conn, "INSERT INTO entry VALUES (1)")
	c.Daemons[0].Kill()
	await(t, "rollback of the abandoned transaction", func() bool {
		_, err := setup.Exec(testContext(t), "INSERT INTO entry VALUES (2)")
		return err == nil
	})
	if n := queryInt(t, setup, "SELECT count(*) FROM entry WHERE id = 1"); n != 0 {
		t.Fatalf("%d rows of an uncommitted transaction are stored", n)
	}
}

// Guards against a graceful shutdown that interrupts a request.
func TestGracefulStop(t *testing.T) {
	c := startCluster(t, nil)
	w := newWriter(t, c, 0, 1, 2, 3)
	stop := w.start(t)
	for i := range 4 {
		w.awaitAcks(t, 30)
		if err := c.Daemons[i].Terminate(testContext(t)); err != nil {
			t.Fatalf("%s: %v", c.Daemons[i].ID, err)
		}
		w.awaitAcks(t, 30)
		if err := c.Daemons[i].Restart(testContext(t)); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	w.check(t, connect(t, c.URL(0, "skov", "entries")))
	for _, err := range w.failures {
		t.Errorf("a graceful shutdown interrupted a request: %v", err)
	}
}

// Guards against writes that stop while the holder of the primary's connections
// is suspended. The kernel of a suspended process still acknowledges TCP data,
// so its peers see no connection error. Each VM is suspended in turn.
func TestSuspendedHolder(t *testing.T) {
	c := startCluster(t, nil)
	w := newWriter(t, c, 0, 1, 2, 3)
	for _, d := range c.Daemons {
		w.vms = nil
		for i, other := range c.Daemons {
			if other != d {
				w.vms = append(w.vms, i)
			}
		}
		stop := w.start(t)
		w.awaitAcks(t, 20)
		if err := d.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		suspended := time.Now()
		w.awaitAcks(t, 20)
		t.Logf("%s: new acknowledgements after %v", d.ID, time.Since(suspended))
		if err := d.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		w.awaitAcks(t, 20)
		stop()
		w.firstID += 1_000_000
	}
	w.check(t, connect(t, c.URL(0, "skov", "entries")))
}
