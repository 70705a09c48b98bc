package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Load, periods and targets of the single-VM measurements. throughputTarget is in
// statements per second and core, idleTarget in KB per caller.
const (
	throughputConns  = 32
	throughputPeriod = 5 * time.Second
	throughputTarget = 40000
	idleCallers      = 2000
	idleConnecting   = 16
	idleTarget       = 20
	idleSettle       = 3 * time.Second
)

const (
	simpleRead   = "SELECT name FROM item WHERE id = 7"
	preparedRead = "SELECT name FROM item WHERE id = $1"
)

// request executes one statement on a connection and waits for its result.
type request func(context.Context, *pgconn.PgConn) error

func simpleRequest(ctx context.Context, c *pgconn.PgConn) error {
	_, err := c.Exec(ctx, simpleRead).ReadAll()
	return err
}

func preparedRequest(ctx context.Context, c *pgconn.PgConn) error {
	return c.ExecPrepared(ctx, "read", [][]byte{[]byte("7")}, nil, nil).Read().Err
}

func measureThroughput(ctx context.Context, b *testbed) (result, error) {
	var r result
	for _, kind := range []struct {
		name string
		do   request
	}{{"simple", simpleRequest}, {"prepared", preparedRequest}} {
		f, err := b.throughput(ctx, kind.name, kind.do)
		if err != nil {
			return r, err
		}
		r.figures = append(r.figures, f)
	}
	return r, nil
}

// throughput runs closed loops through the VM and then directly. It divides by
// the processor time of the daemon alone, so the load generator may be slower.
func (b *testbed) throughput(ctx context.Context, name string, do request) (figure, error) {
	database := b.databases[0]
	proxied := int64(0)
	used, err := b.processorTimeOf(func() (err error) {
		proxied, err = closedLoop(ctx, b.URL(0, workspace(0), primaryJob(database)), throughputConns, b.scaled(throughputPeriod), do)
		return err
	})
	if err != nil {
		return figure{}, err
	}
	direct, err := closedLoop(ctx, directURL(b.Groups[database].Primary()), throughputConns, b.scaled(throughputPeriod), do)
	if err != nil {
		return figure{}, err
	}
	seconds := b.scaled(throughputPeriod).Seconds()
	cores := used.Seconds()
	return b.figureOf(figure{
		Name: "statements a second per core of the daemon, " + name, Unit: "1/s", Value: float64(proxied) / cores,
		Target:   target{atLeast, throughputTarget},
		Baseline: baseline{"direct connections to the stand-in, statements a second", float64(direct) / seconds},
		Detail: fmt.Sprintf("one VM, %d connections, %d statements in %.1f s, %.2f cores of the daemon, login and control included",
			throughputConns, proxied, seconds, cores/seconds),
	}), nil
}

// closedLoop sends requests on several connections for a period, each after the
// answer to the previous one, and returns their number.
func closedLoop(ctx context.Context, url string, conns int, period time.Duration, do request) (int64, error) {
	var count atomic.Int64
	var done sync.WaitGroup
	problems := make(chan error, conns)
	end := time.Now().Add(period)
	for range conns {
		done.Add(1)
		go func() {
			defer done.Done()
			problems <- sendRequests(ctx, url, end, do, &count)
		}()
	}
	done.Wait()
	close(problems)
	for err := range problems {
		if err != nil {
			return 0, err
		}
	}
	return count.Load(), nil
}

func sendRequests(ctx context.Context, url string, end time.Time, do request, count *atomic.Int64) error {
	conn, err := pgconn.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	if _, err := conn.Prepare(ctx, "read", preparedRead, nil); err != nil {
		return err
	}
	for time.Now().Before(end) {
		if err := do(ctx, conn); err != nil {
			return err
		}
		count.Add(1)
	}
	return nil
}

func measureMemory(ctx context.Context, b *testbed) (result, error) {
	before, err := b.Daemons[0].Usage()
	if err != nil {
		return result{}, err
	}
	conns, err := connectIdle(ctx, b.URL(0, workspace(1), primaryJob(b.databases[0])), idleCallers)
	defer closeAll(ctx, conns)
	if err != nil {
		return result{}, err
	}
	time.Sleep(idleSettle)
	after, err := b.Daemons[0].Usage()
	if err != nil {
		return result{}, err
	}
	const kilobyte = 1000.0
	return result{figures: []figure{b.figureOf(figure{
		Name: "memory per idle caller", Unit: "KB", Value: float64(after.ResidentBytes-before.ResidentBytes) / idleCallers / kilobyte,
		Target:   target{atMost, idleTarget},
		Baseline: baseline{"the daemon before, divided by the same callers", float64(before.ResidentBytes) / idleCallers / kilobyte},
		Detail: fmt.Sprintf("%d sessions, each after one read; resident memory %.1f MB before and %.1f MB after",
			idleCallers, float64(before.ResidentBytes)/1e6, float64(after.ResidentBytes)/1e6),
	})}}, nil
}

// connectIdle opens sessions and runs one read in each.
func connectIdle(ctx context.Context, url string, n int) ([]*pgconn.PgConn, error) {
	conns := make([]*pgconn.PgConn, n)
	problems := make(chan error, idleConnecting)
	for w := range idleConnecting {
		go func() {
			var err error
			for i := w; i < n && err == nil; i += idleConnecting {
				if conns[i], err = pgconn.Connect(ctx, url); err == nil {
					err = simpleRequest(ctx, conns[i])
				}
			}
			problems <- err
		}()
	}
	var problem error
	for range idleConnecting {
		if err := <-problems; err != nil {
			problem = err
		}
	}
	return conns, problem
}

func closeAll(ctx context.Context, conns []*pgconn.PgConn) {
	for _, c := range conns {
		if c != nil {
			_ = c.Close(ctx)
		}
	}
}
