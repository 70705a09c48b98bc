package replicaset

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// evidence is a commit watermark: the log of the primary of term reached position
// at time at or later, so a log that reaches position contains every commit
// acknowledged before at.
type evidence struct {
	at       model.Time
	position model.Position
	term     uint64
	// learnedAt is when this VM learned of it.
	learnedAt model.Time
}

// Evidence is a commit watermark of a service: a log that reaches Position
// contains every commit acknowledged before At. Term is the term of the primary
// at that time.
type Evidence struct {
	At       model.Time
	Position model.Position
	Term     uint64
}

// public returns e as other packages see it.
func (e evidence) public() Evidence { return Evidence{At: e.at, Position: e.position, Term: e.term} }

// addEvidence appends evidence, which is stored in order of time. It ignores
// evidence that is not newer than the newest stored one or of an earlier term, and
// drops stored evidence older than evidenceRetention. It reports whether it has stored e.
func (g *group) addEvidence(now model.Time, e evidence) (added bool) {
	e.learnedAt = now
	n := len(g.evidence)
	if n > 0 {
		newest := &g.evidence[n-1]
		if e.term < newest.term || e.at <= newest.at {
			return false
		}
		if n > 1 && newest.at.Sub(g.evidence[n-2].at) < evidenceMinInterval {
			*newest = e
			return true
		}
	}
	g.evidence = append(g.evidence, e)
	old := 0
	for old < len(g.evidence)-1 && now.Sub(g.evidence[old].at) > evidenceRetention {
		old++
	}
	if old > 0 {
		g.evidence = append(g.evidence[:0], g.evidence[old:]...)
	}
	return true
}

// addReplicaEvidence derives evidence from the replicas alone while the primary
// does not answer. A commit is acknowledged only after a replica has received it,
// so the replica with the longest log has every acknowledged commit. This requires
// that all replicas are known: the list of upstreams has to be complete and recent, the
// group must not be smaller than it was, except for upstreams that have left as announced,
// and one of the replicas must have caught up since the last one has left. A replacement
// may not be listed yet, so the evidence is dated before the list; see listCovers.
func (s *State) addReplicaEvidence(now model.Time, g *group, out []Effect) []Effect {
	if g.syncReplicas == 0 || g.lastPrimary == "" || !s.listComplete() || now.Sub(s.listedAt) > maxListAge {
		return out
	}
	if g.incompleteSince != 0 || g.mayLackMember(now) || g.members[g.lastPrimary] == nil {
		return out
	}
	if g.primary != "" && !g.members[g.lastPrimary].Failing() {
		return out
	}
	combined := evidence{at: now, term: g.primaryTerm}
	replicas := 0
	for id, m := range g.members {
		if m.Status.Term > g.primaryTerm {
			return out
		}
		if id == g.lastPrimary {
			continue
		}
		if !m.hasAnsweredWithTerm() || now.Sub(m.StatusAt) > maxReplicaStatusAge || m.Status.Primary {
			return out
		}
		replicas++
		combined.at = min(combined.at, m.StatusAt)
		combined.position = combined.position.Max(m.Status.Received)
	}
	if replicas == 0 || g.belowEvidence(combined) && !s.neverReceived(now, g, combined.at) {
		return out
	}
	combined.at = min(combined.at, s.listCovers(g))
	if !g.addEvidence(now, combined) || g.evidenceFromReplicas {
		return out
	}
	g.evidenceFromReplicas = true
	return append(out, Effect{
		Kind: EffectReplicaEvidence, Service: g.name, Upstream: g.lastPrimary, Term: combined.term, Evidence: combined.public(),
		Members: len(g.members), ListAge: now.Sub(s.listedAt),
	})
}

// listCovers returns the time up to which the list has every replica through which commits
// were passed on that the known ones lack, if VMs passed on such commits no longer than
// lateReceiptWindow after the last one that a registered replica has received. Once the list
// has the upstreams that had started by then, it covers all times up to its own. While the
// replicas receive commits, listingDelay is enough.
func (s *State) listCovers(g *group) model.Time {
	if s.listedAt >= g.replicaLog.at.Add(lateReceiptWindow+RegistrationTimeout) {
		return s.listedAt
	}
	return max(s.listedAt.Add(-RegistrationTimeout), min(s.listedAt.Add(-listingDelay), g.replicaLog.at))
}

// mayLackMember reports whether an upstream that is no member may still run.
func (g *group) mayLackMember(now model.Time) bool {
	return len(g.members) < g.fullMembers && now.Sub(g.removedAt) < departureTimeout
}

// belowEvidence reports whether newer evidence has a lower position than is known already
// for its term: an upstream has then lost its log, or is not known, or the primary's last
// commits were not received by any replica.
func (g *group) belowEvidence(e evidence) bool {
	n := len(g.evidence)
	return n > 0 && g.evidence[n-1].term == e.term && e.position.Compare(g.evidence[n-1].position) < 0
}

// neverReceived reports whether no replica has received the commits of the newest evidence
// that the replicas, which all answered at answeredAt or later, lack. Since this VM learned
// of them, none had them in an earlier answer, none that had started by then is missing from
// the list, and none had restarted.
func (s *State) neverReceived(now model.Time, g *group, answeredAt model.Time) bool {
	newest := &g.evidence[len(g.evidence)-1]
	if answeredAt <= newest.learnedAt {
		return false
	}
	if g.shortfall.at == 0 || g.shortfall.position != newest.position {
		g.shortfall = logReport{position: newest.position, at: now}
	}
	return s.listedAt >= g.shortfall.at.Add(RegistrationTimeout) && s.listCovers(g) == s.listedAt
}

// Floor returns the minimum log position of a read with the staleness bound: a log
// that reaches it has every commit acknowledged up to bound before now, and every
// commit up to the session's own position. age is the age of the evidence used. ok
// is false if no evidence is recent enough.
func (s *State) Floor(now model.Time, service catalog.Service, bound time.Duration, session model.Position) (floor model.Position, age time.Duration, ok bool) {
	g := s.groups[service]
	if g == nil {
		return model.Position{}, 0, false
	}
	oldest := now.Add(-(bound - freshnessMargin))
	for i := range g.evidence {
		e := &g.evidence[i]
		if e.at < oldest {
			continue
		}
		if session.Term.Counter < e.term {
			// Evidence of a later term covers every commit acknowledged
			// before it. The session's position is ignored because a
			// promotion may have rolled it back.
			return e.position, now.Sub(e.at), true
		}
		return e.position.Max(session), now.Sub(e.at), true
	}
	return model.Position{}, 0, false
}

// NewestEvidence returns the newest evidence of a service. It returns false if
// there is none.
func (s *State) NewestEvidence(service catalog.Service) (Evidence, bool) {
	g := s.groups[service]
	if g == nil || len(g.evidence) == 0 {
		return Evidence{}, false
	}
	return g.evidence[len(g.evidence)-1].public(), true
}
