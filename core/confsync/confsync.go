// Package confsync distributes the configuration between VMs. It tracks the
// newest configuration version that a VM has received, the evidence that no
// newer version exists, and the version that each live VM last reported.
//
// Evidence is a time up to which the VM knows every accepted change. Version v
// contains all changes of the versions below it. An observation that v was the
// newest version at time t is therefore evidence up to t for every VM that has
// v or a higher version in force.
package confsync

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// resendInterval is the time after which a document is sent again to a peer
	// that still reports a lower version. Peers report every second, and a
	// document of 1 MB can take longer than that to transfer.
	resendInterval = 3 * time.Second
	// requestRetryInterval is the time after which a document is requested
	// again. It is shorter than resendInterval because the requested peer may be
	// unreachable while another one can answer.
	requestRetryInterval = 500 * time.Millisecond
)

// EventKind selects the meaning of an Event.
type EventKind uint8

// Kinds of events, with the fields of Event that each uses.
const (
	// StoreRead is the result of a read of the store by this VM as its zone's
	// relay. Version is 0 when the store has no configuration. Uses Version,
	// Document, Config, At.
	StoreRead EventKind = iota + 1
	// StoreChange is a change that the watch on the store delivered. It is no
	// evidence, because a watch may lag. Uses Version, Document, Config.
	StoreChange
	// StoreUnreachable reports that this VM, as its zone's relay, failed to
	// reach the store. Uses Zone, At.
	StoreUnreachable
	// PeerReport is a peer's periodic report. Uses VM, Zone, Version,
	// HasEvidence, At, StoreUnreachable, UnreachableAt.
	PeerReport
	// PeerDocument is a configuration document received from a peer. Uses VM,
	// Version, Document, Config, HasEvidence, At.
	PeerDocument
	// VersionSeen reports, from the summary of a zone's relay, that a VM has
	// Version or a higher one in force. It is no evidence and produces no
	// Effect. Uses VM, Version.
	VersionSeen
	// Members replaces the list of live VMs, and with it the list of zones
	// through which changes can be made. Uses Members.
	Members
)

// Member is one live VM.
type Member struct {
	VM   model.VMID
	Zone model.Zone
}

// Event is one input of the reducer.
type Event struct {
	Kind    EventKind
	VM      model.VMID
	Zone    model.Zone
	Version uint64
	// Document is the stored form of the version, and Config the parsed form.
	// The caller must not create an event for a version that cannot be parsed.
	Document []byte
	Config   *config.Document
	// HasEvidence is false if the peer has no evidence for Version.
	HasEvidence bool
	// At is a time on this VM's clock at which Version is known to have been
	// the newest. For a read it is the time at which the request was sent. For
	// a peer's report it is the time at which this VM sent the message that the
	// report answers, minus the age in the report. The time of arrival would be
	// too late by the transmission delay.
	At model.Time
	// StoreUnreachable reports that the peer's zone could not reach the store.
	// UnreachableAt is the time of its last failed attempt, computed like At.
	StoreUnreachable bool
	UnreachableAt    model.Time
	// Members must not be modified after the event has been applied.
	Members []Member
}

// EffectKind selects the meaning of an Effect.
type EffectKind uint8

// Kinds of effects.
const (
	// Apply puts Version into force on this VM.
	Apply EffectKind = iota + 1
	// Send sends Document to the peer VM, which reported a lower version.
	Send
	// Request asks the peer VM, which reported a higher version, for its document.
	Request
	// StoreBehind reports that the store returned a lower version than this VM
	// already had in force when it sent the read. The version is not applied.
	StoreBehind
)

// Effect is one output of the reducer.
type Effect struct {
	Kind     EffectKind
	VM       model.VMID
	Version  uint64
	Document []byte
	Config   *config.Document
}

// peer is the state of another VM as seen by this one.
type peer struct {
	// version is the version in force on the peer, as last reported.
	version   uint64
	lastHeard model.Time
	// sentVersion is the version of the last document sent to the peer.
	sentVersion uint64
	sentAt      model.Time
}

// outage is the last report of a zone that it could not reach the store.
type outage struct {
	// known is false if the zone has reported no outage.
	known bool
	// version is a version that includes all changes made through the zone
	// before at.
	version uint64
	at      model.Time
}

// State is the state of the reducer. Create it with New.
type State struct {
	self     model.VMID
	version  uint64
	document []byte
	config   *config.Document
	// adoptedAt is the time at which version came into force on this VM.
	adoptedAt model.Time

	// requestedVersion is the version of the last requested document.
	requestedVersion uint64
	requestedAt      model.Time

	// confirmed is true if there is evidence for version, and confirmedAt is the
	// time up to which it reaches.
	confirmed   bool
	confirmedAt model.Time

	members []Member
	// zones are the zones of members, without duplicates.
	zones   []model.Zone
	peers   map[model.VMID]*peer
	outages map[model.Zone]outage
}

// New returns the state of VM self without any configuration.
func New(self model.VMID) *State {
	return &State{
		self:    self,
		peers:   map[model.VMID]*peer{},
		outages: map[model.Zone]outage{},
	}
}

