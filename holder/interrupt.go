package holder

import (
	"context"
	"errors"
	"sync"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// errSuperseded is the cause when a queued batch is refused because another
// upstream has become the primary.
var errSuperseded = errors.New("another upstream has become the primary")

// interrupts knows what runs and waits on primaries, so that it ends when
// another upstream becomes the primary. On a primary that no longer answers it
// would otherwise last until its deadline.
type interrupts struct {
	mu sync.Mutex
	// running are the seats in use on primaries.
	running map[*seat]model.Database
	// queued are the streams that wait for a slot or a connection.
	queued map[*stream]context.CancelCauseFunc
	// primaries are the newest known ones.
	primaries map[model.Database]reign
}

// reign is the primary of a term.
type reign struct {
	term    model.Term
	primary model.UpstreamID
}

func newInterrupts() interrupts {
	return interrupts{
		running:   map[*seat]model.Database{},
		queued:    map[*stream]context.CancelCauseFunc{},
		primaries: map[model.Database]reign{},
	}
}

// wait registers a stream that waits, and stop ends its wait.
func (i *interrupts) wait(s *stream, stop context.CancelCauseFunc) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.queued[s] = stop
}

func (i *interrupts) waited(s *stream) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.queued, s)
}

// run registers a seat on a primary, and interrupts it at once when its term
// has ended since it was scheduled.
func (i *interrupts) run(db model.Database, t *seat) {
	if !t.assignment.Primary {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running[t] = db
	if t.assignment.Term.Less(i.primaries[db].term) {
		t.conn.Close()
	}
}

func (i *interrupts) ran(t *seat) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.running, t)
}

// Interrupt ends what an earlier primary of db still does: what runs there ends
// as outcome unknown, unless the upstream has answered already, and what is
// queued is refused as not run.
func (h *Holder) Interrupt(db model.Database, primary model.UpstreamID, t model.Term) {
	i := &h.interrupts
	i.mu.Lock()
	defer i.mu.Unlock()
	old := i.primaries[db]
	if !old.term.Less(t) {
		return
	}
	i.primaries[db] = reign{t, primary}
	for seat, used := range i.running {
		if used == db && seat.assignment.Term.Less(t) {
			seat.conn.Close()
		}
	}
	if old.primary == primary {
		return
	}
	for s, stop := range i.queued {
		if s.upstream == old.primary {
			stop(errSuperseded)
		}
	}
}
