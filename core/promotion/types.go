// Package promotion decides when another upstream becomes the primary of a
// service, and runs that transition: a switchover if it is planned, otherwise a
// failover. A transition fences the replicas, compares their log positions,
// promotes one upstream and releases the fences.
//
// Only the VM that holds the promotion lease (the promotion duty, in log lines)
// runs it. The package does no I/O: State.Tick returns commands and promotion
// calls as effects, and their results come back with the next Input and
// State.ReportPromotion.
//
// The promoted upstream must have every commit that a VM has passed on to a caller. VMs
// pass commits on only while their primary is promised, and the target is chosen from what
// the upstreams answer after the last promise has ended; docs/design/promotion.md has the
// rule and replicaset.CommitProof its other half.
//
// A former primary may continue to serve after a promotion. Statements that have to
// see every commit, and writes, are therefore sent to a primary only while it is
// confirmed: the lease holder tells each VM that asks which upstream is the primary,
// and promotes no other one until the confirmation has ended, the VM has dropped it, or
// the former primary has stepped down. While no lease holder answers, for example since
// the store is down, VMs vouch to each other for the last confirmed primary; see
// replicaset.Voucher. A new lease holder first waits until the confirmations by the
// former one have ended. It learns from the store which promotion call of the
// former one may still be executed, and confirms no primary until that is settled.
package promotion

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

const (
	// primaryLostTimeout is how long a primary must be unreachable from this VM
	// and its peers before it counts as lost. It is longer than a slow answer
	// and shorter than the callers' usual timeout.
	primaryLostTimeout = 700 * time.Millisecond
	// observationPeriod is how long a new lease holder only observes before it
	// starts a transition. It can be short because its VM has used the upstreams
	// before.
	observationPeriod = 400 * time.Millisecond
	// isolatedLostTimeout replaces primaryLostTimeout on an isolated VM: the VMs
	// that it does not hear from may still reach the primary, and keep using it
	// for that long.
	isolatedLostTimeout = 4 * time.Second
	// connRefusedTimeout replaces primaryLostTimeout for a primary whose host
	// refuses connections, since nothing listens on the port.
	connRefusedTimeout = 300 * time.Millisecond
	// noPrimaryTimeout is how long a service may have no upstream that reports
	// itself as the primary before a failover starts.
	noPrimaryTimeout = 500 * time.Millisecond
	// replicationStallTimeout is how long the replicas may receive nothing of
	// what the primary has written before a failover starts. No commit is
	// acknowledged during the stall.
	replicationStallTimeout = 1200 * time.Millisecond
	// commandRetryInterval is the interval between retransmissions of a command.
	commandRetryInterval = 150 * time.Millisecond
	// statusPollInterval is the interval between status queries during a transition.
	statusPollInterval = 40 * time.Millisecond
	// promoteRetryInterval is the interval between retries of a promotion call.
	promoteRetryInterval = 400 * time.Millisecond
	// unknownDepartureTimeout is how long a new lease holder allows for a replica that left
	// before this VM knew the group. It is longer than the entry of a lost primary lasts,
	// which ends the wait as well.
	unknownDepartureTimeout = 10 * time.Second
	// formerPrimaryTimeout is how long a failover waits for the former primary, if a replica that is
	// lost may have had commits that the others lack. It is longer than a crash that outlasts the
	// entry.
	formerPrimaryTimeout = 15 * time.Second
	// pendingFenceTimeout is how long a failover waits for the fences of upstreams that answer, if
	// another one is known to have all commits that were passed on.
	pendingFenceTimeout = time.Second
	// fenceTimeout ends a failover that has found no safe target, because not
	// all upstreams can be fenced.
	fenceTimeout = 6 * time.Second
	// catchUpTimeout ends a switchover whose target does not catch up with the
	// fenced replicas.
	catchUpTimeout = 2 * time.Second
	// promoteTimeout is how long the target may take to become the primary.
	promoteTimeout = 4 * time.Second
	// transitionRetryDelay is the delay after a failed transition.
	transitionRetryDelay = 500 * time.Millisecond
	// unfenceTimeout ends a transition that cannot release all fences; later
	// ticks release the rest.
	unfenceTimeout = 2 * time.Second
	// targetStatusMaxAge is how old the status of an upstream may be for it to become the target:
	// it may have restarted without its log since. targetStatusRefreshAge is the age from which on
	// the status is queried again.
	targetStatusMaxAge     = 400 * time.Millisecond
	targetStatusRefreshAge = 150 * time.Millisecond
	// contactMaxAge is how long an upstream counts as reachable after its last answer.
	contactMaxAge = 800 * time.Millisecond
	// registrationTimeout is how long after its start an upstream that reaches the store
	// may be missing from the list. It covers one interval between an upstream's writes.
	registrationTimeout = replicaset.RegistrationTimeout
	// listRefreshInterval is the interval at which the list of upstreams is read while the
	// target depends on it.
	listRefreshInterval = 250 * time.Millisecond
	// orphanedFenceTimeout is how long a fence that belongs to no transition is
	// kept before it is released.
	orphanedFenceTimeout = 500 * time.Millisecond
)

