package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// Server is one upstream. It can be stopped and started again.
type Server struct {
	options  Options
	auth     *authenticator
	gate     *gate
	recorder *recorder
	limiter  *limiter
	node     *node

	mu       sync.Mutex
	address  string
	running  bool
	listener net.Listener
	cancel   context.CancelFunc
	conns    map[net.Conn]struct{}
	sessions map[uint32]*session
	// lastPID is the process id of the newest session.
	lastPID uint32
	// done waits for the goroutines that run has started.
	done sync.WaitGroup
}

// New returns an upstream that is not started.
func New(options Options) *Server {
	if options.Listen == "" {
		options.Listen = defaultListen
	}
	return &Server{
		options:  options,
		auth:     newAuthenticator(options.User, options.Password),
		gate:     newGate(),
		recorder: &recorder{},
		limiter:  newLimiter(options),
		address:  options.Listen,
	}
}

// Start listens on the address and serves connections. The first start creates
// the log: with the first entry of FirstTerm on a primary, else empty.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		return fmt.Errorf("upstream %s is already running", s.options.ID)
	}
	if err := s.openNode(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		s.node.data.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.listener = listener
	s.address = listener.Addr().String()
	s.cancel = cancel
	s.conns = make(map[net.Conn]struct{})
	s.sessions = make(map[uint32]*session)
	s.running = true
	s.run(func() { s.accept(ctx, listener) })
	s.run(func() { s.node.pullLoop(ctx) })
	s.run(func() { s.node.applyLoop(ctx) })
	return nil
}

// run starts a goroutine that Kill waits for.
func (s *Server) run(f func()) {
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		f()
	}()
}

// openNode creates the node from the durable state of the previous one, if any.
// The caller holds mu.
func (s *Server) openNode() error {
	initial := s.options.firstState()
	var hooks replicationHooks
	if s.node != nil {
		initial, hooks = s.node.saved()
	}
	node, err := newNode(initial)
	if err != nil {
		return err
	}
	node.hooks = hooks
	if err := node.load(); err != nil {
		return err
	}
	s.node = node
	return nil
}

// firstState returns the durable state of a new upstream.
func (o Options) firstState() durable {
	state := durable{}
	switch {
	case o.Primary:
		state.role = dbgroup.Primary
		state.promised = FirstTerm
		state.log.append(entry{Term: FirstTerm})
	case o.Follow != "":
		state.promised = FirstTerm
		state.primary = o.Follow
	}
	return state
}

// Stop stops the upstream. It is the same as Kill.
func (s *Server) Stop() { s.Kill() }

// Kill closes the listener and all connections immediately and rolls back open
// transactions. The log and the accepted term are kept for Restart.
func (s *Server) Kill() {
	s.mu.Lock()
	if !s.running {
		s.mu.Unlock()
		return
	}
	s.running = false
	s.cancel()
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.node.stop()
	s.done.Wait()
	s.node.data.Close()
}

// Restart starts a killed upstream again on the same address, with its log and
// accepted term.
func (s *Server) Restart() error { return s.Start() }

// Address returns the address of the listener as host:port. The port is known
// after Start.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Status returns what chervilhatch_status reports, also while the upstream is
// paused or killed.
func (s *Server) Status() dbgroup.Status { return s.currentNode().status() }

func (s *Server) currentNode() *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node
}

func (s *Server) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		wrapped := newConn(conn, s.gate, s.recorder)
		if !s.addConn(wrapped) {
			return
		}
		s.run(func() {
			defer s.removeConn(wrapped)
			s.handle(ctx, wrapped)
		})
	}
}

// addConn registers a connection, so that Kill can close it. It closes the
// connection and returns false if the upstream is not running.
func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) removeConn(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// ID returns the upstream's id.
func (s *Server) ID() model.UpstreamID { return s.options.ID }
