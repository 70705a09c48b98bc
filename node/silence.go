package node

import (
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// silentAfter is how long an upstream answers no poll before the reads that
// run on it are interrupted.
const silentAfter = time.Second

// silence notes which upstreams do not answer the watcher's polls.
type silence struct {
	interrupt func(model.UpstreamID)

	mu sync.Mutex
	// answered is when the newest poll that was answered was sent.
	answered map[model.UpstreamID]model.Time
}

func newSilence(interrupt func(model.UpstreamID)) *silence {
	return &silence{interrupt: interrupt, answered: map[model.UpstreamID]model.Time{}}
}

// note takes in a poll that was sent at sentAt, and interrupts reads on an
// upstream at each failed poll while it is silent.
func (s *silence) note(u model.UpstreamID, sentAt model.Time, ok bool) {
	s.mu.Lock()
	last, known := s.answered[u]
	if ok {
		s.answered[u] = max(last, sentAt)
	}
	s.mu.Unlock()
	if !ok && known && sentAt.Sub(last) >= silentAfter {
		s.interrupt(u)
	}
}