// Apply processes an event and appends its effects to out.
func (s *State) Apply(now model.Time, ev *Event, out []Effect) []Effect {
	switch ev.Kind {
	case StoreRead:
		return s.handleStoreRead(now, ev, out)
	case StoreChange:
		return s.adopt(now, ev, out)
	case StoreUnreachable:
		s.outages[ev.Zone] = outage{known: true, version: s.version, at: ev.At}
		s.confirmByOutage()
	case PeerReport:
		return s.handlePeerReport(now, ev, out)
	case PeerDocument:
		out = s.adopt(now, ev, out)
		s.confirmByPeer(ev)
		s.confirmByOutage()
	case VersionSeen:
		p := s.peer(ev.VM)
		p.version = max(p.version, ev.Version)
		p.lastHeard = now
	case Members:
		s.setMembers(ev.Members)
	}
	return out
}

func (s *State) handleStoreRead(now model.Time, ev *Event, out []Effect) []Effect {
	if ev.Version < s.version && ev.At >= s.adoptedAt {
		return append(out, Effect{Kind: StoreBehind, Version: ev.Version})
	}
	out = s.adopt(now, ev, out)
	s.confirm(ev.Version, ev.At)
	return out
}

// adopt puts the event's version into force if it is higher than the current one.
func (s *State) adopt(now model.Time, ev *Event, out []Effect) []Effect {
	if ev.Version <= s.version || ev.Config == nil {
		return out
	}
	s.version = ev.Version
	s.document = ev.Document
	s.config = ev.Config
	s.adoptedAt = now
	return append(out, Effect{Kind: Apply, Version: ev.Version, Document: ev.Document, Config: ev.Config})
}

// confirm records evidence that version was the newest at a time. Evidence for
// a version above the one in force is ignored.
func (s *State) confirm(version uint64, at model.Time) {
	if version > s.version {
		return
	}
	if !s.confirmed || at > s.confirmedAt {
		s.confirmed = true
		s.confirmedAt = at
	}
}

func (s *State) confirmByPeer(ev *Event) {
	if ev.HasEvidence {
		s.confirm(ev.Version, ev.At)
	}
}

func (s *State) handlePeerReport(now model.Time, ev *Event, out []Effect) []Effect {
	p := s.peer(ev.VM)
	p.version = ev.Version
	p.lastHeard = now
	s.confirmByPeer(ev)
	s.recordOutage(ev)
	s.confirmByOutage()
	switch {
	case ev.Version < s.version:
		return s.sendDocument(now, ev.VM, p, out)
	case ev.Version > s.version:
		return s.requestDocument(now, ev, out)
	}
	return out
}

func (s *State) peer(vm model.VMID) *peer {
	p := s.peers[vm]
	if p == nil {
		p = &peer{}
		s.peers[vm] = p
	}
	return p
}

func (s *State) sendDocument(now model.Time, vm model.VMID, p *peer, out []Effect) []Effect {
	if p.sentVersion == s.version && now.Sub(p.sentAt) < resendInterval {
		return out
	}
	p.sentVersion = s.version
	p.sentAt = now
	return append(out, Effect{Kind: Send, VM: vm, Version: s.version, Document: s.document, Config: s.config})
}

func (s *State) requestDocument(now model.Time, ev *Event, out []Effect) []Effect {
	if s.requestedVersion >= ev.Version && now.Sub(s.requestedAt) < requestRetryInterval {
		return out
	}
	s.requestedVersion = ev.Version
	s.requestedAt = now
	return append(out, Effect{Kind: Request, VM: ev.VM, Version: ev.Version})
}

// recordOutage records the time at which the peer's zone last failed to reach
// the store. A report without an outage does not clear an earlier one: what the
// zone knew at that time remains true, and only a later outage extends it.
func (s *State) recordOutage(ev *Event) {
	if !ev.StoreUnreachable {
		return
	}
	previous := s.outages[ev.Zone]
	s.outages[ev.Zone] = outage{
		known:   true,
		version: max(previous.version, ev.Version),
		at:      max(previous.at, ev.UnreachableAt),
	}
}

// confirmByOutage derives evidence from a store outage that every zone reports.
// Changes are made only through a zone's relay, so each zone knows all changes
// made through it up to its report. Together the zones know all changes up to
// the oldest of the reports.
func (s *State) confirmByOutage() {
	if len(s.zones) == 0 {
		return
	}
	var oldest model.Time
	for i, zone := range s.zones {
		o := s.outages[zone]
		if !o.known || o.version > s.version {
			return
		}
		if i == 0 || o.at < oldest {
			oldest = o.at
		}
	}
	s.confirm(s.version, oldest)
}

func (s *State) setMembers(members []Member) {
	s.members = members
	s.zones = s.zones[:0]
	live := make(map[model.VMID]bool, len(members))
	seen := map[model.Zone]bool{}
	for _, m := range members {
		live[m.VM] = true
		if !seen[m.Zone] {
			seen[m.Zone] = true
			s.zones = append(s.zones, m.Zone)
		}
	}
	for vm := range s.peers {
		if !live[vm] {
			delete(s.peers, vm)
		}
	}
	for zone := range s.outages {
		if !seen[zone] {
			delete(s.outages, zone)
		}
	}
}
