package holder

import (
	"errors"
	"sync"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// errSuperseded is the cause of refusing a queued batch after another upstream
// has become the primary.
var errSuperseded = errors.New("another upstream has become the primary")

// errUnresponsive is the cause of refusing a queued batch if its upstream does
// not answer.
var errUnresponsive = errors.New("the upstream does not answer")

// activeStreams tracks the running and queued batches, so that they can be
// interrupted when another upstream becomes the primary or their upstream stops
// answering. Otherwise they would last until their deadlines.
type activeStreams struct {
	mu sync.Mutex
	// running has the checkouts in use.
	running map[*checkout]*stream
	// queued has the streams that wait for a slot or a connection.
	queued map[*stream]struct{}
	// primaries has the newest known primary of each database.
	primaries map[model.Database]primaryTerm
}

// primaryTerm is a term and its primary.
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

// addQueued registers a stream that waits for a slot or a connection.
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

// superseded reports whether the assignment is for a primary whose term has
// been followed by a newer one.
func (i *activeStreams) superseded(db model.Database, a Assignment) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return a.Primary && a.Term.Less(i.primaries[db].term)
}

// addRunning registers a checkout. If it is for a primary whose term ended after
// the batch was scheduled, its connection is closed at once.
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

// Interrupt tells the holder that primary is the primary of db in term t. It
// interrupts the batches of earlier terms: a running write ends with outcome
// unknown unless the upstream has already answered. Batches queued for the
// previous primary are refused as not run if the primary has changed.
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

// InterruptReads interrupts the running and queued batches of a replica that no
// longer answers. The router retries a read on another upstream if no part of
// its answer has been passed on.
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
