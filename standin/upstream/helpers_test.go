package upstream

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	testUser     = "proxy"
	testPassword = "proxy password"
	// testTimeout bounds the calls of a test, so that a blocked call fails the
	// test instead of hanging it.
	testTimeout = 30 * time.Second
	// shortTimeout ends calls that are expected to get no response. Its length
	// affects only the duration of a test, not its result.
	shortTimeout = 300 * time.Millisecond
	// pollInterval is the interval at which a test polls a status or counter.
	pollInterval = 2 * time.Millisecond
)

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startGroup(t *testing.T, options Options) *Group {
	t.Helper()
	options.User = testUser
	options.Password = testPassword
	g, err := NewGroup("test", options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	return g
}

func connect(t *testing.T, s *Server) *pgx.Conn {
	t.Helper()
	url := fmt.Sprintf("postgres://%s:%s@%s/db?sslmode=disable", testUser, "proxy%20password", s.Address())
	conn, err := pgx.Connect(testContext(t), url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(testContext(t), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func queryInt(t *testing.T, conn *pgx.Conn, sql string, args ...any) int64 {
	t.Helper()
	var n int64
	if err := conn.QueryRow(testContext(t), sql, args...).Scan(&n); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return n
}

// awaitApplied waits until the upstream has applied position p or a later one,
// and the last applied entry is of the term.
func awaitApplied(t *testing.T, s *Server, term model.Term, p model.LogPos) {
	t.Helper()
	ctx := testContext(t)
	for {
		status := s.Status()
		if status.AppliedTerm == term && status.Applied >= p {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("upstream %s did not reach %v/%d: %+v", s.ID(), term, p, status)
		}
		time.Sleep(pollInterval)
	}
}

// contextWithShortTimeout returns a context for a call that is expected to get no
// response.
func contextWithShortTimeout(t *testing.T) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithTimeout(testContext(t), shortTimeout)
}
