package integration

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/test/cluster"
)

// leaveTimeout is the time after which a leaving upstream must not receive
// statements.
const leaveTimeout = 3 * time.Second

// Guards against statements on an upstream, primary or replica, that the
// configuration marks as leaving, and against writes that are lost when the
// primary leaves.
func TestUpstreamLeaves(t *testing.T) {
	c := startCluster(t, nil)
	w := newWriter(t, c, 0, 1, 2, 3)
	stop := w.start(t)
	read := &reader{urls: []string{c.URL(0, "skov", "entries")}, sql: "SELECT count(*) FROM entry"}
	stopRead := read.start(t)
	for version, leaving := range []int{0, 2} {
		w.awaitAcks(t, 20)
		setLeaving(t, c, leaving, version+1)
		time.Sleep(leaveTimeout)
		u := c.Groups["entries1"].Upstreams[leaving]
		before := u.Counters().Statements
		w.awaitAcks(t, 50)
		read.awaitServed(t, "read from a remaining upstream")
		if after := u.Counters().Statements; after != before {
			t.Errorf("%d statements ran on %s after it was marked as leaving", after-before, u.ID())
		}
	}
	stop()
	stopRead()
	w.check(t, connect(t, c.URL(1, "skov", "entries")))
}

// setLeaving applies a configuration in which only the given upstream is marked
// as leaving. version is the expected current version.
func setLeaving(t *testing.T, c *cluster.Cluster, index, version int) {
	t.Helper()
	document := *c.Document
	document.Databases = []config.Database{c.Document.Databases[0]}
	upstreams := append([]config.Upstream(nil), document.Databases[0].Upstreams...)
	upstreams[index].Leaving = true
	document.Databases[0].Upstreams = upstreams
	text, err := json.MarshalIndent(&document, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := c.Ctl(testContext(t), 1, "config", "apply", "--expected", strconv.Itoa(version), path); err != nil {
		t.Fatalf("%s%v", out, err)
	}
}
