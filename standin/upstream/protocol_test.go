package upstream

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

func sqlState(err error) string {
	var failure *pgconn.PgError
	if errors.As(err, &failure) {
		return failure.Code
	}
	return ""
}

// By default, pgx describes each statement and uses binary formats. It must be
// able to encode the parameters and scan the columns.
func TestDefaultModeTypes(t *testing.T) {
	g := startGroup(t, Options{})
	conn := connect(t, g.Upstreams[0])
	exec(t, conn, "CREATE TABLE item (id bigint PRIMARY KEY, small smallint, ratio double precision,"+
		" name text, body bytea, done boolean)")
	insert := "INSERT INTO item (id, small, ratio, name, body, done) VALUES ($1, $2, $3, $4, $5, $6) RETURNING id, done"
	var id int64
	var done bool
	row := conn.QueryRow(testContext(t), insert, 7, int16(-3), 2.5, "it's", []byte{0, 255}, true)
	if err := row.Scan(&id, &done); err != nil || id != 7 || !done {
		t.Fatalf("insert returned %d, %v, %v", id, done, err)
	}
	var small int16
	var ratio float64
	var name *string
	var body []byte
	row = conn.QueryRow(testContext(t), "SELECT small, ratio, name, body, done FROM item WHERE id = $1 AND name LIKE $2", 7, "it%")
	if err := row.Scan(&small, &ratio, &name, &body, &done); err != nil {
		t.Fatal(err)
	}
	if small != -3 || ratio != 2.5 || *name != "it's" || !bytes.Equal(body, []byte{0, 255}) || !done {
		t.Fatalf("got %v %v %v %v %v", small, ratio, *name, body, done)
	}
	exec(t, conn, "UPDATE item SET name = $1, done = $2 WHERE id IN ($3, $4)", nil, false, 7, 8)
	if n := queryInt(t, conn, "SELECT count(*) + $1 FROM item WHERE name IS NULL AND NOT done", 1); n != 2 {
		t.Fatalf("count is %d, want 2", n)
	}
	if n := queryInt(t, conn, "SELECT coalesce(max(id), 0) AS top FROM item WHERE id BETWEEN $1 AND $2", 1, 9); n != 7 {
		t.Fatalf("maximum is %d, want 7", n)
	}
	var text string
	if err := conn.QueryRow(testContext(t), "SELECT $1::text || 'x'", "a").Scan(&text); err != nil || text != "ax" {
		t.Fatalf("got %q, %v", text, err)
	}
}

// Errors must have the SQLSTATEs of PostgreSQL, because the proxy reacts to them.
func TestSQLStates(t *testing.T) {
	g := startGroup(t, Options{})
	conn := connect(t, g.Upstreams[0])
	exec(t, conn, "CREATE TABLE item (id bigint PRIMARY KEY, name text NOT NULL)")
	exec(t, conn, "INSERT INTO item VALUES (1, 'a')")
	for sql, want := range map[string]string{
		"INSERT INTO item VALUES (1, 'b')":  codeUnique,
		"INSERT INTO item VALUES (2, NULL)": codeNotNull,
		"SELECT * FROM missing":             codeUnknownTable,
		"SELECT missing FROM item":          codeUnknownColumn,
		"SELEC 1":                           codeSyntax,
		"COPY item FROM STDIN":              codeNotSupported,
	} {
		_, err := conn.Exec(testContext(t), sql)
		if got := sqlState(err); got != want {
			t.Errorf("%s: SQLSTATE %q (%v), want %q", sql, got, err, want)
		}
		_, err = conn.Exec(testContext(t), sql, pgx.QueryExecModeSimpleProtocol)
		if got := sqlState(err); got != want {
			t.Errorf("%s in the simple protocol: SQLSTATE %q (%v), want %q", sql, got, err, want)
		}
	}
}

