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

// positionQuery returns one row of two text columns: term and log position.
const positionQuery = "SELECT chervilhatch_position()"

// likelyCommits tells whether the position query can be sent right behind the
// batch. It only saves a round trip: if the guess is wrong, the query is sent
// later or its answer is ignored.
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

// firstWord returns the first word of a Query or Parse, nil for other messages.
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

// readPosition reads the position after the commit, if the batch needs it.
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
		// The upstream may have been fenced and rewound since the commit; the
		// position would then not cover the write.
		return fmt.Errorf("%w: its term changed", errPosition)
	}
	return err
}

// ignorePosition ends a position query that turned out not to be needed. The
// caller has the whole answer of its batch already, ReadyForQuery included, so
// a failure only costs the connection: a second answer would be taken for that
// of the caller's next batch.
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

// acknowledge waits for the majority of a write and passes on the rest of the
// answer. The connection and the slot were already given back.
func (x *exchange) acknowledge(ctx context.Context, status byte) (executor.Result, error) {
	result := executor.Result{TxStatus: status, Replica: !x.checkout.assignment.Primary}
	if !x.write {
		// The floor covers what the session has written and asked to see. The
		// replica may have applied more; a later read of another replica may
		// see less than this one, but never less than the floor.
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

// unknownOutcome returns the error of a write that no majority confirmed.
func unknownOutcome(err error) *sqlstate.Error {
	var sqlErr *sqlstate.Error
	if errors.As(err, &sqlErr) && sqlErr.Code == sqlstate.OutcomeUnknown {
		return sqlErr
	}
	return sqlstate.Unknown("no majority of the database's upstreams confirmed the write")
}

// rejectMalformed refuses a batch that cannot be sent.
func (x *exchange) rejectMalformed(err error) *sqlstate.Error {
	x.broken = true
	x.outcome = Completed
	return sqlstate.Refuse(sqlstate.ProtocolViolation, err.Error())
}

// connectionFailed closes the connection after a failure in the middle of an exchange and
// returns what is known of the batch.
func (x *exchange) connectionFailed(ctx context.Context, err error) *sqlstate.Error {
	x.broken = true
	x.conn.Close()
	x.joinWriter()
	x.outcome = outcomeOfFailure(ctx, err)
	switch {
	case x.sent == 0:
		return sqlstate.Refuse(sqlstate.UpstreamUnavail, "the connection to the upstream failed before the statement was sent")
	case errors.Is(err, errCopyIn):
		return &sqlstate.Error{Code: sqlstate.NotSupported, Message: err.Error()}
	case x.write || x.batch.Class == model.Write:
		return sqlstate.Unknown("the write was interrupted: " + failureReason(ctx, err))
	case ctx.Err() != nil:
		return &sqlstate.Error{Code: sqlstate.QueryCanceled, Message: "the statement was interrupted: " + failureReason(ctx, err)}
	}
	return &sqlstate.Error{Code: sqlstate.ConnectionFailure, Message: "the read was interrupted: " + failureReason(ctx, err)}
}

// outcomeOfFailure tells whose fault a failed exchange is.
func outcomeOfFailure(ctx context.Context, err error) Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return TimedOut
	case ctx.Err() != nil, errors.Is(err, errSink), errors.Is(err, errHeldTooLarge), errors.Is(err, errCopyIn):
		return Completed
	}
	return Unreachable
}

// failureReason describes a failure without addresses of the upstream.
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
