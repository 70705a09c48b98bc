// Package failover watches database groups and changes their primaries: it
// detects a lost primary, proposes a term, fences, promotes, tells the others
// to follow, and carries out planned switchovers. It is a pure reducer.
package failover

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// EventKind selects the meaning of an Event.
type EventKind uint8

// Kinds of events, with the fields of Event that each uses besides Database.
const (
	// GroupConfigured adds or replaces a group: Upstreams, Watcher, Peers,
	// Detect, BackoffMin, BackoffMax.
	GroupConfigured EventKind = iota
	// GroupRemoved removes a group.
	GroupRemoved
	// StatusAnswered is an upstream's answer to SendStatus: Upstream, SentAt, Status.
	StatusAnswered
	// StatusFailed is a poll without an answer: Upstream, SentAt.
	StatusFailed
	// PeerHealth is another watcher's report: From, Primary, Term, Age.
	PeerHealth
	// FenceAnswered: Upstream, Term, Status. It was accepted if Status.Promised
	// is Term, also when the answer to an earlier request was lost.
	FenceAnswered
	// FenceFailed: Upstream, Term. The fence may have been accepted.
	FenceFailed
	// PromoteAnswered: Upstream, Term, Status.
	PromoteAnswered
	// PromoteFailed: Upstream, Term. The promotion may have taken effect.
	PromoteFailed
	// FollowAnswered: Upstream, Term, Status.
	FollowAnswered
	// FollowFailed: Upstream, Term. It may have taken effect.
	FollowFailed
	// SwitchoverRequested asks for a planned switchover: Target, which may be empty.
	SwitchoverRequested
	// WritesDrained reports that no write is in progress on the database since
	// CloseGate.
	WritesDrained
	// Tick lets time pass; it concerns all groups: Seed.
	Tick
)

// Upstream is one member of a group.
type Upstream struct {
	ID   model.UpstreamID
	Zone model.Zone
	// Holder is the VM that is the main holder of the upstream's connections.
	// The watcher that holds the primary starts a planned handover first,
	// because its write gate drains the writes.
	Holder  model.VMID
	Drained bool
	Leaving bool
}

// Event is one input of the reducer.
type Event struct {
	Kind     EventKind
	Database model.Database

	Upstreams []Upstream
	// Watcher is true when this VM watches the group.
	Watcher bool
	// Peers are the other watchers.
	Peers []model.VMID
	// Detect is how long the primary must be silent; 0 means DefaultDetect.
	Detect time.Duration
	// BackoffMin and BackoffMax bound the pause after an unsuccessful
	// proposal; 0 means the defaults.
	BackoffMin time.Duration
	BackoffMax time.Duration

	Upstream model.UpstreamID
	// SentAt is when the request that is answered was sent.
	SentAt model.Time
	Status dbgroup.Status
	Term   model.Term

	From    model.VMID
	Primary model.UpstreamID
	// Age is how long ago Primary last answered From; negative if never.
	Age time.Duration

	Target model.UpstreamID
	// Seed is random and different with each Tick.
	Seed uint64
}

// EffectKind selects the meaning of an Effect.
type EffectKind uint8

// Kinds of effects, with the fields of Effect that each uses besides Database.
const (
	// SendStatus asks for an upstream's status: Upstream.
	SendStatus EffectKind = iota
	// SendFence asks an upstream to accept a term: Upstream, Term.
	SendFence
	// SendPromote makes an upstream the primary of a term: Upstream, Term.
	SendPromote
	// SendFollow makes an upstream follow Primary in a term: Upstream, Term, Primary.
	SendFollow
	// PublishHealth sends a report to the other watchers: Primary, Term, Age.
	PublishHealth
	// PrimaryChanged reports a primary of a newer term: Primary, Term.
	PrimaryChanged
	// SwitchoverBegun: Primary, the current one, and Upstream, the candidate.
	SwitchoverBegun
	// SwitchoverFinished: Primary, Term.
	SwitchoverFinished
	// SwitchoverFailed: Reason.
	SwitchoverFailed
	// CloseWriteGate stops new writes on the database, because a planned
	// switchover drains them. The runtime answers with WritesDrained once the
	// writes that it has admitted have ended. Writes that another holder
	// admits meanwhile are not lost, but the fence may interrupt them.
	CloseWriteGate
	// OpenWriteGate admits writes again.
	OpenWriteGate
)

// Reason tells why a switchover failed.
type Reason uint8

// Reasons of a failed switchover.
const (
	// ReasonNoCandidate means that no other upstream is fit to be the primary.
	ReasonNoCandidate Reason = iota
	// ReasonNotDrained means that writes were still in progress, or that the
	// candidate had not caught up, at the deadline.
	ReasonNotDrained
	// ReasonNoPrimary means that the group has no known primary to hand over.
	ReasonNoPrimary
	// ReasonBusy means that a proposal or a switchover is in progress.
	ReasonBusy
	// ReasonNotPromoted means that the new term did not get a primary.
	ReasonNotPromoted
	// ReasonOtherPrimary means that another upstream than the target became
	// the primary.
	ReasonOtherPrimary
	// ReasonNotWatcher means that this VM does not, or no longer, watch the group.
	ReasonNotWatcher
)

// String returns the reason in words.
func (r Reason) String() string {
	names := [...]string{
		"no candidate", "not drained", "no primary", "busy", "not promoted",
		"another upstream became the primary", "not a watcher",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Effect is one output of the reducer.
type Effect struct {
	Kind     EffectKind
	Database model.Database
	Upstream model.UpstreamID
	Primary  model.UpstreamID
	Term     model.Term
	// Age is how long ago Primary last answered; negative if never.
	Age    time.Duration
	Reason Reason
}
