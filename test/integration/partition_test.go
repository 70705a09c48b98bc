package integration

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/test/cluster"
)

const (
	// partitionFreshness is the freshness bound of the jobs in partition tests.
	// It is shorter than key_grace, so that the tests can tell the effects of the
	// two bounds apart.
	partitionFreshness = 4 * time.Second
	// stopTolerance allows for delays on a busy machine in addition to key_grace.
	stopTolerance = 3 * time.Second
	// idRangeSize is the distance between the first ids of writers that share a
	// table.
	idRangeSize = 1_000_000
)

// threeZones sets options for three zones with two VMs and one upstream each, a
// Network, and the job "board", which is open: it needs no key.
func threeZones(o *cluster.Options) {
	o.Zones = []string{"zone-a", "zone-b", "zone-c"}
	o.VMs = 6
	o.Network = true
	o.Jobs[0].Freshness = config.Duration(partitionFreshness)
	o.Jobs[0].StatementTimeout = config.Duration(4 * time.Second)
	board := o.Jobs[0]
	board.Name, board.Workspaces, board.Open = "board", nil, true
	o.Jobs = append(o.Jobs, board)
}

// partitionZone cuts zone-a, including its upstream, off from the other zones
// and the platform.
func partitionZone(c *cluster.Cluster) {
	c.Network.Isolate("zone-a", "zone-b", "zone-c", cluster.PlatformSite)
	c.Groups["entries1"].Upstreams[0].Partition(true)
}

func heal(c *cluster.Cluster) {
	c.Network.Heal()
	c.Groups["entries1"].Upstreams[0].Partition(false)
}

// Guards against a partitioned zone that serves reads beyond the freshness
// bound, serves keyed requests for longer than key_grace, has an old primary
// that acknowledges writes which are then lost, or does not recover.
func TestZonePartitioned(t *testing.T) {
	c := startCluster(t, threeZones)
	inside := newWriter(t, c, 0, 3)
	outside := &writer{cluster: c, table: "entry", firstID: idRangeSize, vms: []int{1, 2, 4, 5}}
	stopInside, stopOutside := inside.start(t), outside.start(t)
	var ackHistory ackSamples
	ackHistory.sample(t, outside)
	sql := "SELECT count(*) FROM entry WHERE id >= " + strconv.Itoa(idRangeSize)
	keyed := &reader{urls: []string{c.URL(0, "skov", "entries"), c.URL(3, "skov", "entries")}, sql: sql}
	open := &reader{urls: []string{c.URL(0, "skov", "board"), c.URL(3, "skov", "board")}, sql: sql}
	stopKeyed, stopOpen := keyed.start(t), open.start(t)
	inside.awaitAcks(t, 20)
	outside.awaitAcks(t, 20)
	keyed.awaitServed(t, "read before the partition")

	cut := time.Now()
	partitionZone(c)
	await(t, "new primary outside the partitioned zone", func() bool {
		return c.Groups["entries1"].Primary() != c.Groups["entries1"].Upstreams[0]
	})
	outside.awaitAcks(t, 50)
	time.Sleep(time.Until(cut.Add(config.DefaultKeyGrace + 2*stopTolerance)))
	during := time.Now()
	t.Logf("keyed:\n%sopen:\n%s", timeline(keyed.since(time.Time{}), cut), timeline(open.since(time.Time{}), cut))
	checkStopped(t, keyed, cut)
	if countServed(open.since(cut)) == 0 {
		t.Error("the partitioned zone served no read")
	}

	heal(c)
	healed := time.Now()
	defer func() {
		t.Logf("after the partition: keyed:\n%sopen:\n%s", timeline(keyed.since(healed), healed), timeline(open.since(healed), healed))
	}()
	keyed.awaitServed(t, "keyed read after the partition")
	open.awaitServed(t, "open read after the partition")
	inside.awaitAcks(t, 20)
	outside.awaitAcks(t, 20)
	stopInside()
	stopOutside()
	stopKeyed()
	stopOpen()
	t.Logf("served from the cut to the end of the partition: %d keyed, %d open",
		countServed(keyed.since(cut))-countServed(keyed.since(during)), countServed(open.since(cut))-countServed(open.since(during)))
	ackHistory.checkFreshness(t, keyed.since(time.Time{}), partitionFreshness)
	ackHistory.checkFreshness(t, open.since(time.Time{}), partitionFreshness)
	conn := connect(t, c.URL(1, "skov", "entries"))
	inside.check(t, conn)
	outside.check(t, conn)
}

// checkStopped checks the keyed requests that started after the cut plus
// key_grace plus stopTolerance. There must be some, and all must have been
// refused as not run.
func checkStopped(t *testing.T, keyed *reader, cut time.Time) {
	t.Helper()
	late := keyed.since(cut.Add(config.DefaultKeyGrace + stopTolerance))
	if len(late) == 0 {
		t.Error("no keyed request was answered after key_grace")
	}
	for _, result := range late {
		if !result.refused() {
			t.Errorf("keyed request %s after the cut: %v, want a refusal as not run", result.start.Sub(cut), result.err)
		}
	}
}

// Guards against refused requests in a zone that can reach the other zones but
// not the platform, and against configuration changes that do not reach it.
func TestZonePartitionedFromPlatform(t *testing.T) {
	c := startCluster(t, threeZones)
	w := newWriter(t, c, 0, 3)
	stop := w.start(t)
	read := &reader{urls: []string{c.URL(0, "skov", "entries")}, sql: "SELECT count(*) FROM entry"}
	stopRead := read.start(t)
	w.awaitAcks(t, 20)
	read.awaitServed(t, "read before the partition")
	cut := time.Now()
	c.Network.Isolate("zone-a", cluster.PlatformSite)
	time.Sleep(config.DefaultKeyGrace + stopTolerance)
	if !strings.Contains(c.Daemons[0].LogTail()+c.Daemons[3].LogTail(), "store is unreachable") {
		t.Error("no VM of the zone logged that the platform's store is unreachable")
	}
	w.awaitAcks(t, 50)
	if out, err := c.Ctl(testContext(t), 1, "preset", "use", "peak"); err != nil {
		t.Fatalf("configuration change through another zone: %s%v", out, err)
	}
	for _, i := range []int{0, 3} {
		out, err := c.Ctl(testContext(t), i, "--output", "json", "status")
		if err != nil || !strings.Contains(out, "peak") {
			t.Errorf("%s does not report the new preset: %s%v", c.Daemons[i].ID, out, err)
		}
	}
	w.awaitAcks(t, 50)
	stop()
	stopRead()
	for _, result := range read.since(cut) {
		if result.err != nil {
			t.Errorf("read %s after the cut: %v", result.start.Sub(cut), result.err)
		}
	}
	for _, err := range w.failures {
		t.Errorf("write: %v", err)
	}
	if len(w.notRun) > 0 {
		t.Errorf("%d writes were refused", len(w.notRun))
	}
	c.Network.Heal()
	w.check(t, connect(t, c.URL(0, "skov", "entries")))
}
