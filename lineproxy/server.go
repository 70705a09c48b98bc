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
	"github.com/chervilhatch/chervilhatch/telemetry"
)

// Entry is a log line about a decision.
type Entry = zerolog.Event

const (
	// acceptPause is the pause after a failed accept, for example when the
	// process has no descriptor left.
	acceptPause = 50 * time.Millisecond
	// drainPoll is how often a drain looks for sessions that may end.
	drainPoll = 50 * time.Millisecond
)

// errDrained ends a session because the VM stops.
var errDrained = errors.New("the VM stops")

// Phases of a drain.
const (
	phaseServing = iota
	// phaseAnswered ends a session after its next answer.
	phaseAnswered
	// phaseIdle also ends sessions that are idle outside of a transaction.
	phaseIdle
	// phaseAll also ends sessions that rest inside a transaction.
	phaseAll
)

// Options configure a Server.
type Options struct {
	Cluster Cluster
	Log     zerolog.Logger
	Metrics metrics.Registry
	// MaxSessions bounds the callers' connections.
	MaxSessions int
	// Tracer records a span for each request; nil records none.
	Tracer trace.Tracer
}

// Server accepts callers.
type Server struct {
	cluster   Cluster
	log       zerolog.Logger
	decisions *telemetry.DecisionLog
	metrics   metrics.Registry
	latency   metrics.Histogram
	limit     int
	tracer    trace.Tracer

	mu       sync.Mutex
	sessions map[uint64]*session
	lastID   uint64
	phase    atomic.Int32
	wg       sync.WaitGroup
}

// latencySample is how many recent requests the latency histogram covers.
const latencySample = 1024

// NewServer returns a server without listeners.
func NewServer(o Options) *Server {
	return &Server{
		cluster:   o.Cluster,
		log:       o.Log,
		decisions: telemetry.NewDecisionLog(o.Log, o.Metrics),
		metrics:   o.Metrics,
		latency:   metrics.GetOrRegisterHistogram("requests.latency_us", o.Metrics, metrics.NewUniformSample(latencySample)),
		limit:     o.MaxSessions,
		tracer:    o.Tracer,
		sessions:  map[uint64]*session{},
	}
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptPause)
			continue
		}
		s.start(conn)
	}
}

// start runs a session, or refuses it when there are too many.
func (s *Server) start(conn net.Conn) {
	s.keepAlive(conn)
	c := &session{
		server: s, conn: conn, reader: lineproto.NewReader(conn),
		values: map[string]string{}, prepared: map[string]preparedStatement{},
	}
	s.mu.Lock()
	full := s.limit > 0 && len(s.sessions) >= s.limit
	if !full {
		s.lastID++
		c.id = s.lastID
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
		c.serve()
	}()
}

func (s *Server) keepAlive(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 3})
	if err != nil {
		s.log.Warn().Err(err).Msg("keep-alive probes not set")
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

// finished counts an answered request.
func (s *Server) finished(latency time.Duration, r *reply) {
	s.latency.Update(latency.Microseconds())
	if r.code == "" {
		s.count("requests.ok")
		return
	}
	s.count("requests." + string(r.code))
}

// closing reports whether a session that waits for its caller is to end.
func (s *Server) closing(c *session) bool {
	switch s.phase.Load() {
	case phaseIdle:
		return c.tx == nil
	case phaseAll:
		return true
	}
	return false
}

// endsAfterAnswer reports whether the session ends after an answer: because the
// VM stops, or because another VM can serve the caller and this one cannot.
func (s *session) endsAfterAnswer() bool {
	if s.tx != nil {
		return false
	}
	return s.server.phase.Load() >= phaseAnswered || s.refused && s.server.cluster.Isolated()
}

// DrainTimes are when the phases of a drain begin, counted from its start.
type DrainTimes struct {
	// Answered is when the platform no longer sends new sessions.
	Answered time.Duration
	// Idle is when idle sessions end, All when transactions that rest do.
	Idle time.Duration
	All  time.Duration
	// End is when the drain gives up on what is still running.
	End time.Duration
}

// Drain lets the sessions end. It returns when none is left, or at the end of
// the drain's time.
func (s *Server) Drain(ctx context.Context, t DrainTimes) {
	start := time.Now()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		elapsed := time.Since(start)
		s.phase.Store(phaseAt(elapsed, &t))
		s.wake()
		if elapsed >= t.Answered && s.Sessions() == 0 || elapsed >= t.End {
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

func phaseAt(elapsed time.Duration, t *DrainTimes) int32 {
	switch {
	case elapsed >= t.All:
		return phaseAll
	case elapsed >= t.Idle:
		return phaseIdle
	case elapsed >= t.Answered:
		return phaseAnswered
	}
	return phaseServing
}

// wake makes the sessions that wait for their callers look at the phase.
func (s *Server) wake() {
	if s.phase.Load() < phaseIdle {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		if !c.busy.Load() {
			// A closed connection has no reader to wake.
			_ = c.conn.SetReadDeadline(time.Now())
		}
	}
}
