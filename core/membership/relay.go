package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// RelayCandidates returns the VMs of a zone in the order in which they become its
// relay: the first one that is reachable is.
func (s *State) RelayCandidates(zone model.Zone) []model.VMID {
	z := s.zones[zone]
	if z == nil {
		return nil
	}
	return byScore(zone, z.record().Members)
}

// byScore returns the members' ids, highest score first.
func byScore(zone model.Zone, members []Member) []model.VMID {
	ids := make([]model.VMID, len(members))
	for i, m := range members {
		ids[i] = m.VM
	}
	key := relayKey(zone)
	sort.Slice(ids, func(i, j int) bool {
		a := score(xxhash.Sum64String(string(ids[i])), key)
		b := score(xxhash.Sum64String(string(ids[j])), key)
		if a != b {
			return a > b
		}
		return ids[i] < ids[j]
	})
	return ids
}

// runRelay updates the role and does the relay's work.
func (s *State) runRelay(out []Effect) []Effect {
	relay := s.shouldRelay()
	if relay && !s.relay {
		s.readAt = s.now
		out = append(out, Effect{Kind: EffectRelayStarted, Zone: s.config.Zone})
	}
	if !relay && s.relay {
		out = append(out, Effect{Kind: EffectRelayStopped, Zone: s.config.Zone})
	}
	s.relay = relay
	if !relay {
		return out
	}
	out = s.readRecords(out)
	out = s.writeOwn(out)
	return s.emptyDeadZones(out)
}

// shouldRelay reports whether this VM is the first reachable candidate. Two VMs
// that do not reach each other may both be; the compare-and-swap decides.
func (s *State) shouldRelay() bool {
	for _, id := range byScore(s.config.Zone, s.candidates()) {
		if id == s.config.Self {
			return true
		}
		if s.reachable(id) {
			return false
		}
	}
	return false
}

// candidates returns the members that may run, or the listed VMs if there is
// none.
func (s *State) candidates() []Member {
	var valid []Member
	for _, m := range s.own().record().Members {
		if !s.isGone(m) {
			valid = append(valid, m)
		}
	}
	if len(valid) > 0 {
		return valid
	}
	for _, vm := range s.listed {
		valid = append(valid, Member{VM: vm.ID})
	}
	return valid
}

func (s *State) reachable(id model.VMID) bool {
	p := s.peers[id]
	return p != nil && s.now.Sub(p.contact) < contactBound
}

// isGone reports whether a member no longer runs: it was restarted, or it is
// missing from the list and was not heard of for EpochTTL. The list lags, so the
// time without contact counts from before it is missing.
func (s *State) isGone(m Member) bool {
	if m.VM == s.config.Self {
		return m.Incarnation < s.config.Incarnation
	}
	p := s.peers[m.VM]
	if p != nil && p.incarnation > m.Incarnation {
		return true
	}
	if !s.hasList {
		return false
	}
	if _, listed := s.vms[m.VM]; listed {
		return false
	}
	since := s.missingSince[m.VM]
	if p != nil && p.contact > 0 {
		since = p.contact
	}
	return s.now.Sub(since) >= s.wait()
}

// readRecords asks for the own record and those of zones without members.
func (s *State) readRecords(out []Effect) []Effect {
	if s.now < s.readAt {
		return out
	}
	s.readAt = s.now.Add(s.config.ReadInterval)
	for _, z := range s.order {
		if z.zone == s.config.Zone || len(z.record().Members) == 0 || s.isDead(z) {
			out = append(out, Effect{Kind: EffectReadRecord, Zone: z.zone})
		}
	}
	return out
}

// isDead reports whether all members of another zone are gone.
func (s *State) isDead(z *zoneState) bool {
	for _, m := range z.record().Members {
		if !s.isGone(m) {
			return false
		}
	}
	return true
}

// writeOwn writes the next epoch of the own zone when its members change.
func (s *State) writeOwn(out []Effect) []Effect {
	z := s.own()
	if !s.mayWrite(z) {
		return out
	}
	members := s.desired()
	if z.pending == nil && sameMembers(members, z.record().Members) {
		return out
	}
	return s.write(z, members, out)
}

// mayWrite reports whether this VM may write the zone's next epoch: it knows
// the store's revision of the newest one, no write is underway, and it is a
// member or no member runs any more.
func (s *State) mayWrite(z *zoneState) bool {
	if !s.hasList || !z.isKnown() || !z.hasRevision || z.revisionEpoch != z.record().Epoch {
		return false
	}
	if z.pending != nil && z.pending.waiting {
		return false
	}
	return s.isMember() || s.isDead(z)
}

