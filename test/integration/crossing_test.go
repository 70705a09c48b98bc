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
	// linkDelayMost is longer than the statement timeout, so that answers also
	// arrive after their caller was told that it got none.
	linkDelayMost    = 300 * time.Millisecond
	crossingTimeout  = 250 * time.Millisecond
	crossingCallers  = 12
	crossingAnswers  = 300
	crossingCanceled = 30
)

// crossing counts the ends of queries that each ask for an own marker.
type crossing struct {
	mu       sync.Mutex
	own      int
	canceled int
	wrong    []string
}

func (x *crossing) add(want, got string, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case err != nil:
		x.canceled++
	case got == want:
		x.own++
	default:
		x.wrong = append(x.wrong, fmt.Sprintf("%q instead of %q", got, want))
	}
}

func (x *crossing) done() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.wrong) > 0 || (x.own >= crossingAnswers && x.canceled >= crossingCanceled)
}

// connectCanceling connects with a client that sends a cancel request when a
// query's context ends, and goes on with the connection.
func connectCanceling(ctx context.Context, url string) (*pgx.Conn, error) {
	options, err := pgx.ParseConfig(url)
	if err != nil {
		return nil, err
	}
	options.BuildContextWatcherHandler = func(conn *pgconn.PgConn) ctxwatch.Handler {
		return &pgconn.CancelRequestContextWatcherHandler{Conn: conn, DeadlineDelay: time.Second}
	}
	return pgx.ConnectConfig(ctx, options)
}

// call asks for one marker after another and cancels some of the queries.
func (x *crossing) call(ctx context.Context, c *cluster.Cluster, id int) {
	random := rand.New(rand.NewPCG(2, uint64(id)))
	var conn *pgx.Conn
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil || conn.IsClosed() {
			conn, _ = connectCanceling(ctx, c.URL(random.IntN(len(c.Daemons)), "skov", "entries"))
		}
		if conn == nil {
			time.Sleep(failurePause)
			continue
		}
		want, got := fmt.Sprintf("marker-%d-%d", id, n), ""
		query, cancel := context.WithTimeout(ctx, time.Duration(random.Int64N(int64(2*crossingTimeout))))
		err := conn.QueryRow(query, "SELECT '"+want+"'").Scan(&got)
		cancel()
		x.add(want, got, err)
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

// varyDelays changes the delays of all links, so that answers overtake each other.
func varyDelays(ctx context.Context, c *cluster.Cluster, zones []string) {
	random := rand.New(rand.NewPCG(3, 3))
	for ctx.Err() == nil {
		from, to := zones[random.IntN(len(zones))], zones[random.IntN(len(zones))]
		c.Network.SetDelay(from, to, time.Duration(random.Int64N(int64(linkDelayMost))))
		time.Sleep(linkDelayMost)
		c.Network.Heal()
	}
}

// Guards against a late answer of a canceled or timed out query that reaches
// the next query of the connection or another caller.
func TestLateAnswersDoNotCross(t *testing.T) {
	zones := []string{"zone-a", "zone-b"}
	c := startCluster(t, func(o *cluster.Options) {
		o.Network = true
		o.Jobs[0].StatementTimeout = config.Duration(crossingTimeout)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	x := &crossing{}
	for id := range crossingCallers {
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
	t.Logf("%d own answers, %d queries without one", x.own, x.canceled)
	for _, wrong := range x.wrong {
		t.Errorf("a query got %s", wrong)
	}
}
