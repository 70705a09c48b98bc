package upstream

import (
	"context"

	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/sqltext"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/store"
)

var errRolledBack = &pgError{codeFailedTransaction, "the transaction was rolled back"}

// begin executes BEGIN or START TRANSACTION.
func (c *session) begin(s *sqltext.Statement) {
	c.block = true
	c.readOnly = s.ReadOnly()
}

// commit executes COMMIT and returns the command tag. As in PostgreSQL, a failed
// transaction is rolled back and the tag is ROLLBACK.
func (c *session) commit() (tag string, err error) {
	if c.failed {
		c.rollback()
		return "ROLLBACK", nil
	}
	return "COMMIT", c.commitWrite()
}

// commitWrite commits the write transaction, if any, and leaves the transaction
// block.
func (c *session) commitWrite() error {
	tx := c.write
	c.leaveBlock()
	if tx == nil {
		return nil
	}
	position, err := tx.commit()
	if err != nil {
		return err
	}
	c.last = position
	c.lastGeneration = tx.generation
	c.hasLast = true
	return nil
}

// rollback rolls back the write transaction, if any, and leaves the transaction
// block.
func (c *session) rollback() {
	c.write.abort(errRolledBack)
	c.leaveBlock()
}

func (c *session) leaveBlock() {
	c.write = nil
	c.block = false
	c.failed = false
	c.readOnly = false
}

// endImplicit commits or rolls back an implicit transaction. It does nothing in
// a transaction block.
func (c *session) endImplicit() error {
	if c.block {
		return nil
	}
	if c.failed {
		c.rollback()
		return nil
	}
	return c.commitWrite()
}

// runWrite executes a write in the open write transaction, or opens one.
func (c *session) runWrite(ctx context.Context, s *sqltext.Statement, args []any) (*store.Result, error) {
	if c.readOnly {
		return nil, &pgError{codeReadOnly, "cannot execute a write in a read-only transaction"}
	}
	if c.write == nil {
		tx, err := c.node.beginWrite(ctx)
		if err != nil {
			return nil, err
		}
		c.write = tx
	}
	// The write lock is acquired before the slot. Otherwise transactions that
	// wait for the lock could occupy all slots, and the one that holds the lock
	// could not go on.
	if err := c.server.limiter.acquire(ctx); err != nil {
		return nil, err
	}
	defer c.server.limiter.release()
	return c.write.exec(ctx, s, args)
}

// runRead executes a read on the published data, or in the open write
// transaction, whose changes it must see.
func (c *session) runRead(ctx context.Context, s *sqltext.Statement, args []any) (*store.Result, error) {
	if err := c.server.limiter.acquire(ctx); err != nil {
		return nil, err
	}
	defer c.server.limiter.release()
	if c.write != nil {
		return c.write.exec(ctx, s, args)
	}
	if !c.node.servesReads() {
		return nil, &pgError{codeCannotConnectNow, "this replica has not yet compared its log with its primary's"}
	}
	generation := c.node.generation.Load()
	remember := func() {
		c.last = *c.node.visible.Load()
		c.lastGeneration = generation
		c.hasLast = true
	}
	return c.node.data.Read(ctx, s.SQL, args, remember)
}

// runSavepoint executes SAVEPOINT, RELEASE and ROLLBACK TO. In a read-only
// transaction or on a replica there are no changes to roll back, so they have no
// effect on the data.
func (c *session) runSavepoint(ctx context.Context, s *sqltext.Statement) error {
	if !c.readOnly && (c.write != nil || c.node.isPrimary()) {
		if _, err := c.runWrite(ctx, s, nil); err != nil {
			return err
		}
	}
	if s.Class == sqltext.RollbackTo {
		c.failed = false
	}
	return nil
}
