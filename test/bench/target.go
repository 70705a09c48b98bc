package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/test/cluster"
)

const (
	workspace = "skov"
	job       = "entries"
	database  = "entries1"
	// slots and connections are high enough that no statement waits for one.
	slots       = 100
	connections = 200
	// rate is high enough that no request is refused.
	rate = 10_000_000
	// settleTime is the wait after the start for the daemon to open its upstream
	// connections.
	settleTime = 500 * time.Millisecond
)

var errMode = errors.New("unknown mode")

// target is one daemon with its own database group.
type target struct {
	name    string
	dir     string
	cluster *cluster.Cluster
	// perCore has, for each mode, the results of the throughput measurements in
	// statements per second of the daemon's CPU time.
	perCore map[string][]float64
}

// startTarget starts the daemon in a directory of binaries and creates its
// table. The target that it returns with an error must be stopped, unless nil.
func startTarget(ctx context.Context, bin string) (*target, error) {
	bin, err := filepath.Abs(bin)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	t := &target{name: filepath.Base(bin), dir: dir, perCore: map[string][]float64{}}
	t.cluster, err = cluster.Start(ctx, cluster.Options{
		Dir: dir, Bin: bin,
		Zones: []string{"zone-a"}, VMs: 1, Databases: []string{database},
		Slots: slots, Connections: connections,
		Workspaces: []cluster.Workspace{{Name: workspace, Key: "skov-key-7f3a9b", Rate: rate, Burst: 2 * rate}},
		Jobs: []config.Job{{
			Name: job, Database: database, Workspaces: []model.Workspace{workspace},
			Freshness: config.Duration(5 * time.Second), Class: config.ClassAuto,
			StatementTimeout: config.Duration(10 * time.Second),
		}},
	})
	if err != nil {
		return t, err
	}
	time.Sleep(settleTime)
	return t, t.createTable(ctx)
}

func (t *target) stop() {
	t.cluster.Stop()
	_ = os.RemoveAll(t.dir)
}

// proxyURL returns the URL of the daemon, and directURL that of one upstream.
func (t *target) proxyURL() string { return t.cluster.URL(0, workspace, job) }

func (t *target) directURL() string {
	return fmt.Sprintf("postgresql://%s:%s@%s/%s?sslmode=disable",
		cluster.UpstreamUser, cluster.UpstreamPassword, t.cluster.Groups[database].Upstreams[1].Address(), database)
}

func (t *target) createTable(ctx context.Context) error {
	c, err := dial(ctx, t.proxyURL())
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.roundTrip(simpleQuery("CREATE TABLE entry (id int, note text)")); err != nil {
		return err
	}
	return c.roundTrip(simpleQuery("INSERT INTO entry VALUES (1, 'one')"))
}

func (t *target) measure(ctx context.Context, o *options, mode string) error {
	switch mode {
	case "simple":
		return t.throughput(ctx, o, mode, nil, simpleQuery(readSQL))
	case "prepared":
		return t.throughput(ctx, o, mode, prepareMessages(readSQL), executeMessages())
	case "write":
		return t.throughput(ctx, o, mode, nil, simpleQuery(writeSQL))
	case "latency":
		return t.latency(ctx, o)
	case "idle":
		return t.idle(ctx, o)
	}
	return errMode
}
