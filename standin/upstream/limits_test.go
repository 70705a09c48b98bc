package upstream

import (
	"bytes"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// A cancel request must cancel the statement of its own session only, and
// connections beyond the limit must be refused.
func TestCancelAndConnectionLimit(t *testing.T) {
	g := startGroup(t, Options{MaxConnections: 2, Slots: 1})
	conn, other := connect(t, g.Upstreams[0]), connect(t, g.Upstreams[0])
	_, err := pgconn.Connect(testContext(t), "postgres://"+testUser+":x@"+g.Upstreams[0].Address()+"/db?sslmode=disable")
	if sqlState(err) != codeTooManyConnections {
		t.Fatalf("third connection: %v", err)
	}
	result := make(chan error)
	started := g.Upstreams[0].Counters().Statements
	go func() {
		_, err := conn.Exec(testContext(t), "SELECT pg_sleep(3600)")
		result <- err
	}()
	for g.Upstreams[0].Counters().Statements == started {
		time.Sleep(pollInterval)
	}
	if err := other.PgConn().CancelRequest(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if err := conn.PgConn().CancelRequest(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if err := <-result; sqlState(err) != codeCanceled {
		t.Fatalf("canceled statement: %v", err)
	}
	if n := queryInt(t, other, "SELECT 1"); n != 1 {
		t.Fatal("the session of the other connection is unusable")
	}
}

// A wrong user or password must be refused.
func TestAuthentication(t *testing.T) {
	g := startGroup(t, Options{})
	for _, credentials := range []string{testUser + ":wrong", "other:proxy%20password", testUser} {
		_, err := pgconn.Connect(testContext(t), "postgres://"+credentials+"@"+g.Upstreams[0].Address()+"/db?sslmode=disable")
		if sqlState(err) != codeWrongPassword {
			t.Errorf("%s: %v", credentials, err)
		}
	}
}

// A statement must wait for a slot, and a canceled statement must free its slot.
func TestSlots(t *testing.T) {
	g := startGroup(t, Options{Slots: 1})
	s := g.Upstreams[0]
	running, waiting := connect(t, s), connect(t, s)
	s.SetStatementDuration(time.Hour)
	started := s.Counters().Statements
	first, second := make(chan error), make(chan error)
	run := func(conn *pgx.Conn, result chan<- error) {
		_, err := conn.Exec(testContext(t), "SELECT 1", pgx.QueryExecModeSimpleProtocol)
		result <- err
	}
	go run(running, first)
	for s.Counters().Statements == started {
		time.Sleep(pollInterval)
	}
	s.SetStatementDuration(0)
	go run(waiting, second)
	if err := running.PgConn().CancelRequest(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if err := <-first; sqlState(err) != codeCanceled {
		t.Fatalf("canceled statement: %v", err)
	}
	if err := <-second; err != nil {
		t.Fatalf("waiting statement: %v", err)
	}
	if most := s.Counters().MaxConcurrent; most != 1 {
		t.Fatalf("%d statements ran at once with 1 slot", most)
	}
}

// A connection must not be served before its delay, and must not count towards
// the limit after the client has given up.
func TestConnectDelay(t *testing.T) {
	g := startGroup(t, Options{MaxConnections: 1})
	s := g.Upstreams[0]
	s.SetConnectDelay(time.Hour)
	ctx, cancel := contextWithShortTimeout(t)
	defer cancel()
	url := "postgres://" + testUser + ":x@" + s.Address() + "/db?sslmode=disable"
	if _, err := pgconn.Connect(ctx, url); sqlState(err) != "" || err == nil {
		t.Fatalf("connection within its delay: %v", err)
	}
	s.Kill()
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	s.SetConnectDelay(0)
	if n := queryInt(t, connect(t, s), "SELECT 1"); n != 1 {
		t.Fatal("the connection is unusable")
	}
}

// A recording must contain the parameters that a client sends.
func TestRecorder(t *testing.T) {
	g := startGroup(t, Options{})
	g.Upstreams[0].Record(true)
	conn := connect(t, g.Upstreams[0])
	queryInt(t, conn, "SELECT length($1) + 41", "m")
	var text string
	if err := conn.QueryRow(testContext(t), "SELECT $1::text", "a marker").Scan(&text); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(g.Upstreams[0].Recorded(), []byte("a marker")) {
		t.Fatal("the parameter is not in the recording")
	}
}
