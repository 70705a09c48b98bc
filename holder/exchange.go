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
	// inlineWrite is the size up to which a batch is written before the answer
	// is read. A larger batch could fill the socket's buffers while the
	// upstream waits for its answer to be read.
	inlineWrite = 16 << 10
	// flushSize is how much of an answer is collected for one call of the sink.
	flushSize = 32 << 10
	// maxHeld bounds the part of an answer that waits for the majority.
	maxHeld = 16 << 20
	// maxPreamble bounds the start of an answer that is kept until it is clear
	// whether a replica refuses the statement.
	maxPreamble = 64 << 10
)

var (
	errSink     = errors.New("the caller does not take the answer")
	errHeld     = errors.New("the answer that waits for a majority is too large")
	errCopyIn   = errors.New("COPY FROM STDIN is not supported")
	errPosition = errors.New("the upstream did not tell its position")
)

// exchange is one batch and its answer on one connection.
type exchange struct {
	stream *stream
	seat   *seat
	conn   *backend.Conn
	batch  *executor.Batch
	sink   executor.Sink
	plan   *backend.Batch

	// write is true when a success must wait for a majority.
	write bool
	// guard is true when the connection's read-only setting is changed first.
	guard bool
	// inTx is true when a transaction was open before the batch.
	inTx bool
	// asked is true when the position query is under way.
	asked bool
	// sent is the number of bytes that may have left.
	sent    int
	written chan writeResult

	// empty is the buffer of a message without a body.
	empty   []byte
	out     []byte
	held    []byte
	holding bool
	// preamble is true until a message shows that the statement runs.
	preamble bool
	// refusal is set when the upstream's first error tells that it did not run
	// the batch and that another upstream can.
	refusal     *sqlstate.Error
	completions int
	rollback    bool
	status      byte
	position    model.Position
	// broken is true when the connection cannot be used further.
	broken  bool
	outcome Outcome
}

type writeResult struct {
	n   int
	err error
}

// exchanges keeps the buffers of ended exchanges for the next ones.
var exchanges = sync.Pool{New: func() any { return new(exchange) }}

// newExchange returns an exchange, to be given back by release.
func newExchange(s *stream, t *seat, b *executor.Batch, sink executor.Sink) *exchange {
	read := b.Class == model.Read
	x := exchanges.Get().(*exchange)
	*x = exchange{
		empty:    x.empty,
		out:      x.out,
		held:     x.held,
		stream:   s,
		seat:     t,
		conn:     t.conn,
		batch:    b,
		sink:     sink,
		write:    t.assignment.Primary && !(read && t.conn.ReadOnly()),
		guard:    t.assignment.Primary && s.tx == txIdle && t.conn.ReadOnly() != read,
		inTx:     s.tx != txIdle,
		preamble: true,
	}
	return x
}

// release gives the exchange back. Its buffers are kept unless they are large.
func (x *exchange) release() {
	out, held := x.out[:0], x.held[:0]
	if cap(out)+cap(held) > 2*flushSize {
		out, held = nil, nil
	}
	*x = exchange{empty: x.empty, out: out, held: held}
	exchanges.Put(x)
}

// run sends the batch and reads the answer; for a write it also reads the
// position after the commit.
func (x *exchange) run(ctx context.Context) *sqlstate.Error {
	plan, err := x.conn.Rewrite(x.batch.Messages, x.batch.Prepared)
	if err != nil {
		return x.malformed(err)
	}
	x.plan = plan
	watch := x.conn.Watch(ctx)
	err = x.talk()
	if err == nil {
		x.joinWriter()
	}
	x.conn.Unwatch(watch)
	if err != nil {
		return x.broke(ctx, err)
	}
	return x.refusal
}

func (x *exchange) talk() error {
	messages := x.plan.Messages
	if x.guard {
		messages = append(backend.AppendSetReadOnly(nil, x.batch.Class == model.Read), messages...)
	}
	if x.write && !x.guardsRead() && likelyCommits(x.batch.Messages, x.inTx) {
		messages = backend.AppendQuery(messages, positionQuery)
		x.asked = true
	}
	if err := x.send(messages); err != nil {
		return err
	}
	if err := x.readGuard(); err != nil {
		return err
	}
	if err := x.readAnswer(); err != nil {
		return err
	}
	return x.readPosition()
}

