package membership

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// reachableTimeout is how long after its last contact a peer counts as reachable.
const reachableTimeout = time.Second

// peer is the state of another VM, taken from its reports.
type peer struct {
	zone        model.Zone
	incarnation uint64
	// lastContact is the latest time at which the peer is known to have run.
	lastContact model.Time
	// steadyAt is the time of the peer's newest steady report, and steadyEpoch
	// the epoch of that report. They are valid if steady is set.
	steadyAt    model.Time
	steadyEpoch uint64
	steady      bool
	// releasedEpoch is the epoch in which the peer released all its items.
	releasedEpoch uint64
}

// handleReport processes a peer's report. Its confirmations are dated
// conservatively: from ev.SentAt, before which the peer cannot have composed the
// report, minus their age at the peer.
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

// peerFor returns the state of the reporting peer, which it creates if needed. It
// returns nil if the report is from an earlier incarnation of the peer.
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

// updateSteady records that the peer knew of no epoch above epoch at t.
func (p *peer) updateSteady(epoch uint64, t model.Time) {
	if p.steady && (epoch < p.steadyEpoch || (epoch == p.steadyEpoch && t <= p.steadyAt)) {
		return
	}
	p.steady = true
	p.steadyEpoch = epoch
	p.steadyAt = t
}

// confirmFromMembers confirms the own zone's epoch at the time of the oldest
// steady report if all members have sent one for this epoch.
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

// selfSteady returns the time at which this VM can report itself steady, and
// whether it can. The time is now or, after a write with an unknown outcome,
// that of the oldest steady report of the VMs that the write may have added.
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

// Report returns the report about a zone that this VM sends to its peers at now.
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

// updateReleasedEpoch records that this VM has released all its items. It does so
// only after takeoverDelay, when the owners of earlier epochs have expired and
// no other VM can still own any of these items.
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

// ConfirmedUntil returns the time until which this VM may act on its zone's
// newest epoch. It is 0 if that epoch was never confirmed.
func (s *State) ConfirmedUntil() model.Time {
	confirmedUntil, _ := s.ownZone().confirmedUntil(s.config.EpochTTL)
	return confirmedUntil
}
