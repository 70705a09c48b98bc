package holder

import (
	"context"
	"errors"
	"sync"

	"github.com/chervilhatch/chervilhatch/backend"
	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

const (
	// maxInlineWrite is the size in bytes up to which a batch is written before
	// the answer is read. A larger batch could deadlock: the socket buffers are
	// full while the upstream waits for its answer to be read.
	maxInlineWrite = 16 << 10
	// flushSize is the size in bytes at which a buffered answer is passed to the sink.
	flushSize = 32 << 10
	// maxHeldAnswer bounds, in bytes, the part of an answer that is held back
	// until a majority has the write.
	maxHeldAnswer = 16 << 20
	// maxPreamble bounds, in bytes, the start of an answer that is buffered until
	// it is known whether the upstream refuses the statement.
	maxPreamble = 64 << 10
)

var (
	errSink         = errors.New("the caller does not take the answer")
	errHeldTooLarge = errors.New("the answer that waits for a majority is too large")
	errCopyIn       = errors.New("COPY FROM STDIN is not supported")
	errPosition     = errors.New("the upstream did not tell its position")
)

// exchange sends one batch on one connection and reads its answer.
type exchange struct {
	stream    *stream
	checkout  *checkout
	conn      *backend.Conn
	batch     *executor.Batch
	sink      executor.Sink
	rewritten *backend.Batch

	// write is true if success is reported only after a majority has the write.
	write bool
	// changesReadOnly is true if the batch is preceded by a change of the
	// connection's read-only setting.
	changesReadOnly bool
	// inTx is true if a transaction was open before the batch.
	inTx bool
	// positionQueried is true if the position query was sent together with the batch.
	positionQueried bool
	// sent is the number of bytes that may have reached the upstream.
	sent    int
	written chan writeResult

	// empty is the buffer for encoding messages without a body.
	empty []byte
	// out has the messages to pass to the sink next. Once holding is true,
	// further messages go to held, which is passed on after the majority wait.
	out     []byte
	held    []byte
	holding bool
	// preamble is true until a message shows whether the upstream runs the statement.
	preamble bool
	// refusal is set if the upstream's first error means that it did not run
	// the batch and that another upstream may.
	refusal *sqlstate.Error
	// completions counts the CommandComplete messages; rollback is true if the
	// last of them was for a ROLLBACK.
	completions int
	rollback    bool
	status      byte
	position    model.Position
	// broken is true if the connection must not be reused.
	broken  bool
	outcome Outcome
}

type writeResult struct {
	n   int
	err error
}

// exchanges pools exchanges, so that their buffers are reused.
var exchanges = sync.Pool{New: func() any { return new(exchange) }}

// newExchange returns an exchange from the pool; release returns it there.
func newExchange(s *stream, c *checkout, b *executor.Batch, sink executor.Sink) *exchange {
	read := b.Class == model.Read
	x := exchanges.Get().(*exchange)
	*x = exchange{
		empty:           x.empty,
		out:             x.out,
		held:            x.held,
		stream:          s,
		checkout:        c,
		conn:            c.conn,
		batch:           b,
		sink:            sink,
		write:           c.assignment.Primary && !(read && c.conn.ReadOnly()),
		changesReadOnly: c.assignment.Primary && s.tx == txIdle && c.conn.ReadOnly() != read,
		inTx:            s.tx != txIdle,
		preamble:        true,
	}
	return x
}

// release returns the exchange to the pool, without its buffers if they are large.
func (x *exchange) release() {
	out, held := x.out[:0], x.held[:0]
	if cap(out)+cap(held) > 2*flushSize {
		out, held = nil, nil
	}
	*x = exchange{empty: x.empty, out: out, held: held}
	exchanges.Put(x)
}

// run sends the batch and reads the answer. If the batch committed a write, it
// also reads the log position after the commit.
func (x *exchange) run(ctx context.Context) *sqlstate.Error {
	rewritten, err := x.conn.Rewrite(x.batch.Messages, x.batch.Prepared)
	if err != nil {
		return x.rejectMalformed(err)
	}
	x.rewritten = rewritten
	watch := x.conn.Watch(ctx)
	err = x.roundTrip()
	if err == nil {
		x.joinWriter()
	}
	x.conn.Unwatch(watch)
	if err != nil {
		return x.connectionFailed(ctx, err)
	}
	return x.refusal
}

// roundTrip sends the batch, with the change of the read-only setting and the
// position query where needed, and reads all answers.
func (x *exchange) roundTrip() error {
	messages := x.rewritten.Messages
	if x.changesReadOnly {
		messages = append(backend.AppendSetReadOnly(nil, x.batch.Class == model.Read), messages...)
	}
	if x.write && !x.enforcesReadOnly() && likelyCommits(x.batch.Messages, x.inTx) {
		messages = backend.AppendQuery(messages, positionQuery)
		x.positionQueried = true
	}
	if err := x.send(messages); err != nil {
		return err
	}
	if err := x.readReadOnlyReply(); err != nil {
		return err
	}
	if err := x.readAnswer(); err != nil {
		return err
	}
	return x.readPosition()
}

// enforcesReadOnly reports whether the connection is made read-only before a
// read on the primary. A SELECT may call a function that writes, and without
// the setting such a write would be acknowledged without a majority.
func (x *exchange) enforcesReadOnly() bool { return x.changesReadOnly && x.batch.Class == model.Read }

// readReadOnlyReply reads the answer to the change of the read-only setting.
// If the upstream does not support the setting, a read on the primary is
// treated as a write.
func (x *exchange) readReadOnlyReply() error {
	if !x.changesReadOnly {
		return nil
	}
	err := x.conn.ReadSetReadOnly(x.batch.Class == model.Read)
	if err != nil && !x.conn.Usable() {
		return err
	}
	if err == nil && x.enforcesReadOnly() {
		x.write = false
	}
	return nil
}

// send writes the batch. A batch larger than maxInlineWrite is written by
// another goroutine while the answer is read.
func (x *exchange) send(messages []byte) error {
	if len(messages) <= maxInlineWrite {
		n, err := x.conn.Write(messages)
		x.sent = n
		return err
	}
	x.sent = len(messages)
	x.written = make(chan writeResult, 1)
	go func() {
		n, err := x.conn.WriteWithoutDiscard(messages)
		x.written <- writeResult{n: n, err: err}
	}()
	return nil
}

// joinWriter waits for the goroutine that writes a large batch. If the write
// failed, the connection is discarded; a complete answer remains valid.
func (x *exchange) joinWriter() {
	if x.written == nil {
		return
	}
	result := <-x.written
	x.written = nil
	x.sent = result.n
	if result.err != nil {
		x.conn.Discard("write failed")
	}
}

// readAnswer reads the answer up to ReadyForQuery and passes it to the sink.
func (x *exchange) readAnswer() error {
	for {
		frame, err := x.conn.Next()
		if err != nil {
			return err
		}
		if err := x.handle(frame); err != nil {
			return err
		}
		if frame.Type() == wire.ReadyForQuery {
			return x.flush()
		}
		if len(x.out) > flushSize || !x.conn.HasFrame() {
			if err := x.flush(); err != nil {
				return err
			}
		}
	}
}

// handle processes one message of the answer.
func (x *exchange) handle(frame wire.Frame) error {
	switch frame.Type() {
	case wire.ParseComplete, wire.CloseComplete:
		emit, err := x.rewritten.Reply()
		if err != nil || emit == 0 {
			return err
		}
		x.empty = wire.AppendMessage(x.empty[:0], emit)
		return x.emit(x.empty)
	case wire.ParameterStatus, wire.NotificationResponse:
		// These concern the pooled connection, not this caller.
		return nil
	case wire.CopyInResponse, wire.CopyBothResponse:
		return errCopyIn
	case wire.ErrorResponse:
		x.handleError(frame)
	case wire.CommandComplete:
		x.handleCommandComplete(frame)
	case wire.ReadyForQuery:
		x.status = frame.Body()[0]
		x.conn.SetStatus(x.status)
		x.preamble = false
	case wire.BindComplete, wire.RowDescription, wire.ParameterDescription, wire.NoData, wire.NoticeResponse:
	default:
		x.preamble = false
	}
	return x.emit(frame)
}

// handleError processes an ErrorResponse. An error before the statement runs
// may be a refusal, after which another upstream can run the batch.
func (x *exchange) handleError(frame wire.Frame) {
	x.rewritten.SkipReplies()
	code := backend.ErrorCode(frame)
	if x.preamble && !x.inTx {
		x.refusal = refusalForCode(sqlstate.Code(code))
	}
	stale := code == string(sqlstate.NotSupported) || code == string(sqlstate.UnknownStatement)
	if stale && x.rewritten.ReusedStatements() {
		// The cached plan no longer matches the table and would fail for every
		// later caller of this connection.
		x.conn.Discard("prepared statement out of date")
	}
	x.preamble = false
}

// refusalForCode returns the not-run error that an upstream's SQLSTATE maps to,
// or nil if the error is passed on to the caller as the answer.
func refusalForCode(code sqlstate.Code) *sqlstate.Error {
	switch code {
	case sqlstate.ReadOnly:
		return sqlstate.Refuse(sqlstate.ReadOnly, "the statement needs the primary")
	case sqlstate.CannotConnectNow:
		return sqlstate.Refuse(sqlstate.UpstreamUnavailable, "the upstream does not serve statements now")
	}
	return nil
}

// handleCommandComplete starts to hold back the answer of a write:
// CommandComplete reports success, which needs a majority first.
func (x *exchange) handleCommandComplete(frame wire.Frame) {
	x.preamble = false
	x.completions++
	tag, _, _ := wire.CString(frame.Body())
	x.rollback = string(tag) == "ROLLBACK"
	if x.write {
		x.holding = true
	}
}

// emit appends a message to the part of the answer that goes to the sink next,
// or to the part that is held back.
func (x *exchange) emit(frame []byte) error {
	if x.refusal != nil {
		return nil
	}
	if !x.holding {
		x.out = append(x.out, frame...)
		return nil
	}
	if len(x.held)+len(frame) > maxHeldAnswer {
		return errHeldTooLarge
	}
	x.held = append(x.held, frame...)
	return nil
}

// flush passes the buffered messages to the sink, except during the preamble.
func (x *exchange) flush() error {
	waits := x.preamble && len(x.out) < maxPreamble
	if len(x.out) == 0 || waits || x.refusal != nil {
		return nil
	}
	err := x.sink(x.out)
	x.out = x.out[:0]
	if err != nil {
		return errSink
	}
	return nil
}