// desired returns the members that the own zone should have, by id.
func (s *State) desired() []Member {
	var members []Member
	for _, m := range s.own().record().Members {
		if !s.isGone(m) && !s.hasLeft(m) {
			members = append(members, m)
		}
	}
	for _, vm := range s.listed {
		if m, joins := s.joining(vm); joins && memberIndex(members, m.VM) < 0 {
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].VM < members[j].VM })
	return members
}

// hasLeft reports whether a member has given up all it owned, to stop.
func (s *State) hasLeft(m Member) bool {
	epoch := s.own().record().Epoch
	if m == s.self {
		return s.releasedEpoch == epoch
	}
	p := s.peers[m.VM]
	return p != nil && p.incarnation == m.Incarnation && p.releasedEpoch == epoch
}

// joining returns the member that a listed VM becomes, if it runs and stays.
func (s *State) joining(vm VM) (Member, bool) {
	if vm.Leaving {
		return Member{}, false
	}
	if vm.ID == s.config.Self {
		return s.self, !s.stopping
	}
	p := s.peers[vm.ID]
	if p == nil || !s.reachable(vm.ID) || p.releasedEpoch > 0 {
		return Member{}, false
	}
	return Member{VM: vm.ID, Incarnation: p.incarnation}, true
}

func sameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// write sends an attempt to write the next epoch. An earlier attempt of unknown
// outcome may still take effect, so its members stay in pending.
func (s *State) write(z *zoneState, members []Member, out []Effect) []Effect {
	if z.pending == nil {
		z.pending = &pendingWrite{}
	}
	p := z.pending
	for _, m := range members {
		if !hasMember(p.members, m) {
			p.members = append(p.members, m)
		}
	}
	p.waiting = true
	r := Record{Zone: z.zone, Epoch: z.record().Epoch + 1, Members: members}
	return append(out, Effect{
		Kind: EffectWriteRecord, Zone: z.zone, Epoch: r.Epoch, Record: r, Revision: z.revision,
	})
}

// writeDone takes the answer of a write. After an unknown outcome, the write is
// repeated until a higher epoch is known: an attempt may take effect late, but
// only while the store's revision is still the old one.
func (s *State) writeDone(ev *Event, out []Effect) []Effect {
	z := s.zone(ev.Record.Zone)
	if ev.Outcome == WriteUnknown {
		if z.pending != nil {
			z.pending.waiting = false
		}
		s.forgetRevision(z)
		return out
	}
	out = s.learn(ev.Record, out)
	s.confirm(z, ev.Record.Epoch, ev.SentAt)
	z.setRevision(ev.Record.Epoch, ev.Revision)
	return out
}

// forgetRevision makes the record be read before the next attempt.
func (s *State) forgetRevision(z *zoneState) {
	z.hasRevision = false
	s.readAt = min(s.readAt, s.now.Add(s.config.ReadInterval/writeRetryDivisor))
}

// writeRetryDivisor is the part of ReadInterval after which the record is read
// back when the answer to a write was lost.
const writeRetryDivisor = 4

// emptyDeadZones writes an empty record for zones whose members are all gone and
// which have no listed VM, so that other zones can take their upstreams.
func (s *State) emptyDeadZones(out []Effect) []Effect {
	if !s.hasList || !s.isMember() {
		return out
	}
	for _, z := range s.order {
		if z == s.own() || len(z.record().Members) == 0 || s.hasListed(z.zone) {
			continue
		}
		if chosen, _ := firstZone(s.livingZones(), zoneHash(z.zone)); chosen != s.config.Zone {
			continue
		}
		if s.isDead(z) && s.mayWrite(z) {
			out = s.write(z, nil, out)
		}
	}
	return out
}

// hasListed reports whether the platform lists a VM of the zone.
func (s *State) hasListed(zone model.Zone) bool {
	for _, vm := range s.vms {
		if vm.Zone == zone {
			return true
		}
	}
	return false
}

// livingZones returns the zones with members that may run.
func (s *State) livingZones() []model.Zone {
	var zones []model.Zone
	for _, z := range s.order {
		if len(z.record().Members) > 0 && !s.isDead(z) {
			zones = append(zones, z.zone)
		}
	}
	return zones
}
