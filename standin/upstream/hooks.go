package upstream

// The hooks of replication need an upstream that was started once. They stay
// set over Kill and Restart.

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Pause freezes all answers of the upstream, replication included, until
// Resume. What was received before still takes effect.
func (s *Server) Pause() { s.gate.set(false) }

// Resume sends the answers that Pause held back.
func (s *Server) Resume() { s.gate.set(true) }

// Partition cuts replication to and from the upstream: it neither pulls the
// log nor serves it. Clients still reach it.
func (s *Server) Partition(on bool) {
	s.setHook(func(h *replicationHooks) { h.partitioned = on })
}

// SetReceiveStopped keeps a replica from receiving entries.
func (s *Server) SetReceiveStopped(on bool) {
	s.setHook(func(h *replicationHooks) { h.receiveStopped = on })
}

// SetApplyLag holds the applied position of a replica back by a number of
// entries.
func (s *Server) SetApplyLag(entries model.LogPos) {
	s.setHook(func(h *replicationHooks) { h.lagEntries = entries })
}

// SetApplyDelay makes a replica apply each entry this long after it arrived.
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

// SetConnectDelay changes the delay of new sessions.
func (s *Server) SetConnectDelay(d time.Duration) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.connectDelay = d
}

// SetStatementDuration changes what is added to each statement.
func (s *Server) SetStatementDuration(d time.Duration) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.statementDuration = d
}

// Record starts or ends the recording of all bytes from clients. Starting
// discards what was recorded before. At most 64 MB are kept.
func (s *Server) Record(on bool) {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	if on {
		s.recorder.bytes = nil
	}
	s.recorder.on = on
}

// Recorded returns the bytes that clients sent while the recording was on.
func (s *Server) Recorded() []byte {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	return append([]byte(nil), s.recorder.bytes...)
}

// Counters returns the counters.
func (s *Server) Counters() Counters {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	return s.limiter.counters
}
