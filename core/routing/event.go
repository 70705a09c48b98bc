// Package routing is the caller side's choice of the upstream that a batch is
// sent to, and of whether and where a batch is tried again. It is a pure reducer.
package routing

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// EventKind selects the meaning of an Event.
type EventKind uint8

// Kinds of events, with the fields of Event that each uses.
const (
	// GroupConfigured adds or replaces a group: Database, Upstreams.
	GroupConfigured EventKind = iota
	// GroupRemoved removes a group: Database. Batches that wait for an
	// upstream of it fail as not run; those that were sent go on.
	GroupRemoved
	// BatchRequested asks for a batch to be sent: ID, Workspace, Database,
	// Class, MaxAge, Floor, HasFloor, Deadline, Idempotent, Seed. It ends with
	// the answer of an attempt (Done), a Fail effect, or Abandoned.
	BatchRequested
	// AttemptEnded ends an attempt: ID, Attempt, Upstream, Outcome, Code
	// and the hint Applied, Primary, PrimaryTerm.
	AttemptEnded
	// HolderUnreachable: Database, Upstream, Standby. The main or the standby
	// holder of the upstream cannot be reached at present.
	HolderUnreachable
	// HolderReachable: Database, Upstream, Standby.
	HolderReachable
	// PrimaryKnown passes on a primary learned elsewhere: Database, Primary, PrimaryTerm.
	PrimaryKnown
	// BatchCanceled drops a batch without an effect: ID.
	BatchCanceled
	// Tick lets time pass. See State.NextTick.
	Tick
)

// Outcome tells how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Done means that the answer is complete, be it a result or an error of
	// the upstream.
	Done Outcome = iota
	// Refused means that the batch was certainly not run; Code tells why.
	Refused
	// FailedMaybeSent means that the attempt failed after bytes may have been sent.
	FailedMaybeSent
	// FailedNotSent means that the attempt failed before any byte was sent.
	FailedNotSent
	// FailedMidResponse means that the attempt failed after a part of the answer
	// was passed to the caller. It is never tried again.
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

	// ID identifies a batch until its end. It is unique among those of one State.
	ID        uint64
	Workspace model.Workspace
	Class     model.Class
	// MaxAge is the freshness bound of a read; 0 means that only the primary will do.
	MaxAge     time.Duration
	Floor      model.Position
	HasFloor   bool
	Deadline   model.Time
	Idempotent bool
	// Seed is random and different with each batch.
	Seed uint64

	// Attempt is the number of the Send effect that is answered.
	Attempt  uint32
	Upstream model.UpstreamID
	Standby  bool
	Outcome  Outcome
	// Code is the SQLSTATE of a refusal.
	Code sqlstate.Code
	// Applied, Primary and PrimaryTerm are the hint of executor.Result, zero
	// where not known.
	Applied     model.Position
	Primary     model.UpstreamID
	PrimaryTerm model.Term
}

// EffectKind selects the meaning of an Effect.
type EffectKind uint8

// Kinds of effects.
const (
	// Send sends a batch: ID, Attempt, Upstream, Standby.
	Send EffectKind = iota
	// Fail ends a batch: ID, Code, NotRun.
	Fail
)

// Effect is one output of the reducer.
type Effect struct {
	Kind EffectKind
	ID   uint64
	// Attempt is 1 for the first Send of a batch.
	Attempt  uint32
	Upstream model.UpstreamID
	// Standby is true when the batch goes to the standby holder.
	Standby bool
	Code    sqlstate.Code
	// NotRun is true when it is certain that the batch was not run.
	NotRun bool
}
