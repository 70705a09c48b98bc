package membership

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// contactBound is how long a peer counts as reachable after the time of its
// last report.
const contactBound = time.Second

// peer is what another VM has reported.
type peer struct {
	zone        model.Zone
	incarnation uint64
	// contact is when the peer certainly still ran.
	contact model.Time
	// steadyAt is the time of its newest statement that it knows of no epoch
	// above steadyEpoch.
	steadyAt    model.Time
	steadyEpoch uint64
	steady      bool
	// releasedEpoch is the epoch in which the peer gave up all it owned.
	releasedEpoch uint64
}

// report takes a peer's report. Evidence in it counts from the time before
// which the peer had not composed it, less its age at the peer.
func (s *State) report(ev *Event, out []Effect) []Effect {
	r := &ev.Report
	if r.From == s.config.Self {
		return out
	}
	p := s.peerOf(r)
	if p == nil {
		return out
	}
	p.contact = max(p.contact, ev.SentAt)
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
		s.changed = true
	}
	if r.Steady {
		p.state(r.Record.Epoch, ev.SentAt.Add(-r.SteadyAge))
	}
	return out
}

// peerOf returns the reporting peer, or nil if the report is of an earlier
// incarnation.
func (s *State) peerOf(r *Report) *peer {
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

// state takes a statement that the peer knew of no epoch above epoch at t.
func (p *peer) state(epoch uint64, t model.Time) {
	if p.steady && (epoch < p.steadyEpoch || (epoch == p.steadyEpoch && t <= p.steadyAt)) {
		return
	}
	p.steady = true
	p.steadyEpoch = epoch
	p.steadyAt = t
}

// confirmByMembers takes the statements of all members as evidence.
func (s *State) confirmByMembers() {
	z := s.own()
	r := z.record()
	if !s.isMember() {
		return
	}
	at, steady := s.ownSteady()
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

// ownSteady returns the time of the statement that this VM can make: now, or,
// after a write with an unknown outcome, the oldest statement of the VMs that
// the write may have added.
func (s *State) ownSteady() (model.Time, bool) {
	z := s.own()
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
	if until, ok := z.until(s.config.EpochTTL); ok && now < until {
		r.Confirmed = true
		r.RecordAge = now.Sub(z.confirmedAt)
	}
	if zone != s.config.Zone {
		return r
	}
	if at, ok := s.ownSteady(); ok {
		r.Steady = true
		r.SteadyAge = now.Sub(at)
		if z.pending == nil {
			r.SteadyAge = 0
		}
	}
	r.ReleasedEpoch = s.releasedEpoch
	return r
}

// noteReleased notes that this VM has given up all it owned, once it had waited
// for all of it, so that nobody else can still own any of it.
func (s *State) noteReleased() {
	if !s.stopped || !s.isMember() {
		return
	}
	z := s.own()
	newest := z.history[len(z.history)-1]
	if s.now >= newest.learned.Add(s.wait()) {
		s.releasedEpoch = newest.record.Epoch
	}
}

// ConfirmedUntil returns when the own zone's epoch may not be acted on any
// more; it is 0 without evidence.
func (s *State) ConfirmedUntil() model.Time {
	until, _ := s.own().until(s.config.EpochTTL)
	return until
}
