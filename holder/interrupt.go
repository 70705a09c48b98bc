package holder

import (
	"errors"
	"sync"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// errSuperseded is the cause when a queued batch is refused because another
// upstream has become the primary.
var errSuperseded = errors.New("another upstream has become the primary")

// errUnresponsive is the cause when a queued batch is refused because the upstream
// does not answer.
var errUnresponsive = errors.New("the upstream does not answer")

// activeStreams knows what runs and waits on upstreams, so that it ends when
// another upstream becomes the primary or an upstream no longer answers. It
// would otherwise last until its deadline.
type activeStreams struct {
	mu sync.Mutex
	// running are the seats in use.
	running map[*checkout]*stream
	// queued are the streams that wait for a slot or a connection.
	queued map[*stream]struct{}
	// primaries are the newest known ones.
	primaries map[model.Database]primaryTerm
}

// primaryTerm is the primary of a term.
type primaryTerm struct {
	term    model.Term
	primary model.UpstreamID
}

func newActiveStreams() activeStreams {
	return activeStreams{
		running:   map[*checkout]*stream{},
		queued:    map[*stream]struct{}{},
		primaries: map[model.Database]primaryTerm{},
	}
}

// addQueued registers a stream that addQueued.
func (i *activeStreams) addQueued(s *stream) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.queued[s] = struct{}{}
}

func (i *activeStreams) removeQueued(s *stream) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.queued, s)
}

// superseded reports whether another term has begun since an assignment on a
// primary was made.
func (i *activeStreams) superseded(db model.Database, a Assignment) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return a.Primary && a.Term.Less(i.primaries[db].term)
}

// addRunning registers a seat, and interrupts it at once when it is on a primary
// whose term has ended since it was scheduled.
func (i *activeStreams) addRunning(s *stream, c *checkout) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running[c] = s
	if c.assignment.Primary && c.assignment.Term.Less(i.primaries[s.hello.Database].term) {
		c.conn.Close()
	}
}

func (i *activeStreams) removeRunning(c *checkout) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.running, c)
}

// Interrupt ends what an earlier primary of db still does: what runs there ends
// as outcome unknown, unless the upstream has answered already, and what is
// queued is refused as not run.
func (h *Holder) Interrupt(db model.Database, primary model.UpstreamID, t model.Term) {
	i := &h.activeStreams
	i.mu.Lock()
	defer i.mu.Unlock()
	old := i.primaries[db]
	if !old.term.Less(t) {
		return
	}
	i.primaries[db] = primaryTerm{t, primary}
	for checkout, s := range i.running {
		if s.hello.Database == db && checkout.assignment.Primary && checkout.assignment.Term.Less(t) {
			checkout.conn.Close()
		}
	}
	if old.primary == primary {
		return
	}
	for s := range i.queued {
		if s.upstream == old.primary {
			s.wait.stop(errSuperseded)
		}
	}
}

// InterruptReads ends what runs and waits on a replica that no longer answers.
// The router sends reads that passed nothing on to another upstream.
func (h *Holder) InterruptReads(u model.UpstreamID) {
	i := &h.activeStreams
	i.mu.Lock()
	defer i.mu.Unlock()
	for checkout, s := range i.running {
		if s.upstream == u && !checkout.assignment.Primary {
			checkout.conn.Close()
		}
	}
	for s := range i.queued {
		if s.upstream == u {
			s.wait.stop(errUnresponsive)
		}
	}
}
