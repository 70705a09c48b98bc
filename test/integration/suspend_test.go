package integration

import (
	"syscall"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/test/cluster"
)

// suspendDuration is longer than every timeout after which another VM takes over
// a role.
const suspendDuration = 10 * time.Second

// Guards against a VM that keeps its old roles when it resumes after a
// suspension: one of the two VMs of a zone has the zone's main seat, tokens and
// relay role. The fault shows as duplicated or lost writes, or as more
// connections to an upstream than its limit.
func TestVMSuspended(t *testing.T) {
	c := startCluster(t, nil)
	writers := []*writer{newWriter(t, c, 0)}
	for vm := 1; vm < len(c.Daemons); vm++ {
		writers = append(writers, &writer{cluster: c, table: "entry", firstID: vm * idRangeSize, vms: []int{vm}})
	}
	var stops []func()
	for _, w := range writers {
		stops = append(stops, w.start(t))
	}
	for _, suspended := range []int{0, 2} {
		writers[suspended].awaitAcks(t, 20)
		signal(t, c.Daemons[suspended], syscall.SIGSTOP)
		time.Sleep(suspendDuration)
		writers[1].awaitAcks(t, 20)
		signal(t, c.Daemons[suspended], syscall.SIGCONT)
		writers[1].awaitAcks(t, 20)
		writers[suspended].awaitAcks(t, 20)
	}
	for _, stop := range stops {
		stop()
	}
	conn := connect(t, c.URL(3, "skov", "entries"))
	for _, w := range writers {
		w.check(t, conn)
	}
	checkConnections(t, c)
}

// Guards against writes that stop when the VM with the primary's main seat is
// killed while the platform still lists it. Each VM is killed in turn, so that
// one of them has the seat.
func TestEachVMDies(t *testing.T) {
	c := startCluster(t, nil)
	for i, d := range c.Daemons {
		other := (i + 1) % len(c.Daemons)
		w := &writer{cluster: c, table: "entry", firstID: (i + 1) * idRangeSize, vms: []int{other}}
		if i == 0 {
			w = newWriter(t, c, other)
		}
		stop := w.start(t)
		w.awaitAcks(t, 20)
		d.Kill()
		w.awaitAcks(t, 20)
		if err := d.Restart(testContext(t)); err != nil {
			t.Fatal(err)
		}
		w.awaitAcks(t, 20)
		stop()
		w.check(t, connect(t, c.URL(other, "skov", "entries")))
	}
}

// checkConnections checks that no upstream reached more connections than its
// limit or refused one.
func checkConnections(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	limit := c.Document.Databases[0].Connections
	for _, u := range c.Groups["entries1"].Upstreams {
		counters := u.Counters()
		if counters.MaxConnections > limit || counters.RefusedConnections > 0 {
			t.Errorf("%s had up to %d connections and refused %d, the limit is %d",
				u.ID(), counters.MaxConnections, counters.RefusedConnections, limit)
		}
	}
}