// guardsRead reports whether this batch makes the primary refuse its own
// writes: a SELECT may call a function that writes, and such a write would
// otherwise be acknowledged without a majority.
func (x *exchange) guardsRead() bool { return x.guard && x.batch.Class == model.Read }

// readGuard reads the answer to the change of the read-only setting. Where the
// upstream has no such setting, a read on the primary is treated as a write.
func (x *exchange) readGuard() error {
	if !x.guard {
		return nil
	}
	err := x.conn.ReadSetReadOnly(x.batch.Class == model.Read)
	if err != nil && !x.conn.Usable() {
		return err
	}
	if err == nil && x.guardsRead() {
		x.write = false
	}
	return nil
}

// send writes the batch; a large one is written by another goroutine while
// the answer is read.
func (x *exchange) send(messages []byte) error {
	if len(messages) <= inlineWrite {
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

// joinWriter waits for the goroutine that writes a large batch. An error does
// not matter for a complete answer, but the connection is not used again.
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

// readAnswer reads up to the batch's ReadyForQuery and passes it on.
func (x *exchange) readAnswer() error {
	for {
		frame, err := x.conn.Next()
		if err != nil {
			return err
		}
		if err := x.take(frame); err != nil {
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

// take handles one message of the answer.
func (x *exchange) take(frame wire.Frame) error {
	switch frame.Type() {
	case wire.ParseComplete, wire.CloseComplete:
		emit, err := x.plan.Reply()
		if err != nil || emit == 0 {
			return err
		}
		x.empty = wire.AppendMessage(x.empty[:0], emit)
		return x.emit(x.empty)
	case wire.ParameterStatus, wire.NotificationResponse:
		// They concern the shared connection, not this caller.
		return nil
	case wire.CopyInResponse, wire.CopyBothResponse:
		return errCopyIn
	case wire.ErrorResponse:
		x.takeError(frame)
	case wire.CommandComplete:
		x.takeCompletion(frame)
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

func (x *exchange) takeError(frame wire.Frame) {
	x.plan.SkipReplies()
	code := backend.ErrorCode(frame)
	if x.preamble && !x.inTx {
		x.refusal = refusalOf(sqlstate.Code(code))
	}
	stale := code == string(sqlstate.NotSupported) || code == string(sqlstate.UnknownStatement)
	if stale && x.plan.ReusedStatements() {
		// A plan that no longer fits its table would fail for every later caller.
		x.conn.Discard("prepared statement out of date")
	}
	x.preamble = false
}

// refusalOf returns the refusal that an upstream's error stands for, or nil if
// the error is the caller's answer.
func refusalOf(code sqlstate.Code) *sqlstate.Error {
	switch code {
	case sqlstate.ReadOnly:
		return sqlstate.Refuse(sqlstate.ReadOnly, "the statement needs the primary")
	case sqlstate.CannotConnectNow:
		return sqlstate.Refuse(sqlstate.UpstreamUnavail, "the upstream does not serve statements now")
	}
	return nil
}

// takeCompletion holds back everything from the first CommandComplete of a
// write on, since it tells success.
func (x *exchange) takeCompletion(frame wire.Frame) {
	x.preamble = false
	x.completions++
	tag, _, _ := wire.CString(frame.Body())
	x.rollback = string(tag) == "ROLLBACK"
	if x.write {
		x.holding = true
	}
}

// emit adds a message to the answer.
func (x *exchange) emit(frame []byte) error {
	if x.refusal != nil {
		return nil
	}
	if !x.holding {
		x.out = append(x.out, frame...)
		return nil
	}
	if len(x.held)+len(frame) > maxHeld {
		return errHeld
	}
	x.held = append(x.held, frame...)
	return nil
}

// flush passes the collected messages to the sink.
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
