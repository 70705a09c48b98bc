package integration

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chervilhatch/chervilhatch/test/cluster"
)

const (
	registers = 6
	sessions  = 4
	// operationsPerConnection is the number of operations after which a session
	// moves to another connection.
	operationsPerConnection = 15
	// operationPause is the pause between two operations of a session. It limits
	// the length of the history.
	operationPause = 10 * time.Millisecond
	checkTimeout   = 30 * time.Second
	// applyDelay is the delay with which replicas apply entries. It makes stale
	// any read that a replica serves without catching up, so that the check finds it.
	applyDelay = 200 * time.Millisecond
)

// registerInput is an operation on one register.
type registerInput struct {
	register int
	write    bool
	value    int
}

// registerModel is a set of independent registers that start at 0.
func registerModel() porcupine.Model {
	return porcupine.Model{
		Partition: partitionByRegister,
		Init:      func() any { return 0 },
		Step: func(state, input, output any) (bool, any) {
			in := input.(registerInput)
			if in.write {
				return true, in.value
			}
			return output.(int) == state.(int), state
		},
	}
}

func partitionByRegister(history []porcupine.Operation) [][]porcupine.Operation {
	out := make([][]porcupine.Operation, registers)
	for _, op := range history {
		register := op.Input.(registerInput).register
		out[register] = append(out[register], op)
	}
	return out
}

// history runs the sessions and records their operations.
type history struct {
	cluster *cluster.Cluster
	start   time.Time

	mu         sync.Mutex
	operations []porcupine.Operation
	reads      int
	writes     int
	unknown    int
	lastValue  int
}

// session reads and writes random registers. After every operationsPerConnection
// operations it connects to a random VM with its last position.
func (h *history) session(ctx context.Context, id int) {
	rng := rand.New(rand.NewPCG(1, uint64(id)))
	var conn *pgx.Conn
	position := ""
	for n := 0; ctx.Err() == nil; n++ {
		if conn != nil && n%operationsPerConnection == 0 {
			_ = conn.Close(ctx)
			conn = nil
		}
		if conn == nil {
			conn = h.connect(ctx, rng.IntN(len(h.cluster.Daemons)), position)
		}
		if conn != nil {
			h.runOperation(ctx, conn, id, rng)
			if known := conn.PgConn().ParameterStatus("chervilhatch.position"); known != "" {
				position = known
			}
			if conn.IsClosed() {
				conn = nil
			}
		}
		time.Sleep(operationPause)
	}
}

func (h *history) connect(ctx context.Context, vm int, position string) *pgx.Conn {
	target := h.cluster.URL(vm, "skov", "entries")
	if position != "" {
		target += "&chervilhatch.position=" + url.QueryEscape(position)
	}
	conn, err := pgx.Connect(ctx, target)
	if err != nil {
		return nil
	}
	return conn
}

func (h *history) runOperation(ctx context.Context, conn *pgx.Conn, id int, rng *rand.Rand) {
	in := registerInput{register: rng.IntN(registers), write: rng.IntN(2) == 0}
	if in.write {
		in.value = h.newValue()
	}
	op := porcupine.Operation{ClientId: id, Input: in, Call: time.Since(h.start).Nanoseconds()}
	value := 0
	var err error
	if in.write {
		_, err = conn.Exec(ctx, "UPDATE register SET value = $1 WHERE id = $2", in.value, in.register)
	} else {
		err = conn.QueryRow(ctx, "SELECT value FROM register WHERE id = $1", in.register).Scan(&value)
	}
	op.Return = time.Since(h.start).Nanoseconds()
	op.Output = value
	h.record(op, in.write, err)
}

// newValue returns a value that no other write uses.
func (h *history) newValue() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastValue++
	return h.lastValue
}

// record adds an operation to the history. A write of unknown outcome may take
// effect at any later time or never. Its return time is therefore the maximum:
// a write that never takes effect is equivalent to one after all reads.
func (h *history) record(op porcupine.Operation, write bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil && write:
		h.writes++
	case err == nil:
		h.reads++
	case !write, isNotRun(err), pgconn.SafeToRetry(err):
		return
	default:
		h.unknown++
		op.Return = math.MaxInt64
	}
	h.operations = append(h.operations, op)
}

