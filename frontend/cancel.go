package frontend

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

const cancelKeyLen = 4

// register gives the session a random cancel key and makes it reachable for
// CloseKey and Shutdown. It returns false when the server is stopping.
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

// cancelRequest cancels the running batch of the session that the key names. A
// wrong key has no effect and gets no answer, as in PostgreSQL.
func (s *Server) cancelRequest(request *pgproto3.CancelRequest) {
	s.mu.Lock()
	session := s.sessions[request.ProcessID]
	s.mu.Unlock()
	if session == nil || subtle.ConstantTimeCompare(session.cancelKey, request.SecretKey) != 1 {
		return
	}
	session.cancelBatch()
}
