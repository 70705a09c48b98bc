package integration

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chervilhatch/chervilhatch/test/cluster"
)

// writer inserts rows with increasing ids and records the outcome of each
// insert. When its connection fails, it connects to the next VM.
type writer struct {
	cluster *cluster.Cluster
	table   string
	firstID int

	mu      sync.Mutex
	acked   []int
	notRun  []int
	unknown []int
	// failures has the errors of the inserts of unknown outcome, except those
	// after the writer was stopped.
	failures []error
	// vms are the indexes of the daemons that it connects to, in turn.
	vms []int
}

// failurePause is the pause after a failed insert. VMs refuse requests quickly,
// so a writer that retried without a pause would take CPU time from the daemons.
const failurePause = 20 * time.Millisecond

// ackedCount returns the number of acknowledged inserts.
func (w *writer) ackedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acked)
}

// run inserts rows until ctx is done.
func (w *writer) run(ctx context.Context) {
	var conn *pgx.Conn
	for id, at := w.firstID, 0; ctx.Err() == nil; id++ {
		for conn == nil && ctx.Err() == nil {
			conn = w.connect(ctx, at)
			at++
		}
		if conn == nil {
			break
		}
		before := w.ackedCount()
		conn = w.insert(ctx, conn, id)
		if w.ackedCount() == before {
			time.Sleep(failurePause)
		}
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

func (w *writer) connect(ctx context.Context, at int) *pgx.Conn {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, w.cluster.URL(w.vms[at%len(w.vms)], "skov", "entries"))
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return nil
	}
	return conn
}

// insert runs one insert and returns the connection, or nil if it was closed.
func (w *writer) insert(ctx context.Context, conn *pgx.Conn, id int) *pgx.Conn {
	_, err := conn.Exec(ctx, "INSERT INTO "+w.table+" VALUES ($1)", id)
	w.mu.Lock()
	defer w.mu.Unlock()
	var refused *pgconn.PgError
	switch {
	case err == nil:
		w.acked = append(w.acked, id)
	case errors.As(err, &refused) && strings.Contains(refused.Message, "not run"):
		w.notRun = append(w.notRun, id)
	case errors.As(err, &refused) && refused.Code == "57P01", pgconn.SafeToRetry(err),
		strings.Contains(err.Error(), "failed to deallocate cached statement"):
		// The session was closed between two requests. The driver fails when it
		// deallocates cached statements, before it sends the next request.
		w.notRun = append(w.notRun, id)
	default:
		w.unknown = append(w.unknown, id)
		if ctx.Err() == nil {
			w.failures = append(w.failures, err)
		}
	}
	if err != nil && conn.IsClosed() {
		return nil
	}
	return conn
}

// check compares the stored rows with the recorded outcomes: acknowledged rows
// are stored once, refused ones not at all, and none is stored twice.
func (w *writer) check(t *testing.T, conn *pgx.Conn) {
	t.Helper()
	stored := map[int]int{}
	rows, err := conn.Query(testContext(t), "SELECT id FROM "+w.table)
	if err != nil {
		t.Fatal(err)
	}
	for rows.Next() {
		var id int
		if err := rows.Scan(&id); err != nil {
			t.Fatal(err)
		}
		stored[id]++
	}
	if rows.Err() != nil {
		t.Fatal(rows.Err())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.acked {
		if stored[id] != 1 {
			t.Errorf("acknowledged row %d is stored %d times", id, stored[id])
		}
	}
	for _, id := range w.notRun {
		if stored[id] != 0 {
			t.Errorf("row %d was refused as not run and is stored", id)
		}
	}
	for id, n := range stored {
		if n != 1 {
			t.Errorf("row %d is stored %d times", id, n)
		}
	}
	t.Logf("%d acknowledged, %d not run, %d unknown", len(w.acked), len(w.notRun), len(w.unknown))
}

// start runs the writer in the background and returns a function that stops it.
func (w *writer) start(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(testContext(t))
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// awaitAcks waits for n further acknowledgements.
func (w *writer) awaitAcks(t *testing.T, n int) {
	t.Helper()
	target := w.ackedCount() + n
	await(t, "acknowledged writes", func() bool { return w.ackedCount() >= target })
}

// await polls until done returns true. It fails the test after testTimeout.
func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	ctx := testContext(t)
	for !done() {
		if ctx.Err() != nil {
			t.Fatalf("no %s in time", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// newWriter creates the table entry and returns a writer to it. The table has no
// unique key, so that check finds an insert that ran twice.
func newWriter(t *testing.T, c *cluster.Cluster, vms ...int) *writer {
	t.Helper()
	exec(t, connect(t, c.URL(vms[0], "skov", "entries")), "CREATE TABLE entry (id int)")
	return &writer{cluster: c, table: "entry", firstID: 1, vms: vms}
}
