// Package membership maintains the zone records, which list the member VMs of
// each zone in numbered epochs, and assigns the ownership of items to members
// by rendezvous hashing. Items are seats (shares of the connections to an upstream)
// and a zone's shares of the rate-limit tokens of workspaces.
//
// # At most one owner per item
//
// A confirmation shows that an epoch was current at some time. A VM acts on an
// epoch only until EpochTTL after its newest confirmation. Confirmations are
// timestamped with the VM's own clock before the request is sent, so a delayed
// response cannot extend them. A VM that becomes the owner in epoch e waits for
// EpochTTL plus a clock margin after it learns of e. It learns of e only after e
// was written, so by then all confirmations of lower epochs have expired. It may
// skip the wait only if the owner in e-1 released the item. An owner releases
// an item only after it has completed its own wait and stopped using the item.
//
// # Confirmation while the store is unavailable
//
// Only members of a record write its next epoch. If every member reports that
// it knows of no higher epoch and has no write of one in flight (a steady
// report), no higher epoch existed at the time of the oldest of these reports.
// This does not require that members can reach the store. A member whose write
// has an unknown outcome reports steady only together with all VMs that the
// write may have added: an epoch that none of its members knows of has no active
// owners. A VM that is not a member writes only when every member is dead, so none
// of them still runs: it was restarted, or it is out of contact and missing from
// the platform's list.
//
// # Relays
//
// One VM of each zone is its relay: the first reachable one in an order given by
// hash. It reads and writes the zone's record in the store, and reads the records of
// empty zones. VMs that cannot reach each other may each be a relay, because the
// store's compare-and-swap resolves their conflicting writes.
//
// # Empty zones
//
// A zone is empty if its record has no members. The seats of its upstreams are
// owned by another zone, chosen by hash. Their owner needs confirmations of the
// records of all empty zones, and waits after learning of them, as it does for
// the record of its own zone.
//
// The package does no I/O, and only Apply changes a State. A State is not safe
// for concurrent use, not even by its read-only methods.
package membership

import (
	"sort"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// State is this VM's view of the zone records and of the ownership of items.
type State struct {
	config Config
	self   Member
	now    model.Time
	// started is set by the first event.
	started bool
	zones   map[model.Zone]*zoneState
	// sortedZones has the zones in name order, so that the order of effects does
	// not depend on map iteration.
	sortedZones []*zoneState
	peers       map[model.VMID]*peer
	vms         map[model.VMID]VM
	// listed has the VMs of this zone in the platform's list, sorted by ID.
	listed      []VM
	listVersion uint64
	hasList     bool
	// missingSince is the time at which a member of any zone was first found
	// to be missing from the platform's list.
	missingSince map[model.VMID]model.Time
	released     map[releaseKey]release
	// items has the tracked items, sorted by Item.less.
	items []*tracked
	// ownersChanged is set when the ownership of items must be evaluated again.
	// waiting is the number of items that this VM is assigned but does not own
	// yet, because the previous owner may still use them.
	ownersChanged bool
	waiting       int
	// owners caches the results of ownerOf until a record changes.
	owners map[Item]ownership
	// relay is true while this VM is its zone's relay, which reads records next at
	// nextRead.
	relay    bool
	nextRead model.Time
	stopping bool
	stopped  bool
	// releasedEpoch is the newest epoch in which this VM has released all items.
	releasedEpoch uint64
	// resumed is set when EpochTTL or more passes between two events, until the
	// store or a peer confirms the epoch again. Other VMs may have considered
	// this VM dead in the meantime.
	resumed   bool
	resumedAt model.Time
	// announcedUntil is Until of the last EffectConfirmed of each zone.
	announcedUntil map[model.Zone]model.Time
}

// New returns the State of a VM that has not learned any record yet.
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

// Apply processes one event and appends its effects to out. If now is earlier
// than in a previous call, the latest time seen so far is used.
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
		// These events are frequent; the relay's work can wait for the next tick.
		return out
	}
	return s.runRelay(out)
}

// handle dispatches an event to its handler.
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

// advanceClock sets the current time and detects that this VM was paused.
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

// confirm records a confirmation, by the store or a peer, that epoch was
// current at t.
func (s *State) confirm(z *zoneState, epoch uint64, t model.Time) {
	z.confirm(epoch, t)
	if z.zone == s.config.Zone && epoch == z.record().Epoch && t >= s.resumedAt {
		s.resumed = false
	}
}

// zone returns the state of a zone, which it creates if needed.
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

// takeoverDelay is how long a new owner waits until the previous owner's
// confirmations have certainly expired.
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

// peerRetention is how long the state of a VM that left is kept, so that delayed
// reports of an earlier incarnation are recognized.
const peerRetention = time.Minute

// prunePeers removes the peers that are neither listed nor members and were not
// in contact within peerRetention.
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

// updateMissing records since when members are missing from the platform's list.
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

// learn stores a record if it is newer than the known one. It does not confirm
// that the record is current.
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

// Record returns the newest known record of a zone, with epoch 0 if there is
// none.
func (s *State) Record(z model.Zone) Record {
	if st := s.zones[z]; st != nil {
		return st.record()
	}
	return Record{Zone: z}
}

// IsRelay reports whether this VM is its zone's relay.
func (s *State) IsRelay() bool { return s.relay }
