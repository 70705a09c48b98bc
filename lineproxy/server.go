package lineproxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/panics"
	"github.com/chervilhatch/chervilhatch/telemetry"
)

// Entry is a log entry that describes a decision about a request or session.
type Entry = zerolog.Event

const (
	// acceptBackoff is the delay after a failed accept, which fails for example
	// while the process has no free file descriptor.
	acceptBackoff = 50 * time.Millisecond
	// drainPollInterval is the interval between checks of a drain for sessions
	// that can be closed.
	drainPollInterval = 50 * time.Millisecond
)

// errDraining ends a session because the VM is shutting down.
var errDraining = errors.New("the VM is shutting down")

// Phases of a drain. Each phase includes the previous ones.
const (
	phaseServing = iota
	// phaseEndAfterAnswer closes sessions without an open transaction after
	// their next answer.
	phaseEndAfterAnswer
	// phaseEndIdle also closes sessions that are idle outside of a transaction.
	phaseEndIdle
	// phaseEndAll also closes sessions that are idle in a transaction.
	phaseEndAll
)

// Options configures a Server.
type Options struct {
	Cluster Cluster
	Log     zerolog.Logger
	Metrics metrics.Registry
	// MaxSessions limits the number of callers' connections; 0 is no limit.
	MaxSessions int
	// ByDeadline makes statements of services with a route of catalog.TopPriority wait for
	// upstreams by their latency objectives and deadlines instead of a fixed part of the
	// objective.
	ByDeadline bool
	// Tracer records a span for each request; nil records none.
	Tracer trace.Tracer
}

// Server accepts callers' connections and serves their sessions.
type Server struct {
	cluster   Cluster
	log       zerolog.Logger
	decisions *telemetry.DecisionLog
	metrics   metrics.Registry
	latency   metrics.Histogram
	// limit is Options.MaxSessions.
	limit  int
	tracer trace.Tracer
	// byDeadline is Options.ByDeadline.
	byDeadline bool

	// mu guards sessions, which has the open sessions by ID, and lastSessionID.
	mu            sync.Mutex
	sessions      map[uint64]*session
	lastSessionID uint64
	// phase is the phase of the drain.
	phase atomic.Int32
	// wg counts the goroutines of sessions.
	wg sync.WaitGroup
}

// latencyReservoirSize is the number of requests that the latency histogram samples.
const latencyReservoirSize = 1024

// NewServer returns a server without listeners.
func NewServer(o Options) *Server {
	return &Server{
		cluster:   o.Cluster,
		log:       o.Log,
		decisions: telemetry.NewDecisionLog(o.Log, o.Metrics),
		metrics:   o.Metrics,
		latency:   metrics.GetOrRegisterHistogram("requests.latency_us", o.Metrics, metrics.NewUniformSample(latencyReservoirSize)),
		limit:     o.MaxSessions,
		tracer:    o.Tracer, byDeadline: o.ByDeadline,
		sessions: map[uint64]*session{},
	}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptBackoff)
			continue
		}
		s.startSession(conn)
	}
}

// startSession serves a connection in a new goroutine, or refuses it if the limit
// on sessions is reached.
func (s *Server) startSession(conn net.Conn) {
	s.keepAlive(conn)
	c := &session{
		server: s, conn: conn, reader: lineproto.NewReader(conn),
		values: map[string]string{}, prepared: map[string]preparedStatement{},
	}
	s.mu.Lock()
	full := s.limit > 0 && len(s.sessions) >= s.limit
	if !full {
		s.lastSessionID++
		c.id = s.lastSessionID
		s.sessions[c.id] = c
		s.wg.Add(1)
	}
	s.mu.Unlock()
	if full {
		s.log.Warn().Int("limit", s.limit).Msg("session refused: too many sessions")
		c.refuse(lineproto.TooMany, "this VM has too many sessions; retry after 1000 ms")
		c.close()
		return
	}
	go func() {
		defer s.wg.Done()
		defer s.remove(c.id)
		// The log has the error, and serve has closed the session.
		_ = panics.Call(s.log, "session", c.serve)
	}()
}

// keepAlive enables TCP keep-alive probes on a caller's connection.
func (s *Server) keepAlive(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 3})
	if err != nil {
		s.log.Warn().Err(err).Msg("cannot enable TCP keep-alive probes")
	}
}

func (s *Server) remove(id uint64) {
	s.mu.Lock()
	delete(s.sessions, id)
	s.mu.Unlock()
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

func (s *Server) count(name string) {
	metrics.GetOrRegisterCounter(name, s.metrics).Inc(1)
}

// recordRequest updates the metrics with an answered request.
func (s *Server) recordRequest(latency time.Duration, r *reply) {
	s.latency.Update(latency.Microseconds())
	if r.code == "" {
		s.count("requests.ok")
		return
	}
	s.count("requests." + string(r.code))
}

// shouldEnd reports whether the drain closes a session that waits for a request.
func (s *Server) shouldEnd(c *session) bool {
	switch s.phase.Load() {
	case phaseEndIdle:
		return c.tx == nil
	case phaseEndAll:
		return true
	}
	return false
}

// endsAfterAnswer reports whether the session is closed after an answer. That is
// the case if the VM drains, and if this VM is isolated and refused the request:
// the caller then reconnects to another VM, which may be able to serve it. An open
// transaction keeps its session.
func (s *session) endsAfterAnswer() bool {
	if s.tx != nil {
		return false
	}
	return s.server.phase.Load() >= phaseEndAfterAnswer || s.lastRefused && s.server.cluster.Isolated()
}

// DrainSchedule defines when the phases of a drain begin, relative to its start.
type DrainSchedule struct {
	// AfterAnswer is when sessions begin to close after their next answer. The
	// platform should have stopped sending new sessions by then.
	AfterAnswer time.Duration
	// Idle is when idle sessions without a transaction are closed, All when
	// sessions that are idle in a transaction are closed as well.
	Idle time.Duration
	All  time.Duration
	// Timeout is when Drain returns although sessions are still open.
	Timeout time.Duration
}

// Drain closes the sessions in the phases of t. It returns when no session is left,
// but not before t.AfterAnswer, since new ones arrive until then; at the latest it
// returns after t.Timeout or when ctx ends.
func (s *Server) Drain(ctx context.Context, t DrainSchedule) {
	start := time.Now()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		elapsed := time.Since(start)
		s.phase.Store(phaseAt(elapsed, &t))
		s.interruptIdle()
		if elapsed >= t.AfterAnswer && s.Sessions() == 0 || elapsed >= t.Timeout {
			s.log.Info().Int("sessions", s.Sessions()).Dur("elapsed", elapsed).Msg("drain ended")
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func phaseAt(elapsed time.Duration, t *DrainSchedule) int32 {
	switch {
	case elapsed >= t.All:
		return phaseEndAll
	case elapsed >= t.Idle:
		return phaseEndIdle
	case elapsed >= t.AfterAnswer:
		return phaseEndAfterAnswer
	}
	return phaseServing
}

// interruptIdle interrupts the reads of sessions that wait for a request, so that
// they check the phase of the drain.
func (s *Server) interruptIdle() {
	if s.phase.Load() < phaseEndIdle {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		if !c.busy.Load() {
			// An error means that the connection is closed and no read waits on it.
			_ = c.conn.SetReadDeadline(time.Now())
		}
	}
}
