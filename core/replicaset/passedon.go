package replicaset

import (
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// recordPassedOn records that a commit up to position was passed on to a caller.
func (g *group) recordPassedOn(position model.Position) { g.passedOn = g.passedOn.Max(position) }

// PassedOn returns a position that every primary of a service has to reach: the end of the newest commit
// that this VM has passed on, or that a peer has told of. Other VMs may have passed on more. It is zero
// if none is known.
func (s *State) PassedOn(service catalog.Service) model.Position {
	g := s.groups[service]
	if g == nil {
		return model.Position{}
	}
	if i := &g.inherited; i.term > g.passedOn.Term.Counter && i.position.Compare(g.passedOn) < 0 {
		// The platform has made an upstream the primary that lacks the rest, which is lost.
		return i.position
	}
	return g.passedOn
}

// EvidenceUpTo returns the newest evidence of a service that a log up to position covers: the log has every
// commit acknowledged before that. It returns false if there is none.
func (s *State) EvidenceUpTo(service catalog.Service, position model.Position) (Evidence, bool) {
	g := s.groups[service]
	if g == nil {
		return Evidence{}, false
	}
	for i := len(g.evidence) - 1; i >= 0; i-- {
		if e := &g.evidence[i]; e.position.Compare(position) <= 0 {
			return e.public(), true
		}
	}
	return Evidence{}, false
}
