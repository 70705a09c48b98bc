package upstream

import (
	"context"
	"sync"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/sqltext"
	"github.com/chervilhatch/chervilhatch/standin/upstream/internal/store"
)

// writeTx is the open write transaction of a node. A fence may roll it back at
// any time.
type writeTx struct {
	node       *node
	generation uint64
	// ctx is canceled when the transaction ends. An abort thereby interrupts a
	// running statement.
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	ended bool
	// reason is the error for statements after a rollback.
	reason *pgError
	// statements are the statements for the log entry.
	statements []store.Statement
	// changes is the number of statements other than savepoint commands. A
	// transaction without any gets no log entry.
	changes int
	// defines is true once the transaction has created, altered or dropped a
	// table or another object.
	defines bool
}

// beginWrite waits for the write lock and opens a write transaction. It returns
// errReadOnly if the upstream is not the primary.
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

// exec executes a statement in the transaction.
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

// record adds a statement to the log entry, unless it changes nothing.
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

// query runs an internal read in the transaction.
func (t *writeTx) query(ctx context.Context, query string, args []any) (*store.Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return nil, t.reason
	}
	return t.node.data.WriteQuery(ctx, query, args)
}

// commit appends the transaction to the log and returns its position. It checks
// the generation and appends the entry while it holds the node's mutex. A fence
// therefore comes either before the check, and the transaction is rolled back,
// or after the entry is in the log.
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

// abort rolls the transaction back; later statements fail with the reason. It
// does nothing if t is nil or has ended.
func (t *writeTx) abort(reason *pgError) {
	if t == nil {
		return
	}
	// A running statement holds mu, so interrupt it first.
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
