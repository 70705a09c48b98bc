package frontend

import (
	"crypto/tls"
	"encoding/base64"
	"errors"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chervilhatch/chervilhatch/backend/wire"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// maxEncryptionRequests bounds the SSLRequest and GSSENCRequest packets before
// the startup message.
const maxEncryptionRequests = 2

// loginError is an error that ends a login, and the connection to send it on.
type loginError struct {
	conn net.Conn
	err  *sqlstate.Error
}

// login is the state of a connection until it has a session.
type login struct {
	server  *Server
	conn    net.Conn
	reader  *wire.Reader
	secured bool
}

// login runs the startup and the authentication. It returns neither a session
// nor an error after a cancel request and if the client has disconnected.
func (s *Server) login(conn net.Conn) (*session, *loginError) {
	_ = conn.SetDeadline(time.Now().Add(s.options.Limits.LoginTimeout))
	l := &login{server: s, conn: conn, reader: wire.NewReader(conn, loginBufferSize, maxStartupSize)}
	packet, err := l.readStartup()
	if err != nil || packet == nil {
		return nil, l.loginError(err)
	}
	if !s.acquireSessionSlot() {
		return nil, l.loginError(tooManyConnections("this proxy has too many sessions"))
	}
	session, err := l.openSession(packet)
	if err != nil {
		s.releaseSessionSlot()
		return nil, l.loginError(err)
	}
	_ = conn.SetDeadline(time.Time{})
	return session, nil
}

// loginError returns err as an error to send to the caller, nil if the
// connection itself has failed.
func (l *login) loginError(err error) *loginError {
	var sqlErr *sqlstate.Error
	var tooLong *wire.SizeError
	var timeout net.Error
	switch {
	case errors.As(err, &sqlErr):
	case errors.As(err, &tooLong):
		sqlErr = fatalError(sqlstate.TooLarge, "startup: "+tooLong.Error())
	case errors.Is(err, wire.ErrMalformed):
		sqlErr = protocolError("malformed message during login")
	case errors.As(err, &timeout) && timeout.Timeout():
		sqlErr = fatalError(sqlstate.ConnectionFailure, "the login took too long")
	default:
		return nil
	}
	fatalErr := *sqlErr
	fatalErr.Fatal = true
	return &loginError{conn: l.conn, err: &fatalErr}
}

// readStartup handles encryption requests up to the startup message. It returns
// nil after a cancel request.
func (l *login) readStartup() (*startupPacket, error) {
	for range maxEncryptionRequests + 1 {
		packet, err := l.reader.NextStartup()
		if err != nil {
			return nil, err
		}
		switch requestCode(packet) {
		case sslRequestCode:
			err = l.answerSSL()
		case gssEncRequestCode:
			_, err = l.conn.Write([]byte{'N'})
		case cancelRequestCode:
			return nil, l.cancel(packet)
		default:
			return l.startup(packet)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, protocolError("too many encryption requests")
}

func (l *login) startup(packet []byte) (*startupPacket, error) {
	if l.server.options.RequireTLS && !l.secured {
		return nil, fatalError(sqlstate.WorkspaceForbidden, "this proxy requires TLS")
	}
	parsed, err := parseStartup(packet)
	if err != nil {
		return nil, err
	}
	return parsed, nil
}

func (l *login) cancel(packet []byte) error {
	var request pgproto3.CancelRequest
	if err := request.Decode(packet[4:]); err != nil {
		return protocolError("malformed cancel request")
	}
	l.server.cancelRequest(&request)
	return nil
}

func (l *login) answerSSL() error {
	if l.server.options.TLS == nil || l.secured {
		_, err := l.conn.Write([]byte{'N'})
		return err
	}
	if l.reader.Buffered() > 0 {
		// Bytes sent before the handshake are not authenticated and could be
		// injected by an attacker.
		return protocolError("data before the TLS handshake")
	}
	if _, err := l.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	secured := tls.Server(l.conn, l.server.options.TLS)
	if err := secured.Handshake(); err != nil {
		return err
	}
	l.conn = secured
	l.reader.SetSource(secured)
	l.secured = true
	return nil
}

// openSession authenticates the caller and returns its session.
func (l *login) openSession(packet *startupPacket) (*session, error) {
	if message := packet.negotiation(); message != nil {
		if err := l.send(message); err != nil {
			return nil, err
		}
	}
	user, job := packet.parameters["user"], packet.parameters["database"]
	if user == "" {
		return nil, fatalError(sqlstate.WorkspaceForbidden, "no workspace given as user name")
	}
	if job == "" {
		job = user
	}
	workspace, requestedKey := splitUser(user)
	access, refusal := l.server.options.Directory.Lookup(workspace, model.Job(job))
	var key model.KeyID
	if !access.Open || refusal != nil {
		var err error
		key, err = l.authenticate(access, workspace, requestedKey)
		if err != nil {
			return nil, err
		}
	}
	if refusal != nil {
		return nil, refusal
	}
	session := newSession(l.server, l.conn, l.reader)
	session.workspace, session.job, session.keyID, session.access = workspace, model.Job(job), key, access
	if err := session.applyStartup(packet.parameters); err != nil {
		session.cancelCtx(nil)
		return nil, err
	}
	return session, nil
}

// authenticate runs the SCRAM exchange and returns the ID of the key that was
// used. A wrong key, an unknown key ID and an unknown workspace get the same
// error.
func (l *login) authenticate(access Access, w model.Workspace, requestedKey model.KeyID) (model.KeyID, error) {
	l.reader.SetMax(maxLoginMessageSize)
	x, err := l.server.newSCRAMExchange(access, w, requestedKey)
	if err != nil {
		return "", err
	}
	initial, err := l.requestSASL()
	if err != nil {
		return "", err
	}
	challenge, err := x.clientFirst(initial)
	if err != nil {
		return "", protocolError("malformed SCRAM message")
	}
	if err := l.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return "", err
	}
	proof, err := l.readAuthMessage()
	if err != nil {
		return "", err
	}
	answer, key, err := x.clientFinal(string(proof))
	if err != nil {
		return "", fatalError(sqlstate.WrongKey, "authentication failed for workspace "+string(w))
	}
	return key, l.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
}

// requestSASL offers SCRAM-SHA-256 and returns the client-first message.
func (l *login) requestSASL() (string, error) {
	if err := l.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramSHA256}}); err != nil {
		return "", err
	}
	body, err := l.readAuthMessage()
	if err != nil {
		return "", err
	}
	var initial pgproto3.SASLInitialResponse
	if err := initial.Decode(body); err != nil || initial.AuthMechanism != scramSHA256 {
		return "", protocolError("SCRAM-SHA-256 is required")
	}
	return string(initial.Data), nil
}

// readAuthMessage reads one authentication message and returns its body.
func (l *login) readAuthMessage() ([]byte, error) {
	frame, err := l.reader.Next()
	if err != nil {
		return nil, err
	}
	if frame.Type() != 'p' {
		return nil, protocolError("expected an authentication message")
	}
	return frame.Body(), nil
}

func (l *login) send(message pgproto3.BackendMessage) error {
	encoded, err := message.Encode(nil)
	if err != nil {
		return err
	}
	_, err = l.conn.Write(encoded)
	return err
}

// encodeNonce returns random in base64. A SCRAM nonce has only printable
// characters and no comma.
func encodeNonce(random []byte) []byte {
	return base64.RawStdEncoding.AppendEncode(nil, random)
}
