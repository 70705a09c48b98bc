// Package membership keeps the zone records: which VMs belong to a zone, in
// numbered epochs, and who owns what by rendezvous hashing over them.
//
// # Why at most one VM owns an item
//
// A VM acts on an epoch only within EpochTTL of a time at which the epoch was
// certainly current. Evidence is dated on the VM's own clock, from before the
// question was sent, so delayed answers cannot prolong it. A VM that becomes
// the owner in epoch e waits EpochTTL and a clock margin after it learned of e,
// which is after e was written; then the evidence for all lower epochs has
// lapsed. It waits less only if the owner in e-1 released the item, which an
// owner does only if it had itself waited and has stopped.
//
// # Evidence without the store
//
// Only members of a record write its next epoch. If every member states that
// it knows of no higher epoch and has no write of one underway, there was none
// at the time of the oldest statement. Whether members can reach the store does
// not matter for this. A member whose write has an unknown outcome makes the
// statement only with that of all VMs that the write may have added: an epoch
// that none of its members knows of has no owners that act. A VM that is not a
// member writes only when all members are gone from the platform's list or
// were restarted, so that none of them runs any more.
//
// # Zones without members
//
// The seats of upstreams in a zone without members go to a zone chosen by hash
// among the others. Their owner needs evidence, and waits, for the empty
// records as for its own one.
//
// The package is pure: Apply is its only way to change. A State, its queries
// included, is for one goroutine at a time.
package membership

