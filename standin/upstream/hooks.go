package upstream

// The hooks for replication can be set after the first Start. They stay in
// force after Kill and Restart.

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Pause blocks everything that the upstream sends to its clients and replicas
// until Resume. Requests that it has received still take effect.
func (s *Server) Pause() { s.gate.set(false) }

// Resume ends Pause and sends what it blocked.
func (s *Server) Resume() { s.gate.set(true) }

// Partition stops replication to and from the upstream: it neither pulls the
// log nor serves it. Clients can still connect.
func (s *Server) Partition(on bool) {
	s.setHook(func(h *replicationHooks) { h.partitioned = on })
}

// SetReceiveStopped keeps a replica from receiving entries.
func (s *Server) SetReceiveStopped(on bool) {
	s.setHook(func(h *replicationHooks) { h.receiveStopped = on })
}

// SetApplyLag keeps the applied position of a replica this many entries behind
// the received one.
func (s *Server) SetApplyLag(entries model.LogPos) {
	s.setHook(func(h *replicationHooks) { h.lagEntries = entries })
}

// SetApplyDelay makes a replica apply each entry this long after it was
// received.
func (s *Server) SetApplyDelay(d time.Duration) {
	s.setHook(func(h *replicationHooks) { h.lagTime = d })
}

func (s *Server) setHook(set func(*replicationHooks)) {
	n := s.currentNode()
	n.mu.Lock()
	defer n.mu.Unlock()
	set(&n.hooks)
	n.notify()
}

// SetConnectDelay changes Options.ConnectDelay.
func (s *Server) SetConnectDelay(d time.Duration) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.connectDelay = d
}

// SetStatementDuration changes Options.StatementDuration.
func (s *Server) SetStatementDuration(d time.Duration) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.statementDuration = d
}

// Record starts or stops recording the bytes that clients send. Starting
// discards the previous recording. At most 64 MiB are kept.
func (s *Server) Record(on bool) {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	if on {
		s.recorder.bytes = nil
	}
	s.recorder.on = on
}

// Recorded returns the bytes that clients sent during the last recording.
func (s *Server) Recorded() []byte {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	return append([]byte(nil), s.recorder.bytes...)
}

// Counters returns a snapshot of the counters.
func (s *Server) Counters() Counters {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	return s.limiter.counters
}
