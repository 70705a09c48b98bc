package upstream

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// secretKeyBytes is the length of the secret key for cancel requests in
	// protocol 3.0.
	secretKeyBytes = 4
	// encryptionRefused is the response to a request for TLS or GSSAPI encryption.
	encryptionRefused = "N"
)

// startParameters are the parameters that each new session starts with and
// reports to its client.
var startParameters = map[string]string{
	"server_version":              "17.0 (chervilhatch stand-in)",
	"server_encoding":             "UTF8",
	"client_encoding":             "UTF8",
	"DateStyle":                   "ISO, MDY",
	"TimeZone":                    "UTC",
	"integer_datetimes":           "on",
	"standard_conforming_strings": "on",
}

// handle serves a connection until it ends.
func (s *Server) handle(ctx context.Context, conn net.Conn) {
	backend := pgproto3.NewBackend(conn, conn)
	for {
		message, err := backend.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte(encryptionRefused)); err != nil {
				return
			}
		case *pgproto3.CancelRequest:
			s.cancelSession(m.ProcessID, m.SecretKey)
			return
		case *pgproto3.StartupMessage:
			s.start(ctx, conn, backend, m.Parameters)
			return
		}
	}
}

// start serves a replication stream or a session, depending on the parameters of
// the startup message.
func (s *Server) start(ctx context.Context, conn net.Conn, backend *pgproto3.Backend, parameters map[string]string) {
	if parameters[replicationParameter] != "" {
		s.node.serveReplica(ctx, conn)
		return
	}
	delay, ok := s.limiter.connect()
	if !ok {
		refuse(backend, &pgError{codeTooManyConnections, "sorry, too many clients already"})
		return
	}
	defer s.limiter.disconnect()
	if sleep(ctx, delay) != nil {
		return
	}
	if failure := s.auth.authenticate(backend, parameters["user"]); failure != nil {
		refuse(backend, failure)
		return
	}
	session := s.openSession(ctx, backend, parameters)
	defer s.closeSession(session)
	session.sendSessionStart()
	session.serve()
}

// refuse sends a fatal error.
func refuse(backend *pgproto3.Backend, failure *pgError) {
	backend.Send(failure.response(severityFatal))
	_ = backend.Flush()
}

func (s *Server) openSession(ctx context.Context, backend *pgproto3.Backend, parameters map[string]string) *session {
	secret := make([]byte, secretKeyBytes)
	_, _ = rand.Read(secret)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastPID++
	session := newSession(ctx, s, backend)
	session.pid = s.lastPID
	session.secret = secret
	for name, text := range startParameters {
		session.settings.set(name, text)
	}
	for name, text := range parameters {
		session.settings.set(name, text)
	}
	s.sessions[session.pid] = session
	return session
}

func (s *Server) closeSession(session *session) {
	session.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session.pid)
}

// cancelSession executes a cancel request: it interrupts the running statement
// of the session if the secret key is right.
func (s *Server) cancelSession(pid uint32, secret []byte) {
	s.mu.Lock()
	session := s.sessions[pid]
	s.mu.Unlock()
	if session != nil && subtle.ConstantTimeCompare(session.secret, secret) == 1 {
		session.interrupt()
	}
}

// sendSessionStart sends the messages that follow a successful authentication.
func (c *session) sendSessionStart() {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for name, text := range startParameters {
		c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: text})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.ready()
}
