package limits

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Token is one token, in milli-tokens, the unit of all amounts. A request costs
// at least one milli-token.
const Token = 1000

// Config identifies this VM and sets its limits. Fields that are zero take the
// defaults below.
type Config struct {
	Self model.VMID
	Zone model.Zone
	// StaticSplit disables lending between zones.
	StaticSplit bool
	// Validity bounds how long prefetched tokens may be used.
	Validity time.Duration
	// RequestTimeout bounds the wait for the response to a token request.
	RequestTimeout time.Duration
	// RaiseDelay is the time between the end of the rollout of a configuration
	// and the raising of shares that it raises.
	RaiseDelay time.Duration
	// QueueLimit bounds the queue of one workspace.
	QueueLimit int
	// MaxWait bounds how long a request waits for tokens.
	MaxWait time.Duration
	// FirstRequestID is the id of the first token request. It is chosen so that
	// a restarted VM does not repeat ids, since owners cache responses by VM
	// and id.
	FirstRequestID uint64
	// MaxClockDriftPPM bounds how much this VM's clock runs fast, in parts per
	// million. The refill rate is reduced by it.
	MaxClockDriftPPM int64
}

// Defaults of Config.
const (
	DefaultValidity       = 200 * time.Millisecond
	DefaultRequestTimeout = 100 * time.Millisecond
	DefaultRaiseDelay     = time.Second
	DefaultMaxWait        = 2 * time.Second
	DefaultQueueLimit     = 1024
	// DefaultMaxClockDriftPPM is a clock rate error of 1%, the largest that the
	// design tolerates.
	DefaultMaxClockDriftPPM = 10_000
)

func (c *Config) setDefaults() {
	if c.Validity <= 0 {
		c.Validity = DefaultValidity
	}
	if c.RequestTimeout <= 0 {
		c.RequestTimeout = DefaultRequestTimeout
	}
	if c.RaiseDelay <= 0 {
		c.RaiseDelay = DefaultRaiseDelay
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.QueueLimit <= 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.MaxClockDriftPPM <= 0 {
		c.MaxClockDriftPPM = DefaultMaxClockDriftPPM
	}
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// EventTick advances the time. It is due about every 20 ms while requests
	// are queued, and otherwise every 100 ms.
	EventTick EventKind = iota
	// EventConfigure sets Rate (milli-tokens per second) and Burst
	// (milli-tokens) of Workspace, which are split over Zones, the zones in
	// service, as of configuration Version.
	EventConfigure
	// EventRemove removes Workspace.
	EventRemove
	// EventRolledOut reports that configuration Version, or a later one, is in
	// force on every VM.
	EventRolledOut
	// EventGained reports that this VM owns its zone's share of Workspace in
	// Epoch until Until, with the Balance released by the previous owner.
	// EventGained and EventOwner follow the workspace's first EventConfigure.
	EventGained
	// EventLost reports that this VM no longer owns the share. If VM is set,
	// the balance is released to it.
	EventLost
	// EventConfirmed extends the ownership of all owned shares to Until.
	EventConfirmed
	// EventOwner reports that VM owns Zone's share of Workspace in Epoch.
	EventOwner
	// EventAdmit submits request ID of Workspace for admission by Deadline;
	// Amount is its cost in milli-tokens.
	EventAdmit
	// EventCancel reports that the caller of request ID no longer waits for it.
	EventCancel
	// EventTokenResponse is the response to EffectTokenRequest RequestID:
	// Amount, Validity (counted from when the request was sent) and RetryAfter.
	EventTokenResponse
	// EventTokenRequestFailed reports that EffectTokenRequest RequestID failed.
	EventTokenRequestFailed
	// EventTokenRequest is the request of VM for Amount tokens of this zone's
	// share of Workspace. Borrow is true if the requester is the owner of
	// another zone's share.
	EventTokenRequest
)

// Event is an input of State.Apply. Which fields are set depends on its kind.
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

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Kinds of effects.
const (
	// EffectAdmit admits request ID.
	EffectAdmit EffectKind = iota
	// EffectRefuse refuses request ID, which has not run. RetryAfter is a hint
	// for the caller.
	EffectRefuse
	// EffectTokenRequest requests Amount tokens from VM, the owner of Zone's
	// share of Workspace. Borrow is true if this VM asks as the owner of its
	// own zone's share.
	EffectTokenRequest
	// EffectTokenResponse responds to token request RequestID of VM with Amount
	// tokens, which are valid for Validity from when the request was sent.
	EffectTokenResponse
	// EffectRelease releases Balance of Workspace in Epoch to VM, the next
	// owner.
	EffectRelease
)

// Effect is an output of State.Apply. Which fields are set depends on its kind.
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
