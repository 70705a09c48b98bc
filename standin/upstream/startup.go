package upstream

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// secretKeyBytes is the length of a cancel key of protocol 3.0.
	secretKeyBytes = 4
	// encryptionRefused answers requests for TLS or GSSAPI.
	encryptionRefused = "N"
)

// startParameters are reported to each new session.
var startParameters = map[string]string{
	"server_version":              "17.0 (chervilhatch stand-in)",
	"server_encoding":             "UTF8",
	"client_encoding":             "UTF8",
	"DateStyle":                   "ISO, MDY",
	"TimeZone":                    "UTC",
	"integer_datetimes":           "on",
	"standard_conforming_strings": "on",
}

// handle serves one connection until it ends.
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

// start serves a replica or a session.
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

// cancelSession interrupts the running statement of a session.
func (s *Server) cancelSession(pid uint32, secret []byte) {
	s.mu.Lock()
	session := s.sessions[pid]
	s.mu.Unlock()
	if session != nil && subtle.ConstantTimeCompare(session.secret, secret) == 1 {
		session.interrupt()
	}
}

// sendSessionStart sends what follows a successful authentication.
func (c *session) sendSessionStart() {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for name, text := range startParameters {
		c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: text})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.ready()
}
