package frontend

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

const (
	// responseBufferSize is how much of an answer is collected for one write.
	responseBufferSize = 16 << 10
	// readyForQueryLen is the length of ReadyForQuery.
	readyForQueryLen = 6
	// lingerTimeout and lingerBytes bound how long the proxy reads on after a fatal
	// error; a close with unread bytes would reset the connection and could
	// lose the error.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 64 << 10

	severityError = "ERROR"
	severityFatal = "FATAL"
)

// response tracks what the answer to a batch means for the session.
type response struct {
	// changes are the statement changes that the answer has not confirmed yet.
	changes []statementChange
	// detectErrors is true when failed must tell of an error in the answer.
	detectErrors bool
	batchFailed  bool
	// errorStart is where the last error starts in the output buffer, -1 if
	// it was already sent.
	errorStart int
}

// writeResponse takes a part of the answer. ReadyForQuery, which is the last message,
// is removed, because the session position goes before it.
func (s *session) writeResponse(messages []byte) error {
	if s.response.detectErrors || len(s.response.changes) > 0 {
		if err := s.inspect(messages); err != nil {
			return err
		}
	}
	if len(s.out) == 0 && !endsWithReady(messages) {
		return s.write(messages)
	}
	s.out = append(s.out, messages...)
	if endsWithReady(s.out) {
		return nil
	}
	return s.flush()
}

// endsWithReady reports whether the last bytes look like ReadyForQuery. If
// they are the end of another message, they are only sent a little later.
func endsWithReady(out []byte) bool {
	if len(out) < readyForQueryLen {
		return false
	}
	tail := out[len(out)-readyForQueryLen:]
	return tail[0] == wire.ReadyForQuery && tail[1] == 0 && tail[2] == 0 && tail[3] == 0 && tail[4] == 5
}

// inspect looks for confirmations of statement changes and for errors.
func (s *session) inspect(messages []byte) error {
	for len(messages) > 0 {
		frame, rest, err := wire.Split(messages)
		if err != nil {
			return err
		}
		messages = rest
		switch frame.Type() {
		case wire.ParseComplete, wire.CloseComplete:
			if len(s.response.changes) > 0 {
				s.response.changes[0].apply(&s.statements)
				s.response.changes = s.response.changes[1:]
			}
		case wire.ErrorResponse:
			s.response.changes = nil
			s.response.batchFailed = true
		}
	}
	return nil
}

// advancePosition advances the session position and tells the caller.
func (s *session) advancePosition(p model.Position) {
	if p.IsZero() {
		return
	}
	if s.position.Database != s.access.Database {
		s.position = model.SessionPosition{Database: s.access.Database}
	}
	next := s.position.Max(p)
	if next == s.position.Position {
		return
	}
	s.position.Position = next
	s.appendMessage(&pgproto3.ParameterStatus{Name: positionParameter, Value: s.position.String()})
}

// dropReady removes the ReadyForQuery of a complete answer from the output buffer.
func (s *session) dropReady() {
	if endsWithReady(s.out) {
		s.out = s.out[:len(s.out)-readyForQueryLen]
	}
}

// sendReady ends the answer with the session's transaction status.
func (s *session) sendReady() error {
	s.out = wire.AppendMessage(s.out, wire.ReadyForQuery, []byte{s.txStatus})
	s.response = response{}
	if s.txStatus != wire.Idle {
		// The error of a session that has to end is seen by its next read.
		_ = s.setBatchDeadline()
	}
	return s.flush()
}

func (s *session) appendMessage(message pgproto3.BackendMessage) {
	encoded, err := message.Encode(s.out)
	if err != nil {
		// Only a message above 1 GB cannot be encoded, and none of ours is.
		return
	}
	s.out = encoded
}

func (s *session) appendError(err *sqlstate.Error) {
	s.response.errorStart = len(s.out)
	s.appendMessage(errorResponse(err))
}

// dropLastError removes the last error from the output buffer, because a
// fatal one replaces it.
func (s *session) dropLastError() {
	s.out = s.out[:min(s.response.errorStart, len(s.out))]
}

// flush writes the output buffer.
func (s *session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	err := s.write(s.out)
	if cap(s.out) > responseBufferSize {
		s.out = nil
	}
	s.out = s.out[:0]
	return err
}

// write sends p. The deadline is renewed only when half of it has passed,
// since that is cheaper than a new one for each answer.
func (s *session) write(p []byte) error {
	if now := time.Now(); s.writeDeadline.Sub(now) < writeTimeout/2 {
		s.setWriteDeadline(now.Add(writeTimeout))
	}
	_, err := s.conn.Write(p)
	return err
}

// setWriteDeadline sets the write deadline, unless the session has to end.
func (s *session) setWriteDeadline(deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeReason != nil {
		return
	}
	s.writeDeadline = deadline
	_ = s.conn.SetWriteDeadline(deadline)
}

func errorResponse(err *sqlstate.Error) *pgproto3.ErrorResponse {
	severity := severityError
	if err.Fatal {
		severity = severityFatal
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                string(err.Code),
		Message:             err.Message,
	}
}

// sendFatal sends an error and closes the connection so that the caller can
// still read it.
func sendFatal(conn net.Conn, err *sqlstate.Error) {
	defer conn.Close()
	encoded, encodeErr := errorResponse(err).Encode(nil)
	if encodeErr != nil {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(lingerTimeout))
	if _, writeErr := conn.Write(encoded); writeErr != nil {
		return
	}
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	buffer := make([]byte, maxRetainedBuffer)
	for total := 0; total < maxLingerBytes; {
		n, readErr := conn.Read(buffer)
		total += n
		if readErr != nil {
			return
		}
	}
}
