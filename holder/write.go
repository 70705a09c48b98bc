package holder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/chervilhatch/chervilhatch/backend"
	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// positionQuery returns one row of two text columns: the term and the log
// position.
const positionQuery = "SELECT chervilhatch_position()"

// likelyCommits guesses whether the batch commits, in which case the position
// query is pipelined with it to save a round trip. If the guess is wrong, the
// query is sent later or its answer is ignored.
func likelyCommits(messages []byte, inTx bool) bool {
	for len(messages) > 0 {
		frame, rest, err := wire.Split(messages)
		if err != nil {
			return false
		}
		messages = rest
		word := firstWord(frame)
		if inTx && (bytes.EqualFold(word, []byte("COMMIT")) || bytes.EqualFold(word, []byte("END"))) {
			return true
		}
		if !inTx && (bytes.EqualFold(word, []byte("BEGIN")) || bytes.EqualFold(word, []byte("START"))) {
			return false
		}
	}
	return !inTx
}

// firstWord returns the first word of the SQL text of a Query or Parse message,
// or nil for other messages.
func firstWord(frame wire.Frame) []byte {
	text := frame.Body()
	switch frame.Type() {
	case wire.Query:
	case wire.Parse:
		_, rest, err := wire.CString(text)
		if err != nil {
			return nil
		}
		text = rest
	default:
		return nil
	}
	text = bytes.TrimLeft(text, " \t\r\n")
	end := bytes.IndexFunc(text, func(r rune) bool { return (r|0x20) < 'a' || (r|0x20) > 'z' })
	if end < 0 {
		return text
	}
	return text[:end]
}

// readPosition reads the answer to the position query, which is sent first if
// the batch needs the position and the query was not pipelined.
func (x *exchange) readPosition() error {
	needed := x.needsMajority()
	if !needed && !x.positionQueried {
		return nil
	}
	if !x.positionQueried {
		if _, err := x.conn.Write(backend.AppendQuery(nil, positionQuery)); err != nil {
			return err
		}
	}
	row, err := x.conn.ReadRow()
	if err == nil && x.conn.Status() != x.status {
		err = fmt.Errorf("%w: transaction status changed", backend.ErrUnexpected)
	}
	if !needed {
		x.ignorePosition(err)
		return nil
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errPosition, err)
	}
	x.position, err = parsePosition(row)
	if err == nil && x.position.Term != x.checkout.assignment.Term {
		// The upstream may have been fenced and its log rewound since the commit,
		// in which case the position does not cover the write.
		return fmt.Errorf("%w: its term changed", errPosition)
	}
	return err
}

// ignorePosition completes a position query whose answer is not needed. The
// caller already has the whole answer of its batch, ReadyForQuery included, so
// a failed query only discards the connection. A second answer would be taken
// for that of the caller's next batch.
func (x *exchange) ignorePosition(err error) {
	if err != nil && (!x.conn.Usable() || x.conn.Status() != x.status) {
		x.conn.Discard("position query failed")
	}
}

// needsMajority reports whether the batch may have committed a change.
func (x *exchange) needsMajority() bool {
	rolledBack := x.completions == 1 && x.rollback
	return x.write && x.status == txIdle && x.completions > 0 && !rolledBack
}

// parsePosition parses the row that positionQuery returns.
func parsePosition(row []string) (model.Position, error) {
	if len(row) != 2 {
		return model.Position{}, fmt.Errorf("%w: %d columns", errPosition, len(row))
	}
	term, err := model.ParseTerm(row[0])
	if err != nil {
		return model.Position{}, fmt.Errorf("%w: %w", errPosition, err)
	}
	pos, err := strconv.ParseUint(row[1], 10, 64)
	if err != nil {
		return model.Position{}, fmt.Errorf("%w: %w", errPosition, err)
	}
	return model.Position{Term: term, Pos: model.LogPos(pos)}, nil
}

