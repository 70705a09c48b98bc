package lineproxy

import (
	"errors"
	"maps"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
)

const (
	// startupTimeout bounds the time until a caller has sent its startup.
	startupTimeout = 3 * time.Second
	// catalogWait is how long a startup waits for the first configuration;
	// callers give up after 2 s.
	catalogWait = 1500 * time.Millisecond
	// writeTimeout ends a caller that does not read its answers.
	writeTimeout = 5 * time.Second
	// maxSessionValues and maxSessionStatements bound the memory of a session.
	maxSessionValues     = 256
	maxSessionStatements = 1024
	// keepAliveIdle and keepAliveInterval find callers whose VM is gone.
	keepAliveIdle     = 15 * time.Second
	keepAliveInterval = 5 * time.Second
)

// preparedStatement is a statement that a caller has prepared under a name.
type preparedStatement struct {
	write bool
	shape string
}

// session is the connection of one caller.
type session struct {
	server *Server
	id     uint64
	conn   net.Conn
	reader *lineproto.Reader
	out    []byte

	database string
	key      catalog.Digest

	values   map[string]string
	prepared map[string]preparedStatement
	// position is the furthest commit of this session on service.
	position model.Position
	service  catalog.Service
	tx       *transaction

	// refused is true when the last answer was that a request has not run.
	refused bool
	// busy is true while a request is being answered.
	busy atomic.Bool
}

// reply is the answer to one request of a caller.
type reply struct {
	rows      []string
	signature string
	code      lineproto.Code
	text      string
	position  model.Position
}

func done() reply { return reply{signature: lineproto.OwnID} }

func failure(code lineproto.Code, text string) reply { return reply{code: code, text: text} }

// serve runs the session until its end.
func (s *session) serve() {
	defer s.close()
	if !s.startup() {
		return
	}
	for {
		m, err := s.next()
		if err != nil {
			s.readFailed(err)
			return
		}
		if m.Word == lineproto.Terminate {
			return
		}
		s.busy.Store(true)
		ok := s.handle(m)
		s.busy.Store(false)
		if !ok || s.endsAfterAnswer() {
			return
		}
	}
}

// next waits for a message. An open transaction may rest for a limited time.
func (s *session) next() (lineproto.Message, error) {
	start := time.Now()
	for {
		limit, bounded := s.idleLimit()
		deadline := time.Time{}
		if bounded {
			deadline = start.Add(limit)
		}
		if err := s.conn.SetReadDeadline(deadline); err != nil {
			return lineproto.Message{}, err
		}
		if s.server.closing(s) {
			return lineproto.Message{}, errDrained
		}
		m, err := s.reader.Read()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return m, err
		}
		if bounded && time.Since(start) >= limit {
			s.expireTx()
		}
	}
}

// idleLimit returns how long the open transaction may rest; bounded is false
// when nothing limits the wait.
func (s *session) idleLimit() (limit time.Duration, bounded bool) {
	if s.tx == nil || s.tx.conn == nil || s.tx.idleLimit <= 0 {
		return 0, false
	}
	return s.tx.idleLimit, true
}

func (s *session) expireTx() {
	s.server.decisions.Info(s.tx.lastID, "transaction ended", func(e *Entry) {
		e.Str("cause", "idle limit").Dur("idle_limit", s.tx.idleLimit).Str("upstream", string(s.tx.upstream))
	})
	s.server.count("tx.expired")
	s.tx.discard()
	s.tx.failed = true
}

func (s *session) readFailed(err error) {
	if errors.Is(err, lineproto.ErrTooLong) {
		s.refuse(lineproto.TooLarge, "a message may have 1 MiB")
		return
	}
	if errors.Is(err, lineproto.ErrSyntax) {
		s.refuse(lineproto.Malformed, "the line is not a message")
	}
}

// refuse sends an error outside of an answer; the connection then ends.
func (s *session) refuse(code lineproto.Code, text string) {
	s.server.count("refused." + string(code))
	s.out = lineproto.Append(s.out[:0], lineproto.Error, string(code), text)
	s.flush()
}

func (s *session) close() {
	if s.tx != nil {
		s.tx.rollback()
	}
	// The caller may have gone; there is nobody to tell.
	_ = s.conn.Close()
}

// flush sends the collected messages and reports whether the caller is there.
func (s *session) flush() bool {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	_, err := s.conn.Write(s.out)
	return err == nil
}

