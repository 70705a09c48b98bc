package connshare

import (
	"github.com/chervilhatch/chervilhatch/core/model"
)

// Seat is a holder's role for an upstream. It entitles the holder to a share of
// the upstream's connections.
type Seat uint8

// Seats of an upstream.
const (
	// Main is the seat of the holder that all VMs with callers normally use.
	Main Seat = iota
	// Standby is the seat of the holder that is used while the main holder is
	// unreachable.
	Standby
	// seats is the number of seats.
	seats
)

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of events. Each names the fields of Event that it uses.
const (
	// EventTick advances the time; it is needed about every 100 ms.
	EventTick EventKind = iota
	// EventUpstreamSet adds Upstream or changes its connection Limit, its number
	// of Slots and its Zone.
	EventUpstreamSet
	// EventUpstreamRemoved removes Upstream.
	EventUpstreamRemoved
	// EventGained reports that this VM owns Seat of Upstream until Until. It must
	// come after the upstream's first EventUpstreamSet.
	EventGained
	// EventLost reports that this VM no longer owns Seat of Upstream. If VM is
	// set, the seat, as owned in Epoch of Zone, is released to VM once its
	// connections are closed.
	EventLost
	// EventConfirmed extends the ownership of all owned seats of the upstreams in
	// Zone to Until.
	EventConfirmed
	// EventOpenConnections reports that Count connections to Upstream are open or
	// being opened, and that the budget was Limit when they were counted.
	EventOpenConnections
	// EventDemand reports that Count requests run on or wait for Upstream.
	EventDemand
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

// EffectKind is the type of an Effect.
type EffectKind uint8

// Kinds of effects. Each names the fields of Effect that it uses.
const (
	// EffectSetBudget sets the budget of Upstream to Connections, of which Warm
	// are kept open while idle. Connections above the budget are closed at once
	// if CloseNow is set, and otherwise when they become idle.
	EffectSetBudget EffectKind = iota
	// EffectReleaseSeat releases Seat of Upstream, as owned in Epoch of Zone, to
	// VM.
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
