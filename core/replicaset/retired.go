package replicaset

import "github.com/chervilhatch/chervilhatch/core/model"

// recordLeaving records when a list first said that m is leaving. The list was read before now; m may
// have announced that it leaves at any time until then.
func (m *Member) recordLeaving(now model.Time) {
	switch {
	case !m.Leaving:
		m.leavingListedAt, m.RetiredAt = 0, 0
	case m.leavingListedAt == 0:
		m.leavingListedAt = now
	}
}

// recordOlderEntry records that a list has an older entry than the last one of m, as when the store has come back
// from a copy. VMs that have only this list do not know that m is leaving.
func (m *Member) recordOlderEntry() { m.leavingListedAt, m.RetiredAt = 0, 0 }

// retire marks the leaving upstreams as retired that leave by the lists of all voters. Without voters it is not
// known which VMs pass commits on.
func (s *State) retire(now model.Time) {
	if len(s.voters) == 0 {
		return
	}
	oldest := now
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
