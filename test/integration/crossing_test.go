package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgconn/ctxwatch"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/test/cluster"
)

const (
	// maxLinkDelay is longer than the statement timeout, so that some answers
	// arrive after the caller has received a timeout error.
	maxLinkDelay           = 300 * time.Millisecond
	markerStatementTimeout = 250 * time.Millisecond
	markerCallers          = 12
	minMatched             = 300
	minCanceled            = 30
)

// markerResults counts the outcomes of queries, each of which selects a marker
// that no other query selects.
type markerResults struct {
	mu         sync.Mutex
	matched    int
	canceled   int
	mismatched []string
}

func (x *markerResults) record(want, got string, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case err != nil:
		x.canceled++
	case got == want:
		x.matched++
	default:
		x.mismatched = append(x.mismatched, fmt.Sprintf("%q instead of %q", got, want))
	}
}

func (x *markerResults) done() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.mismatched) > 0 || (x.matched >= minMatched && x.canceled >= minCanceled)
}

// connectWithCancelRequests connects with a client that sends a cancel request
// when a query's context ends, and keeps using the connection.
func connectWithCancelRequests(ctx context.Context, url string) (*pgx.Conn, error) {
	options, err := pgx.ParseConfig(url)
	if err != nil {
		return nil, err
	}
	options.BuildContextWatcherHandler = func(conn *pgconn.PgConn) ctxwatch.Handler {
		return &pgconn.CancelRequestContextWatcherHandler{Conn: conn, DeadlineDelay: time.Second}
	}
	return pgx.ConnectConfig(ctx, options)
}

// call queries one marker after another. Random context deadlines cancel some of
// the queries.
func (x *markerResults) call(ctx context.Context, c *cluster.Cluster, id int) {
	rng := rand.New(rand.NewPCG(2, uint64(id)))
	var conn *pgx.Conn
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil || conn.IsClosed() {
			conn, _ = connectWithCancelRequests(ctx, c.URL(rng.IntN(len(c.Daemons)), "skov", "entries"))
		}
		if conn == nil {
			time.Sleep(failurePause)
			continue
		}
		want, got := fmt.Sprintf("marker-%d-%d", id, n), ""
		query, cancel := context.WithTimeout(ctx, time.Duration(rng.Int64N(int64(2*markerStatementTimeout))))
		err := conn.QueryRow(query, "SELECT '"+want+"'").Scan(&got)
		cancel()
		x.record(want, got, err)
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

// varyDelays sets a random delay on one random link after another, so that
// answers overtake each other.
func varyDelays(ctx context.Context, c *cluster.Cluster, zones []string) {
	rng := rand.New(rand.NewPCG(3, 3))
	for ctx.Err() == nil {
		from, to := zones[rng.IntN(len(zones))], zones[rng.IntN(len(zones))]
		c.Network.SetDelay(from, to, time.Duration(rng.Int64N(int64(maxLinkDelay))))
		time.Sleep(maxLinkDelay)
		c.Network.Heal()
	}
}

// Guards against a late answer of a canceled or timed-out query that is
// delivered to the next query on the connection or to another caller.
func TestLateAnswersDoNotCross(t *testing.T) {
	zones := []string{"zone-a", "zone-b"}
	c := startCluster(t, func(o *cluster.Options) {
		o.Network = true
		o.Jobs[0].StatementTimeout = config.Duration(markerStatementTimeout)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	x := &markerResults{}
	for id := range markerCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			x.call(ctx, c, id)
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		varyDelays(ctx, c, zones)
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
	t.Cleanup(stop)
	await(t, "answers and cancellations", x.done)
	stop()
	t.Logf("%d matching answers, %d queries failed or canceled", x.matched, x.canceled)
	for _, mismatched := range x.mismatched {
		t.Errorf("a query got %s", mismatched)
	}
}
