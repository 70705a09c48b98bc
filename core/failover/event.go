// Package failover monitors database groups and changes their primaries. It
// detects the loss of a primary, proposes a new term, fences a majority of the
// upstreams, promotes one of them and reconfigures the others to follow it. It
// also carries out planned switchovers.
//
// The package is a pure reducer: State.Apply takes an Event and returns Effects,
// and the runtime performs all I/O.
package failover

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// EventKind selects the meaning of an Event.
type EventKind uint8

// Kinds of events, with the fields of Event that each sets besides Database.
const (
	// GroupConfigured adds or replaces a group: Upstreams, Watcher, Peers,
	// Detect, BackoffMin, BackoffMax.
	GroupConfigured EventKind = iota
	// GroupRemoved stops monitoring a group.
	GroupRemoved
	// StatusAnswered is the response of an upstream to SendStatus: Upstream,
	// SentAt, Status.
	StatusAnswered
	// StatusFailed reports that a status poll failed or timed out: Upstream,
	// SentAt.
	StatusFailed
	// PeerHealth is the health report of another watcher: From, Primary, Term,
	// Age.
	PeerHealth
	// FenceAnswered is the response to SendFence: Upstream, Term, Status. The
	// upstream has accepted the fence if Status.Promised equals Term. This also
	// covers an earlier request whose response was lost.
	FenceAnswered
	// FenceFailed reports that SendFence failed: Upstream, Term. The upstream
	// may nevertheless have accepted the fence.
	FenceFailed
	// PromoteAnswered is the response to SendPromote: Upstream, Term, Status.
	PromoteAnswered
	// PromoteFailed reports that SendPromote failed: Upstream, Term. The
	// promotion may nevertheless have taken effect.
	PromoteFailed
	// FollowAnswered is the response to SendFollow: Upstream, Term, Status.
	FollowAnswered
	// FollowFailed reports that SendFollow failed: Upstream, Term. The request
	// may nevertheless have taken effect.
	FollowFailed
	// SwitchoverRequested requests a planned switchover: Target. An empty Target
	// selects the best candidate.
	SwitchoverRequested
	// WritesDrained reports that every write that was in progress on the
	// database at CloseWriteGate has ended.
	WritesDrained
	// Tick advances the time of all groups: Seed.
	Tick
)

// Upstream is one member of a database group.
type Upstream struct {
	ID   model.UpstreamID
	Zone model.Zone
	// Holder is the VM that is the main holder of the upstream's connections.
	// The watcher on the primary's holder is the first to start an automatic
	// switchover, because its write gate drains the writes.
	Holder  model.VMID
	Drained bool
	Leaving bool
}

// Event is one input of the reducer.
type Event struct {
	Kind     EventKind
	Database model.Database

	Upstreams []Upstream
	// Watcher is true if this VM monitors the group.
	Watcher bool
	// Peers are the other VMs that monitor the group.
	Peers []model.VMID
	// Detect is the detection time: how long the primary must be unresponsive
	// before it counts as lost. 0 means DefaultDetect.
	Detect time.Duration
	// BackoffMin and BackoffMax bound the backoff after a failed proposal; 0
	// means the defaults.
	BackoffMin time.Duration
	BackoffMax time.Duration

	Upstream model.UpstreamID
	// SentAt is when the request was sent that this event responds to.
	SentAt model.Time
	Status dbgroup.Status
	Term   model.Term

	From    model.VMID
	Primary model.UpstreamID
	// Age is how long Primary has been unresponsive for From; negative if it
	// has not answered From since it became the primary.
	Age time.Duration

	Target model.UpstreamID
	// Seed is a new random number for each Tick.
	Seed uint64
}

// EffectKind selects the meaning of an Effect.
type EffectKind uint8

// Kinds of effects, with the fields of Effect that each sets besides Database.
const (
	// SendStatus requests the status of an upstream: Upstream.
	SendStatus EffectKind = iota
	// SendFence requests that an upstream accept a term, which fences it:
	// Upstream, Term.
	SendFence
	// SendPromote promotes an upstream to the primary of a term: Upstream, Term.
	SendPromote
	// SendFollow makes an upstream a replica of Primary in a term: Upstream,
	// Term, Primary.
	SendFollow
	// PublishHealth sends a health report to the other watchers: Primary, Term,
	// Age.
	PublishHealth
	// PrimaryChanged reports the primary of a newer term: Primary, Term.
	PrimaryChanged
	// SwitchoverBegun reports the start of a switchover: Primary, which is the
	// current primary, and Upstream, which is the target.
	SwitchoverBegun
	// SwitchoverFinished reports the new primary: Primary, Term.
	SwitchoverFinished
	// SwitchoverFailed reports why a switchover failed: Reason.
	SwitchoverFailed
	// CloseWriteGate blocks new writes on the database while a planned
	// switchover drains the writes in progress. The runtime responds with
	// WritesDrained once all writes that it has admitted have ended. Writes that
	// another holder admits in the meantime are not lost, but the fence may
	// interrupt them.
	CloseWriteGate
	// OpenWriteGate admits writes again.
	OpenWriteGate
)

// Reason is the reason why a switchover failed.
type Reason uint8

// Reasons of a failed switchover.
const (
	// ReasonNoCandidate means that no other upstream is eligible as the primary,
	// or that the requested target is unknown or already the primary.
	ReasonNoCandidate Reason = iota
	// ReasonNotDrained means that at the deadline writes were still in progress
	// or the target had not caught up with the primary.
	ReasonNotDrained
	// ReasonNoPrimary means that no primary is known, or that the known one is
	// unresponsive.
	ReasonNoPrimary
	// ReasonBusy means that a proposal or a switchover is already in progress.
	ReasonBusy
	// ReasonNotPromoted means that no primary was promoted in the new term.
	ReasonNotPromoted
	// ReasonOtherPrimary means that an upstream other than the target became
	// the primary.
	ReasonOtherPrimary
	// ReasonNotWatcher means that this VM does not monitor the group or no
	// longer does so.
	ReasonNotWatcher
)

// String returns a description of the reason for logs and operators.
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
	// Age is how long Primary has been unresponsive; negative if it has not
	// answered since it became the primary.
	Age    time.Duration
	Reason Reason
}