// Uncommitted data must be visible to its own transaction only, a rollback must
// discard it, and the transaction status must be right.
func TestTransactions(t *testing.T) {
	g := startGroup(t, Options{})
	writer, reader := connect(t, g.Upstreams[0]), connect(t, g.Upstreams[0])
	exec(t, writer, "CREATE TABLE item (id bigint PRIMARY KEY)")
	tx, err := writer.Begin(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(testContext(t), "INSERT INTO item VALUES ($1)", 1); err != nil {
		t.Fatal(err)
	}
	if n := queryInt(t, writer, "SELECT count(*) FROM item"); n != 1 {
		t.Fatalf("the transaction sees %d rows, want 1", n)
	}
	if n := queryInt(t, reader, "SELECT count(*) FROM item"); n != 0 {
		t.Fatalf("another session sees %d uncommitted rows", n)
	}
	if status := writer.PgConn().TxStatus(); status != 'T' {
		t.Fatalf("status %c, want T", status)
	}
	_, err = tx.Exec(testContext(t), "INSERT INTO item VALUES (1)")
	if status := writer.PgConn().TxStatus(); sqlState(err) != codeUnique || status != 'E' {
		t.Fatalf("status %c after %v, want E", status, err)
	}
	_, err = tx.Exec(testContext(t), "SELECT 1")
	if sqlState(err) != codeFailedTransaction {
		t.Fatalf("statement in a failed transaction: %v", err)
	}
	if err := tx.Commit(testContext(t)); !errors.Is(err, pgx.ErrTxCommitRollback) {
		t.Fatalf("commit of a failed transaction: %v", err)
	}
	if n := queryInt(t, reader, "SELECT count(*) FROM item"); n != 0 {
		t.Fatalf("%d rows after a rollback", n)
	}
	before := g.Upstreams[0].Status().Received
	exec(t, writer, "BEGIN READ ONLY")
	if _, err := writer.Exec(testContext(t), "INSERT INTO item VALUES (2)"); sqlState(err) != codeReadOnly {
		t.Fatalf("write in a read-only transaction: %v", err)
	}
	exec(t, writer, "ROLLBACK")
	if after := g.Upstreams[0].Status().Received; after != before {
		t.Fatalf("log grew from %d to %d without a commit", before, after)
	}
}

// A locking read must fail on a replica, wait for the write transaction of
// another session, and not append to the log.
func TestLockingRead(t *testing.T) {
	g := startGroup(t, Options{})
	conn := connect(t, g.Upstreams[0])
	exec(t, conn, "CREATE TABLE item (id bigint PRIMARY KEY)")
	exec(t, conn, "INSERT INTO item VALUES (7)")
	end := g.Upstreams[0].Status().Received
	awaitApplied(t, g.Upstreams[1], FirstTerm, end)
	const query = "SELECT id FROM item WHERE id = $1 FOR UPDATE"
	if n := queryInt(t, conn, query, 7); n != 7 {
		t.Fatalf("got %d, want 7", n)
	}
	if _, err := connect(t, g.Upstreams[1]).Exec(testContext(t), query, 7); sqlState(err) != codeReadOnly {
		t.Fatalf("locking read on a replica: %v", err)
	}
	if received := g.Upstreams[0].Status().Received; received != end {
		t.Fatalf("the log grew from %d to %d", end, received)
	}
	exec(t, conn, "BEGIN")
	queryInt(t, conn, query, 7)
	ctx, cancel := contextWithShortTimeout(t)
	defer cancel()
	if _, err := connect(t, g.Upstreams[0]).Exec(ctx, query, 7); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("second locking read: %v", err)
	}
}

// A failed statement must roll back the earlier ones of the same batch or simple
// query, which are one implicit transaction.
func TestBatchIsOneTransaction(t *testing.T) {
	g := startGroup(t, Options{})
	conn := connect(t, g.Upstreams[0])
	exec(t, conn, "CREATE TABLE item (id bigint PRIMARY KEY)")
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO item VALUES ($1)", 1)
	batch.Queue("INSERT INTO item VALUES ($1)", 1)
	if err := conn.SendBatch(testContext(t), batch).Close(); sqlState(err) != codeUnique {
		t.Fatalf("batch: %v", err)
	}
	if n := queryInt(t, conn, "SELECT count(*) FROM item"); n != 0 {
		t.Fatalf("%d rows remain of a failed batch", n)
	}
	_, err := conn.Exec(testContext(t), "INSERT INTO item VALUES (1); INSERT INTO item VALUES (1)", pgx.QueryExecModeSimpleProtocol)
	if sqlState(err) != codeUnique {
		t.Fatalf("simple query: %v", err)
	}
	if n := queryInt(t, conn, "SELECT count(*) FROM item"); n != 0 {
		t.Fatalf("%d rows remain of a failed simple query", n)
	}
}
