package frontend

import (
	"context"
	"errors"
	"time"

	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// simpleQuery runs a Query message as one batch.
func (s *session) simpleQuery(frame wire.Frame) error {
	if s.ignoreTillSync {
		return nil
	}
	if !s.batch.empty() {
		return protocolError("a simple query may not follow extended messages without Sync")
	}
	sql, _, err := wire.CString(frame.Body())
	if err != nil {
		return err
	}
	info := analyze(string(sql))
	s.statements.remove("")
	s.batch.addExecution(&info)
	if refusal := s.batch.checkSupported(&info); refusal != nil {
		s.refuseBatch(refusal)
		return s.sendReady()
	}
	if refusal := s.reserveBatchMemory(len(frame)); refusal != nil {
		s.refuseBatch(refusal)
		return s.sendReady()
	}
	s.batch.messages = append(s.batch.messages, frame...)
	if err := s.runBatch(); err != nil {
		return err
	}
	return s.sendReady()
}

// extendedMessage adds a message of the extended protocol to the batch.
func (s *session) extendedMessage(frame wire.Frame) error {
	if s.ignoreTillSync {
		return nil
	}
	refusal := s.addMessage(frame)
	if refusal == nil {
		return nil
	}
	if refusal.Fatal {
		return refusal
	}
	s.refuseBatch(refusal)
	s.ignoreTillSync = true
	return s.flush()
}

// syncMessage completes a batch of the extended protocol and runs it.
func (s *session) syncMessage(frame wire.Frame) error {
	if s.ignoreTillSync {
		s.ignoreTillSync = false
		return s.sendReady()
	}
	if s.batch.empty() {
		return s.sendReady()
	}
	s.batch.messages = append(s.batch.messages, frame...)
	if err := s.runBatch(); err != nil {
		return err
	}
	return s.sendReady()
}

// flushMessage runs the messages received so far. Outside a transaction it
// refuses a batch that uses a portal, because the Sync that stands in for the
// Flush would commit it early.
func (s *session) flushMessage() error {
	if s.ignoreTillSync || s.batch.empty() {
		return nil
	}
	if s.txStatus == wire.Idle && s.batch.usesPortal {
		s.refuseBatch(sqlstate.Refuse(sqlstate.NotSupported, "Flush after Bind or Execute is supported only inside a transaction"))
		s.ignoreTillSync = true
		return s.flush()
	}
	s.batch.messages = wire.AppendMessage(s.batch.messages, wire.Sync)
	s.response.detectErrors = true
	if err := s.runBatch(); err != nil {
		return err
	}
	s.ignoreTillSync = s.response.batchFailed
	return s.flush()
}

// refuseBatch answers with an error instead of running the batch. An open
// transaction is aborted, as after any error in PostgreSQL.
func (s *session) refuseBatch(refusal *sqlstate.Error) {
	s.discardBatch()
	s.appendError(refusal)
	if s.txStatus == wire.Idle {
		return
	}
	s.closeStream()
	s.txStatus = wire.FailedTransaction
	s.txAborted = true
}

// runBatch runs the collected batch and leaves the end of the response, without
// its ReadyForQuery, in the output buffer. An error ends the session.
func (s *session) runBatch() error {
	b := s.batch
	s.batch = newBatch()
	defer s.server.memory.reserve(-b.reservedBytes)
	if cap(b.messages) <= maxRetainedBuffer {
		s.batch.messages = b.messages[:0]
	}
	if cap(b.prepared) <= maxRetainedPrepared {
		s.batch.prepared = b.prepared[:0]
	}
	s.response.changes = b.changes
	s.response.batchFailed = false
	switch {
	case s.txAborted:
		s.runAborted(&b)
		return nil
	case len(b.localActions) > 0 && b.needsUpstream:
		s.refuseBatch(sqlstate.Refuse(sqlstate.NotSupported, "session state cannot be changed together with other statements"))
		return nil
	case !b.needsUpstream && b.isLocal():
		s.runLocal(&b)
		return nil
	}
	return s.runRemote(&b)
}

// runRemote sends the batch to the executor. One context, with one timer,
// bounds the whole batch, including the wait for rate tokens.
func (s *session) runRemote(b *batch) error {
	if refusal := s.refreshIdleAccess(); refusal != nil {
		s.refuseBatch(refusal)
		return s.sessionError(refusal)
	}
	deadline := time.Now().Add(s.timeout())
	batchCtx := s.startBatch(deadline)
	defer s.endBatch(batchCtx)
	if err := s.server.options.Admitter.Admit(batchCtx, s.workspace, max(b.cost, 1)); err != nil {
		refusal := callerError(err)
		s.refuseBatch(refusal)
		return s.sessionError(refusal)
	}
	class := s.classOf(b)
	request := s.newExecutorBatch(b, class, deadline)
	ctx, span := s.startSpan(batchCtx, request)
	result, err := s.runOnStream(ctx, batchCtx, request)
	span.end(err)
	if err != nil {
		s.advancePosition(result.Position)
		return s.batchFailed(result, err)
	}
	s.dropReady()
	s.advancePosition(result.Position)
	s.setTxStatus(result.TxStatus, class)
	return nil
}

// newExecutorBatch returns the batch in the executor's form. It reuses
// s.request, since a session runs one batch at a time.
func (s *session) newExecutorBatch(b *batch, class model.Class, deadline time.Time) *executor.Batch {
	s.batchID++
	s.request = executor.Batch{
		ID:         s.batchID,
		Messages:   b.messages,
		Class:      class,
		Idempotent: s.access.Idempotent,
		MaxAge:     s.access.MaxAge,
		Deadline:   deadline,
		Prepared:   b.prepared,
	}
	if s.position.Database == s.access.Database && !s.position.IsZero() {
		s.request.Floor, s.request.HasFloor = s.position.Position, true
	}
	return &s.request
}

// runOnStream opens the stream if needed and runs the batch on it. ctx is
// batchCtx with the batch's span.
func (s *session) runOnStream(ctx context.Context, batchCtx *batchContext, request *executor.Batch) (executor.Result, error) {
	stream, err := s.openStream(ctx)
	if err != nil {
		return executor.Result{}, err
	}
	s.setRunning(true)
	defer s.setRunning(false)
	if request.Class == model.Read {
		s.startDisconnectWatch(batchCtx)
		defer s.stopDisconnectWatch()
	}
	return stream.Run(ctx, request, s.sink)
}

func (s *session) openStream(ctx context.Context) (executor.Stream, error) {
	if s.stream != nil {
		return s.stream, nil
	}
	stream, err := s.server.options.Executor.Open(ctx, executor.Hello{
		Session:   uint64(s.processID),
		Workspace: s.workspace,
		Job:       s.job,
		Database:  s.access.Database,
		KeyID:     s.keyID,
	})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.stream = stream
	s.mu.Unlock()
	return stream, nil
}

func (s *session) setRunning(running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = running
}

// refreshIdleAccess calls refreshAccess outside a transaction. A transaction
// keeps the access that it began with.
func (s *session) refreshIdleAccess() *sqlstate.Error {
	if s.txStatus != wire.Idle {
		return nil
	}
	return s.refreshAccess()
}

// refreshAccess looks up the job again, because the configuration may have
// changed, and checks that the session's key is still valid.
func (s *session) refreshAccess() *sqlstate.Error {
	access, err := s.server.options.Directory.Lookup(s.workspace, s.job)
	if err != nil {
		return callerError(err)
	}
	if !access.Open && s.keyID == "" {
		return fatalError(sqlstate.WorkspaceForbidden, "the job is no longer open; connect again with a key")
	}
	if !access.Open && !hasKey(access.Keys, s.keyID) {
		return keyWithdrawn(s.keyID)
	}
	if access.Database != s.access.Database {
		s.closeStream()
	}
	s.access = access
	return nil
}

func hasKey(keys []Key, id model.KeyID) bool {
	for i := range keys {
		if keys[i].ID == id {
			return true
		}
	}
	return false
}

// timeout returns the shorter of the job's statement timeout and the one that
// the caller has set.
func (s *session) timeout() time.Duration {
	timeout := s.access.StatementTimeout
	if timeout <= 0 {
		timeout = defaultStatementTimeout
	}
	if own := s.settings.statementTimeout; own > 0 && own < timeout {
		return own
	}
	return timeout
}

// classOf returns the class of a batch: that of the open transaction, else the
// one that the job's class policy or BEGIN READ WRITE prescribes, else that of
// the statements.
func (s *session) classOf(b *batch) model.Class {
	switch {
	case s.txStatus != wire.Idle:
		return s.txClass
	case s.access.Class == AlwaysWrite || b.beginsReadWrite:
		return model.Write
	case s.access.Class == AlwaysRead:
		return model.Read
	}
	return b.class
}

// setTxStatus records the transaction status after a batch and, if a
// transaction was opened, its class.
func (s *session) setTxStatus(status byte, class model.Class) {
	if s.txStatus == wire.Idle && status != wire.Idle {
		s.txClass = class
	}
	s.txStatus = status
}

// batchFailed answers with the error of a batch. If a transaction was open and
// has not ended, it is aborted.
func (s *session) batchFailed(result executor.Result, err error) error {
	sqlErr := callerError(err)
	inTx := s.txStatus != wire.Idle && result.TxStatus != wire.Idle
	s.appendError(sqlErr)
	s.txStatus = wire.Idle
	if result.TxStatus != wire.Idle {
		s.closeStream()
	}
	if inTx {
		s.txStatus = wire.FailedTransaction
		s.txAborted = true
	}
	s.response.batchFailed = true
	return s.sessionError(sqlErr)
}

// sessionError returns the error that ends the session after a refused or
// failed batch, nil if the session goes on. The error of the batch is then
// removed from the output buffer, since only the returned one is sent.
func (s *session) sessionError(sqlErr *sqlstate.Error) error {
	s.mu.Lock()
	closeReason := s.closeReason
	s.mu.Unlock()
	if closeReason == nil && !sqlErr.Fatal {
		return nil
	}
	s.dropLastError()
	if sqlErr.Code == sqlstate.OutcomeUnknown {
		// The write may have been committed, so the final error must not say
		// that it was not run.
		unknown := *sqlErr
		unknown.Fatal = true
		return &unknown
	}
	if closeReason != nil {
		return closeReason
	}
	return sqlErr
}

// callerError returns err as an error to send to the caller. Details of
// internal errors are withheld.
func callerError(err error) *sqlstate.Error {
	var sqlErr *sqlstate.Error
	if errors.As(err, &sqlErr) {
		return sqlErr
	}
	return &sqlstate.Error{Code: sqlstate.ConnectionFailure, Message: "internal failure"}
}
