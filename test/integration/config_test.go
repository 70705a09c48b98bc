package integration

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/test/cluster"
)

// Guards against a withdrawn key that still works on an open session, or for
// new sessions on a VM other than the one that handled the command.
func TestKeyWithdrawn(t *testing.T) {
	c := startCluster(t, nil)
	for i := range c.Daemons {
		exec(t, connect(t, c.URL(i, "skov", "entries")), "SELECT 1")
	}
	live := connect(t, c.URL(3, "skov", "entries"))
	busy := connect(t, c.URL(2, "skov", "entries"))
	ended := make(chan error, 1)
	go func() {
		_, err := busy.Exec(testContext(t), "SELECT pg_sleep(8)")
		ended <- err
	}()
	if out, err := c.Ctl(testContext(t), 0, "key", "withdraw", "skov", "first"); err != nil {
		t.Fatalf("%s%v", out, err)
	}
	if err := <-ended; err == nil {
		t.Error("a running statement of a withdrawn key was not ended")
	}
	if _, err := live.Exec(testContext(t), "SELECT 1"); err == nil {
		t.Error("an open session of a withdrawn key still runs statements")
	}
	for i := range c.Daemons {
		conn, err := pgconn.Connect(testContext(t), c.URL(i, "skov", "entries"))
		if err == nil {
			_ = conn.Close(testContext(t))
			t.Errorf("%s accepts a withdrawn key", c.Daemons[i].ID)
		}
	}
	exec(t, connect(t, c.URL(1, "aaby", "entries")), "SELECT 1")
}

// Guards against a new key that some VM does not accept after the operator's
// command has returned.
func TestKeyGranted(t *testing.T) {
	c := startCluster(t, nil)
	out, err := c.Ctl(testContext(t), 1, "--output", "json", "key", "grant", "skov", "--id", "second")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(out, `"key": "`)
	key, _, _ := strings.Cut(rest, `"`)
	if !found || key == "" {
		t.Fatalf("no key in %s", out)
	}
	for i := range c.Daemons {
		url := strings.Replace(c.URL(i, "skov", "entries"), "skov:"+c.Key("skov"), "skov%23second:"+key, 1)
		exec(t, connect(t, url), "SELECT 1")
	}
}

// Guards against concurrent changes by two operators after which neither is
// accepted, or the only accepted one is not in force.
func TestOperatorsRace(t *testing.T) {
	c := startCluster(t, nil)
	outcomes := make([]error, 2)
	var wg sync.WaitGroup
	for i, preset := range []string{"peak", "maintenance"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, outcomes[i] = c.Ctl(testContext(t), i, "preset", "use", preset)
		}()
	}
	wg.Wait()
	out, err := c.Ctl(testContext(t), 3, "--output", "json", "status")
	if err != nil {
		t.Fatal(err)
	}
	// Both changes may succeed one after the other; then the later is in force.
	if outcomes[0] != nil && outcomes[1] != nil {
		t.Fatalf("both changes failed: %v; %v", outcomes[0], outcomes[1])
	}
	for i, preset := range []string{"peak", "maintenance"} {
		if outcomes[i] == nil && outcomes[1-i] != nil && !strings.Contains(out, preset) {
			t.Errorf("preset %s was accepted alone and is not in force: %s", preset, out)
		}
	}
}

// Guards against refused requests during a store outage that all zones observe,
// and against a configuration change that is reported as accepted during it.
func TestStoreOutage(t *testing.T) {
	c := startCluster(t, func(o *cluster.Options) {
		o.Zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}
		o.VMs = 8
	})
	w := newWriter(t, c, 0, 1, 2, 3)
	stop := w.start(t)
	w.awaitAcks(t, 20)
	c.Platform.SetDown(true)
	// Longer than key_grace and epoch_ttl, so that requests are served only by
	// the rules for an outage that all zones observe.
	time.Sleep(config.DefaultKeyGrace + 3*time.Second)
	w.mu.Lock()
	refused := len(w.notRun)
	w.mu.Unlock()
	w.awaitAcks(t, 50)
	if refused > 0 {
		t.Errorf("%d writes were refused during the outage", refused)
	}
	if out, err := c.Ctl(testContext(t), 0, "--wait", "0s", "preset", "use", "peak"); err == nil {
		t.Errorf("a change was accepted without the store: %s", out)
	}
	c.Platform.SetDown(false)
	await(t, "change after the outage", func() bool {
		_, err := c.Ctl(testContext(t), 1, "preset", "use", "peak")
		return err == nil
	})
	stop()
	w.check(t, connect(t, c.URL(0, "skov", "entries")))
}

