package limits

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Token is the number of milli-tokens in a token; a request costs at least one
// milli-token.
const Token = 1000

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
	// RaiseDelay is how long a raised share waits after its configuration is in
	// force on all VMs.
	RaiseDelay time.Duration
	// QueueLimit bounds the waiting requests of one workspace.
	QueueLimit int
	// MaxWait bounds how long a request waits for tokens.
	MaxWait time.Duration
	// FirstRequestID is the id of the first request for tokens. It is random, so
	// that a restarted VM uses other ids than before.
	FirstRequestID uint64
	// MaxClockDriftPPM bounds how much this VM's clock runs fast, in parts per million.
	// The refill is reduced by it.
	MaxClockDriftPPM int64
}

// Defaults of Config.
const (
	DefaultValidity       = 200 * time.Millisecond
	DefaultRequestTimeout = 100 * time.Millisecond
	DefaultRaiseDelay     = time.Second
	DefaultMaxWait        = 2 * time.Second
	DefaultQueueLimit     = 1024
	// DefaultMaxClockDriftPPM is the clock rate error of 1% that the design allows.
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
	// EventRolledOut tells that configuration Version or a later one is in force
	// on every VM.
	EventRolledOut
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
	// EventCancel tells that the caller of request ID has gone.
	EventCancel
	// EventTokenResponse answers EffectRequest: RequestID, Amount, Validity (measured
	// from when the request was sent) and RetryAfter.
	EventTokenResponse
	// EventTokenRequestFailed tells that EffectRequest RequestID failed.
	EventTokenRequestFailed
	// EventTokenRequest is a request of VM for Amount tokens of Workspace from the
	// share of this VM's zone. Borrow is true when another zone's owner asks.
	EventTokenRequest
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
	// EffectTokenRequest asks VM, the owner of Zone's share of Workspace, for Amount
	// tokens. Borrow is true between zones.
	EffectTokenRequest
	// EffectTokenResponse answers RequestID of VM with Amount tokens that are valid for
	// Validity from when the request was sent.
	EffectTokenResponse
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
