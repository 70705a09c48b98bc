package membership

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Defaults of Config.
const (
	// DefaultEpochTTL is how long an epoch may be acted on after the evidence
	// that it was current.
	DefaultEpochTTL = 3 * time.Second
	// DefaultReadInterval is how often a relay reads its zone's record.
	DefaultReadInterval = time.Second
	// clockMarginPercent is added to EpochTTL when a new owner waits for the
	// old one. Clock rates differ by at most 1%, so both sides together need 2%.
	clockMarginPercent = 5
)

// Config names this VM and its time bounds.
type Config struct {
	Self        model.VMID
	Zone        model.Zone
	Incarnation uint64
	// EpochTTL and ReadInterval have defaults when 0.
	EpochTTL     time.Duration
	ReadInterval time.Duration
}

// Member is one VM of a zone record. A restarted VM has a new incarnation.
type Member struct {
	VM          model.VMID
	Incarnation uint64
}

// Record is a zone record. An absent record has epoch 0 and no members.
type Record struct {
	Zone    model.Zone
	Epoch   uint64
	Members []Member
}

// VM is one VM of the platform's list.
type VM struct {
	ID      model.VMID
	Zone    model.Zone
	Leaving bool
}

// ItemKind tells what is owned.
type ItemKind uint8

// Kinds of items.
const (
	// MainSeat is the main holder's part of an upstream's connections.
	MainSeat ItemKind = iota
	// StandbySeat is the standby holder's part of an upstream's connections.
	StandbySeat
	// Tokens is a zone's share of a workspace's tokens.
	Tokens
)

// Item is something that at most one VM owns at a time.
type Item struct {
	Kind ItemKind
	// Zone is the upstream's zone, or the zone of the share of tokens.
	Zone model.Zone
	// Name is the upstream or the workspace.
	Name string
}

// Report is what a VM tells its peers about one zone record. A VM sends the
// report about its own zone, and a relay also those about zones without members.
type Report struct {
	From        model.VMID
	FromZone    model.Zone
	Incarnation uint64
	Record      Record
	// Confirmed is true when the sender has evidence that Record was current
	// RecordAge ago.
	Confirmed bool
	RecordAge time.Duration
	// Steady is true when, SteadyAge ago, neither the sender nor any VM that a
	// write of the sender may have added knew of an epoch above Record's, and
	// the sender had sent no other write of the next epoch.
	Steady    bool
	SteadyAge time.Duration
	// ReleasedEpoch is the epoch in which the sender had waited for all it
	// owned and had given up all of it; 0 before that.
	ReleasedEpoch uint64
}

// EventKind tells what happened.
type EventKind uint8

// Kinds of events.
const (
	// EventTick passes time; it is needed about every 100 ms.
	EventTick EventKind = iota
	// EventVMList has the platform's list in VMs and its version in Version.
	// Lists that are not newer than the known one are ignored.
	EventVMList
	// EventRecordRead has a record read from the store in Record, its store
	// revision in Revision, and when the read was sent in SentAt.
	EventRecordRead
	// EventReadFailed tells that the record of Zone could not be read.
	EventReadFailed
	// EventRecordSeen has a record in Record without evidence that it is
	// current, for example from a watch.
	EventRecordSeen
	// EventWriteDone answers EffectWriteRecord: Outcome, the store's record now
	// in Record with its Revision (for WriteUnknown only Record.Zone), and when
	// the write was sent in SentAt.
	EventWriteDone
	// EventReport has a peer's report in Report. SentAt is a time of this VM's
	// clock before which the peer had not composed the report: when this VM
	// sent the newest message that the peer had received by then.
	EventReport
	// EventRelease tells that the owner of Item gave it up in Epoch of Zone.
	// Balance is passed on with EffectGained.
	EventRelease
	// EventTrack and EventUntrack start and end the effects for Item.
	EventTrack
	EventUntrack
	// EventZones sets all zones of the configuration to Zones. Draining a zone
	// changes no ownership.
	EventZones
	// EventStopping tells that this VM stops: it gives up all it owns and gains
	// nothing more.
	EventStopping
	// EventStopped tells that everything that EffectLost reported after
	// EventStopping is no longer in use.
	EventStopped
)

// WriteOutcome tells how a write of a record ended.
type WriteOutcome uint8

// Outcomes of a write.
const (
	// WriteDone means that the record was written.
	WriteDone WriteOutcome = iota
	// WriteConflict means that the store had another record.
	WriteConflict
	// WriteUnknown means that the answer was lost.
	WriteUnknown
)

// Event is one input of State.Apply.
type Event struct {
	Kind     EventKind
	VMs      []VM
	Version  uint64
	Record   Record
	Revision int64
	SentAt   model.Time
	Outcome  WriteOutcome
	Report   Report
	Item     Item
	Zone     model.Zone
	Epoch    uint64
	Balance  int64
	Zones    []model.Zone
}

// EffectKind tells what to do.
type EffectKind uint8

// Kinds of effects.
const (
	// EffectReadRecord asks to read the record of Zone from the store.
	EffectReadRecord EffectKind = iota
	// EffectWriteRecord asks to write Record if the store's record still has
	// revision Revision (0: absent), which holds epoch Record.Epoch-1.
	EffectWriteRecord
	// EffectRecordChanged tells that a newer Record is known.
	EffectRecordChanged
	// EffectRelayStarted tells that this VM became its zone's relay.
	EffectRelayStarted
	// EffectRelayStopped tells that this VM is no longer the relay.
	EffectRelayStopped
	// EffectGained tells that this VM owns Item by Epoch of Zone, with the
	// Balance that its last owner handed over.
	EffectGained
	// EffectLost tells that this VM no longer owns Item. If To is set, the item
	// is released to it, as owned in Epoch of Zone, once its use has ended.
	EffectLost
	// EffectConfirmed tells that owned items of Zone may be used before Until.
	EffectConfirmed
)

// Effect is one output of State.Apply.
type Effect struct {
	Kind     EffectKind
	Zone     model.Zone
	Epoch    uint64
	Record   Record
	Revision int64
	Item     Item
	To       model.VMID
	Balance  int64
	Until    model.Time
}
