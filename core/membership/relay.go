package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// RelayCandidates returns the members of a zone in order of preference: the first
// one that is reachable is the zone's relay.
func (s *State) RelayCandidates(zone model.Zone) []model.VMID {
	z := s.zones[zone]
	if z == nil {
		return nil
	}
	return rankByScore(zone, z.record().Members)
}

// rankByScore returns the members' IDs, highest score first.
func rankByScore(zone model.Zone, members []Member) []model.VMID {
	ids := make([]model.VMID, len(members))
	for i, m := range members {
		ids[i] = m.VM
	}
	key := relayHash(zone)
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

// runRelay updates whether this VM is its zone's relay and, if it is, emits the
// reads and writes of records that are due.
func (s *State) runRelay(out []Effect) []Effect {
	relay := s.shouldBeRelay()
	if relay && !s.relay {
		s.nextRead = s.now
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
	out = s.writeOwnRecord(out)
	return s.clearDeadZones(out)
}

// shouldBeRelay reports whether this VM is the first reachable candidate. Two VMs
// that cannot reach each other may both be relays; their conflicting writes are
// resolved by the store's compare-and-swap.
func (s *State) shouldBeRelay() bool {
	for _, id := range rankByScore(s.config.Zone, s.eligibleRelays()) {
		if id == s.config.Self {
			return true
		}
		if s.reachable(id) {
			return false
		}
	}
	return false
}

// eligibleRelays returns the members that are not dead or, if there are none, the
// VMs of the zone in the platform's list.
func (s *State) eligibleRelays() []Member {
	var eligible []Member
	for _, m := range s.ownZone().record().Members {
		if !s.isMemberDead(m) {
			eligible = append(eligible, m)
		}
	}
	if len(eligible) > 0 {
		return eligible
	}
	for _, vm := range s.listed {
		eligible = append(eligible, Member{VM: vm.ID})
	}
	return eligible
}

func (s *State) reachable(id model.VMID) bool {
	p := s.peers[id]
	return p != nil && s.now.Sub(p.lastContact) < reachableTimeout
}

// isMemberDead reports whether a member no longer runs: it was restarted, or it is
// missing from the platform's list and was not in contact for takeoverDelay. That
// time counts from the last contact, if there was one, even if the VM was still
// listed then, because the list lags behind.
func (s *State) isMemberDead(m Member) bool {
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
	if p != nil && p.lastContact > 0 {
		since = p.lastContact
	}
	return s.now.Sub(since) >= s.takeoverDelay()
}

// readRecords emits reads of the own zone's record and of the records of empty
// and dead zones.
func (s *State) readRecords(out []Effect) []Effect {
	if s.now < s.nextRead {
		return out
	}
	s.nextRead = s.now.Add(s.config.ReadInterval)
	for _, z := range s.sortedZones {
		if z.zone == s.config.Zone || len(z.record().Members) == 0 || s.isZoneDead(z) {
			out = append(out, Effect{Kind: EffectReadRecord, Zone: z.zone})
		}
	}
	return out
}

// isZoneDead reports whether all members of a zone are dead.
func (s *State) isZoneDead(z *zoneState) bool {
	for _, m := range z.record().Members {
		if !s.isMemberDead(m) {
			return false
		}
	}
	return true
}

// writeOwnRecord writes the next epoch of the own zone if its members have to
// change or the outcome of an earlier write is unknown.
func (s *State) writeOwnRecord(out []Effect) []Effect {
	z := s.ownZone()
	if !s.mayWrite(z) {
		return out
	}
	members := s.desiredMembers()
	if z.pending == nil && sameMembers(members, z.record().Members) {
		return out
	}
	return s.write(z, members, out)
}

// mayWrite reports whether this VM may write the zone's next epoch: it knows the
// store revision of the newest epoch, no write is in flight, and it is a member
// or all members are dead.
func (s *State) mayWrite(z *zoneState) bool {
	if !s.hasList || !z.isKnown() || !z.hasRevision || z.revisionEpoch != z.record().Epoch {
		return false
	}
	if z.pending != nil && z.pending.inFlight {
		return false
	}
	return s.isMember() || s.isZoneDead(z)
}

// desiredMembers returns the members that the own zone should have, sorted by ID.
func (s *State) desiredMembers() []Member {
	var members []Member
	for _, m := range s.ownZone().record().Members {
		if !s.isMemberDead(m) && !s.hasLeft(m) {
			members = append(members, m)
		}
	}
	for _, vm := range s.listed {
		if m, joins := s.joiningMember(vm); joins && memberIndex(members, m.VM) < 0 {
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].VM < members[j].VM })
	return members
}

// hasLeft reports whether a member that is stopping has released all its items.
func (s *State) hasLeft(m Member) bool {
	epoch := s.ownZone().record().Epoch
	if m == s.self {
		return s.releasedEpoch == epoch
	}
	p := s.peers[m.VM]
	return p != nil && p.incarnation == m.Incarnation && p.releasedEpoch == epoch
}

// joiningMember returns the member to add for a listed VM, and whether to add it:
// the VM has to be reachable and must not be stopping.
func (s *State) joiningMember(vm VM) (Member, bool) {
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

// write emits a write of the next epoch. An earlier attempt with an unknown
// outcome may still take effect, so its members remain in pending.
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
	p.inFlight = true
	r := Record{Zone: z.zone, Epoch: z.record().Epoch + 1, Members: members}
	return append(out, Effect{
		Kind: EffectWriteRecord, Zone: z.zone, Epoch: r.Epoch, Record: r, Revision: z.revision,
	})
}

// handleWriteDone processes the result of a write. After an unknown outcome, the
// write is repeated until a higher epoch is known: an attempt may take effect
// late, but only while the store still has the old revision.
func (s *State) handleWriteDone(ev *Event, out []Effect) []Effect {
	z := s.zone(ev.Record.Zone)
	if ev.Outcome == WriteUnknown {
		if z.pending != nil {
			z.pending.inFlight = false
		}
		s.invalidateRevision(z)
		return out
	}
	out = s.learn(ev.Record, out)
	s.confirm(z, ev.Record.Epoch, ev.SentAt)
	z.setRevision(ev.Record.Epoch, ev.Revision)
	return out
}

// invalidateRevision forces a read of the record before the next write attempt.
func (s *State) invalidateRevision(z *zoneState) {
	z.hasRevision = false
	s.nextRead = min(s.nextRead, s.now.Add(s.config.ReadInterval/writeRetryDivisor))
}

// writeRetryDivisor sets the delay, ReadInterval/writeRetryDivisor, after which
// the record is read again when the outcome of a write is unknown.
const writeRetryDivisor = 4

// clearDeadZones writes an empty record for zones whose members are all dead and
// that have no VM in the platform's list, so that other zones can take over the
// seats of their upstreams. One live zone, chosen by hash, does this.
func (s *State) clearDeadZones(out []Effect) []Effect {
	if !s.hasList || !s.isMember() {
		return out
	}
	for _, z := range s.sortedZones {
		if z == s.ownZone() || len(z.record().Members) == 0 || s.hasListedVM(z.zone) {
			continue
		}
		if chosen, _ := topZone(s.liveZones(), zoneHash(z.zone)); chosen != s.config.Zone {
			continue
		}
		if s.isZoneDead(z) && s.mayWrite(z) {
			out = s.write(z, nil, out)
		}
	}
	return out
}

// hasListedVM reports whether the platform's list has a VM of the zone.
func (s *State) hasListedVM(zone model.Zone) bool {
	for _, vm := range s.vms {
		if vm.Zone == zone {
			return true
		}
	}
	return false
}

// liveZones returns the zones with at least one member that is not dead.
func (s *State) liveZones() []model.Zone {
	var zones []model.Zone
	for _, z := range s.sortedZones {
		if len(z.record().Members) > 0 && !s.isZoneDead(z) {
			zones = append(zones, z.zone)
		}
	}
	return zones
}
