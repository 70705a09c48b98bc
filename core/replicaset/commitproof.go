package replicaset

import (
	"slices"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// AcknowledgedCommit is a commit that a primary has acknowledged to this VM.
type AcknowledgedCommit struct {
	Service catalog.Service
	// Primary is the upstream that has acknowledged the commit, at AcknowledgedAt.
	Primary        model.UpstreamID
	AcknowledgedAt model.Time
	// Position is the end of the log of Primary after the commit.
	Position model.Position
}

// CommitProof is what a VM knows of an acknowledged commit: whether every later primary has it.
//
// Its primary has to be promised (see State.PromisedUntil) when it is passed on: a successor is then
// chosen from what the upstreams answer after the last promise has ended. And a replica that the choice
// asks has to have received it: one that is registered and stays or, if the successor has been chosen,
// that one. A replica that is not registered yet may never be, and the log of one that leaves goes
// with it.
type CommitProof struct {
	// Promised is true while the primary is promised in the term of the commit.
	Promised bool
	// Superseded is true if the primary of a later term is known and not known to have begun with
	// the commit in its log, so that there will be no proof.
	Superseded bool
	// Held is true if one of the replicas that may prove the commit is known to have received it.
	Held bool
	// Ask are the upstreams whose statuses may complete the proof.
	Ask []model.UpstreamID
}

// Sufficient reports whether the commit may be passed on to the caller.
func (p CommitProof) Sufficient() bool { return p.Promised && p.Held }

// CommitProof returns what is known of a commit of a service whose commits need a replica.
func (s *State) CommitProof(now model.Time, c *AcknowledgedCommit) CommitProof {
	g := s.groups[c.Service]
	if g == nil {
		return CommitProof{}
	}
	primary, term := c.Primary, c.Position.Term.Counter
	if g.inherits(c.Position) {
		primary, term = g.primary, g.primaryTerm
	}
	p := CommitProof{
		Promised:   s.PromisedUntil(primary) >= max(now, c.AcknowledgedAt) && g.promised.term == term,
		Superseded: g.primaryTerm > term && g.leads(),
	}
	p.Ask = s.CommitProvers(c.Service, primary)
	for _, id := range p.Ask {
		p.Held = p.Held || g.members[id].holdsIn(term, c.Position)
	}
	if g.primary != "" && g.primaryTerm > term && !p.Superseded {
		// Whether it began with the commit is not known yet.
		p.Ask = []model.UpstreamID{g.primary}
	}
	return p
}

// inheritedLog is the end of the log with which the primary of a term began.
type inheritedLog struct {
	term     uint64
	position model.Position
}

// recordInherited records the log with which a primary began, if it has no commit of its own term yet.
func (g *group) recordInherited(status *Status) {
	if status.Received.Term.Counter < status.Term && status.Term > g.inherited.term {
		g.inherited = inheritedLog{term: status.Term, position: status.Received}
	}
}

// inherits reports whether the present primary began with a commit of an earlier term in its log.
func (g *group) inherits(position model.Position) bool {
	i := &g.inherited
	return i.term != 0 && i.term == g.primaryTerm && i.position.Term == position.Term && i.position.Compare(position) >= 0
}

// leads reports whether the present primary has said that it leads its term.
func (g *group) leads() bool {
	m := g.members[g.primary]
	return m != nil && m.Status.Primary && m.Status.Term == g.primaryTerm
}

// CommitProvers returns the replicas whose receipt of a commit of the given primary proves that
// every later primary has it.
func (s *State) CommitProvers(service catalog.Service, primary model.UpstreamID) []model.UpstreamID {
	g := s.groups[service]
	if g == nil {
		return nil
	}
	return slices.DeleteFunc(g.ids(), func(id model.UpstreamID) bool {
		successor := g.promised.successor
		return id == primary || g.members[id].Leaving || successor != "" && id != successor
	})
}

// Holds reports whether a replica has said that it has received a commit, in the term of it, or
// that its reads see it.
func (m *Member) Holds(position model.Position) bool {
	return m.holdsIn(position.Term.Counter, position)
}

// holdsIn is Holds for a commit of term or one that the primary of term began with.
func (m *Member) holdsIn(term uint64, position model.Position) bool {
	s := &m.Status
	if !m.IsPrimary && m.Applied.Term.Counter == term && m.Applied.Compare(position) >= 0 {
		return true
	}
	return m.StatusAt != 0 && !s.Primary && s.Term == term && s.Received.Compare(position) >= 0
}

// CommitsConfirmed reports whether commits that a primary acknowledges from since on may be passed
// on, as far as is known before they are sent: it is promised, and a replica may prove them.
func (s *State) CommitsConfirmed(id model.UpstreamID, since model.Time) bool {
	return s.PromisedUntil(id) >= since && len(s.CommitProvers(s.services[id], id)) > 0
}
