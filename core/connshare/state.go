// Package connshare divides the connection limit of each upstream between the
// holders that own its main and its standby seat. It computes the connection
// budget of this VM for each upstream, and how many connections the VM keeps
// open while they are idle. The package is a pure reducer: it does no I/O, and
// only Apply changes its state.
package connshare

import (
	"sort"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// State has the seats of this VM and the demand for their upstreams.
type State struct {
	now       model.Time
	upstreams map[model.UpstreamID]*upstream
	// sorted has the upstreams by id, so that the order of effects does not depend
	// on the iteration order of the map.
	sorted []*upstream
}

// New returns a State without upstreams.
func New() *State {
	return &State{upstreams: make(map[model.UpstreamID]*upstream)}
}

// Apply processes one event and appends its effects to out. A now before that of
// an earlier call is replaced by the latest one.
func (s *State) Apply(now model.Time, ev *Event, out []Effect) []Effect {
	s.now = max(s.now, now)
	switch ev.Kind {
	case EventTick:
		return s.updateAll(out)
	case EventConfirmed:
		for _, u := range s.sorted {
			if u.zone == ev.Zone {
				u.extend(ev.Until)
			}
		}
		return s.updateAll(out)
	case EventUpstreamSet:
		s.set(ev)
	}
	u := s.upstreams[ev.Upstream]
	if u == nil {
		return out
	}
	s.applyTo(u, ev)
	out = u.update(s.now, out)
	if u.removed && !u.mayHaveConnections() {
		s.drop(u)
	}
	return out
}

func (s *State) applyTo(u *upstream, ev *Event) {
	switch ev.Kind {
	case EventUpstreamRemoved:
		u.removed = true
		u.limit = 0
	case EventGained:
		u.gain(s.now, ev)
	case EventLost:
		u.lose(ev)
	case EventOpenConnections:
		u.open = ev.Count
		u.openBudget = ev.Limit
	case EventDemand:
		u.demand.add(s.now, ev.Count)
	}
}

// Budget returns how many connections to the upstream this VM may have open at
// now. A seat that has ended does not count, even before the next tick.
func (s *State) Budget(now model.Time, id model.UpstreamID) int {
	u := s.upstreams[id]
	if u == nil {
		return 0
	}
	return u.budget(max(s.now, now))
}

func (s *State) set(ev *Event) {
	u := s.upstreams[ev.Upstream]
	if u == nil {
		u = &upstream{id: ev.Upstream}
		s.upstreams[u.id] = u
		i := s.index(u.id)
		s.sorted = append(s.sorted, nil)
		copy(s.sorted[i+1:], s.sorted[i:])
		s.sorted[i] = u
	}
	u.removed = false
	u.limit = ev.Limit
	u.slots = ev.Slots
	u.zone = ev.Zone
}

func (s *State) drop(u *upstream) {
	delete(s.upstreams, u.id)
	i := s.index(u.id)
	s.sorted = append(s.sorted[:i], s.sorted[i+1:]...)
}

func (s *State) index(id model.UpstreamID) int {
	return sort.Search(len(s.sorted), func(i int) bool { return s.sorted[i].id >= id })
}

func (s *State) updateAll(out []Effect) []Effect {
	for _, u := range s.sorted {
		out = u.update(s.now, out)
	}
	return out
}
