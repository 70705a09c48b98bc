package frontend

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

const (
	// maxConcurrentRefusals bounds the connections that are being refused with
	// an error message at a time. Above it, connections are closed without a
	// message.
	maxConcurrentRefusals = 64
	// forcedShutdownTimeout is how long Shutdown waits for interrupted sessions
	// once its context has ended.
	forcedShutdownTimeout = time.Second
	// acceptRetryDelay is the delay after a failed accept, for example for lack
	// of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	mockSecretLen    = 32
)

// ErrServerClosed is returned by Serve after Shutdown.
var ErrServerClosed = errors.New("frontend: server closed")

// Server accepts connections of callers and serves their sessions.
type Server struct {
	options      Options
	ctx          context.Context
	cancel       context.CancelFunc
	loginSlots   chan struct{}
	refusalSlots chan struct{}
	memory       memoryBudget
	connectionWG sync.WaitGroup

	mu        sync.Mutex
	draining  bool
	listeners map[net.Listener]struct{}
	// sessions has the registered sessions, by the process ID of their cancel
	// key.
	sessions map[uint32]*session
	// sessionSlotsUsed counts sessions and logins that have reached
	// authentication.
	sessionSlotsUsed int
}

// New returns a Server with the options. Limits that are not set get their
// defaults.
func New(options Options) *Server {
	options.setDefaults()
	if len(options.MockSecret) == 0 {
		options.MockSecret = make([]byte, mockSecretLen)
		_, _ = rand.Read(options.MockSecret)
	}
	s := &Server{
		options:      options,
		loginSlots:   make(chan struct{}, options.Limits.Logins),
		refusalSlots: make(chan struct{}, maxConcurrentRefusals),
		listeners:    map[net.Listener]struct{}{},
		sessions:     map[uint32]*session{},
	}
	s.memory.limit = int64(options.Limits.Memory)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Serve accepts connections until Shutdown is called or the listener fails.
func (s *Server) Serve(l net.Listener) error {
	if !s.trackListener(l) {
		l.Close()
		return ErrServerClosed
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			if s.isDraining() {
				return ErrServerClosed
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accept(conn)
	}
}

// accept starts a login, or refuses the connection if too many logins are under
// way.
func (s *Server) accept(conn net.Conn) {
	if !s.trackConnection() {
		conn.Close()
		return
	}
	select {
	case s.loginSlots <- struct{}{}:
		go s.handle(conn)
	default:
		s.refuse(conn)
	}
}

// trackConnection registers a connection for which Shutdown waits. It returns
// false if the server is shutting down.
func (s *Server) trackConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.connectionWG.Add(1)
	return true
}

func (s *Server) refuse(conn net.Conn) {
	select {
	case s.refusalSlots <- struct{}{}:
	default:
		conn.Close()
		s.connectionWG.Done()
		return
	}
	go func() {
		defer s.connectionWG.Done()
		defer func() { <-s.refusalSlots }()
		sendFatal(conn, tooManyConnections("too many logins are under way"))
	}()
}

func tooManyConnections(message string) *sqlstate.Error {
	err := sqlstate.Refuse(sqlstate.TooManyConnections, message)
	err.Fatal = true
	return err
}

// handle runs the login of a connection and then serves its session.
func (s *Server) handle(conn net.Conn) {
	defer s.connectionWG.Done()
	session, loginErr := s.login(conn)
	if loginErr != nil {
		sendFatal(loginErr.conn, loginErr.err)
	}
	<-s.loginSlots
	if session == nil {
		conn.Close()
		return
	}
	defer s.releaseSessionSlot()
	if !s.register(session) {
		session.cancelCtx(nil)
		session.closeWith(shutdownError())
		return
	}
	defer s.unregister(session)
	session.serve()
}

// acquireSessionSlot counts a session against Limits.Sessions and reports
// whether there was room.
func (s *Server) acquireSessionSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessionSlotsUsed >= s.options.Limits.Sessions {
		return false
	}
	s.sessionSlotsUsed++
	return true
}

func (s *Server) releaseSessionSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessionSlotsUsed--
}

func (s *Server) trackListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// CloseKey ends the sessions that were authenticated with a withdrawn key.
// Their running statements are cancelled.
func (s *Server) CloseKey(w model.Workspace, k model.KeyID) {
	for _, session := range s.sessionList() {
		if session.workspace == w && session.keyID == k && k != "" {
			session.interrupt(keyWithdrawn(k))
		}
	}
}

func keyWithdrawn(k model.KeyID) *sqlstate.Error {
	return &sqlstate.Error{
		Code:    sqlstate.KeyWithdrawn,
		Message: "key " + string(k) + " was withdrawn; the session is closed",
		NotRun:  true,
		Fatal:   true,
	}
}

func shutdownError() *sqlstate.Error {
	return &sqlstate.Error{
		Code:    sqlstate.AdminShutdown,
		Message: "this proxy is stopping; connect again",
		NotRun:  true,
		Fatal:   true,
	}
}

// Sessions returns the number of sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

func (s *Server) sessionList() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.sessions))
	for _, session := range s.sessions {
		all = append(all, session)
	}
	return all
}

// Shutdown stops accepting connections, closes idle sessions with SQLSTATE
// 57P01 and waits until running batches and open transactions have finished. If
// ctx ends first, Shutdown interrupts the remaining sessions and returns the
// error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	for _, session := range s.sessionList() {
		session.drain()
	}
	done := make(chan struct{})
	go func() {
		s.connectionWG.Wait()
		close(done)
	}()
	select {
	case <-done:
		s.cancel()
		return nil
	case <-ctx.Done():
	}
	s.cancel()
	for _, session := range s.sessionList() {
		session.interrupt(shutdownError())
	}
	select {
	case <-done:
	case <-time.After(forcedShutdownTimeout):
	}
	return ctx.Err()
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for l := range s.listeners {
		_ = l.Close()
	}
}
