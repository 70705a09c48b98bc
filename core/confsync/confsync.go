// Package confsync keeps the newest configuration version that a VM knows, the
// evidence that no newer one exists, and the version that each live VM last
// reported.
//
// Evidence is a time up to which the VM knows every accepted change. Version v
// contains all changes of the versions below it. Therefore an observation that
// v was the newest version at time t confirms up to t every VM that holds v or
// a higher version.
package confsync

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// resendInterval is how long a sent document is given to arrive. Reports
	// come every second, and 1 MB can take longer than that to transfer.
	resendInterval = 3 * time.Second
	// requestRetryInterval is shorter, because the peer that was asked may be
	// unreachable while another one can answer.
	requestRetryInterval = 500 * time.Millisecond
)

// EventKind tells what an Event reports.
type EventKind uint8

// Kinds of event. The comment of each lists the fields that it uses.
const (
	// StoreRead is a read of the store by this VM as relay. Version is 0 when
	// the store has no configuration. Uses Version, Document, Config, At.
	StoreRead EventKind = iota + 1
	// StoreChange is a message of the watch. It is no evidence, because a
	// watch may lag. Uses Version, Document, Config.
	StoreChange
	// StoreUnreachable says that this VM's zone could not reach the store. Uses Zone, At.
	StoreUnreachable
	// PeerReport is a peer's periodic report. Uses VM, Zone, Version,
	// HasEvidence, At, StoreUnreachable, UnreachableAt.
	PeerReport
	// PeerDocument is a document that a peer sent. Uses VM, Version,
	// Document, Config, HasEvidence, At.
	PeerDocument
	// VersionSeen says that a VM has Version or a higher one in force, as a relay
	// summarized it. It is no evidence and has no effect. Uses VM, Version.
	VersionSeen
	// Members replaces the list of live VMs and of the zones that can accept a
	// change. Uses Members.
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
	// Document has the stored bytes of the version, and Config the parsed
	// form. A version that cannot be parsed must not become an event.
	Document []byte
	Config   *config.Document
	// HasEvidence is false when the peer has no evidence itself.
	HasEvidence bool
	// At is a time of this VM's clock at which Version was the newest, at the
	// latest. For a read it is when the request was sent. For a peer's report
	// it is when this VM sent the message that the report answers, less the
	// age in the report; the time of arrival would count a delay as freshness.
	At model.Time
	// StoreUnreachable says that the peer's zone could not reach the store,
	// and UnreachableAt, made like At, when it last tried.
	StoreUnreachable bool
	UnreachableAt    model.Time
	// Members must not be changed after the event.
	Members []Member
}

// EffectKind tells what an Effect asks for.
type EffectKind uint8

// Kinds of effect.
const (
	// Apply puts Version into force on this VM.
	Apply EffectKind = iota + 1
	// Send sends Document to the peer VM, which has a lower version.
	Send
	// Request asks the peer VM for its document, whose version is higher.
	Request
	// StoreBehind reports that the store returned a version below one that
	// was already known when the read was sent. The version is not applied.
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

// peer is what is known of another VM.
type peer struct {
	version     uint64
	lastHeard   model.Time
	sentVersion uint64
	sentAt      model.Time
}

// outage is a zone's last report that it could not reach the store.
type outage struct {
	known   bool
	version uint64
	at      model.Time
}

// State is the reducer's state. New makes one.
type State struct {
	self     model.VMID
	version  uint64
	document []byte
	config   *config.Document
	// adoptedAt is when version was adopted.
	adoptedAt model.Time

	// requestedVersion is the version that was last asked for.
	requestedVersion uint64
	requestedAt      model.Time

	confirmed   bool
	confirmedAt model.Time

	members []Member
	// zones are those of members, without repetition.
	zones   []model.Zone
	peers   map[model.VMID]*peer
	outages map[model.Zone]outage
}

// New returns the state of a VM that knows no configuration.
func New(self model.VMID) *State {
	return &State{
		self:    self,
		peers:   map[model.VMID]*peer{},
		outages: map[model.Zone]outage{},
	}
}

// Apply takes in an event and appends its effects to out.
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

// adopt puts the event's version into force if it is higher.
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

// confirm takes in evidence that version was the newest at a time.
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

// recordOutage records when the peer's zone last could not reach the store. A
// report without an outage takes nothing back: what the zone knew at its last
// outage stays true, and only the time of a newer one confirms more.
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

// confirmByOutage takes in that no zone can reach the store. Changes are made
// only through a zone's relay, so each zone knows all changes made through it
// up to its report, and together they know all changes up to the oldest report.
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
