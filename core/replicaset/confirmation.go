package replicaset

import "github.com/chervilhatch/chervilhatch/core/model"

// confirmation states that no other upstream becomes the primary before until than
// the given one, the primary of term. A former primary may continue to serve after
// a promotion, so that its own answers do not show whether it still is the primary.
type confirmation struct {
	upstream model.UpstreamID
	term     uint64
	until    model.Time
	source   ConfirmationSource
	// successor is set in promises only; see Event.Successor.
	successor model.UpstreamID
}

// ConfirmationSource is what a primary is confirmed by.
type ConfirmationSource uint8

// Sources of confirmations.
const (
	// SourceNone: the upstream is not confirmed.
	SourceNone ConfirmationSource = iota
	// SourceHolder: the holder of the promotion lease has confirmed it.
	SourceHolder
	// SourceVouchers: more than half of the voters vouch for it.
	SourceVouchers
	// SourceStatuses: the other upstreams have answered that they know of no later term.
	SourceStatuses
)

// String returns the name that log lines and metrics use.
func (c ConfirmationSource) String() string {
	return [...]string{"none", "holder", "vouchers", "statuses"}[c]
}

// ConfirmedUntil returns the time before which no other upstream than the given one
// becomes the primary of its service; 0 if that is not known. It may be in the
// future. A statement that arrived before it sees every commit that was acknowledged
// before its arrival, even if it runs later.
func (s *State) ConfirmedUntil(id model.UpstreamID) model.Time {
	until, _ := s.Confirmation(id)
	return until
}

// Confirmation returns ConfirmedUntil, and what the upstream is or was last confirmed by.
func (s *State) Confirmation(id model.UpstreamID) (until model.Time, source ConfirmationSource) {
	m, g := s.member(id)
	if m == nil || g.confirmed.upstream != id || g.confirmed.term != g.primaryTerm {
		return 0, SourceNone
	}
	return g.confirmed.until, g.confirmed.source
}

// PromisedUntil returns the time until which the holder of the promotion lease or the vouchers of
// other VMs have promised that no upstream is chosen to follow the given one, the primary of its
// service, or none but the successor that the promise names; 0 if there is no promise. A round of
// status queries confirms a primary for a moment that has passed, and promises nothing: the
// successor may have been chosen before.
func (s *State) PromisedUntil(id model.UpstreamID) model.Time {
	m, g := s.member(id)
	if m == nil || g.promised.upstream != id || g.promised.term != g.primaryTerm {
		return 0
	}
	return g.promised.until
}

// applyConfirmed applies a confirmation by the holder of the promotion lease. One
// that was asked for before the last withdrawal is void.
func (s *State) applyConfirmed(now model.Time, g *group, m *Member, ev *Event) {
	if ev.SentAt <= g.withdrawnAt {
		return
	}
	if ev.Term > m.steppedDownTerm {
		g.recordPrimary(now, m, ev.Term)
	}
	c := confirmation{upstream: m.ID, term: ev.Term, until: ev.Until, source: SourceHolder, successor: ev.Successor}
	s.promise(g, c)
	if ev.Successor != "" {
		// The successor may lead at any time, so neither reads nor vouchers can rely on this.
		return
	}
	if ev.SentAt > g.heardAt {
		g.heard, g.heardAt = c, ev.SentAt
	}
	g.confirm(now, c)
}

// applyWithdrawn ends the confirmation of the primary, but for a promise that names the
// successor. Until the next one, this VM neither vouches nor uses vouchers.
func (g *group) applyWithdrawn(now model.Time, successor model.UpstreamID) {
	g.withdrawnAt = now
	clear(g.vouchers)
	g.confirmed.until = min(g.confirmed.until, now)
	if successor == "" || g.promised.successor != successor {
		g.promised.until = min(g.promised.until, now)
	}
}

// promise adds a promise of the holder of the promotion lease or of vouchers.
func (s *State) promise(g *group, c confirmation) {
	if s.voteless || c.term < g.promised.term {
		return
	}
	if old := g.promised; c.upstream == old.upstream && c.term == old.term && c.successor == old.successor {
		c.until = max(c.until, old.until)
	}
	g.promised = c
}

// confirm adds a confirmation, unless the primary of a later term is known.
func (g *group) confirm(now model.Time, c confirmation) {
	if c.term < g.primaryTerm || c.term < g.confirmed.term {
		return
	}
	if old := g.confirmed; c.upstream == old.upstream && c.term == old.term && c.until < old.until {
		c.until, c.source = old.until, old.source
	}
	g.confirmed = c
	g.confirmEvidence(now)
}

// confirmByStatuses confirms the primary as of the oldest status of the other
// upstreams, if none of them has taken part in a later term. An upstream that this
// VM does not know may have been promoted, but not without a fence on one of the known
// ones, so with a fence the list of upstreams has to be complete and recent.
func (s *State) confirmByStatuses(now model.Time, g *group) {
	if g.primary == "" || len(g.members) < max(g.peakMembers, minConfirmingMembers) {
		return
	}
	allKnown := s.listComplete() && now.Sub(s.listedAt) <= maxListAge
	oldest := now
	for id, m := range g.members {
		if id == g.primary {
			continue
		}
		if !m.hasAnsweredWithTerm() || m.Status.Term > g.primaryTerm || m.Status.FencedTerm != 0 && !allKnown {
			return
		}
		if m.Status.Primary && m.Status.Term == g.primaryTerm {
			return
		}
		oldest = min(oldest, m.StatusAt)
	}
	g.confirm(now, confirmation{upstream: g.primary, term: g.primaryTerm, until: oldest, source: SourceStatuses})
}

// hasAnsweredWithTerm reports whether the upstream has answered a status query and still
// knows a term. One that has restarted without its log does not.
func (m *Member) hasAnsweredWithTerm() bool { return m.StatusAt != 0 && m.Status.Term != 0 }

// observePrimaryLog records how far the log of the primary m reached according to its
// own answer. This is evidence only up to the time for which m is confirmed as the
// primary.
func (g *group) observePrimaryLog(now model.Time, m *Member, e evidence) {
	if g.primary != m.ID || g.primaryTerm != e.term || e.term == g.observedLog.term && e.at <= g.observedLog.at {
		return
	}
	e.learnedAt = now
	g.observedLog, g.evidenceFromReplicas = e, false
	g.confirmEvidence(now)
}

// confirmEvidence adds the last observation of the primary's log to the evidence,
// dated no later than the primary is confirmed.
func (g *group) confirmEvidence(now model.Time) {
	e := g.observedLog
	if e.at == 0 || g.confirmed.upstream != g.primary || g.confirmed.term != e.term {
		return
	}
	e.at = min(e.at, g.confirmed.until)
	g.addEvidence(now, e)
}
