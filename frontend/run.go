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

// query runs a simple query.
func (s *session) query(frame wire.Frame) error {
	if s.skip {
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
	s.batch.runStatement(&info)
	if refusal := s.batch.include(&info); refusal != nil {
		s.refuseBatch(refusal)
		return s.ready()
	}
	if refusal := s.growBatch(len(frame)); refusal != nil {
		s.refuseBatch(refusal)
		return s.ready()
	}
	s.batch.messages = append(s.batch.messages, frame...)
	if err := s.runBatch(); err != nil {
		return err
	}
	return s.ready()
}

// extended adds a message of the extended protocol to the batch.
func (s *session) extended(frame wire.Frame) error {
	if s.skip {
		return nil
	}
	refusal := s.add(frame)
	if refusal == nil {
		return nil
	}
	if refusal.Fatal {
		return refusal
	}
	s.refuseBatch(refusal)
	s.skip = true
	return s.flush()
}

// sync completes a batch of the extended protocol.
func (s *session) sync(frame wire.Frame) error {
	if s.skip {
		s.skip = false
		return s.ready()
	}
	if s.batch.empty() {
		return s.ready()
	}
	s.batch.messages = append(s.batch.messages, frame...)
	if err := s.runBatch(); err != nil {
		return err
	}
	return s.ready()
}

// flushRequest answers the messages so far, if that does not commit them early.
func (s *session) flushRequest() error {
	if s.skip || s.batch.empty() {
		return nil
	}
	if s.tx == wire.Idle && s.batch.runs {
		s.refuseBatch(sqlstate.Refuse(sqlstate.NotSupported, "Flush after Bind or Execute is supported only inside a transaction"))
		s.skip = true
		return s.flush()
	}
	s.batch.messages = wire.AppendMessage(s.batch.messages, wire.Sync)
	s.answer.watchErrors = true
	if err := s.runBatch(); err != nil {
		return err
	}
	s.skip = s.answer.failed
	return s.flush()
}

// refuseBatch answers with an error instead of running the batch. An open
// transaction fails, as it does after any error in PostgreSQL.
func (s *session) refuseBatch(refusal *sqlstate.Error) {
	s.dropBatch()
	s.appendError(refusal)
	if s.tx == wire.Idle {
		return
	}
	s.closeStream()
	s.tx = wire.FailedTransaction
	s.lost = true
}

// runBatch runs the collected batch and leaves the answer without its
// ReadyForQuery in the output buffer. An error ends the session.
func (s *session) runBatch() error {
	b := s.batch
	s.batch = newBatch()
	defer s.server.memory.reserve(-b.reserved)
	if cap(b.messages) <= keptBuffer {
		s.batch.messages = b.messages[:0]
	}
	if cap(b.prepared) <= keptPrepared {
		s.batch.prepared = b.prepared[:0]
	}
	s.answer.changes = b.changes
	s.answer.failed = false
	switch {
	case s.lost:
		s.runLost(&b)
		return nil
	case len(b.locals) > 0 && b.remote:
		s.refuseBatch(sqlstate.Refuse(sqlstate.NotSupported, "session state cannot be changed together with other statements"))
		return nil
	case !b.remote && b.isLocal():
		s.runLocal(&b)
		return nil
	}
	return s.runRemote(&b)
}

// runRemote sends the batch to the executor. One context and its timer bound
// the whole batch, the wait for tokens included.
func (s *session) runRemote(b *batch) error {
	if refusal := s.confirmAccess(); refusal != nil {
		s.refuseBatch(refusal)
		return s.fatalOf(refusal)
	}
	deadline := time.Now().Add(s.timeout())
	current := s.startBatch(deadline)
	defer s.endBatch(current)
	if err := s.server.options.Admitter.Admit(current, s.workspace, max(b.cost, 1)); err != nil {
		refusal := asError(err)
		s.refuseBatch(refusal)
		return s.fatalOf(refusal)
	}
	class := s.classOf(b)
	request := s.executorBatch(b, class, deadline)
	ctx, span := s.startSpan(current, request)
	result, err := s.run(ctx, current, request)
	span.end(err)
	if err != nil {
		s.moved(result.Position)
		return s.failed(result, err)
	}
	s.dropReady()
	s.moved(result.Position)
	s.enter(result.TxStatus, class)
	return nil
}

// executorBatch returns the batch in the executor's form. The session runs one
// batch at a time, so that it reuses the memory.
func (s *session) executorBatch(b *batch, class model.Class, deadline time.Time) *executor.Batch {
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

// run opens the stream if needed and runs the batch on it. current is the
// context of the batch, and ctx has its span.
func (s *session) run(ctx context.Context, current *batchContext, request *executor.Batch) (executor.Result, error) {
	stream, err := s.openStream(ctx)
	if err != nil {
		return executor.Result{}, err
	}
	s.setRunning(true)
	defer s.setRunning(false)
	if request.Class == model.Read {
		s.watchCaller(current)
		defer s.endWatch()
	}
	return stream.Run(ctx, request, s.sinkFunc)
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

// confirmAccess looks up the job again outside a transaction, because the
// configuration may have changed.
func (s *session) confirmAccess() *sqlstate.Error {
	if s.tx != wire.Idle {
		return nil
	}
	return s.refreshAccess()
}

// refreshAccess takes over the configuration in force and checks that the key
// is still valid.
func (s *session) refreshAccess() *sqlstate.Error {
	access, err := s.server.options.Directory.Lookup(s.workspace, s.job)
	if err != nil {
		return asError(err)
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

// timeout returns the shorter of the job's and the caller's own timeout.
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

// classOf returns the class of a batch: that of the open transaction, that of
// the job's declaration, or that of the statements.
func (s *session) classOf(b *batch) model.Class {
	switch {
	case s.tx != wire.Idle:
		return s.txClass
	case s.access.Class == AlwaysWrite || b.beginWrite:
		return model.Write
	case s.access.Class == AlwaysRead:
		return model.Read
	}
	return b.class
}

// enter records the transaction status after a batch.
func (s *session) enter(status byte, class model.Class) {
	if s.tx == wire.Idle && status != wire.Idle {
		s.txClass = class
	}
	s.tx = status
}

// failed answers with the error of a batch. A transaction that was open and
// did not end is lost.
func (s *session) failed(result executor.Result, err error) error {
	own := asError(err)
	inTx := s.tx != wire.Idle && result.TxStatus != wire.Idle
	s.appendError(own)
	s.tx = wire.Idle
	if result.TxStatus != wire.Idle {
		s.closeStream()
	}
	if inTx {
		s.tx = wire.FailedTransaction
		s.lost = true
	}
	s.answer.failed = true
	return s.fatalOf(own)
}

// fatalOf returns the error that ends the session after a refused or failed
// batch, nil if the session goes on.
func (s *session) fatalOf(own *sqlstate.Error) error {
	s.mu.Lock()
	closing := s.closing
	s.mu.Unlock()
	if closing == nil && !own.Fatal {
		return nil
	}
	s.dropLastError()
	if own.Code == sqlstate.OutcomeUnknown {
		// The last message must not tell that the write did not run.
		unknown := *own
		unknown.Fatal = true
		return &unknown
	}
	if closing != nil {
		return closing
	}
	return own
}

// asError returns err as an error for the caller.
func asError(err error) *sqlstate.Error {
	var own *sqlstate.Error
	if errors.As(err, &own) {
		return own
	}
	return &sqlstate.Error{Code: sqlstate.ConnectionFailure, Message: "internal failure"}
}
