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
	// responseBufferSize is the largest output buffer, in bytes, that is kept
	// after a flush.
	responseBufferSize = 16 << 10
	// readyForQueryLen is the length of an encoded ReadyForQuery.
	readyForQueryLen = 6
	// lingerTimeout and maxLingerBytes bound how long the proxy goes on reading
	// after a fatal error. Closing a connection that has unread bytes would
	// reset it, and the caller could lose the error.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 64 << 10

	severityError = "ERROR"
	severityFatal = "FATAL"
)

// response tracks the effects of a batch's response on the session.
type response struct {
	// changes are the statement changes that the response has not confirmed
	// yet.
	changes []statementChange
	// detectErrors makes writeResponse look for errors and record them in
	// batchFailed. Without it, batchFailed may miss an error in the response.
	detectErrors bool
	batchFailed  bool
	// errorStart is the offset of the last error in the output buffer.
	errorStart int
}

// writeResponse sends a part of the response to the caller. A part that ends
// with ReadyForQuery stays in the output buffer, because dropReady removes that
// message and the session position is reported before it.
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

// endsWithReady reports whether the last bytes look like ReadyForQuery. If they
// are in fact the end of another message, it is only sent a little later.
func endsWithReady(out []byte) bool {
	if len(out) < readyForQueryLen {
		return false
	}
	tail := out[len(out)-readyForQueryLen:]
	return tail[0] == wire.ReadyForQuery && tail[1] == 0 && tail[2] == 0 && tail[3] == 0 && tail[4] == 5
}

// inspect applies the statement changes that the messages confirm and records
// errors.
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

// advancePosition advances the session position and reports the new one to the
// caller.
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

// dropReady removes the ReadyForQuery at the end of the output buffer.
func (s *session) dropReady() {
	if endsWithReady(s.out) {
		s.out = s.out[:len(s.out)-readyForQueryLen]
	}
}

// sendReady ends the response with ReadyForQuery and the session's transaction
// status.
func (s *session) sendReady() error {
	s.out = wire.AppendMessage(s.out, wire.ReadyForQuery, []byte{s.txStatus})
	s.response = response{}
	if s.txStatus != wire.Idle {
		// An error means that the session has to end; its next read reports
		// that.
		_ = s.setBatchDeadline()
	}
	return s.flush()
}

func (s *session) appendMessage(message pgproto3.BackendMessage) {
	encoded, err := message.Encode(s.out)
	if err != nil {
		// Encode fails only for messages above 1 GB, which the proxy does not
		// create.
		return
	}
	s.out = encoded
}

func (s *session) appendError(err *sqlstate.Error) {
	s.response.errorStart = len(s.out)
	s.appendMessage(errorResponse(err))
}

// dropLastError removes the last error from the output buffer, because a fatal
// one replaces it.
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

// write sends p. It renews the write deadline only when less than half of
// writeTimeout is left, since a new deadline for each write costs more.
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

// sendFatal sends an error and closes the connection in a way that lets the
// caller read the error.
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
