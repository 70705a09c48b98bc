package routing

import (
	"math"
	"slices"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// State is the routing state of one VM. The zero value is not usable; see New.
type State struct {
	zone    model.Zone
	groups  map[model.Database]*group
	budgets map[model.Workspace]*budget
	// batches are kept in a slab, so that a batch costs no allocation.
	batches []batch
	free    []int32
	byID    map[uint64]int32
	// waiting has the batches that wait for a retry or a primary, in the
	// order in which they began to wait.
	waiting []int32
	// spare is the buffer that retryWaiting exchanges with waiting.
	spare []int32
}

// New returns a state without groups for a VM of the zone.
func New(zone model.Zone) *State {
	return &State{
		zone:    zone,
		groups:  make(map[model.Database]*group),
		budgets: make(map[model.Workspace]*budget),
		byID:    make(map[uint64]int32),
	}
}

// Apply processes one event and appends its effects to out.
func (s *State) Apply(now model.Time, ev *Event, out []Effect) []Effect {
	switch ev.Kind {
	case GroupConfigured:
		return s.configure(now, ev, out)
	case GroupRemoved:
		delete(s.groups, ev.Database)
		return s.retryWaiting(now, out)
	case BatchRequested:
		return s.request(now, ev, out)
	case AttemptEnded:
		return s.answered(now, ev, out)
	case HolderUnreachable, HolderReachable:
		if g := s.groups[ev.Database]; g != nil {
			g.setReachable(now, ev)
		}
	case PrimaryKnown:
		if g := s.groups[ev.Database]; g != nil && g.learnPrimary(ev.Primary, ev.PrimaryTerm) {
			return s.retryWaiting(now, out)
		}
	case BatchCanceled:
		s.abandon(ev.ID)
	case Tick:
		return s.retryWaiting(now, out)
	}
	return out
}

func (s *State) configure(now model.Time, ev *Event, out []Effect) []Effect {
	g := s.groups[ev.Database]
	if g == nil {
		g = &group{}
		s.groups[ev.Database] = g
	}
	g.configure(ev.Upstreams)
	return s.retryWaiting(now, out)
}

// allocate returns an unused slot of the slab for the batch id.
func (s *State) allocate(id uint64) int32 {
	var at int32
	if n := len(s.free); n > 0 {
		at = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		at = int32(len(s.batches))
		s.batches = append(s.batches, batch{})
	}
	s.byID[id] = at
	return at
}

func (s *State) release(at int32) {
	b := &s.batches[at]
	s.endProbe(b)
	delete(s.byID, b.id)
	if b.waiting {
		s.waiting = slices.DeleteFunc(s.waiting, func(w int32) bool { return w == at })
	}
	*b = batch{}
	s.free = append(s.free, at)
}

func (s *State) abandon(id uint64) {
	at, found := s.byID[id]
	if !found {
		return
	}
	b := &s.batches[at]
	if g := s.groups[b.database]; g != nil {
		g.finished(b.upstream)
	}
	s.release(at)
}

// NextTick returns when the next Tick is due; an earlier one does no harm.
func (s *State) NextTick(now model.Time) model.Time {
	next := model.Time(math.MaxInt64)
	for _, at := range s.waiting {
		b := &s.batches[at]
		next = min(next, b.retryAt, b.deadline)
	}
	return max(next, now)
}
