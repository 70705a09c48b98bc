package integration

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// readPause is the pause between two reads of a reader, and between two samples
// of a writer's acknowledgements.
const readPause = 10 * time.Millisecond

// readResult is the outcome of one read or of a failed attempt to connect for it.
type readResult struct {
	start time.Time
	rows  int
	err   error
}

// refused reports whether the request was refused as not run.
func (r *readResult) refused() bool { return isNotRun(r.err) }

func isNotRun(err error) bool {
	var refusal *pgconn.PgError
	return errors.As(err, &refusal) && strings.Contains(refusal.Message, "not run")
}

// reader runs a query that counts rows repeatedly and records each result. When
// its connection fails, it connects to the next URL.
type reader struct {
	urls []string
	sql  string

	mu      sync.Mutex
	results []readResult
}

// start runs the reader in the background until the returned function is called
// or the test ends.
func (r *reader) start(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(testContext(t))
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (r *reader) run(ctx context.Context) {
	var conn *pgx.Conn
	for at := 0; ctx.Err() == nil; {
		result := readResult{start: time.Now()}
		if conn == nil {
			conn, result.err = pgx.Connect(ctx, r.urls[at%len(r.urls)])
			at++
		}
		if result.err == nil {
			result.err = conn.QueryRow(ctx, r.sql).Scan(&result.rows)
		}
		if ctx.Err() == nil {
			r.record(result)
		}
		if conn != nil && conn.IsClosed() {
			conn = nil
		}
		time.Sleep(readPause)
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

func (r *reader) record(result readResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// since returns the results of the reads that started at a time or later.
func (r *reader) since(start time.Time) []readResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, result := range r.results {
		if !result.start.Before(start) {
			return append([]readResult(nil), r.results[i:]...)
		}
	}
	return nil
}

// countServed returns the number of results without an error.
func countServed(results []readResult) int {
	n := 0
	for _, result := range results {
		if result.err == nil {
			n++
		}
	}
	return n
}

// awaitServed waits until a read that starts after now succeeds.
func (r *reader) awaitServed(t *testing.T, what string) {
	t.Helper()
	start := time.Now()
	await(t, what, func() bool { return countServed(r.since(start)) > 0 })
}

// ackSamples records the number of acknowledged writes over time.
type ackSamples struct {
	mu     sync.Mutex
	times  []time.Time
	counts []int
}

// sample records a writer's number of acknowledgements every readPause until the
// test ends.
func (p *ackSamples) sample(t *testing.T, w *writer) {
	t.Helper()
	ctx := testContext(t)
	go func() {
		for ctx.Err() == nil {
			n := w.ackedCount()
			now := time.Now()
			p.mu.Lock()
			p.times, p.counts = append(p.times, now), append(p.counts, n)
			p.mu.Unlock()
			time.Sleep(readPause)
		}
	}()
}

// at returns the last number sampled by then, a lower bound of the writes
// that were acknowledged.
func (p *ackSamples) at(then time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for i, at := range p.times {
		if at.After(then) {
			break
		}
		n = p.counts[i]
	}
	return n
}

// checkFreshness checks that every successful read returned at least as many rows
// as were acknowledged at its start minus the freshness bound.
func (p *ackSamples) checkFreshness(t *testing.T, results []readResult, bound time.Duration) {
	t.Helper()
	for _, result := range results {
		if result.err != nil {
			continue
		}
		if want := p.at(result.start.Add(-bound)); result.rows < want {
			t.Errorf("a read returned %d rows; %d were acknowledged more than %s before it", result.rows, want, bound)
		}
	}
}

// timeline lists the times, relative to origin, at which the error of successive
// results changed.
func timeline(results []readResult, origin time.Time) string {
	var out strings.Builder
	last := "-"
	for _, result := range results {
		kind := ""
		if result.err != nil {
			kind = result.err.Error()
		}
		if kind != last {
			fmt.Fprintf(&out, "%s: %q\n", result.start.Sub(origin).Round(time.Millisecond), kind)
		}
		last = kind
	}
	return out.String()
}
