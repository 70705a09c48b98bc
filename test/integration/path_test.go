// Package integration tests the guarantees of the proxy under failures. It runs
// daemon processes against stand-ins of the platform and the upstreams.
package integration

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/test/cluster"
)

// testTimeout is the maximum duration of each context that testContext returns.
const testTimeout = 60 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// startCluster starts four daemons in two zones with one database, after change
// has adapted these options. It lets the test run in parallel with others.
func startCluster(t *testing.T, change func(*cluster.Options)) *cluster.Cluster {
	t.Helper()
	t.Parallel()
	o := cluster.Options{
		Dir:         t.TempDir(),
		Zones:       []string{"zone-a", "zone-b"},
		VMs:         4,
		Databases:   []string{"entries1"},
		Slots:       3,
		Connections: 20,
		Workspaces: []cluster.Workspace{
			{Name: "skov", Key: "skov-key-7f3a9b", Rate: 2000, Burst: 4000},
			{Name: "aaby", Key: "aaby-key-51c2de", Rate: 2000, Burst: 4000},
		},
		Jobs: []config.Job{{
			Name: "entries", Database: "entries1", Workspaces: []model.Workspace{"skov", "aaby"},
			Freshness: config.Duration(5 * time.Second), Class: config.ClassAuto,
			StatementTimeout: config.Duration(10 * time.Second),
		}},
	}
	if change != nil {
		change(&o)
	}
	c, err := cluster.Start(testContext(t), o)
	t.Cleanup(c.Stop)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, d := range c.Daemons {
				t.Logf("%s:\n%s", d.ID, d.LogTail())
			}
		}
	})
	return c
}

func connect(t *testing.T, url string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(testContext(t), url)
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(testContext(t), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func queryInt(t *testing.T, conn *pgx.Conn, sql string, args ...any) int {
	t.Helper()
	var n int
	if err := conn.QueryRow(testContext(t), sql, args...).Scan(&n); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return n
}

// Guards against requests that fail between a caller on one VM and an upstream
// whose holder is another, and against a session that does not read its own
// writes after it moves to another VM with its position.
func TestWholePath(t *testing.T) {
	c := startCluster(t, nil)
	first := connect(t, c.URL(0, "skov", "entries"))
	exec(t, first, "CREATE TABLE wheel (id int PRIMARY KEY, farm text)")
	for i := range 20 {
		exec(t, first, "INSERT INTO wheel VALUES ($1, $2)", i, "Skov")
		position := first.PgConn().ParameterStatus("chervilhatch.position")
		if !strings.HasPrefix(position, "entries1/") {
			t.Fatalf("position after a write is %q", position)
		}
		moved := connect(t, c.URL((i+1)%4, "skov", "entries")+"&chervilhatch.position="+position)
		if n := queryInt(t, moved, "SELECT count(*) FROM wheel"); n != i+1 {
			t.Fatalf("after %d writes a session that moved reads %d rows", i+1, n)
		}
	}
}

// Guards against a change of preset that does not reach every VM, and against
// the operator's tool reporting it too early or never when its VM has no stream
// to most other VMs, which is the case with five VMs in a zone.
func TestPresetReachesAllVMs(t *testing.T) {
	c := startCluster(t, func(o *cluster.Options) { o.VMs = 10 })
	conn := connect(t, c.URL(0, "skov", "entries"))
	exec(t, conn, "CREATE TABLE wheel (id int PRIMARY KEY)")
	if out, err := c.Ctl(testContext(t), 2, "preset", "use", "maintenance"); err != nil {
		t.Fatalf("%s%v", out, err)
	}
	for i := range c.Daemons {
		conn := connect(t, c.URL(i, "aaby", "entries"))
		if _, err := conn.Exec(testContext(t), "INSERT INTO wheel VALUES (1)"); err == nil {
			t.Errorf("%s accepts a write under the preset maintenance", c.Daemons[i].ID)
		}
	}
	for i := range c.Daemons {
		preset := []string{"ordinary", "peak"}[i%2]
		if out, err := c.Ctl(testContext(t), i, "preset", "use", preset); err != nil {
			t.Fatalf("%s%v", out, err)
		}
	}
	exec(t, connect(t, c.URL(3, "skov", "entries")), "INSERT INTO wheel VALUES (2)")
}
