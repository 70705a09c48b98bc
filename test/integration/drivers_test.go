package integration

import (
	"context"
	"database/sql"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/stdlib"
)

// Guards against drivers that work with PostgreSQL but not through the proxy:
// database/sql with prepared statements, transactions and cancellation, and a
// pipelined batch of pgx.
func TestDrivers(t *testing.T) {
	c := startCluster(t, nil)
	t.Run("database/sql", func(t *testing.T) { useDatabaseSQL(t, c.URL(0, "skov", "entries")) })
	t.Run("pgx batch", func(t *testing.T) { useBatch(t, connect(t, c.URL(1, "skov", "entries"))) })
}

func useDatabaseSQL(t *testing.T, url string) {
	config, err := pgx.ParseConfig(url)
	if err != nil {
		t.Fatal(err)
	}
	db := stdlib.OpenDB(*config)
	defer db.Close()
	ctx := testContext(t)
	if _, err := db.ExecContext(ctx, "CREATE TABLE wheel (id int PRIMARY KEY, farm text)"); err != nil {
		t.Fatal(err)
	}
	insert, err := db.PrepareContext(ctx, "INSERT INTO wheel VALUES ($1, $2)")
	if err != nil {
		t.Fatal(err)
	}
	defer insert.Close()
	for i := range 5 {
		if _, err := insert.ExecContext(ctx, i, "Skov"); err != nil {
			t.Fatal(err)
		}
	}
	checkRollback(ctx, t, db)
	checkCancellation(t, db)
}

func checkRollback(ctx context.Context, t *testing.T, db *sql.DB) {
	tx, err := db.BeginTx(ctx, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.ExecContext(ctx, "DELETE FROM wheel"); err != nil {
		t.Fatal(err)
	}
	var inside int
	if err := tx.QueryRowContext(ctx, "SELECT count(*) FROM wheel").Scan(&inside); err != nil || inside != 0 {
		t.Fatalf("%d rows inside of the transaction: %v", inside, err)
	}
	if err := tx.Rollback(); err != nil {
		t.Fatal(err)
	}
	conn, err := db.Conn(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var after int
	if err := conn.QueryRowContext(ctx, "SELECT count(*) FROM wheel WHERE farm = $1", "Skov").Scan(&after); err != nil || after != 5 {
		t.Fatalf("%d rows after the rollback: %v", after, err)
	}
}

func checkCancellation(t *testing.T, db *sql.DB) {
	ctx, cancel := context.WithTimeout(testContext(t), 300*time.Millisecond)
	defer cancel()
	if _, err := db.ExecContext(ctx, "SELECT pg_sleep(8)"); err == nil {
		t.Error("a statement whose context ended was not canceled")
	}
	var one int
	if err := db.QueryRowContext(testContext(t), "SELECT 1").Scan(&one); err != nil || one != 1 {
		t.Errorf("after a cancellation: %d, %v", one, err)
	}
}

func useBatch(t *testing.T, conn *pgx.Conn) {
	exec(t, conn, "CREATE TABLE slot (id int PRIMARY KEY)")
	batch := &pgx.Batch{}
	for i := range 3 {
		batch.Queue("INSERT INTO slot VALUES ($1)", i)
	}
	batch.Queue("SELECT count(*) FROM slot")
	results := conn.SendBatch(testContext(t), batch)
	for range 3 {
		if _, err := results.Exec(); err != nil {
			t.Fatal(err)
		}
	}
	var n int
	if err := results.QueryRow().Scan(&n); err != nil || n != 3 {
		t.Fatalf("the batch counts %d rows: %v", n, err)
	}
	if err := results.Close(); err != nil {
		t.Fatal(err)
	}
}