// acknowledge waits until a majority has the write and then passes the part of
// the answer that was held back to the sink. The checkout has already been
// released, unless a transaction is open.
func (x *exchange) acknowledge(ctx context.Context, status byte) (executor.Result, error) {
	result := executor.Result{TxStatus: status, Replica: !x.checkout.assignment.Primary}
	if !x.write {
		// The floor covers the session's own writes and the freshness bound that
		// it asked for. The replica may have applied more than the floor. A later
		// read on another replica may see less than this one, but never less than
		// the floor.
		result.Position = x.checkout.assignment.Floor
		return result, nil
	}
	if x.needsMajority() {
		if err := x.awaitMajority(ctx); err != nil {
			return result, unknownOutcome(err)
		}
		result.Position = x.position
	}
	if len(x.held) == 0 {
		return result, nil
	}
	if err := x.sink(x.held); err != nil {
		return result, &sqlstate.Error{Code: sqlstate.ConnectionFailure, Message: errSink.Error()}
	}
	return result, nil
}

func (x *exchange) awaitMajority(ctx context.Context) error {
	wait := x.stream.startHop(replicationSpan, x.batch.TraceParent)
	decider := x.stream.holder.options.Decider
	err := decider.AwaitMajority(ctx, x.stream.hello.Database, x.position)
	wait.End(err)
	return err
}

// unknownOutcome returns the error of a write that was not confirmed by a
// majority.
func unknownOutcome(err error) *sqlstate.Error {
	var sqlErr *sqlstate.Error
	if errors.As(err, &sqlErr) && sqlErr.Code == sqlstate.OutcomeUnknown {
		return sqlErr
	}
	return sqlstate.Unknown("no majority of the database's upstreams confirmed the write")
}

// rejectMalformed returns the error of a batch that could not be rewritten for
// the connection. Nothing was sent.
func (x *exchange) rejectMalformed(err error) *sqlstate.Error {
	x.broken = true
	x.outcome = Completed
	return sqlstate.Refuse(sqlstate.ProtocolViolation, err.Error())
}

// connectionFailed closes the connection after a failure during an exchange. The
// error that it returns tells the caller whether the batch may have run.
func (x *exchange) connectionFailed(ctx context.Context, err error) *sqlstate.Error {
	x.broken = true
	x.conn.Close()
	x.joinWriter()
	x.outcome = outcomeOfFailure(ctx, err)
	switch {
	case x.sent == 0:
		return sqlstate.Refuse(sqlstate.UpstreamUnavailable, "the connection to the upstream failed before the statement was sent")
	case errors.Is(err, errCopyIn):
		return &sqlstate.Error{Code: sqlstate.NotSupported, Message: err.Error()}
	case x.write || x.batch.Class == model.Write:
		return sqlstate.Unknown("the write was interrupted: " + failureReason(ctx, err))
	case ctx.Err() != nil:
		return &sqlstate.Error{Code: sqlstate.QueryCanceled, Message: "the statement was interrupted: " + failureReason(ctx, err)}
	}
	return &sqlstate.Error{Code: sqlstate.ConnectionFailure, Message: "the read was interrupted: " + failureReason(ctx, err)}
}

// outcomeOfFailure returns the outcome of a failed exchange. It is Completed if
// the failure is not the upstream's.
func outcomeOfFailure(ctx context.Context, err error) Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return TimedOut
	case ctx.Err() != nil, errors.Is(err, errSink), errors.Is(err, errHeldTooLarge), errors.Is(err, errCopyIn):
		return Completed
	}
	return Unreachable
}

// failureReason describes a failure to the caller without disclosing addresses
// of the upstream.
func failureReason(ctx context.Context, err error) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "the deadline passed"
	case ctx.Err() != nil:
		return "canceled"
	case errors.Is(err, errSink), errors.Is(err, errHeldTooLarge), errors.Is(err, errPosition):
		return err.Error()
	}
	return "the connection to the upstream failed"
}
