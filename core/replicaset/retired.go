package replicaset

import "github.com/chervilhatch/chervilhatch/core/model"

// recordLeaving records when a list first said that m is leaving.
func (m *Member) recordLeaving(listedAt model.Time) {
	switch {
	case !m.Leaving:
		m.leavingListedAt, m.RetiredAt = 0, 0
	case m.leavingListedAt == 0:
		m.leavingListedAt = listedAt
	}
}

// retire marks the leaving upstreams as retired that leave by the lists of all voters. Without voters it is not
// known which VMs pass commits on.
func (s *State) retire(now model.Time) {
	if len(s.voters) == 0 {
		return
	}
	oldest := s.listedAt
	for _, vm := range s.voters {
		oldest = min(oldest, s.peerListedAt[vm])
	}
	for _, g := range s.groups {
		for _, m := range g.members {
			if m.leavingListedAt != 0 && m.RetiredAt == 0 && m.leavingListedAt <= oldest {
				m.RetiredAt = now
			}
		}
	}
}
