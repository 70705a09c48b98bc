package node

import (
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// unresponsiveAfter is how long an upstream may leave polls unanswered before
// the reads that run on it are interrupted.
const unresponsiveAfter = time.Second

// unresponsiveDetector tracks which upstreams answer this VM's health polls.
type unresponsiveDetector struct {
	interrupt func(model.UpstreamID)

	mu sync.Mutex
	// lastAnswered is when the latest answered poll of each upstream was sent.
	lastAnswered map[model.UpstreamID]model.Time
}

func newUnresponsiveDetector(interrupt func(model.UpstreamID)) *unresponsiveDetector {
	return &unresponsiveDetector{interrupt: interrupt, lastAnswered: map[model.UpstreamID]model.Time{}}
}

// recordPoll records the result of a poll sent at sentAt. Each failed poll
// interrupts the reads on the upstream once it has been unresponsive for
// unresponsiveAfter. An upstream that has never answered a poll is left alone.
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
