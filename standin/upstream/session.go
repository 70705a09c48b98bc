package upstream

import (
	"context"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// session is the session of one client connection.
type session struct {
	server   *Server
	node     *node
	backend  *pgproto3.Backend
	pid      uint32
	secret   []byte
	settings settings

	statements map[string]*prepared
	portals    map[string]*portal
	// skipping is true after an error in the extended protocol. Messages are then
	// ignored up to the next Sync or Query.
	skipping bool

	// block is true between BEGIN and COMMIT or ROLLBACK.
	block bool
	// failed is true after an error in a transaction.
	failed bool
	// readOnly is true in a READ ONLY transaction.
	readOnly bool
	// write is the open write transaction, which may be an implicit one.
	write *writeTx

	// last is the position of the last commit or read, observed in generation
	// lastGeneration. It is valid if hasLast is true.
	last           model.Position
	lastGeneration uint64
	hasLast        bool

	// ctx is canceled when the upstream is killed.
	ctx context.Context
	mu  sync.Mutex
	// cancel interrupts the running statement; it is nil if there is none.
	cancel context.CancelFunc
}

func newSession(ctx context.Context, s *Server, backend *pgproto3.Backend) *session {
	return &session{
		server:     s,
		node:       s.node,
		backend:    backend,
		settings:   make(settings),
		statements: make(map[string]*prepared),
		portals:    make(map[string]*portal),
		ctx:        ctx,
	}
}

// serve processes messages until the connection ends.
func (c *session) serve() {
	for c.ctx.Err() == nil {
		message, err := c.backend.Receive()
		if err != nil {
			return
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return
		}
		c.dispatch(message)
		if c.flushes(message) && c.backend.Flush() != nil {
			return
		}
	}
}

// dispatch processes one message.
func (c *session) dispatch(message pgproto3.FrontendMessage) {
	switch m := message.(type) {
	case *pgproto3.Query:
		c.simpleQuery(m.String)
		return
	case *pgproto3.Sync:
		c.sync()
		return
	case *pgproto3.Flush:
		return
	}
	if c.skipping {
		return
	}
	if err := c.extended(message); err != nil {
		c.fail(err)
		c.skipping = true
	}
}

// flushes reports whether the responses must be flushed after the message.
func (c *session) flushes(message pgproto3.FrontendMessage) bool {
	switch message.(type) {
	case *pgproto3.Query, *pgproto3.Sync, *pgproto3.Flush:
		return true
	}
	return false
}

// fail sends an error and marks the transaction, if any, as failed.
func (c *session) fail(err error) {
	if c.block || c.write != nil {
		c.failed = true
	}
	c.backend.Send(toPGError(err).response(severityError))
}

// ready sends ReadyForQuery and flushes all responses.
func (c *session) ready() {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus()})
	_ = c.backend.Flush()
}

func (c *session) txStatus() byte {
	switch {
	case !c.block:
		return 'I'
	case c.failed:
		return 'E'
	}
	return 'T'
}

// statementContext returns the context of the next statement, which a cancel
// request cancels. The caller must call done after the statement.
func (c *session) statementContext() (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		c.cancel = nil
		c.mu.Unlock()
		cancel()
	}
}

// interrupt cancels the running statement, if any.
func (c *session) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

// close rolls back an open transaction.
func (c *session) close() { c.rollback() }
