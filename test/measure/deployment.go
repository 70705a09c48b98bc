package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/standin/upstream"
	"github.com/chervilhatch/chervilhatch/test/cluster"
)

// replicaLag is the delay with which replicas apply changes.
const replicaLag = 50 * time.Millisecond

// deployment describes the size and the delays of one installation.
type deployment struct {
	name         string
	zones        []string
	vms          int
	databases    []string
	slots        int
	connections  int
	connectDelay time.Duration
	// peerDelay and callerDelay are one-way delays.
	peerDelay   time.Duration
	callerDelay time.Duration
	// rates holds the rate limit of each workspace, in requests per second.
	rates []float64
}

// deployments returns the two deployments of section 1 of docs/design.md, with
// the rates of the examples.
func deployments() []deployment {
	return []deployment{
		{
			name:  "ostemarked",
			zones: []string{"dk-east-1", "dk-east-2", "dk-east-3", "dk-east-4"},
			vms:   8, databases: []string{"entries1", "entries2", "entries3"},
			slots: 3, connections: 20, connectDelay: 10 * time.Millisecond,
			peerDelay: 500 * time.Microsecond, callerDelay: 3 * time.Millisecond,
			rates: []float64{500, 400, 400, 300, 200, 100, 100, 50},
		},
		{
			name:  "solur",
			zones: []string{"is-sudvestur-1", "is-sudvestur-2", "is-sudvestur-3"},
			vms:   7, databases: []string{"business1", "business2", "business3"},
			slots: 5, connections: 50, connectDelay: 30 * time.Millisecond,
			peerDelay: time.Millisecond, callerDelay: time.Millisecond,
			rates: []float64{600, 500, 300, 300, 200, 200, 100, 100},
		},
	}
}

// singleVMSlots is enough that the upstreams are not the bottleneck of a single VM.
const singleVMSlots = 32

// variant returns the deployment adapted to a cluster variant.
func (d deployment) variant(kind clusterVariant) deployment {
	if kind == withDelays {
		return d
	}
	d.peerDelay, d.callerDelay, d.connectDelay = 0, 0, 0
	if kind == singleVM {
		d.vms, d.zones = 1, d.zones[:1]
		d.slots, d.connections = singleVMSlots, 3*singleVMSlots
		d.rates = []float64{unlimitedRate, unlimitedRate}
	}
	return d
}

// unlimitedRate is more requests per second than a single VM can serve.
const unlimitedRate = 1e6

// workspace returns the name of the i-th workspace.
func workspace(i int) model.Workspace { return model.Workspace(fmt.Sprintf("workspace-%d", i+1)) }

// replicaJob and primaryJob return the names of the jobs of a database: the first
// has a freshness bound of 2 s, and reads of the second run on the primary.
func replicaJob(database string) model.Job { return model.Job(database + "-any") }
func primaryJob(database string) model.Job { return model.Job(database + "-primary") }

// openJob returns the name of the job of a database that needs no key.
func openJob(database string) model.Job { return model.Job(database + "-open") }

// options returns the cluster options of a deployment.
func (d *deployment) options(dir string) cluster.Options {
	o := cluster.Options{
		Dir: dir, Zones: d.zones, VMs: d.vms, Databases: d.databases,
		Slots: d.slots, Connections: d.connections,
		PeerDelay: d.peerDelay, CallerDelay: d.callerDelay,
		Upstream: upstream.Options{ConnectDelay: d.connectDelay},
	}
	var names []model.Workspace
	for i, rate := range d.rates {
		names = append(names, workspace(i))
		o.Workspaces = append(o.Workspaces, cluster.Workspace{
			Name: workspace(i), Key: fmt.Sprintf("key-%d-5c1e", i+1), Rate: rate, Burst: rate / 2,
		})
	}
	for _, database := range d.databases {
		o.Jobs = append(o.Jobs, d.jobs(database, names)...)
	}
	return o
}

func (d *deployment) jobs(database string, names []model.Workspace) []config.Job {
	base := config.Job{Database: model.Database(database), Workspaces: names}
	base.SetDefaults()
	base.StatementTimeout = config.Duration(10 * time.Second)
	primary, replica, open := base, base, base
	primary.Name = primaryJob(database)
	replica.Name = replicaJob(database)
	replica.Freshness = config.Duration(2 * time.Second)
	open.Name, open.Open, open.Workspaces = openJob(database), true, nil
	open.Freshness = config.Duration(30 * time.Second)
	return []config.Job{primary, replica, open}
}

// testbed is a running deployment on which figures are measured.
type testbed struct {
	deployment
	*cluster.Cluster
	short bool
	seed  uint64
	// ledger records the outcomes of the writes of all measurements.
	ledger *ledger
	dir    string
	// faultPeriod is the duration of fault injection in measureWrites.
	faultPeriod time.Duration
	// root is the root of the repository.
	root string
}

// startTestbed starts the processes of a deployment and creates the tables.
func startTestbed(ctx context.Context, d deployment, s flags) (*testbed, error) {
	dir, err := os.MkdirTemp("", "measure-"+d.name+"-")
	if err != nil {
		return nil, err
	}
	b := &testbed{deployment: d, short: s.short, seed: s.seed, ledger: newLedger(), dir: dir, root: s.root, faultPeriod: s.faultPeriod}
	b.Cluster, err = cluster.Start(ctx, d.options(dir))
	if err == nil {
		err = b.createTables(ctx)
	}
	if err != nil {
		b.stop()
		return nil, err
	}
	return b, nil
}

func (b *testbed) stop() {
	b.Stop()
	_ = os.RemoveAll(b.dir)
}

// createTables creates a table for reads and one for writes in each database.
func (b *testbed) createTables(ctx context.Context) error {
	for _, database := range b.databases {
		sql := "CREATE TABLE item (id int PRIMARY KEY, name text);" +
			"CREATE TABLE ledger (id text);"
		for i := range itemRows {
			sql += fmt.Sprintf("INSERT INTO item VALUES (%d, 'item %d');", i, i)
		}
		if err := b.executeDirectly(ctx, database, sql); err != nil {
			return fmt.Errorf("tables of %s: %w", database, err)
		}
	}
	return nil
}

// itemRows is the number of rows in the table for reads.
const itemRows = 100

// executeDirectly executes SQL on the primary of a database, bypassing the proxy.
func (b *testbed) executeDirectly(ctx context.Context, database, sql string) error {
	conn, err := pgconn.Connect(ctx, directURL(b.Groups[database].Primary()))
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, sql).ReadAll()
	return err
}

func directURL(s *upstream.Server) string {
	return fmt.Sprintf("postgresql://%s:%s@%s/x?sslmode=disable", cluster.UpstreamUser, cluster.UpstreamPassword, s.Address())
}

// scaled returns d, or a quarter of it in a short run.
func (b *testbed) scaled(d time.Duration) time.Duration {
	if b.short {
		return d / 4
	}
	return d
}

// trials returns n, or a third of it in a short run.
func (b *testbed) trials(n int) int {
	if b.short {
		return max(1, n/3)
	}
	return n
}

// allVMs returns the indexes of all daemons, rotated to begin with first, so that
// streams with different first VMs spread their connections.
func (b *testbed) allVMs(first int) []int {
	list := make([]int, len(b.Daemons))
	for i := range list {
		list[i] = (first + i) % len(list)
	}
	return list
}