// startup reads who connects and to what. It answers once a configuration is known.
func (s *session) startup() bool {
	if err := s.conn.SetReadDeadline(time.Now().Add(startupTimeout)); err != nil {
		return false
	}
	m, err := s.reader.Read()
	if err != nil {
		s.readFailed(err)
		return false
	}
	if m.Word != lineproto.Startup {
		s.refuse(lineproto.Malformed, "STARTUP expected")
		return false
	}
	database, key := lineproto.Cut(m.Rest)
	s.database, s.key = database, catalog.DigestOf(key)
	c := s.awaitCatalog()
	if c == nil {
		s.refuse(lineproto.Busy, "no configuration yet; retry after 1000 ms")
		return false
	}
	if _, _, refusal := s.authorize(c); refusal != nil {
		s.server.decisions.Info("", "session refused", func(e *Entry) {
			e.Str("code", string(refusal.code)).Str("database", s.database).Uint64("config_version", c.Version)
		})
		s.refuse(refusal.code, refusal.text)
		return false
	}
	s.out = lineproto.Append(s.out[:0], lineproto.Ready, string(lineproto.Idle), lineproto.OwnID)
	return s.flush()
}

func (s *session) awaitCatalog() *catalog.Snapshot {
	deadline := time.Now().Add(catalogWait)
	for {
		c := s.server.cluster.Catalog()
		if c != nil || time.Now().After(deadline) {
			return c
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// authorize returns the route and workspace of this session under a
// configuration; the workspace is empty on an anonymous route.
func (s *session) authorize(c *catalog.Snapshot) (*catalog.Route, model.Workspace, *reply) {
	route := c.Route(s.database)
	if route == nil {
		refusal := failure(lineproto.NoDatabase, "no route has this name")
		return nil, "", &refusal
	}
	if holder := c.Holder(s.key); holder != nil {
		return route, holder.Name, nil
	}
	if route.Anonymous {
		return route, "", nil
	}
	refusal := failure(lineproto.NoAuth, "the key is not known")
	return nil, "", &refusal
}

// handle answers one message; it returns false when the session ends.
func (s *session) handle(m lineproto.Message) bool {
	if m.Word != lineproto.Query {
		s.refuse(lineproto.Malformed, "QUERY expected")
		return false
	}
	id, text := lineproto.Cut(m.Rest)
	if !validID(id) || strings.ContainsAny(text, "\r\x00") {
		s.refuse(lineproto.Malformed, "the request has no usable id or text")
		return false
	}
	start := s.server.cluster.Now()
	r := s.run(id, text)
	s.refused = r.code == lineproto.Busy
	s.server.finished(s.server.cluster.Now().Sub(start), &r)
	return s.answer(&r)
}

// validID reports whether a caller may use an id: the proxy's own statements
// have one of their own.
func validID(id string) bool { return id != "" && id != lineproto.OwnID }

// answer sends a reply and the state of the session.
func (s *session) answer(r *reply) bool {
	s.out = s.out[:0]
	for _, row := range r.rows {
		s.out = lineproto.Append(s.out, lineproto.Row, row)
	}
	if r.code != "" {
		s.out = lineproto.Append(s.out, lineproto.Error, string(r.code), r.text)
	} else {
		s.out = lineproto.Append(s.out, lineproto.Complete, r.signature)
	}
	s.out = lineproto.Append(s.out, lineproto.Ready, string(s.state()), lineproto.FormatPosition(r.position))
	return s.flush()
}

func (s *session) state() lineproto.TxState {
	switch {
	case s.tx == nil:
		return lineproto.Idle
	case s.tx.failed:
		return lineproto.TxFailed
	}
	return lineproto.InTx
}

// run executes one request.
func (s *session) run(id, text string) reply {
	st := lineproto.ParseStatement(text)
	if s.tx != nil && s.tx.failed {
		return s.runFailed(st.Verb)
	}
	switch st.Verb {
	case lineproto.VerbSet, lineproto.VerbPrepare, lineproto.VerbDeallocate:
		return s.runLocal(&st)
	case lineproto.VerbUnknown:
		return s.malformed("not a statement")
	}
	p := s.resolve(id, text, &st)
	if st.Verb == lineproto.VerbExecute && p.shape == "" {
		return s.failTx(failure(lineproto.NoStatement, st.Name))
	}
	if s.tx != nil {
		return s.runInTx(&p)
	}
	return s.runOutsideTx(&p)
}

// statement is a statement that goes to an upstream.
type statement struct {
	id    string
	verb  lineproto.Verb
	write bool
	text  string
	// shape and arguments are those of an execution of a prepared statement.
	shape     string
	arguments string
}

func (s *session) resolve(id, text string, st *lineproto.Statement) statement {
	p := statement{id: id, verb: st.Verb, write: st.Verb == lineproto.VerbWrite, text: text}
	if st.Verb == lineproto.VerbExecute {
		prepared := s.prepared[st.Name]
		p.write, p.shape, p.arguments = prepared.write, prepared.shape, st.Value
	}
	return p
}

func (s *session) malformed(text string) reply { return s.failTx(failure(lineproto.Malformed, text)) }

// failTx ends an open transaction as failed and returns the reply.
func (s *session) failTx(r reply) reply {
	if s.tx != nil {
		s.tx.rollback()
		s.tx.failed = true
	}
	return r
}

// runFailed answers while the transaction has failed: only its end is accepted.
func (s *session) runFailed(v lineproto.Verb) reply {
	switch v {
	case lineproto.VerbRollback:
		s.tx = nil
		return done()
	case lineproto.VerbCommit:
		s.tx = nil
		return failure(lineproto.Aborted, "the transaction had failed and was rolled back")
	}
	return failure(lineproto.Malformed, "the transaction has failed; only COMMIT and ROLLBACK are accepted")
}

// runLocal answers statements that change only what the session holds.
func (s *session) runLocal(st *lineproto.Statement) reply {
	c := s.server.cluster.Catalog()
	if _, _, refusal := s.authorize(c); refusal != nil {
		return s.failTx(*refusal)
	}
	switch st.Verb {
	case lineproto.VerbSet:
		if _, found := s.values[st.Name]; !found && len(s.values) >= maxSessionValues {
			return s.malformed("too many session values")
		}
		// Statements that still run elsewhere use the old map.
		values := maps.Clone(s.values)
		values[st.Name] = st.Value
		s.values = values
	case lineproto.VerbPrepare:
		if len(s.prepared) >= maxSessionStatements {
			return s.malformed("too many prepared statements")
		}
		s.prepared[st.Name] = preparedStatement{write: st.Write, shape: st.Shape}
	default:
		if _, found := s.prepared[st.Name]; !found {
			return s.failTx(failure(lineproto.NoStatement, st.Name))
		}
		delete(s.prepared, st.Name)
	}
	return done()
}

// runOutsideTx starts an operation: a transaction or a single statement.
func (s *session) runOutsideTx(p *statement) reply {
	if p.verb == lineproto.VerbCommit || p.verb == lineproto.VerbRollback {
		return failure(lineproto.Malformed, "no transaction is open")
	}
	op, refusal := s.begin(p.id)
	if refusal != nil {
		return *refusal
	}
	if p.verb == lineproto.VerbBegin || p.verb == lineproto.VerbBeginRead {
		s.tx = &transaction{operation: op, readOnly: p.verb == lineproto.VerbBeginRead, lastID: p.id}
		return done()
	}
	if p.write {
		return op.write(p)
	}
	return op.read(p)
}

// begin authorizes and admits an operation.
func (s *session) begin(id string) (*operation, *reply) {
	c := s.server.cluster.Catalog()
	route, workspace, refusal := s.authorize(c)
	if refusal != nil {
		s.server.decisions.Info(id, "request refused", func(e *Entry) {
			e.Str("code", string(refusal.code)).Str("database", s.database).Uint64("config_version", c.Version)
		})
		return nil, refusal
	}
	verdict := s.server.cluster.Admit(workspace)
	if !verdict.Admitted {
		s.server.count("refused.rate")
		s.server.decisions.Info(id, "request refused", func(e *Entry) {
			e.Str("code", string(lineproto.Busy)).Str("cause", "rate").Str("workspace", string(workspace)).
				Float64("share", verdict.Share).Float64("tokens", verdict.Tokens).Float64("shared_tokens", verdict.Shared).Dur("retry_after", verdict.RetryAfter)
		})
		r := failure(lineproto.Busy, retryText("the workspace's rate is used up", verdict.RetryAfter))
		return nil, &r
	}
	if s.service != route.Service {
		s.service, s.position = route.Service, model.Position{}
	}
	return newOperation(s, route, workspace, c), nil
}
