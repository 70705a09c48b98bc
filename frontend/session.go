package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

const (
	// writeTimeout bounds a write to a caller that does not read. Method write
	// renews the deadline when less than half of it is left, so a write has at
	// least half of this time.
	writeTimeout = 10 * time.Second
	// interruptWriteTimeout bounds the writes of an interrupted session, its
	// final error included.
	interruptWriteTimeout = time.Second
	// drainReadTimeout is how long an idle session that drains waits for a
	// request that the caller has already sent.
	drainReadTimeout = 20 * time.Millisecond
	// maxRetainedBuffer is the largest message buffer, in bytes, that a session
	// keeps for its next batch.
	maxRetainedBuffer = 1024
	// maxRetainedPrepared is the largest capacity of a list of prepared
	// statements that a session keeps for its next batch.
	maxRetainedPrepared = 4
)

// session is the session of one authenticated caller.
type session struct {
	server *Server
	conn   net.Conn
	reader *wire.Reader
	out    []byte

	workspace   model.Workspace
	job         model.Job
	keyID       model.KeyID
	access      Access
	processID   uint32
	cancelKey   []byte
	settings    settings
	traceParent string

	position   model.SessionPosition
	statements preparedSet
	batch      batch
	// ignoreTillSync is true after an error in the extended protocol: messages
	// up to the next Sync are discarded.
	ignoreTillSync bool
	// txStatus is the transaction status last reported in ReadyForQuery, or to
	// be reported in the next one.
	txStatus byte
	// txClass is the class of the open transaction. All of its batches have it.
	txClass model.Class
	// txAborted is true when the open transaction failed in the proxy, which
	// has closed the stream. Batches are refused until the caller ends the
	// transaction.
	txAborted bool
	// finalBatchTaken is true once the session has waited for a final batch
	// after a drain began.
	finalBatchTaken bool
	batchID         uint64
	request         executor.Batch
	// sink is the method value writeResponse, stored once so that a batch does
	// not allocate it.
	sink            executor.Sink
	response        response
	disconnectWatch disconnectWatch
	// writeDeadline is the write deadline that is set on conn.
	writeDeadline time.Time

	ctx       context.Context
	cancelCtx context.CancelCauseFunc
	// batchTimer ends the running batch at its deadline.
	batchTimer *time.Timer

	mu     sync.Mutex
	stream executor.Stream
	// batchCtx is the context of the running batch, nil if none runs.
	batchCtx *batchContext
	// running is true while stream runs a batch.
	running bool
	// idle is true while the session waits for a new batch outside a
	// transaction.
	idle bool
	// closeReason is the error with which the session has to end, nil while it
	// may go on.
	closeReason *sqlstate.Error
	// draining is true when the session has to end the next time it is idle.
	draining bool
}

func newSession(s *Server, conn net.Conn, reader *wire.Reader) *session {
	session := &session{server: s, conn: conn, reader: reader, txStatus: wire.Idle, batch: newBatch()}
	session.sink = session.writeResponse
	session.ctx, session.cancelCtx = context.WithCancelCause(s.ctx)
	context.AfterFunc(session.ctx, session.onContextDone)
	reader.SetMax(s.options.Limits.MessageSize)
	reader.SetReserve(s.memory.reserve)
	return session
}

// serve runs the session until the caller disconnects or the session has to
// end.
func (s *session) serve() {
	defer s.reader.Reset()
	defer s.releaseMemory()
	defer s.cancelCtx(nil)
	if err := s.completeStartup(); err != nil {
		s.closeWith(nil)
		return
	}
	for {
		frame, err := s.next()
		if err == nil {
			err = s.handle(frame)
		}
		if err == nil {
			continue
		}
		if !s.skipOversized(err) {
			s.closeWith(s.finalError(err))
			return
		}
	}
}

// skipOversized refuses a message for which err reports that it is too long or
// that no memory is left, and discards it. It reports whether the session can
// go on, which is false for all other errors.
func (s *session) skipOversized(err error) bool {
	var tooLong *wire.SizeError
	refusal := outOfMemory()
	switch {
	case errors.As(err, &tooLong):
		refusal = sqlstate.Refuse(sqlstate.TooLarge, tooLong.Error())
	case !errors.Is(err, wire.ErrNoMemory):
		return false
	}
	kind, err := s.reader.Skip()
	if err != nil {
		return false
	}
	s.refuseBatch(refusal)
	if kind == wire.Query {
		return s.sendReady() == nil
	}
	s.ignoreTillSync = true
	return s.flush() == nil
}

// finalError returns the error to send before the connection is closed, nil for
// none.
func (s *session) finalError(err error) *sqlstate.Error {
	var sqlErr *sqlstate.Error
	s.mu.Lock()
	closeReason := s.closeReason
	s.mu.Unlock()
	switch {
	case errors.As(err, &sqlErr) && sqlErr.Fatal:
		return sqlErr
	case closeReason != nil:
		return closeReason
	case errors.Is(err, wire.ErrMalformed):
		return protocolError("malformed message")
	case isTimeout(err) && s.txStatus != wire.Idle:
		return fatalError(sqlstate.IdleInTransaction, "the caller was silent for too long inside a transaction")
	case isTimeout(err):
		return protocolError("the batch was incomplete for too long")
	}
	return nil
}

