package node

import (
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// unresponsiveAfter is how long an upstream answers no poll before the reads that
// run on it are interrupted.
const unresponsiveAfter = time.Second

// unresponsiveDetector notes which upstreams do not answer the watcher's polls.
type unresponsiveDetector struct {
	interrupt func(model.UpstreamID)

	mu sync.Mutex
	// lastAnswered is when the newest poll that was lastAnswered was sent.
	lastAnswered map[model.UpstreamID]model.Time
}

func newUnresponsiveDetector(interrupt func(model.UpstreamID)) *unresponsiveDetector {
	return &unresponsiveDetector{interrupt: interrupt, lastAnswered: map[model.UpstreamID]model.Time{}}
}

// recordPoll takes in a poll that was sent at sentAt, and interrupts reads on an
// upstream at each failed poll while it is silent.
func (s *unresponsiveDetector) recordPoll(u model.UpstreamID, sentAt model.Time, ok bool) {
	s.mu.Lock()
	last, known := s.lastAnswered[u]
	if ok {
		s.lastAnswered[u] = max(last, sentAt)
	}
	s.mu.Unlock()
	if !ok && known && sentAt.Sub(last) >= unresponsiveAfter {
		s.interrupt(u)
	}
}
