package membership

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Defaults of Config.
const (
	// DefaultEpochTTL is how long after a confirmation a VM may act on an epoch.
	DefaultEpochTTL = 3 * time.Second
	// DefaultReadInterval is the interval at which a relay reads its zone's
	// record.
	DefaultReadInterval = time.Second
	// clockMarginPercent is added to EpochTTL while a new owner waits for the
	// previous owner to expire. Each clock runs at most 1% fast or slow, so the
	// two clocks together need at least 2%.
	clockMarginPercent = 5
)

// Config identifies this VM and sets its timing.
type Config struct {
	Self        model.VMID
	Zone        model.Zone
	Incarnation uint64
	// EpochTTL is how long after a confirmation this VM may act on an epoch. 0
	// means DefaultEpochTTL.
	EpochTTL time.Duration
	// ReadInterval is the interval at which a relay reads records. 0 means
	// DefaultReadInterval.
	ReadInterval time.Duration
}

// Member is a VM listed in a zone record. A restarted VM has a new incarnation.
// The field names are part of the record's JSON encoding in the store.
type Member struct {
	VM          model.VMID
	Incarnation uint64
}

// Record is a zone record. A record that is absent from the store has epoch 0 and
// no members.
type Record struct {
	Zone    model.Zone
	Epoch   uint64
	Members []Member
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID      model.VMID
	Zone    model.Zone
	Leaving bool
}

// ItemKind is the kind of an Item.
type ItemKind uint8

// Kinds of items.
const (
	// MainSeat is the main holder's share of the connections to an upstream.
	MainSeat ItemKind = iota
	// StandbySeat is the standby holder's share of the connections to an
	// upstream.
	StandbySeat
	// Tokens is a zone's share of a workspace's rate-limit tokens.
	Tokens
)

// Item identifies a resource that at most one VM owns at a time.
type Item struct {
	Kind ItemKind
	// Zone is the zone of the upstream or of the token share.
	Zone model.Zone
	// Name is the ID of the upstream or the name of the workspace.
	Name string
}

// Report is what a VM sends to its peers about one zone record. Every VM reports
// its own zone, and a relay also reports empty zones.
type Report struct {
	From        model.VMID
	FromZone    model.Zone
	Incarnation uint64
	Record      Record
	// Confirmed is set if the sender has a confirmation that Record was current
	// RecordAge ago.
	Confirmed bool
	RecordAge time.Duration
	// Steady is set if, SteadyAge ago, neither the sender nor any VM that a write
	// of the sender may have added knew of an epoch above Record.Epoch, and the
	// sender had sent no other write of the next epoch.
	Steady    bool
	SteadyAge time.Duration
	// ReleasedEpoch is the epoch in which the sender, which is stopping, released
	// all its items after takeoverDelay had passed. It is 0 before that.
	ReleasedEpoch uint64
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// EventTick reports that time has passed. It is needed about every 100 ms.
	EventTick EventKind = iota
	// EventVMList carries the platform's list in VMs and its version in Version.
	// A list that is not newer than the known one is ignored.
	EventVMList
	// EventRecordRead carries a record read from the store in Record, its store
	// revision in Revision, and the time at which the read was sent in SentAt.
	EventRecordRead
	// EventReadFailed reports that the record of Zone could not be read.
	EventReadFailed
	// EventRecordSeen carries a record in Record that is not confirmed to be
	// current, for example one from a watch.
	EventRecordSeen
	// EventWriteDone is the result of EffectWriteRecord. It carries the Outcome,
	// the record that the store now has in Record with its Revision (for
	// WriteUnknown only Record.Zone), and the time at which the write was sent in
	// SentAt.
	EventWriteDone
	// EventReport carries a peer's report in Report. SentAt is a time on this
	// VM's clock before which the peer cannot have composed the report: the send
	// time of the newest message from this VM that the peer had received by then.
	EventReport
	// EventRelease reports that the owner of Item in Epoch of Zone released it.
	// EffectGained passes Balance on.
	EventRelease
	// EventTrack and EventUntrack start and end the tracking of Item, for which
	// EffectGained and EffectLost are emitted.
	EventTrack
	EventUntrack
	// EventZones adds the zones of the configuration, in Zones. Draining a zone
	// does not change ownership.
	EventZones
	// EventStopping reports that this VM is stopping: it loses all items that it
	// owns and gains no more.
	EventStopping
	// EventStopped reports that this VM no longer uses any of the items that it
	// lost after EventStopping.
	EventStopped
)

// WriteOutcome is the outcome of a write of a record.
type WriteOutcome uint8

// Outcomes of a write.
const (
	// WriteDone means that the record was written.
	WriteDone WriteOutcome = iota
	// WriteConflict means that the store's record had another revision.
	WriteConflict
	// WriteUnknown means that the outcome could not be determined, for example
	// because no response was received. The write may have taken effect, or may
	// still do so.
	WriteUnknown
)

// Event is an input of State.Apply. Kind determines which fields are set.
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

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Kinds of effects.
const (
	// EffectReadRecord requests a read of the record of Zone from the store.
	EffectReadRecord EffectKind = iota
	// EffectWriteRecord requests a write of Record, on condition that the store's
	// record, which is of epoch Record.Epoch-1, still has Revision (0: absent).
	EffectWriteRecord
	// EffectRecordChanged reports that a newer Record was learned.
	EffectRecordChanged
	// EffectRelayStarted reports that this VM became its zone's relay.
	EffectRelayStarted
	// EffectRelayStopped reports that this VM is no longer its zone's relay.
	EffectRelayStopped
	// EffectGained reports that this VM owns Item in Epoch of Zone until Until,
	// with the token Balance passed on by the previous owner.
	EffectGained
	// EffectLost reports that this VM no longer owns Item. If To is set, the item
	// has to be released to that VM, as owned in Epoch of Zone, as soon as it is
	// no longer in use.
	EffectLost
	// EffectConfirmed reports that owned items of Zone may be used before Until.
	EffectConfirmed
)

// Effect is an output of State.Apply. Kind determines which fields are set.
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