// closeWith sends a final error, if there is one, and closes the connection.
func (s *session) closeWith(finalErr *sqlstate.Error) {
	if finalErr != nil && s.flush() == nil {
		sendFatal(s.conn, finalErr)
	}
	_ = s.conn.Close()
}

// next reads one message. Between batches it waits for the first bytes with
// waitBatch.
func (s *session) next() (wire.Frame, error) {
	if s.betweenBatches() {
		if err := s.waitBatch(); err != nil {
			return nil, err
		}
	}
	return s.reader.Next()
}

// waitBatch waits for the first bytes of a batch and then sets the deadline
// until which the batch must be complete.
func (s *session) waitBatch() error {
	if s.reader.Buffered() == 0 {
		if err := s.waitIdle(); err != nil {
			return err
		}
	}
	return s.setBatchDeadline()
}

// setBatchDeadline sets the read deadline for the rest of a batch, or for the
// next message inside a transaction.
func (s *session) setBatchDeadline() error {
	return s.setIdle(false, time.Now().Add(s.server.options.Limits.BatchTimeout))
}

// betweenBatches reports whether the session is between two batches and outside
// a transaction.
func (s *session) betweenBatches() bool {
	return s.txStatus == wire.Idle && s.batch.empty() && !s.ignoreTillSync
}

// waitIdle waits for the first bytes of the next batch. After IdleReleaseDelay
// it releases the session's memory and goes on waiting.
func (s *session) waitIdle() error {
	if s.isDraining() {
		return s.waitFinalBatch()
	}
	release := s.server.options.Limits.IdleReleaseDelay
	if err := s.setIdle(true, time.Now().Add(release)); err != nil {
		return err
	}
	err := s.reader.Wait()
	if !isTimeout(err) {
		return err
	}
	s.releaseMemory()
	if err := s.setIdle(true, time.Time{}); err != nil {
		return err
	}
	err = s.reader.Wait()
	if isTimeout(err) {
		return s.waitFinalBatch()
	}
	return err
}

func (s *session) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// waitFinalBatch accepts a request that was under way when the drain began. It
// does so only once, since a caller that sends without pauses would otherwise
// delay the shutdown forever.
func (s *session) waitFinalBatch() error {
	if s.finalBatchTaken {
		return shutdownError()
	}
	s.finalBatchTaken = true
	s.mu.Lock()
	closeReason := s.closeReason
	_ = s.conn.SetReadDeadline(time.Now().Add(drainReadTimeout))
	s.mu.Unlock()
	if closeReason != nil {
		return closeReason
	}
	err := s.reader.Wait()
	if isTimeout(err) {
		return shutdownError()
	}
	return err
}

func isTimeout(err error) bool {
	if err == nil {
		// errors.As would allocate in this, the most frequent case.
		return false
	}
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// releaseMemory closes the stream and frees the buffers, which an idle session
// does not need.
func (s *session) releaseMemory() {
	s.closeStream()
	s.reader.Release()
	s.out = nil
	s.disconnectWatch = disconnectWatch{}
	s.batchTimer = nil
	s.request = executor.Batch{}
	s.discardBatch()
}

// setIdle records whether the session waits for a new batch and sets the read
// deadline. It returns the close reason, and sets nothing, if the session has
// to end.
func (s *session) setIdle(idle bool, deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeReason != nil {
		return s.closeReason
	}
	if idle && s.draining {
		deadline = time.Now().Add(drainReadTimeout)
	}
	s.idle = idle
	return s.conn.SetReadDeadline(deadline)
}

// drain makes the session end the next time it is idle.
func (s *session) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.idle {
		_ = s.conn.SetReadDeadline(time.Now())
	}
}

// interrupt ends the session immediately and cancels its running batch.
func (s *session) interrupt(reason *sqlstate.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeReason != nil {
		return
	}
	s.closeReason = reason
	s.cancelCtx(reason)
	_ = s.conn.SetReadDeadline(time.Now())
	_ = s.conn.SetWriteDeadline(time.Now().Add(interruptWriteTimeout))
}

// cancelBatch forwards a cancel request to the stream if a batch is running.
func (s *session) cancelBatch() {
	s.mu.Lock()
	stream := s.stream
	running := s.running
	s.mu.Unlock()
	if running {
		stream.Cancel()
	}
}

func (s *session) closeStream() {
	s.mu.Lock()
	stream := s.stream
	s.stream = nil
	s.mu.Unlock()
	if stream != nil {
		// An error changes nothing: the stream cannot be used any more, and an
		// open transaction is rolled back.
		_ = stream.Close()
	}
}

// handle processes one message. An error ends the session.
func (s *session) handle(frame wire.Frame) error {
	switch frame.Type() {
	case wire.Query:
		return s.simpleQuery(frame)
	case wire.Parse, wire.Bind, wire.Describe, wire.Execute, wire.Close:
		return s.extendedMessage(frame)
	case wire.Sync:
		return s.syncMessage(frame)
	case wire.Flush:
		return s.flushMessage()
	case wire.FunctionCall:
		s.refuseBatch(sqlstate.Refuse(sqlstate.NotSupported, "function-call messages are not supported"))
		return s.sendReady()
	case wire.CopyData, wire.CopyDone, wire.CopyFail:
		// As PostgreSQL does outside COPY, ignore them.
		return nil
	case wire.Terminate:
		return io.EOF
	}
	return protocolError("unknown message type")
}
