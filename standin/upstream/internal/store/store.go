// Package store holds the data of one upstream in in-memory SQLite databases.
//
// There are two copies of the data. The write copy is used by the open write
// transaction. The published copy has only committed entries and is used by
// reads. An open write transaction therefore never blocks a read, and a replica
// can publish an entry later than it receives it.
package store

import (
	"context"
	"database/sql"
	"fmt"
	"sync"
	"sync/atomic"

	_ "modernc.org/sqlite" // driver "sqlite"
)

// Statement is one statement of a committed transaction.
type Statement struct {
	SQL  string
	Args []any
	// Defines is true if the statement is a CREATE, ALTER or DROP.
	Defines bool
}

// Column is a column of a result. Type is its declared type, or empty.
type Column struct {
	Name string
	Type string
}

// Result is the result of a statement.
type Result struct {
	Columns []Column
	Rows    [][]any
	// Affected is the number of changed rows.
	Affected int64
}

// Store has both copies of the data. The methods whose names start with Write
// must not be called concurrently. Read may be called at any time.
type Store struct {
	// mu is held for reading by reads, and for writing while the published copy
	// changes.
	mu        sync.RWMutex
	writer    *dataCopy
	published *dataCopy
	readers   *sql.DB
	// schemaVersion is increased when published tables or columns may have
	// changed.
	schemaVersion atomic.Uint64
}

// dataCopy is a database and the only connection that changes it.
type dataCopy struct {
	db   *sql.DB
	conn *sql.Conn
}

// maxIdleReaders is the maximum number of idle connections for reads. It is above
// the number of slots of an upstream, so that reads need not open new ones.
const maxIdleReaders = 16

// databaseCount is used to make the names of the databases unique in the process.
var databaseCount atomic.Uint64

// Open returns an empty store.
func Open() (*Store, error) {
	s := &Store{}
	if err := s.open(); err != nil {
		return nil, err
	}
	return s, nil
}

// open creates both copies, without data.
func (s *Store) open() error {
	var err error
	if s.writer, err = openCopy(":memory:?_pragma=foreign_keys(1)"); err != nil {
		return err
	}
	name := fmt.Sprintf("file:/upstream%d?vfs=memdb", databaseCount.Add(1))
	if s.published, err = openCopy(name + "&_pragma=foreign_keys(1)"); err != nil {
		return err
	}
	if s.readers, err = sql.Open("sqlite", name+"&_pragma=query_only(1)"); err != nil {
		return err
	}
	s.readers.SetMaxIdleConns(maxIdleReaders)
	return nil
}

func openCopy(name string) (*dataCopy, error) {
	db, err := sql.Open("sqlite", name)
	if err != nil {
		return nil, err
	}
	conn, err := db.Conn(context.Background())
	if err != nil {
		return nil, err
	}
	return &dataCopy{db: db, conn: conn}, nil
}

func (c *dataCopy) close() {
	_ = c.conn.Close()
	_ = c.db.Close()
}

// Close discards the data.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.close()
}

func (s *Store) close() {
	_ = s.readers.Close()
	s.published.close()
	s.writer.close()
}

// Rebuild discards the data and applies entries to both copies. It calls
// beforeVisible before any read can see them.
func (s *Store) Rebuild(entries [][]Statement, beforeVisible func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	beforeVisible()
	s.schemaVersion.Add(1)
	s.close()
	if err := s.open(); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := s.writer.apply(entry); err != nil {
			return err
		}
		if err := s.published.apply(entry); err != nil {
			return err
		}
	}
	return nil
}

// Publish applies an entry to the published copy. It calls beforeVisible before
// any read can see the entry.
func (s *Store) Publish(entry []Statement, beforeVisible func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	beforeVisible()
	for _, statement := range entry {
		if statement.Defines {
			s.schemaVersion.Add(1)
		}
	}
	return s.published.apply(entry)
}

// SchemaVersion returns a number that increases when published tables or columns
// may have changed.
func (s *Store) SchemaVersion() uint64 { return s.schemaVersion.Load() }

// Read runs a statement on the published copy. It calls beforeRead first, at a
// time from which on the data cannot change until Read returns.
func (s *Store) Read(ctx context.Context, query string, args []any, beforeRead func()) (*Result, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	beforeRead()
	conn, err := s.readers.Conn(ctx)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return run(ctx, conn, query, args)
}

// apply executes the statements of an entry in one transaction.
func (c *dataCopy) apply(entry []Statement) error {
	if len(entry) == 0 {
		return nil
	}
	ctx := context.Background()
	if _, err := c.conn.ExecContext(ctx, "BEGIN"); err != nil {
		return err
	}
	for _, statement := range entry {
		if _, err := c.conn.ExecContext(ctx, statement.SQL, statement.Args...); err != nil {
			return fmt.Errorf("apply %q: %w", statement.SQL, err)
		}
	}
	_, err := c.conn.ExecContext(ctx, "COMMIT")
	return err
}

// run executes a statement that returns rows, and reads all of them.
func run(ctx context.Context, conn *sql.Conn, query string, args []any) (*Result, error) {
	rows, err := conn.QueryContext(ctx, query, args...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	result := &Result{}
	if result.Columns, err = columns(rows); err != nil {
		return nil, err
	}
	for rows.Next() {
		row := make([]any, len(result.Columns))
		targets := make([]any, len(row))
		for i := range row {
			targets[i] = &row[i]
		}
		if err := rows.Scan(targets...); err != nil {
			return nil, err
		}
		result.Rows = append(result.Rows, row)
	}
	return result, rows.Err()
}

func columns(rows *sql.Rows) ([]Column, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	list := make([]Column, len(types))
	for i, t := range types {
		list[i] = Column{Name: t.Name(), Type: t.DatabaseTypeName()}
	}
	return list, nil
}
