package integration

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
	"github.com/chervilhatch/chervilhatch/test/cluster"
)

// admission has the times, since the start of the callers, at which an admitted
// request was sent (call) and answered.
type admission struct{ call, answered time.Duration }

// callers send requests of a workspace, record the admitted ones and count the
// refused ones.
type callers struct {
	cluster   *cluster.Cluster
	workspace model.Workspace
	// pause is the time between an answer and the next request of a caller.
	pause time.Duration
	start time.Time

	mu       sync.Mutex
	admitted []admission
	refused  int
}

// run starts one caller for each entry of vms, the index of a daemon, and
// returns a function that stops them.
func (c *callers) run(vms ...int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, vm := range vms {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.call(ctx, vm)
		}()
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func (c *callers) call(ctx context.Context, vm int) {
	var conn *pgx.Conn
	for ctx.Err() == nil {
		if conn == nil || conn.IsClosed() {
			conn, _ = pgx.Connect(ctx, c.cluster.URL(vm, c.workspace, "entries"))
		}
		if conn != nil {
			request := admission{call: time.Since(c.start)}
			_, err := conn.Exec(ctx, "SELECT 1")
			request.answered = time.Since(c.start)
			c.record(request, err)
		}
		time.Sleep(c.pause)
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

func (c *callers) record(request admission, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var refusal *pgconn.PgError
	switch {
	case err == nil:
		c.admitted = append(c.admitted, request)
	case errors.As(err, &refusal) && refusal.Code == string(sqlstate.RateExceeded):
		c.refused++
	}
}

func (c *callers) admittedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.admitted)
}

func (c *callers) awaitAdmitted(t *testing.T, n int) {
	t.Helper()
	target := c.admittedCount() + n
	await(t, "admitted requests", func() bool { return c.admittedCount() >= target })
}

// checkRate checks that no window from the sending of a request to an answer has
// more admissions than rate and burst allow. A request that was sent and
// answered within the window was certainly admitted in it.
func (c *callers) checkRate(t *testing.T, rate, burst float64) {
	t.Helper()
	slices.SortFunc(c.admitted, func(a, b admission) int { return int(a.answered - b.answered) })
	for _, first := range c.admitted {
		n := 0
		for _, request := range c.admitted {
			if request.call < first.call {
				continue
			}
			n++
			window := request.answered - first.call
			if limit := rate*window.Seconds() + burst; float64(n) > limit {
				t.Fatalf("%d requests were admitted in the %s from %s on, at most %.1f may be", n, window, first.call, limit)
			}
		}
	}
}

// Guards against a workspace that exceeds its rate over all VMs together, also
// while a VM is killed and restarted, a VM is suspended and resumed, and the
// store is down.
func TestRateOverAllVMs(t *testing.T) {
	const rate, burst = 100, 100
	c := startCluster(t, func(o *cluster.Options) {
		o.Workspaces[0].Rate, o.Workspaces[0].Burst = rate, burst
	})
	skov := &callers{cluster: c, workspace: "skov", pause: 5 * time.Millisecond, start: time.Now()}
	stop := sync.OnceFunc(skov.run(0, 1, 2, 3, 0, 1, 2, 3))
	t.Cleanup(stop)
	skov.awaitAdmitted(t, 2*burst)
	c.Daemons[0].Kill()
	skov.awaitAdmitted(t, burst)
	if err := c.Daemons[0].Restart(testContext(t)); err != nil {
		t.Fatal(err)
	}
	skov.awaitAdmitted(t, burst)
	signal(t, c.Daemons[1], syscall.SIGSTOP)
	time.Sleep(5 * time.Second)
	signal(t, c.Daemons[1], syscall.SIGCONT)
	skov.awaitAdmitted(t, burst)
	c.Platform.SetDown(true)
	skov.awaitAdmitted(t, 3*burst)
	c.Platform.SetDown(false)
	skov.awaitAdmitted(t, burst)
	stop()
	t.Logf("%d admitted, %d refused", len(skov.admitted), skov.refused)
	if skov.refused == 0 {
		t.Error("no request was refused: the callers did not exceed the rate")
	}
	skov.checkRate(t, rate, burst)
}

func signal(t *testing.T, d *cluster.Daemon, s syscall.Signal) {
	t.Helper()
	if err := d.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// Guards against rate refusals for a workspace that sends a quarter of its rate,
// either evenly over all VMs or all on one.
func TestInsideRate(t *testing.T) {
	c := startCluster(t, func(o *cluster.Options) {
		o.Workspaces[0].Rate, o.Workspaces[0].Burst = 200, 200
	})
	for name, vms := range map[string][]int{"even": {0, 1, 2, 3}, "skewed": {0, 0, 0, 0}} {
		skov := &callers{cluster: c, workspace: "skov", pause: 80 * time.Millisecond, start: time.Now()}
		stop := skov.run(vms...)
		skov.awaitAdmitted(t, 200)
		stop()
		if skov.refused > 0 {
			t.Errorf("%s: %d of %d requests were refused", name, skov.refused, skov.refused+len(skov.admitted))
		}
	}
}

// Guards against a workspace that gets more than its share of the slots by
// running eight times as many callers as another.
func TestFairShare(t *testing.T) {
	c := startCluster(t, func(o *cluster.Options) {
		o.Upstream.StatementDuration = 50 * time.Millisecond
		o.Jobs[0].Freshness = 0
	})
	const quietCallers, factor, requests = 12, 8, 150
	// minShare is 95% of the half of the slots to which each workspace is entitled
	// by its weight.
	const minShare = 0.95 / 2
	skov := &callers{cluster: c, workspace: "skov", start: time.Now()}
	aaby := &callers{cluster: c, workspace: "aaby", start: time.Now()}
	var vms []int
	for i := range quietCallers {
		vms = append(vms, i%len(c.Daemons))
	}
	stopSkov := sync.OnceFunc(skov.run(slices.Repeat(vms, factor)...))
	t.Cleanup(stopSkov)
	stopAaby := sync.OnceFunc(aaby.run(vms...))
	t.Cleanup(stopAaby)
	aaby.awaitAdmitted(t, quietCallers)
	skov.awaitAdmitted(t, quietCallers)
	beforeSkov, beforeAaby := skov.admittedCount(), aaby.admittedCount()
	aaby.awaitAdmitted(t, requests)
	gotSkov, gotAaby := skov.admittedCount()-beforeSkov, aaby.admittedCount()-beforeAaby
	stopAaby()
	stopSkov()
	t.Logf("%d and %d requests, %d refused", gotSkov, gotAaby, skov.refused+aaby.refused)
	if share := float64(gotAaby) / float64(gotSkov+gotAaby); share < minShare {
		t.Errorf("the quieter workspace got %.3f of the slots, want at least %.3f", share, minShare)
	}
}
