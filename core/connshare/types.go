package connshare

import (
	"github.com/chervilhatch/chervilhatch/core/model"
)

// Seat is a holder's part of an upstream's connections.
type Seat uint8

// Seats of an upstream.
const (
	// Main is the seat of the holder that all callers' VMs use.
	Main Seat = iota
	// Standby is the seat of the holder that is used while Main is unreachable.
	Standby
	seats
)

// EventKind tells what happened.
type EventKind uint8

// Kinds of events.
const (
	// EventTick passes time; it is needed about every 100 ms.
	EventTick EventKind = iota
	// EventUpstreamSet sets the connection Limit, the number of Slots and the
	// Zone of Upstream.
	EventUpstreamSet
	// EventUpstreamRemoved removes Upstream.
	EventUpstreamRemoved
	// EventGained tells that this VM has Seat of Upstream until Until. It
	// follows the upstream's first EventUpstreamSet.
	EventGained
	// EventLost tells that this VM no longer has Seat. If VM is set, the seat
	// is released to it, as owned in Epoch of Zone, when its connections are
	// closed.
	EventLost
	// EventConfirmed extends the seats of the upstreams in Zone to Until.
	EventConfirmed
	// EventOpenConnections tells that Count connections to Upstream are open or opening,
	// and that the budget of Limit connections was in force when they were
	// counted.
	EventOpenConnections
	// EventDemand tells that Count requests run on or wait for Upstream.
	EventDemand
	// EventWarmUp asks to warm Upstream's connections, because its zone returns.
	EventWarmUp
)

// Event is one input of State.Apply.
type Event struct {
	Kind     EventKind
	Upstream model.UpstreamID
	Limit    int
	Slots    int
	Seat     Seat
	Count    int
	VM       model.VMID
	Zone     model.Zone
	Epoch    uint64
	Until    model.Time
}

// EffectKind tells what to do.
type EffectKind uint8

// Kinds of effects.
const (
	// EffectSetBudget allows Connections connections to Upstream, of which Warm
	// are kept open when idle. Connections above the budget are closed at once
	// when Now is set, else as they become idle.
	EffectSetBudget EffectKind = iota
	// EffectReleaseSeat releases Seat of Upstream to VM, as owned in Epoch of
	// Zone.
	EffectReleaseSeat
)

// Effect is one output of State.Apply.
type Effect struct {
	Kind        EffectKind
	Upstream    model.UpstreamID
	Connections int
	Warm        int
	CloseNow    bool
	Seat        Seat
	VM          model.VMID
	Zone        model.Zone
	Epoch       uint64
}
