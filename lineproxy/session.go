package lineproxy

import (
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/telemetry"
)

const (
	// startupTimeout limits how long a caller may take to send STARTUP.
	startupTimeout = 3 * time.Second
	// catalogTimeout is how long a startup waits for the first configuration;
	// callers give up after 2 s.
	catalogTimeout = 1500 * time.Millisecond
	// writeTimeout closes the connection of a caller that does not read its answers.
	writeTimeout = 5 * time.Second
	// maxSessionValues and maxPreparedStatements limit the memory of a session.
	maxSessionValues      = 256
	maxPreparedStatements = 1024
	// keepAliveIdle and keepAliveInterval set the TCP keep-alive probes that
	// detect callers whose host is gone.
	keepAliveIdle     = 15 * time.Second
	keepAliveInterval = 5 * time.Second
)

// preparedStatement is a statement that a caller prepared under a name.
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
	// out is the buffer of the messages to send.
	out []byte

	// database and key are those of the STARTUP message, the key as its digest.
	database string
	key      catalog.Digest

	// values are the session values that the caller has set. A change replaces the
	// map, since operations use it concurrently. prepared has the caller's prepared
	// statements by name.
	values   map[string]string
	prepared map[string]preparedStatement
	// positions has the highest log position of this session's commits on each service
	// that it has written to, nil before its first commit. The session's route may be
	// sent to another service and back.
	positions map[catalog.Service]model.Position
	// tx is the open or failed transaction, nil outside of one.
	tx *transaction

	// lastRefused is true if the last answer was BUSY: the request has not run.
	lastRefused bool
	// traceParent is the W3C trace context of the current request, empty if it is
	// not traced.
	traceParent string
	// busy is true while a request is being answered.
	busy atomic.Bool
}

// reply is the answer to one request of a caller. It is an error if code is set.
type reply struct {
	rows      []string
	signature string
	code      lineproto.Code
	text      string
	position  model.Position
}

func success() reply { return reply{signature: lineproto.NilValue} }

func failure(code lineproto.Code, text string) reply { return reply{code: code, text: text} }

// serve reads and answers requests until the session ends.
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

// next waits for the next message. Meanwhile it rolls back the open transaction if
// that exceeds its idle timeout; the session then stays open.
func (s *session) next() (lineproto.Message, error) {
	start := time.Now()
	for {
		limit, bounded := s.txIdleTimeout()
		deadline := time.Time{}
		if bounded {
			deadline = start.Add(limit)
		}
		if err := s.conn.SetReadDeadline(deadline); err != nil {
			return lineproto.Message{}, err
		}
		if s.server.shouldEnd(s) {
			return lineproto.Message{}, errDraining
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

// txIdleTimeout returns how long the open transaction may stay idle. bounded is
// false if there is no limit: no transaction holds a connection, or the
// configuration sets none.
func (s *session) txIdleTimeout() (limit time.Duration, bounded bool) {
	if s.tx == nil || s.tx.tx == nil || s.tx.txIdleTimeout <= 0 {
		return 0, false
	}
	return s.tx.txIdleTimeout, true
}

// expireTx rolls back a transaction that exceeded its idle timeout.
func (s *session) expireTx() {
	s.server.decisions.Info(s.tx.lastRequestID, "transaction ended", func(e *Entry) {
		e.Str("cause", "idle limit").Dur("idle_limit", s.tx.txIdleTimeout).Str("upstream", string(s.tx.upstream))
	})
	s.server.count("tx.expired")
	s.tx.discard()
	s.tx.failed = true
}

// readFailed tells the caller why its message cannot be read. Other errors mean that
// the connection is lost or that the VM drains, and are not answered.
func (s *session) readFailed(err error) {
	if errors.Is(err, lineproto.ErrTooLong) {
		s.refuse(lineproto.TooLarge, "a message may have 1 MiB")
		return
	}
	if errors.Is(err, lineproto.ErrSyntax) {
		s.refuse(lineproto.Malformed, "the line is not a message")
	}
}

// refuse sends an error message without a READY message; the caller of refuse then
// ends the session.
func (s *session) refuse(code lineproto.Code, text string) {
	s.server.count("refused." + string(code))
	s.out = lineproto.Append(s.out[:0], lineproto.Error, string(code), text)
	s.flush()
}

func (s *session) close() {
	if s.tx != nil {
		s.tx.rollback()
	}
	// The caller may have closed the connection already.
	_ = s.conn.Close()
}

// flush sends the messages in s.out and reports whether that succeeded.
func (s *session) flush() bool {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	_, err := s.conn.Write(s.out)
	return err == nil
}

// handle answers one message. It returns false if the session ends.
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
	hop := s.startHop(id)
	r := s.run(id, text)
	hop.End(r.err())
	s.lastRefused = r.code == lineproto.Busy
	s.server.recordRequest(s.server.cluster.Now().Sub(start), &r)
	return s.answer(&r)
}

// callerSpan is the name of the span of a caller's request.
const callerSpan = "caller"

// startHop starts the span of a caller's request.
func (s *session) startHop(id string) telemetry.Hop {
	hop := telemetry.StartHop(s.server.tracer, "", callerSpan,
		attribute.String("chervilhatch.request", id), attribute.String("chervilhatch.database", s.database))
	s.traceParent = hop.TraceParent
	return hop
}

// err returns the reply's code and text as an error, nil if the reply is a success.
func (r *reply) err() error {
	if r.code == "" {
		return nil
	}
	return errors.New(string(r.code) + " " + r.text)
}

// validID reports whether a caller may use id as a request id. NilValue is reserved
// for statements that the proxy itself issues.
func validID(id string) bool { return id != "" && id != lineproto.NilValue }

// answer sends a reply, followed by the session's transaction state and the
// position of the reply. It returns false if the connection is lost.
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
	s.out = lineproto.Append(s.out, lineproto.Ready, string(s.txState()), lineproto.FormatPosition(r.position))
	return s.flush()
}

func (s *session) txState() lineproto.TxState {
	switch {
	case s.tx == nil:
		return lineproto.Idle
	case s.tx.failed:
		return lineproto.TxFailed
	}
	return lineproto.InTx
}
