// Package replication is the holder's knowledge of the database groups whose
// upstreams it holds: confirmed rounds, the freshness of reads and the
// acknowledgement of writes by a majority. It is a pure reducer.
package replication

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// EventKind selects the meaning of an Event.
type EventKind uint8

// Kinds of events, with the fields of Event that each uses besides Database.
const (
	// GroupConfigured adds or replaces a group: Upstreams, ConfirmationTimeout.
	GroupConfigured EventKind = iota
	// GroupRemoved removes a group. Everything that waits on it is refused,
	// and waiting writes end as unknown.
	GroupRemoved
	// StatusAnswered is an upstream's answer to a poll: Upstream, Round, Status.
	StatusAnswered
	// StatusFailed is a poll that got no answer: Upstream, Round.
	StatusFailed
	// ReadCheck asks whether a read may run: ID, Upstream, Floor, HasFloor,
	// MaxAge, Deadline. It ends with ReadReady or ReadRefused.
	ReadCheck
	// WriteCheck asks whether a write may run: ID, Upstream, Deadline. It ends
	// with WriteReady or WriteRefused.
	WriteCheck
	// WriteWaiting asks for the acknowledgement of a write that has run: ID,
	// Position, Deadline. It ends with WriteHeld or WriteUnknown.
	WriteWaiting
	// Abandoned drops a check or a waiting write without an effect: ID.
	Abandoned
	// Tick lets time pass; it concerns all groups. See State.NextTick.
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
	// ConfirmationTimeout is how old the last confirmed round may be when a
	// write starts; 0 means DefaultConfirmationTimeout.
	ConfirmationTimeout time.Duration

	Upstream model.UpstreamID
	Round    uint64
	Status   dbgroup.Status

	// ID identifies a check or waiting write until its final effect. It is
	// unique among those of one State.
	ID       uint64
	Floor    model.Position
	HasFloor bool
	// MaxAge is the freshness bound of a read; 0 means that only the primary will do.
	MaxAge   time.Duration
	Position model.Position
	Deadline model.Time
}

// EffectKind selects the meaning of an Effect.
type EffectKind uint8

// Kinds of effects, with the fields of Effect that each uses besides Database.
const (
	// PollRound asks the runtime to send Status to all upstreams of the group
	// and to report each answer or failure with Round.
	PollRound EffectKind = iota
	// ReadAdmitted lets a read run: ID, Floor, Applied.
	ReadAdmitted
	// ReadRefused refuses a read as not run: ID, Reason.
	ReadRefused
	// WriteAdmitted lets a write run on the primary: ID, Term.
	WriteAdmitted
	// WriteRefused refuses a write as not run: ID, Reason.
	WriteRefused
	// WriteAcknowledged acknowledges a write: ID.
	WriteAcknowledged
	// WriteUnknown ends a write whose outcome is not known: ID.
	WriteUnknown
	// PrimaryChanged reports the primary of a newer term, seen in a confirmed
	// round: Upstream, Term.
	PrimaryChanged
	// RoundConfirmed reports a confirmed round: Round, Upstream, Term, and
	// Floor, the position of the primary.
	RoundConfirmed
)

// Reason tells why a check was refused.
type Reason uint8

// Reasons of a refusal.
const (
	// ReasonStale means that the upstream has not reached the floor or is not
	// fresh enough.
	ReasonStale Reason = iota
	// ReasonNoConfirmedRound means that no round was confirmed in time.
	ReasonNoConfirmedRound
	// ReasonNotPrimary means that the request needs the primary, which is
	// another upstream.
	ReasonNotPrimary
	// ReasonUnknownUpstream means that the upstream is not in a configured group.
	ReasonUnknownUpstream
)

// String returns the reason in words.
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
	// Floor is the position that the upstream has applied at least: that of the
	// check, or of a confirmed round for a check without one. The read may see
	// later entries; what it saw is known only from its own connection.
	Floor model.Position
	// Applied is the upstream's last known applied position.
	Applied model.Position
}
