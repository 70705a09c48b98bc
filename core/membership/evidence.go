package membership

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// reachableTimeout is how long a peer counts as reachable after the time of its
// last report.
const reachableTimeout = time.Second

// peer is what another VM has reported.
type peer struct {
	zone        model.Zone
	incarnation uint64
	// lastContact is when the peer certainly still ran.
	lastContact model.Time
	// steadyAt is the time of its newest statement that it knows of no epoch
	// above steadyEpoch.
	steadyAt    model.Time
	steadyEpoch uint64
	steady      bool
	// releasedEpoch is the epoch in which the peer gave up all it owned.
	releasedEpoch uint64
}

// handleReport takes a peer's handleReport. Evidence in it counts from the time before
// which the peer had not composed it, less its age at the peer.
func (s *State) handleReport(ev *Event, out []Effect) []Effect {
	r := &ev.Report
	if r.From == s.config.Self {
		return out
	}
	p := s.peerFor(r)
	if p == nil {
		return out
	}
	p.lastContact = max(p.lastContact, ev.SentAt)
	if r.Record.Epoch > 0 || r.Confirmed {
		out = s.learn(r.Record, out)
	}
	if r.Confirmed {
		s.confirm(s.zone(r.Record.Zone), r.Record.Epoch, ev.SentAt.Add(-r.RecordAge))
	}
	if r.Record.Zone != r.FromZone {
		return out
	}
	if r.ReleasedEpoch > p.releasedEpoch {
		p.releasedEpoch = r.ReleasedEpoch
		s.ownersChanged = true
	}
	if r.Steady {
		p.updateSteady(r.Record.Epoch, ev.SentAt.Add(-r.SteadyAge))
	}
	return out
}

// peerFor returns the reporting peer, or nil if the report is of an earlier
// incarnation.
func (s *State) peerFor(r *Report) *peer {
	p := s.peers[r.From]
	if p != nil && r.Incarnation < p.incarnation {
		return nil
	}
	if p == nil || r.Incarnation > p.incarnation {
		p = &peer{zone: r.FromZone, incarnation: r.Incarnation}
		s.peers[r.From] = p
	}
	return p
}

// updateSteady takes a statement that the peer knew of no epoch above epoch at t.
func (p *peer) updateSteady(epoch uint64, t model.Time) {
	if p.steady && (epoch < p.steadyEpoch || (epoch == p.steadyEpoch && t <= p.steadyAt)) {
		return
	}
	p.steady = true
	p.steadyEpoch = epoch
	p.steadyAt = t
}

// confirmFromMembers takes the statements of all members as evidence.
func (s *State) confirmFromMembers() {
	z := s.ownZone()
	r := z.record()
	if !s.isMember() {
		return
	}
	at, steady := s.selfSteady()
	if !steady {
		return
	}
	for _, m := range r.Members {
		if m == s.self {
			continue
		}
		p := s.peers[m.VM]
		if p == nil || p.incarnation != m.Incarnation || !p.steady || p.steadyEpoch != r.Epoch {
			return
		}
		at = min(at, p.steadyAt)
	}
	z.confirm(r.Epoch, at)
}

// selfSteady returns the time of the statement that this VM can make: now, or,
// after a write with an unknown outcome, the oldest statement of the VMs that
// the write may have added.
func (s *State) selfSteady() (model.Time, bool) {
	z := s.ownZone()
	if !z.isKnown() || s.resumed {
		return 0, false
	}
	at := s.now
	if z.pending == nil {
		return at, true
	}
	for _, m := range z.pending.members {
		if hasMember(z.record().Members, m) || m == s.self {
			continue
		}
		p := s.peers[m.VM]
		if p == nil || p.incarnation != m.Incarnation || !p.steady || p.steadyEpoch > z.record().Epoch {
			return 0, false
		}
		at = min(at, p.steadyAt)
	}
	return at, true
}

// Report returns what this VM tells its peers about a zone at now.
func (s *State) Report(now model.Time, zone model.Zone) Report {
	now = max(now, s.now)
	z := s.zones[zone]
	if z == nil {
		z = &zoneState{zone: zone}
	}
	r := Report{
		From: s.config.Self, FromZone: s.config.Zone,
		Incarnation: s.config.Incarnation, Record: z.record(),
	}
	if confirmedUntil, ok := z.confirmedUntil(s.config.EpochTTL); ok && now < confirmedUntil {
		r.Confirmed = true
		r.RecordAge = now.Sub(z.confirmedAt)
	}
	if zone != s.config.Zone {
		return r
	}
	if at, ok := s.selfSteady(); ok {
		r.Steady = true
		r.SteadyAge = now.Sub(at)
		if z.pending == nil {
			r.SteadyAge = 0
		}
	}
	r.ReleasedEpoch = s.releasedEpoch
	return r
}

// updateReleasedEpoch notes that this VM has given up all it owned, once it had waited
// for all of it, so that nobody else can still own any of it.
func (s *State) updateReleasedEpoch() {
	if !s.stopped || !s.isMember() {
		return
	}
	z := s.ownZone()
	newest := z.history[len(z.history)-1]
	if s.now >= newest.learnedAt.Add(s.takeoverDelay()) {
		s.releasedEpoch = newest.record.Epoch
	}
}

// ConfirmedUntil returns when the own zone's epoch may not be acted on any
// more; it is 0 without evidence.
func (s *State) ConfirmedUntil() model.Time {
	confirmedUntil, _ := s.ownZone().confirmedUntil(s.config.EpochTTL)
	return confirmedUntil
}
