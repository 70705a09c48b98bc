package store

import "context"

// WriteBegin begins a transaction on the write copy.
func (s *Store) WriteBegin() error {
	_, err := s.writer.conn.ExecContext(context.Background(), "BEGIN")
	return err
}

// WriteExec executes a statement in the transaction on the write copy.
func (s *Store) WriteExec(ctx context.Context, query string, args []any) (*Result, error) {
	result, err := s.writer.conn.ExecContext(ctx, query, args...)
	if err != nil {
		return nil, err
	}
	affected, err := result.RowsAffected()
	return &Result{Affected: affected}, err
}

// WriteQuery is WriteExec for a statement that returns rows.
func (s *Store) WriteQuery(ctx context.Context, query string, args []any) (*Result, error) {
	result, err := run(ctx, s.writer.conn, query, args)
	if err != nil {
		return nil, err
	}
	result.Affected = int64(len(result.Rows))
	return result, nil
}

// WriteCommit commits the transaction on the write copy.
func (s *Store) WriteCommit() error {
	_, err := s.writer.conn.ExecContext(context.Background(), "COMMIT")
	return err
}

// WriteRollback rolls back the transaction on the write copy. It ignores errors,
// because SQLite may already have rolled back after an interrupt.
func (s *Store) WriteRollback() {
	_, _ = s.writer.conn.ExecContext(context.Background(), "ROLLBACK")
}

// WriteApply applies an entry that was received from another upstream to the
// write copy.
func (s *Store) WriteApply(entry []Statement) error { return s.writer.apply(entry) }
