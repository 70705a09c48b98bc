package routing

import (
	"math"
	"slices"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// State is the routing state of one VM. Use New to create one.
type State struct {
	zone    model.Zone
	groups  map[model.Database]*group
	budgets map[model.Workspace]*retryBudget
	// batches is a slab, so that a batch needs no allocation. freeSlots are the
	// indexes of its unused slots.
	batches   []batch
	freeSlots []int32
	slotByID  map[uint64]int32
	// waiting has the slots of the batches that wait for a retry or a primary, in
	// the order in which they started to wait.
	waiting []int32
	// spareWaiting is a second buffer, which retryWaiting swaps with waiting.
	spareWaiting []int32
}

// New returns a State without groups for a VM in the zone.
func New(zone model.Zone) *State {
	return &State{
		zone:     zone,
		groups:   make(map[model.Database]*group),
		budgets:  make(map[model.Workspace]*retryBudget),
		slotByID: make(map[uint64]int32),
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
		return s.startBatch(now, ev, out)
	case AttemptEnded:
		return s.endAttempt(now, ev, out)
	case HolderUnreachable, HolderReachable:
		if g := s.groups[ev.Database]; g != nil {
			g.setReachable(now, ev)
		}
	case PrimaryKnown:
		if g := s.groups[ev.Database]; g != nil && g.observePrimary(ev.Primary, ev.PrimaryTerm) {
			return s.retryWaiting(now, out)
		}
	case BatchCanceled:
		s.cancel(ev.ID)
	case Tick:
		return s.retryWaiting(now, out)
	}
	return out
}

// configure adds or replaces a group.
func (s *State) configure(now model.Time, ev *Event, out []Effect) []Effect {
	g := s.groups[ev.Database]
	if g == nil {
		g = &group{}
		s.groups[ev.Database] = g
	}
	g.configure(ev.Upstreams)
	return s.retryWaiting(now, out)
}

// allocate assigns an unused slot to the batch with the ID and returns it.
func (s *State) allocate(id uint64) int32 {
	var slot int32
	if n := len(s.freeSlots); n > 0 {
		slot = s.freeSlots[n-1]
		s.freeSlots = s.freeSlots[:n-1]
	} else {
		slot = int32(len(s.batches))
		s.batches = append(s.batches, batch{})
	}
	s.slotByID[id] = slot
	return slot
}

// release removes a batch and frees its slot.
func (s *State) release(slot int32) {
	b := &s.batches[slot]
	s.endProbe(b)
	delete(s.slotByID, b.id)
	if b.waiting {
		s.waiting = slices.DeleteFunc(s.waiting, func(w int32) bool { return w == slot })
	}
	*b = batch{}
	s.freeSlots = append(s.freeSlots, slot)
}

// cancel removes a batch and ends its attempt, if any.
func (s *State) cancel(id uint64) {
	slot, found := s.slotByID[id]
	if !found {
		return
	}
	b := &s.batches[slot]
	if g := s.groups[b.database]; g != nil {
		g.removeOutstanding(b.upstream)
	}
	s.release(slot)
}

// NextTick returns when the next Tick is due. Earlier ticks are harmless.
func (s *State) NextTick(now model.Time) model.Time {
	next := model.Time(math.MaxInt64)
	for _, slot := range s.waiting {
		b := &s.batches[slot]
		next = min(next, b.retryAt, b.deadline)
	}
	return max(next, now)
}
