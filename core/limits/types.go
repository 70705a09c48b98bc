package limits

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Milli is the number of milli-tokens in a token; a request costs at least one
// milli-token.
const Milli = 1000

// Config names this VM and sets its bounds. Zero fields have the defaults
// below.
type Config struct {
	Self model.VMID
	Zone model.Zone
	// StaticSplit turns off lending between zones.
	StaticSplit bool
	// Validity is how long prefetched tokens may be used.
	Validity time.Duration
	// RequestTimeout is how long an answer to a request for tokens is awaited.
	RequestTimeout time.Duration
	// Settle is how long a raised share waits after its configuration is in
	// force on all VMs.
	Settle time.Duration
	// QueueLimit bounds the waiting requests of one workspace.
	QueueLimit int
	// MaxWait bounds how long a request waits for tokens.
	MaxWait time.Duration
	// FirstRequest is the id of the first request for tokens. It is random, so
	// that a restarted VM uses other ids than before.
	FirstRequest uint64
	// ClockPPM bounds how much this VM's clock runs fast, in parts per million.
	// The refill is reduced by it.
	ClockPPM int64
}

// Defaults of Config.
const (
	DefaultValidity       = 200 * time.Millisecond
	DefaultRequestTimeout = 100 * time.Millisecond
	DefaultSettle         = time.Second
	DefaultMaxWait        = 2 * time.Second
	DefaultQueueLimit     = 1024
	// DefaultClockPPM is the clock rate error of 1% that the design allows.
	DefaultClockPPM = 10_000
)

func (c *Config) setDefaults() {
	if c.Validity <= 0 {
		c.Validity = DefaultValidity
	}
	if c.RequestTimeout <= 0 {
		c.RequestTimeout = DefaultRequestTimeout
	}
	if c.Settle <= 0 {
		c.Settle = DefaultSettle
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.QueueLimit <= 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.ClockPPM <= 0 {
		c.ClockPPM = DefaultClockPPM
	}
}

// EventKind tells what happened.
type EventKind uint8

// Kinds of events.
const (
	// EventTick passes time; it is needed about every 20 ms while requests
	// wait, else every 100 ms.
	EventTick EventKind = iota
	// EventConfigure sets Rate (milli-tokens a second) and Burst
	// (milli-tokens) of Workspace over the zones in service Zones, by
	// configuration Version.
	EventConfigure
	// EventRemove removes Workspace.
	EventRemove
	// EventSettled tells that configuration Version or a later one is in force
	// on every VM.
	EventSettled
	// EventGained tells that this VM owns its zone's share of Workspace in
	// Epoch until Until, with Balance handed over by the last owner. It and
	// EventOwner follow the workspace's first EventConfigure.
	EventGained
	// EventLost tells that this VM no longer owns the share. If VM is set, the
	// balance is released to it.
	EventLost
	// EventConfirmed extends the ownership of all owned shares to Until.
	EventConfirmed
	// EventOwner tells that VM owns Zone's share of Workspace in Epoch.
	EventOwner
	// EventAdmit asks to admit request ID of Workspace, which costs Amount, by
	// Deadline.
	EventAdmit
	// EventAbandon tells that the caller of request ID has gone.
	EventAbandon
	// EventTokens answers EffectRequest: RequestID, Amount, Validity (measured
	// from when the request was sent) and RetryAfter.
	EventTokens
	// EventRequestFailed tells that EffectRequest RequestID failed.
	EventRequestFailed
	// EventRequest is a request of VM for Amount tokens of Workspace from the
	// share of this VM's zone. Borrow is true when another zone's owner asks.
	EventRequest
)

// Event is one input of State.Apply.
type Event struct {
	Kind       EventKind
	Workspace  model.Workspace
	Zone       model.Zone
	Zones      []model.Zone
	VM         model.VMID
	ID         uint64
	RequestID  uint64
	Version    uint64
	Epoch      uint64
	Rate       int64
	Burst      int64
	Amount     int64
	Balance    int64
	Borrow     bool
	Deadline   model.Time
	Until      model.Time
	Validity   time.Duration
	RetryAfter time.Duration
}

// EffectKind tells what to do.
type EffectKind uint8

// Kinds of effects.
const (
	// EffectAdmit admits request ID.
	EffectAdmit EffectKind = iota
	// EffectRefuse refuses request ID as not run; RetryAfter is a hint.
	EffectRefuse
	// EffectRequest asks VM, the owner of Zone's share of Workspace, for Amount
	// tokens. Borrow is true between zones.
	EffectRequest
	// EffectSend answers RequestID of VM with Amount tokens that are valid for
	// Validity from when the request was sent.
	EffectSend
	// EffectRelease hands Balance of Workspace in Epoch over to VM.
	EffectRelease
)

// Effect is one output of State.Apply.
type Effect struct {
	Kind       EffectKind
	Workspace  model.Workspace
	Zone       model.Zone
	VM         model.VMID
	ID         uint64
	RequestID  uint64
	Epoch      uint64
	Amount     int64
	Balance    int64
	Borrow     bool
	Validity   time.Duration
	RetryAfter time.Duration
}