// Guards against a change that is applied twice or reported as failed when the
// store applies it and its answer is lost.
func TestLostStoreAnswer(t *testing.T) {
	c := startCluster(t, nil)
	c.Platform.LoseAnswers(1)
	if out, err := c.Ctl(testContext(t), 2, "preset", "use", "peak"); err != nil {
		t.Fatalf("%s%v", out, err)
	}
	out, err := c.Ctl(testContext(t), 0, "--output", "json", "config", "history")
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out, `"version"`); n != 2 {
		t.Errorf("%d versions after one change, want 2: %s", n, out)
	}
}

// Guards against a caller's key, verifier, workspace or application name in the
// traffic to an upstream.
func TestNoKeyReachesUpstreams(t *testing.T) {
	c := startCluster(t, nil)
	for _, u := range c.Groups["entries1"].Upstreams {
		u.Record(true)
	}
	for i := range c.Daemons {
		conn := connect(t, c.URL(i, "skov", "entries")+"&application_name=caller-app-name")
		exec(t, conn, "CREATE TABLE IF NOT EXISTS wheel (id int)")
		exec(t, conn, "INSERT INTO wheel VALUES ($1)", i)
		queryInt(t, conn, "SELECT count(*) FROM wheel")
	}
	secrets := []string{c.Key("skov"), "caller-app-name", "skov"}
	for _, w := range c.Document.Workspaces {
		secrets = append(secrets, w.Keys[0].Verifier, w.Keys[0].Verifier[len("SCRAM-SHA-256$4096:"):])
	}
	recorded := 0
	for _, u := range c.Groups["entries1"].Upstreams {
		traffic := u.Recorded()
		recorded += len(traffic)
		for _, secret := range secrets {
			if bytes.Contains(traffic, []byte(secret)) {
				t.Errorf("upstream %s received %q", u.ID(), secret)
			}
		}
	}
	if recorded == 0 {
		t.Fatal("nothing was recorded")
	}
}

// Guards against statements on the upstreams of a drained zone, and against
// requests that fail because a zone is drained or restored.
func TestZoneDrain(t *testing.T) {
	c := startCluster(t, nil)
	w := newWriter(t, c, 0, 1, 2, 3)
	stop := w.start(t)
	w.awaitAcks(t, 50)
	if out, err := c.Ctl(testContext(t), 1, "zone", "drain", "zone-a"); err != nil {
		t.Fatalf("%s%v", out, err)
	}
	await(t, "switchover of the primary", func() bool {
		primary := c.Groups["entries1"].Primary()
		return primary != nil && primary.ID() == c.Document.Databases[0].Upstreams[1].ID
	})
	time.Sleep(3 * time.Second)
	before := statementsIn(c, "zone-a")
	w.awaitAcks(t, 50)
	if after := statementsIn(c, "zone-a"); after != before {
		t.Errorf("%d statements ran in the drained zone", after-before)
	}
	if out, err := c.Ctl(testContext(t), 1, "zone", "restore", "zone-a"); err != nil {
		t.Fatalf("%s%v", out, err)
	}
	w.awaitAcks(t, 50)
	stop()
	w.check(t, connect(t, c.URL(1, "skov", "entries")))
	for _, err := range w.failures {
		t.Errorf("a request failed while the zone was drained or restored: %v", err)
	}
}

// statementsIn returns the number of statements that the upstreams of a zone
// have run.
func statementsIn(c *cluster.Cluster, zone string) int {
	n := 0
	for i, u := range c.Groups["entries1"].Upstreams {
		if string(c.Document.Databases[0].Upstreams[i].Zone) == zone {
			n += int(u.Counters().Statements)
		}
	}
	return n
}

// Guards against a VM that starts while the store is down and does not get the
// latest configuration from its peers.
func TestStartDuringStoreOutage(t *testing.T) {
	c := startCluster(t, func(o *cluster.Options) { o.Seeds = true })
	late := c.Daemons[3]
	late.Kill()
	late.Remove()
	if out, err := c.Ctl(testContext(t), 0, "preset", "use", "peak"); err != nil {
		t.Fatalf("%s%v", out, err)
	}
	c.Platform.SetDown(true)
	if err := late.Start(); err != nil {
		t.Fatal(err)
	}
	await(t, "latest configuration on the VM that started during the outage", func() bool {
		out, err := c.Ctl(testContext(t), 3, "--output", "json", "status")
		return err == nil && strings.Contains(out, "peak")
	})
}