// succeeded returns the number of operations that succeeded.
func (h *history) succeeded() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads + h.writes
}

func (h *history) awaitSucceeded(t *testing.T, n int) {
	t.Helper()
	target := h.succeeded() + n
	await(t, "operations", func() bool { return h.succeeded() >= target })
}

// Guards against a history of reads and writes that is not linearizable, while
// primaries crash, are suspended and are partitioned and sessions move between
// VMs. Reads have a freshness bound of 0.
func TestRegisterHistory(t *testing.T) {
	c := startCluster(t, func(o *cluster.Options) {
		threeZones(o)
		o.Jobs[0].Freshness = 0
	})
	setup := connect(t, c.URL(0, "skov", "entries"))
	exec(t, setup, "CREATE TABLE register (id int PRIMARY KEY, value int)")
	for i := range registers {
		exec(t, setup, "INSERT INTO register VALUES ($1, 0)", i)
	}
	for _, u := range c.Groups["entries1"].Upstreams {
		u.SetApplyDelay(applyDelay)
	}
	h := &history{cluster: c, start: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for id := range sessions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.session(ctx, id)
		}()
	}
	stop := sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
	t.Cleanup(stop)
	for _, fault := range []func(*testing.T, *cluster.Cluster, *history) error{crash, suspend, partition, crash, partitionOutbound} {
		h.awaitSucceeded(t, 100)
		if err := fault(t, c, h); err != nil {
			t.Fatal(err)
		}
	}
	h.awaitSucceeded(t, 100)
	stop()
	t.Logf("%d reads, %d writes, %d writes of unknown outcome", h.reads, h.writes, h.unknown)
	if result := porcupine.CheckOperationsTimeout(registerModel(), h.operations, checkTimeout); result != porcupine.Ok {
		t.Errorf("the history is not linearizable: %s", result)
	}
}

var errNoPrimary = errors.New("the group has no primary")

// crash kills the primary and restarts it after further operations have
// succeeded.
func crash(t *testing.T, c *cluster.Cluster, h *history) error {
	oldPrimary := c.Groups["entries1"].Primary()
	if oldPrimary == nil {
		return errNoPrimary
	}
	oldPrimary.Kill()
	h.awaitSucceeded(t, 50)
	return oldPrimary.Restart()
}

// suspend holds back the primary's answers until another upstream is the primary
// and further operations have succeeded.
func suspend(t *testing.T, c *cluster.Cluster, h *history) error {
	oldPrimary := c.Groups["entries1"].Primary()
	if oldPrimary == nil {
		return errNoPrimary
	}
	oldPrimary.Pause()
	await(t, "new primary", func() bool { return c.Groups["entries1"].Primary() != oldPrimary })
	h.awaitSucceeded(t, 50)
	oldPrimary.Resume()
	return nil
}

// partition cuts the primary's zone off in both directions until another
// upstream is the primary and further operations have succeeded.
func partition(t *testing.T, c *cluster.Cluster, h *history) error {
	return partitionPrimary(t, c, h, c.Network.Isolate)
}

// partitionOutbound cuts only the data that the primary's zone sends, so that
// requests still arrive there but no answer gets out.
func partitionOutbound(t *testing.T, c *cluster.Cluster, h *history) error {
	return partitionPrimary(t, c, h, func(site string, others ...string) {
		for _, other := range others {
			c.Network.Cut(site, other)
		}
	})
}

func partitionPrimary(t *testing.T, c *cluster.Cluster, h *history, cut func(site string, others ...string)) error {
	oldPrimary := c.Groups["entries1"].Primary()
	if oldPrimary == nil {
		return errNoPrimary
	}
	others := []string{cluster.PlatformSite}
	site := ""
	for i, u := range c.Groups["entries1"].Upstreams {
		zone := string(c.Document.Databases[0].Upstreams[i].Zone)
		if u == oldPrimary {
			site = zone
		} else {
			others = append(others, zone)
		}
	}
	cut(site, others...)
	oldPrimary.Partition(true)
	await(t, "new primary", func() bool { return c.Groups["entries1"].Primary() != oldPrimary })
	h.awaitSucceeded(t, 50)
	c.Network.Heal()
	oldPrimary.Partition(false)
	return nil
}
