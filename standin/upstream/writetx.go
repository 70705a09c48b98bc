package upstream

import (
	"context"
	"sync"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/sqltext"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/store"
)

// writeTx is the open write transaction of a node. A fence may end it at any
// time.
type writeTx struct {
	node       *node
	generation uint64
	// ctx ends when the transaction is aborted, which interrupts a running
	// statement.
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	ended      bool
	reason     *pgError
	statements []store.Statement
	// changes is the number of statements that are not savepoints.
	changes int
	// defines is true once the transaction has changed tables or columns.
	defines bool
}

// beginWrite waits for the write lock and opens a write transaction. It
// refuses with errReadOnly when the upstream is not the primary.
func (n *node) beginWrite(ctx context.Context) (*writeTx, error) {
	if !n.isPrimary() {
		return nil, errReadOnly
	}
	select {
	case n.writeLock <- struct{}{}:
	case <-ctx.Done():
		return nil, errCanceled
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != dbgroup.Primary {
		<-n.writeLock
		return nil, errReadOnly
	}
	if err := n.data.WriteBegin(); err != nil {
		<-n.writeLock
		return nil, err
	}
	tx := &writeTx{node: n, generation: n.generation.Load()}
	tx.ctx, tx.cancel = context.WithCancel(context.Background())
	n.open = tx
	return tx, nil
}

func (n *node) isPrimary() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.role == dbgroup.Primary
}

// exec runs one statement in the transaction.
func (t *writeTx) exec(ctx context.Context, s *sqltext.Statement, args []any) (*store.Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return nil, t.reason
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(t.ctx, cancel)()
	result, err := t.run(ctx, s, args)
	if t.ctx.Err() != nil {
		return nil, errFenced
	}
	if err != nil {
		return nil, err
	}
	t.record(s, args)
	return result, nil
}

func (t *writeTx) run(ctx context.Context, s *sqltext.Statement, args []any) (*store.Result, error) {
	if s.Class == sqltext.Read || s.Locking || s.Has("returning") {
		return t.node.data.WriteQuery(ctx, s.SQL, args)
	}
	return t.node.data.WriteExec(ctx, s.SQL, args)
}

// record keeps a statement for the log entry.
func (t *writeTx) record(s *sqltext.Statement, args []any) {
	if s.Class == sqltext.Read || s.Locking {
		return
	}
	defines := s.Tokens[0].Is("create", "alter", "drop")
	t.defines = t.defines || defines
	t.statements = append(t.statements, store.Statement{SQL: s.SQL, Args: args, Defines: defines})
	if s.Class == sqltext.Write {
		t.changes++
	}
}

// query runs an internal read on the write copy.
func (t *writeTx) query(ctx context.Context, query string, args []any) (*store.Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return nil, t.reason
	}
	return t.node.data.WriteQuery(ctx, query, args)
}

// commit makes the transaction a log entry and returns its position. The
// check of the generation and the entry are one step under the node's mutex,
// so a fence comes either before, and the transaction is rolled back, or after
// the whole commit.
func (t *writeTx) commit() (model.Position, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return model.Position{}, t.reason
	}
	n := t.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.generation != n.generation.Load() {
		t.end(errFenced)
		return model.Position{}, errFenced
	}
	if err := n.data.WriteCommit(); err != nil {
		t.end(toPGError(err))
		return model.Position{}, err
	}
	t.release()
	if t.changes == 0 {
		return n.log.position(n.applied), nil
	}
	n.log.append(entry{Term: n.promised, Statements: t.statements})
	err := n.publishUpTo(n.log.end())
	n.notify()
	return n.log.position(n.applied), err
}

// abort rolls the transaction back; later statements fail with the reason. A
// nil transaction needs nothing.
func (t *writeTx) abort(reason *pgError) {
	if t == nil {
		return
	}
	// This interrupts a running statement, which holds mu.
	t.cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	t.end(reason)
}

// end rolls back and releases the write lock. The caller holds both mutexes.
func (t *writeTx) end(reason *pgError) {
	t.node.data.WriteRollback()
	t.reason = reason
	t.release()
}

// release frees the write lock. The caller holds both mutexes.
func (t *writeTx) release() {
	t.ended = true
	t.cancel()
	t.node.open = nil
	<-t.node.writeLock
}
