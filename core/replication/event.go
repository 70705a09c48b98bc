// Package replication tracks the database groups whose upstreams this VM holds.
// It polls the status of a group's upstreams in rounds, admits reads and writes
// by the results, and acknowledges writes that a majority has replicated.
//
// A round is confirmed when a majority, the primary included, has accepted no
// fence above the primary's term. It then proves that the primary's position
// includes every write acknowledged before the round started, like the
// heartbeats of a ReadIndex read in Raft.
//
// The package is a pure reducer: it does no I/O and reads no clock.
package replication

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of events. Each lists the fields of Event that it uses besides Database.
const (
	// GroupConfigured adds or replaces a group: Upstreams, ConfirmationTimeout.
	GroupConfigured EventKind = iota
	// GroupRemoved removes a group. Its pending checks are refused, and its
	// waiting writes end with WriteUnknown.
	GroupRemoved
	// StatusAnswered reports an upstream's answer to a poll: Upstream, Round,
	// Status.
	StatusAnswered
	// StatusFailed reports a poll that got no answer: Upstream, Round.
	StatusFailed
	// ReadCheck asks whether a read may run: ID, Upstream, Floor, HasFloor,
	// MaxAge, Deadline. It ends with ReadAdmitted or ReadRefused.
	ReadCheck
	// WriteCheck asks whether a write may run: ID, Upstream, Deadline. It ends
	// with WriteAdmitted or WriteRefused.
	WriteCheck
	// WriteWaiting asks for the acknowledgement of a write that has run: ID,
	// Position, Deadline. It ends with WriteAcknowledged or WriteUnknown.
	WriteWaiting
	// Canceled removes a check or a waiting write without an effect: ID.
	Canceled
	// Tick applies the deadlines and round intervals of all groups. See
	// State.NextTick.
	Tick
)

// Upstream is one member of a group.
type Upstream struct {
	ID   model.UpstreamID
	Zone model.Zone
}

// Event is one input of the reducer.
type Event struct {
	Kind     EventKind
	Database model.Database

	Upstreams []Upstream
	// ConfirmationTimeout is the maximum age of the last confirmed round when a
	// write starts; 0 means DefaultConfirmationTimeout.
	ConfirmationTimeout time.Duration

	Upstream model.UpstreamID
	Round    uint64
	Status   dbgroup.Status

	// ID identifies a check or waiting write until its final effect. It is
	// unique among the pending ones of a State.
	ID uint64
	// Floor is the lowest position that the upstream must have applied for a
	// read. It is set if HasFloor is.
	Floor    model.Position
	HasFloor bool
	// MaxAge is the freshness bound of a read; 0 means that the read must run
	// on the primary.
	MaxAge   time.Duration
	Position model.Position
	Deadline model.Time
}

// EffectKind is the type of an Effect.
type EffectKind uint8

// Kinds of effects. Each lists the fields of Effect that it uses besides Database.
const (
	// PollRound asks the runtime to request the status of all upstreams of the
	// group and to report each answer or failure: Round.
	PollRound EffectKind = iota
	// ReadAdmitted lets a read run: Upstream, ID, Term, Floor, Applied.
	ReadAdmitted
	// ReadRefused refuses a read, which has not run: ID, Reason.
	ReadRefused
	// WriteAdmitted lets a write run on the primary: Upstream, ID, Term.
	WriteAdmitted
	// WriteRefused refuses a write, which has not run: ID, Reason.
	WriteRefused
	// WriteAcknowledged reports that a majority has replicated a write: ID.
	WriteAcknowledged
	// WriteUnknown ends the wait for a write whose outcome is unknown: ID.
	WriteUnknown
	// PrimaryChanged reports that a confirmed round found another primary or
	// term than the last one: Upstream, Term.
	PrimaryChanged
	// RoundConfirmed reports a confirmed round: Round, Upstream, Term, and
	// Floor, which is the position of the primary.
	RoundConfirmed
)

// Reason is why a check was refused.
type Reason uint8

// Reasons for refusing a check.
const (
	// ReasonStale means that the upstream did not reach the floor or the
	// freshness bound in time.
	ReasonStale Reason = iota
	// ReasonNoConfirmedRound means that no round was confirmed in time.
	ReasonNoConfirmedRound
	// ReasonNotPrimary means that the request must run on the primary and that
	// its upstream is not the primary.
	ReasonNotPrimary
	// ReasonUnknownUpstream means that the upstream is not in a configured group.
	ReasonUnknownUpstream
)

// String returns the reason as text for errors and logs.
func (r Reason) String() string {
	switch r {
	case ReasonStale:
		return "not fresh enough"
	case ReasonNoConfirmedRound:
		return "no confirmed round"
	case ReasonNotPrimary:
		return "not the primary"
	}
	return "unknown upstream"
}

// Effect is one output of the reducer.
type Effect struct {
	Kind     EffectKind
	Database model.Database
	Upstream model.UpstreamID
	Round    uint64
	ID       uint64
	Reason   Reason
	Term     model.Term
	// Floor is a position that the upstream has applied: the floor of the
	// check, or the position of a confirmed round if the check has none. The
	// read may see later entries; the position that it saw is known only from
	// the connection that ran it.
	Floor model.Position
	// Applied is the upstream's last known applied position.
	Applied model.Position
}
