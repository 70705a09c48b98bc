package frontend

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

const cancelKeyLen = 4

// register assigns a random cancel key to the session and adds it to the
// server's sessions. It returns false if the server is shutting down.
func (s *Server) register(session *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	session.cancelKey = randomBytes(cancelKeyLen)
	for {
		session.processID = binary.BigEndian.Uint32(randomBytes(4)) >> 1
		if _, taken := s.sessions[session.processID]; !taken {
			break
		}
	}
	s.sessions[session.processID] = session
	return true
}

func (s *Server) unregister(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session.processID)
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return b
}

// cancelRequest cancels the running batch of the session with the request's
// cancel key. As in PostgreSQL, a wrong key has no effect and gets no response.
func (s *Server) cancelRequest(request *pgproto3.CancelRequest) {
	s.mu.Lock()
	session := s.sessions[request.ProcessID]
	s.mu.Unlock()
	if session == nil || subtle.ConstantTimeCompare(session.cancelKey, request.SecretKey) != 1 {
		return
	}
	session.cancelBatch()
}
