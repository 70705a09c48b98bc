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

// readPause is the pause between two reads of a reader.
const readPause = 10 * time.Millisecond

// reading is one read or refused connection.
type reading struct {
	start time.Time
	rows  int
	err   error
}

// refused reports whether the request was certainly not run.
func (r *reading) refused() bool { return refusedNotRun(r.err) }

func refusedNotRun(err error) bool {
	var refusal *pgconn.PgError
	return errors.As(err, &refusal) && strings.Contains(refusal.Message, "not run")
}

// reader counts rows again and again and remembers each result.
type reader struct {
	urls []string
	sql  string

	mu       sync.Mutex
	readings []reading
}

// start runs the reader in the background until the test ends or stop is called.
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
		now := reading{start: time.Now()}
		if conn == nil {
			conn, now.err = pgx.Connect(ctx, r.urls[at%len(r.urls)])
			at++
		}
		if now.err == nil {
			now.err = conn.QueryRow(ctx, r.sql).Scan(&now.rows)
		}
		if ctx.Err() == nil {
			r.add(now)
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

func (r *reader) add(one reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readings = append(r.readings, one)
}

// from returns the readings that started at a time or later.
func (r *reader) from(start time.Time) []reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, one := range r.readings {
		if !one.start.Before(start) {
			return append([]reading(nil), r.readings[i:]...)
		}
	}
	return nil
}

// served returns how many readings of a list succeeded.
func served(list []reading) int {
	n := 0
	for _, one := range list {
		if one.err == nil {
			n++
		}
	}
	return n
}

// awaitServed waits until a read that starts after now succeeds.
func (r *reader) awaitServed(t *testing.T, what string) {
	t.Helper()
	start := time.Now()
	await(t, what, func() bool { return served(r.from(start)) > 0 })
}

// progress remembers how many writes were acknowledged at which time.
type progress struct {
	mu     sync.Mutex
	times  []time.Time
	counts []int
}

// follow samples a writer until the test ends.
func (p *progress) follow(t *testing.T, w *writer) {
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

// at returns a number of writes that were acknowledged by then.
func (p *progress) at(then time.Time) int {
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

// checkFresh checks that no read missed a write that was acknowledged longer
// ago than the bound when the read started.
func (p *progress) checkFresh(t *testing.T, list []reading, bound time.Duration) {
	t.Helper()
	for _, one := range list {
		if one.err != nil {
			continue
		}
		if want := p.at(one.start.Add(-bound)); one.rows < want {
			t.Errorf("a read returned %d rows; %d were acknowledged more than %s before it", one.rows, want, bound)
		}
	}
}

// timeline describes a list of readings: when the kind of result changed.
func timeline(list []reading, origin time.Time) string {
	var out strings.Builder
	last := "-"
	for _, one := range list {
		kind := ""
		if one.err != nil {
			kind = one.err.Error()
		}
		if kind != last {
			fmt.Fprintf(&out, "%s: %q\n", one.start.Sub(origin).Round(time.Millisecond), kind)
		}
		last = kind
	}
	return out.String()
}