// CommandKind is the kind of a control command to an upstream.
type CommandKind uint8

// Control commands. The answer to each is the upstream's status.
const (
	// CommandStatus queries the status and changes nothing.
	CommandStatus CommandKind = iota
	// CommandPause fences a replica for a term: it receives no further commits.
	CommandPause
	// CommandResume releases a fence.
	CommandResume
	// CommandStepDown demotes a primary of a lower term to a replica.
	CommandStepDown
)

// String returns the name that log lines and metrics use.
func (k CommandKind) String() string {
	return [...]string{"status", "pause", "resume", "step down"}[k]
}

// Outcome is the result of a promotion call.
type Outcome uint8

// Outcomes of a promotion call.
const (
	// OutcomeAccepted: the upstream becomes the primary shortly.
	OutcomeAccepted Outcome = iota
	// OutcomeRefused: the platform has seen a higher fencing token, or the
	// upstream does not run.
	OutcomeRefused
	// OutcomeRejected: the call was certainly not executed.
	OutcomeRejected
	// OutcomeUnknown: the call may have been executed, or may be executed later.
	OutcomeUnknown
)

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Kinds of effects.
const (
	// EffectCommand sends Command with Term to Upstream.
	EffectCommand EffectKind = iota
	// EffectPromote calls the platform to promote Upstream under the fencing
	// token Token, after Record was written to the store.
	EffectPromote
	// EffectWithdraw tells VM that the primary of Service is no longer confirmed, but with
	// Upstream as its successor if that is not empty; the answer comes back with
	// State.ReportWithdrawn.
	EffectWithdraw
	// EffectRecord writes Record to the store.
	EffectRecord
	// EffectListNeeded asks for a list of upstreams that is read from now on.
	EffectListNeeded
	// EffectTransitionStarted, EffectTargetSelected and EffectTransitionEnded
	// report the progress of a transition, for the log.
	EffectTransitionStarted
	EffectTargetSelected
	EffectTransitionEnded
	// EffectTargetLeads reports that the promotion of Upstream has taken effect.
	EffectTargetLeads
	// EffectTargetBlocked reports why no target is safe yet, once per change of the cause: Upstream
	// is the one that the cause is about, and Target the most advanced candidate; both may be empty.
	EffectTargetBlocked
)

// Effect is one output of State.Tick.
type Effect struct {
	Kind    EffectKind
	Service catalog.Service
	// Upstream is the old primary in EffectTransitionStarted, and the target in
	// EffectTargetSelected, EffectTargetLeads and EffectTransitionEnded, empty if there is none.
	Upstream model.UpstreamID
	Target   model.UpstreamID
	Command  CommandKind
	Term     uint64
	Token    uint64
	Record   Record
	// VM is the one that EffectWithdraw tells, and SentAt the time of the tick.
	VM     model.VMID
	SentAt model.Time
	// Cause is why a transition started or ended.
	Cause string
	// Position is the log position that the selected target has received.
	Position model.Position
	// OldPosition is the last known end of the old primary's log when a target is selected,
	// and SteppedDown whether it is final because the old primary has stepped down.
	OldPosition model.Position
	SteppedDown bool
	// Members is the number of upstreams that are known when a transition starts or
	// selects its target.
	Members int
	// Elapsed is the duration of an ended transition, the time since the target was
	// selected, or the time for which no target has been safe.
	Elapsed time.Duration
	// Group is what is known of the upstreams when a target is selected or leads, and when no
	// target is safe or found in time; nil otherwise.
	Group *GroupReport
}

// Input is the state of the deployment that a tick decides on.
type Input struct {
	Views []replicaset.View
	// Evacuated reports whether a zone gets no new work.
	Evacuated func(model.Zone) bool
	// PeerContact returns when an upstream last answered a peer, 0 if never.
	PeerContact func(model.UpstreamID) model.Time
	// Evidence returns the newest evidence of how far a service's log reaches.
	Evidence func(catalog.Service) (replicaset.Evidence, bool)
	// EvidenceUpTo returns the newest evidence of a service that a log up to a position covers.
	EvidenceUpTo func(catalog.Service, model.Position) (replicaset.Evidence, bool)
	// SyncReplicas returns the number of replicas that must have received a
	// commit before it is acknowledged.
	SyncReplicas func(catalog.Service) int
	// Voters are the VMs that vouch for a primary while no holder of the promotion lease
	// confirms it, including this one.
	Voters []model.VMID
	// OnlyVotersPassOn is true if VMs that are no voters pass no commits on.
	OnlyVotersPassOn bool
	// FencesChecked is true if the platform refuses promotion calls with a lower
	// fencing token than it has seen for the service.
	FencesChecked bool
	// Isolated is true while this VM hears from less than half of the other VMs.
	Isolated bool
}