import (
	"sort"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// State is what this VM knows of the zones.
type State struct {
	config Config
	self   Member
	now    model.Time
	// started is true after the first event.
	started bool
	zones   map[model.Zone]*zoneState
	// sortedZones has the zones by name, so that effects do not depend on map sortedZones.
	sortedZones []*zoneState
	peers       map[model.VMID]*peer
	vms         map[model.VMID]VM
	// listed has the VMs of this zone by id.
	listed      []VM
	listVersion uint64
	hasList     bool
	// missingSince is when a member of any zone was first seen to be missing
	// from the list.
	missingSince map[model.VMID]model.Time
	released     map[releaseKey]release
	items        []*tracked
	// ownersChanged is true when the ownership of items must be found again, waiting
	// is the number of items that this VM will own after the old owner.
	ownersChanged bool
	waiting       int
	owners        map[Item]ownership
	relay         bool
	nextRead      model.Time
	stopping      bool
	stopped       bool
	// releasedEpoch is the newest epoch in which this VM had given up all.
	releasedEpoch uint64
	// resumed is true after a gap of EpochTTL between events, until there is
	// evidence from the store or a peer. Others may have taken this VM for dead.
	resumed   bool
	resumedAt model.Time
	// announcedUntil has the last EffectConfirmed of each zone.
	announcedUntil map[model.Zone]model.Time
}

// New returns the State of a VM that knows nothing yet.
func New(c Config) *State {
	if c.EpochTTL <= 0 {
		c.EpochTTL = DefaultEpochTTL
	}
	if c.ReadInterval <= 0 {
		c.ReadInterval = DefaultReadInterval
	}
	s := &State{
		config:         c,
		self:           Member{VM: c.Self, Incarnation: c.Incarnation},
		zones:          make(map[model.Zone]*zoneState),
		peers:          make(map[model.VMID]*peer),
		vms:            make(map[model.VMID]VM),
		missingSince:   make(map[model.VMID]model.Time),
		released:       make(map[releaseKey]release),
		owners:         make(map[Item]ownership),
		announcedUntil: make(map[model.Zone]model.Time),
	}
	s.zone(c.Zone)
	return s
}

// Apply processes one event and appends its effects to out. Time that goes
// backwards counts as standing still.
func (s *State) Apply(now model.Time, ev *Event, out []Effect) []Effect {
	s.advanceClock(now)
	out = s.handle(ev, out)
	s.updateReleasedEpoch()
	s.confirmFromMembers()
	if s.ownersChanged || (ev.Kind == EventTick && s.waiting > 0) {
		out = s.updateItems(out)
	}
	out = s.announceConfirmed(out)
	if ev.Kind == EventReport || ev.Kind == EventTrack {
		// These are frequent, and the next tick is soon enough for the relay.
		return out
	}
	return s.runRelay(out)
}

// handle processes what an event tells.
func (s *State) handle(ev *Event, out []Effect) []Effect {
	switch ev.Kind {
	case EventVMList:
		s.handleVMList(ev)
	case EventRecordRead:
		out = s.handleRecordRead(ev, out)
	case EventRecordSeen:
		out = s.learn(ev.Record, out)
	case EventWriteDone:
		out = s.handleWriteDone(ev, out)
	case EventReport:
		out = s.handleReport(ev, out)
	case EventRelease:
		s.release(ev)
	case EventTrack:
		out = s.track(ev.Item, out)
	case EventUntrack:
		out = s.untrack(ev.Item, out)
	case EventZones:
		for _, z := range ev.Zones {
			s.zone(z)
		}
	case EventStopping:
		s.stopping = true
		s.ownersChanged = true
	case EventStopped:
		s.stopping = true
		s.stopped = true
		s.ownersChanged = true
	}
	return out
}

// advanceClock moves the time on and notices a pause of this VM.
func (s *State) advanceClock(now model.Time) {
	if s.started && now.Sub(s.now) >= s.config.EpochTTL {
		s.resumed = true
		s.resumedAt = now
	}
	if !s.started || now > s.now {
		s.now = now
	}
	s.started = true
}

// confirm takes evidence from the store or a peer that epoch was current at t.
func (s *State) confirm(z *zoneState, epoch uint64, t model.Time) {
	z.confirm(epoch, t)
	if z.zone == s.config.Zone && epoch == z.record().Epoch && t >= s.resumedAt {
		s.resumed = false
	}
}

// zone returns the state of a zone and creates it if necessary.
func (s *State) zone(name model.Zone) *zoneState {
	z := s.zones[name]
	if z != nil {
		return z
	}
	z = &zoneState{zone: name}
	s.zones[name] = z
	i := sort.Search(len(s.sortedZones), func(i int) bool { return s.sortedZones[i].zone >= name })
	s.sortedZones = append(s.sortedZones, nil)
	copy(s.sortedZones[i+1:], s.sortedZones[i:])
	s.sortedZones[i] = z
	return z
}

// ownZone returns the state of this VM's zone.
func (s *State) ownZone() *zoneState { return s.zones[s.config.Zone] }

// isMember reports whether this VM, in this incarnation, is in its zone's record.
func (s *State) isMember() bool { return hasMember(s.ownZone().record().Members, s.self) }

// takeoverDelay is how long a new owner waits for the old one.
func (s *State) takeoverDelay() time.Duration {
	return s.config.EpochTTL * (100 + clockMarginPercent) / 100
}

func (s *State) handleVMList(ev *Event) {
	if s.hasList && ev.Version <= s.listVersion {
		return
	}
	s.hasList = true
	s.listVersion = ev.Version
	clear(s.vms)
	s.listed = s.listed[:0]
	for _, vm := range ev.VMs {
		s.vms[vm.ID] = vm
		s.zone(vm.Zone)
		if vm.Zone == s.config.Zone {
			s.listed = append(s.listed, vm)
		}
	}
	sort.Slice(s.listed, func(i, j int) bool { return s.listed[i].ID < s.listed[j].ID })
	s.updateMissing()
	s.prunePeers()
}

// peerRetention is how long a VM that left is remembered, so that late reports of
// an earlier incarnation are recognized.
const peerRetention = time.Minute

// prunePeers forgets the VMs that are neither listed nor members nor heard of.
func (s *State) prunePeers() {
	members := make(map[model.VMID]bool)
	for _, z := range s.sortedZones {
		for _, m := range z.record().Members {
			members[m.VM] = true
		}
	}
	for id, p := range s.peers {
		_, listed := s.vms[id]
		if !listed && !members[id] && s.now.Sub(p.lastContact) > peerRetention {
			delete(s.peers, id)
		}
	}
	for id := range s.missingSince {
		if !members[id] {
			delete(s.missingSince, id)
		}
	}
}

// updateMissing notes since when members are missing from the list.
func (s *State) updateMissing() {
	for _, z := range s.sortedZones {
		for _, m := range z.record().Members {
			if _, listed := s.vms[m.VM]; listed {
				delete(s.missingSince, m.VM)
			} else if _, known := s.missingSince[m.VM]; !known {
				s.missingSince[m.VM] = s.now
			}
		}
	}
}

// learn takes a record without evidence that it is current.
func (s *State) learn(r Record, out []Effect) []Effect {
	z := s.zone(r.Zone)
	if !z.learn(s.now, r) {
		return out
	}
	s.ownersChanged = true
	clear(s.owners)
	s.pruneReleases(z)
	if s.hasList {
		s.updateMissing()
	}
	return append(out, Effect{Kind: EffectRecordChanged, Zone: r.Zone, Epoch: r.Epoch, Record: r})
}

func (s *State) handleRecordRead(ev *Event, out []Effect) []Effect {
	z := s.zone(ev.Record.Zone)
	out = s.learn(ev.Record, out)
	s.confirm(z, ev.Record.Epoch, ev.SentAt)
	z.setRevision(ev.Record.Epoch, ev.Revision)
	return out
}

// Record returns the newest known record of a zone.
func (s *State) Record(z model.Zone) Record {
	if st := s.zones[z]; st != nil {
		return st.record()
	}
	return Record{Zone: z}
}

// IsRelay reports whether this VM is its zone's relay.
func (s *State) IsRelay() bool { return s.relay }
