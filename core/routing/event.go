// Package routing decides, on the VM that a caller is connected to, which
// upstream a batch is sent to, and whether and where it is retried. It is a pure
// reducer.
package routing

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events, with the fields of Event that each of them uses.
const (
	// GroupConfigured adds or replaces a group: Database, Upstreams.
	GroupConfigured EventKind = iota
	// GroupRemoved removes a group: Database. Its waiting batches fail, as not run
	// unless an earlier attempt may have run. Attempts in flight continue.
	GroupRemoved
	// BatchRequested requests that a batch be sent: ID, Workspace, Database,
	// Class, MaxAge, Floor, HasFloor, Deadline, Idempotent, Seed. The batch ends
	// with an attempt whose outcome is Done, a Fail effect, or BatchCanceled.
	BatchRequested
	// AttemptEnded reports the result of an attempt: ID, Attempt, Upstream,
	// Outcome, Code and the hint Applied, Primary, PrimaryTerm.
	AttemptEnded
	// HolderUnreachable reports that the main or standby holder of an upstream
	// cannot be reached: Database, Upstream, Standby.
	HolderUnreachable
	// HolderReachable reports that the holder can be reached again: Database,
	// Upstream, Standby.
	HolderReachable
	// PrimaryKnown reports a primary that this VM learned from its replication or
	// failover state: Database, Primary, PrimaryTerm.
	PrimaryKnown
	// BatchCanceled removes a batch without an effect: ID.
	BatchCanceled
	// Tick advances the time. See State.NextTick.
	Tick
)

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Done means that the response is complete. It may be an error that the
	// upstream returned.
	Done Outcome = iota
	// Refused means that the batch was certainly not run, for the reason in Code.
	Refused
	// FailedMaybeSent means that the attempt failed after the batch may have been
	// sent, in whole or in part.
	FailedMaybeSent
	// FailedNotSent means that the attempt failed before any byte was sent.
	FailedNotSent
	// FailedMidResponse means that the attempt failed after part of the response
	// was passed to the caller. The batch is never retried.
	FailedMidResponse
)

// Upstream is one member of a group.
type Upstream struct {
	ID      model.UpstreamID
	Zone    model.Zone
	Drained bool
	Leaving bool
}

// Event is one input of the reducer.
type Event struct {
	Kind      EventKind
	Database  model.Database
	Upstreams []Upstream

	// ID identifies a batch until its end. No two batches of a State share one.
	ID        uint64
	Workspace model.Workspace
	Class     model.Class
	// MaxAge is the freshness bound of a read; 0 means that it needs the primary.
	MaxAge time.Duration
	// Floor is the lowest position at which a read may be served. It is valid if
	// HasFloor is true.
	Floor    model.Position
	HasFloor bool
	Deadline model.Time
	// Idempotent is true if the batch may run more than once.
	Idempotent bool
	// Seed is a random number that differs between batches. It randomizes the
	// backoff and the choice between equal members.
	Seed uint64

	// Attempt is the Attempt of the Send effect whose result is reported.
	Attempt  uint32
	Upstream model.UpstreamID
	Standby  bool
	Outcome  Outcome
	// Code is the SQLSTATE of a refusal.
	Code sqlstate.Code
	// Applied, Primary and PrimaryTerm are the hint of executor.Result. Unknown
	// values are zero.
	Applied     model.Position
	Primary     model.UpstreamID
	PrimaryTerm model.Term
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Kinds of effects, with the fields of Effect that each of them sets.
const (
	// Send sends a batch to an upstream: ID, Attempt, Upstream, Standby.
	Send EffectKind = iota
	// Fail ends a batch with an error: ID, Code, NotRun.
	Fail
)

// Effect is one output of the reducer.
type Effect struct {
	Kind EffectKind
	ID   uint64
	// Attempt is 1 for the first Send of a batch.
	Attempt  uint32
	Upstream model.UpstreamID
	// Standby is true if the batch is sent to the standby holder.
	Standby bool
	Code    sqlstate.Code
	// NotRun is true if the batch was certainly not run.
	NotRun bool
}
