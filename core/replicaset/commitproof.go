package replicaset

import (
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

// CommitProof is what a VM knows of an acknowledged commit: whether it is on registered replicas
// or is going to be.
type CommitProof struct {
	// Held is true if a registered replica is known to have received the commit.
	Held bool
	// ReceivedSince is a time since which a registered replica has received a commit of the
	// same term, and Receiving is true if that is within CommitProofWindow.
	ReceivedSince model.Time
	Receiving     bool
	// Crossed is true if the acknowledgement has crossed zones while the primary was
	// confirmed, or if no replica is outside of the primary's zone.
	Crossed bool
	// Replicas is true if a replica is registered.
	Replicas bool
	// SameZone is true if the primary is in this VM's zone.
	SameZone bool
	// Elsewhere are the registered replicas outside of the primary's zone.
	Elsewhere []Member
}

// Sufficient reports whether the commit may be passed on to the caller. reached tells whether
// another zone has answered a question sent after the acknowledgement.
func (p *CommitProof) Sufficient(reached bool) bool {
	return p.Held || !p.Replicas || p.Receiving && (p.Crossed || p.SameZone && reached)
}

// CommitProof returns what is known of a commit of a service whose commits need a replica. zone is
// that of this VM.
func (s *State) CommitProof(now model.Time, zone model.Zone, c *AcknowledgedCommit) CommitProof {
	primary, found := s.Member(c.Primary)
	p := CommitProof{
		SameZone:      found && primary.Zone == zone,
		ReceivedSince: s.ReceivedSince(c.Service, c.Position.Term),
	}
	p.Receiving = p.ReceivedSince != 0 && now.Sub(p.ReceivedSince) <= CommitProofWindow
	p.Crossed = found && !p.SameZone && s.ConfirmedUntil(c.Primary) >= now
	for _, id := range s.Upstreams(c.Service) {
		m, _ := s.Member(id)
		if id == c.Primary {
			continue
		}
		p.Replicas = true
		p.Held = p.Held || m.Holds(c.Position)
		if !found || m.Zone != primary.Zone {
			p.Elsewhere = append(p.Elsewhere, m)
		}
	}
	p.Crossed = p.Crossed || len(p.Elsewhere) == 0
	return p
}

// Holds reports whether a replica has said that it has received a commit, in the term of it, or
// that its reads see it.
func (m *Member) Holds(position model.Position) bool {
	s := &m.Status
	if !m.IsPrimary && m.Applied.Term == position.Term && m.Applied.Compare(position) >= 0 {
		return true
	}
	return m.StatusAt != 0 && !s.Primary && s.Term == position.Term.Counter && s.Received.Compare(position) >= 0
}

// CommitsConfirmed reports whether commits that a primary acknowledges from since on may be passed
// on, as far as the choice of the primary goes.
func (s *State) CommitsConfirmed(id model.UpstreamID, since model.Time) bool {
	return s.ConfirmedUntil(id) >= since
}
