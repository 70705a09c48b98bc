// Package replicaset tracks the upstreams of services that use discovery: which
// of them is the primary, the known log position of each replica, the log
// position that a read needs to be fresh enough (its floor), and which upstreams
// are eligible for new requests. It is a pure state machine: it performs no I/O,
// and the time and all observations are passed in with events.
package replicaset

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// Registration is an upstream's entry in the store, written by the upstream.
type Registration struct {
	ID      model.UpstreamID
	Service catalog.Service
	// Address is host:port.
	Address string
	Zone    model.Zone
	// Slots is the number of statements that the upstream runs at once.
	Slots int
	// Leaving is true when the upstream has announced that it will stop. It gets
	// no new requests after leavingExcludeAfter.
	Leaving bool
	// Primary is the upstream's role at the time of the registration.
	Primary bool
	// WarmupLeft is the remaining time for which the upstream is slow after its
	// start.
	WarmupLeft time.Duration
	// Sequence increases with each registration of an incarnation.
	Sequence int64
	// Incarnation is the Unix time in milliseconds of the upstream's start. An
	// upstream that restarts has lost its state. 0 means unknown.
	Incarnation int64
}

// Status is an upstream's answer to a status query.
type Status struct {
	Primary bool
	// Term is the newest term in which the upstream has taken part.
	Term uint64
	// Received is the end of the upstream's log, Applied the end of the part that
	// is visible to its reads.
	Received model.Position
	Applied  model.Position
	// FencedTerm is the term for which the upstream is fenced, 0 if it is not.
	FencedTerm uint64
	// Lag is the replication lag that the upstream reports.
	Lag time.Duration
	// Busy is the number of occupied slots.
	Busy int
	// Connections is the number of connections from all VMs.
	Connections int
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// EventRegistrations carries the complete list of registrations in the store
	// (Registrations), from a read sent at SentAt.
	EventRegistrations EventKind = iota
	// EventStoreUnavailable reports that the store did not answer. Registrations
	// that are missing once it answers again may only be late.
	EventStoreUnavailable
	// EventEvacuations carries the complete list of evacuated zones (Zones), whose
	// upstreams get no new requests.
	EventEvacuations
	// EventStatus reports that Upstream answered a status query sent at SentAt
	// with Status.
	EventStatus
	// EventCommitted reports that Upstream acknowledged a commit sent at SentAt,
	// and that its log reaches Position.
	EventCommitted
	// EventServed reports that Upstream answered a request and that its reads see
	// Position.
	EventServed
	// EventNotPrimary reports that Upstream refused a write because it is a replica.
	EventNotPrimary
	// EventLagging reports that Upstream has not reached Position.
	EventLagging
	// EventFailed reports that Upstream could not be reached. Refused is true if
	// the host refused the connection.
	EventFailed
	// EventEvidence carries Evidence from a peer: at SentAt or later, the log of
	// the primary of Term reached Position.
	EventEvidence
	// EventPrimary reports that a peer knows Upstream as the primary of Term.
	EventPrimary
	// EventConfirmed carries a confirmation by the holder of the promotion lease, in
	// answer to a question sent at SentAt: Upstream is the primary of Term, and no
	// other upstream becomes the primary before Until. With a Successor it is only a promise
	// for commits: no upstream but that one is chosen to become the primary before Until.
	EventConfirmed
	// EventVouched carries a voucher of VM, which was asked for at SentAt: Upstream is the
	// primary of Term until Until.
	EventVouched
	// EventWithdrawn reports that the holder of the promotion lease no longer confirms
	// the primary of Service, because it is about to promote an upstream. A promise that names
	// Successor stays.
	EventWithdrawn
	// EventPassedOn reports that a commit of Service that ends at Position was passed on to a
	// caller, by this VM or a peer.
	EventPassedOn
	// EventPeerListed reports that VM has a list of registrations that was read at SentAt or later.
	EventPeerListed
	// EventReplaced reports that another upstream answers at Upstream's address,
	// so Upstream no longer exists.
	EventReplaced
	// EventSyncReplicas carries the number of replicas (SyncReplicas) that must have
	// received a commit of Service before it is acknowledged.
	EventSyncReplicas
)

// Event is an input of State.Apply. The comments of the kinds name the fields
// that each of them uses.
type Event struct {
	Kind          EventKind
	Service       catalog.Service
	Upstream      model.UpstreamID
	Successor     model.UpstreamID
	Registrations []Registration
	Zones         []model.Zone
	Status        Status
	Position      model.Position
	Term          uint64
	SentAt        model.Time
	Until         model.Time
	VM            model.VMID
	Refused       bool
	SyncReplicas  int
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Kinds of effects.
const (
	// EffectAdded reports a new Upstream that may be connected to.
	EffectAdded EffectKind = iota
	// EffectChanged reports that Upstream's address or incarnation changed, or
	// whether it is leaving.
	EffectChanged
	// EffectRemoved reports that Upstream no longer exists.
	EffectRemoved
	// EffectPrimary reports that Upstream is the primary of Service in Term.
	// Upstream is empty when no primary is known.
	EffectPrimary
	// EffectWarmup reports that Upstream warms up for another Member.WarmupLeft.
	EffectWarmup
	// EffectEvacuated reports that the set of evacuated zones changed.
	EffectEvacuated
	// EffectReplicaEvidence reports that the evidence of Service is derived from its
	// replicas from now on; Evidence is the first such evidence, Members the number of
	// known upstreams, and ListAge the age of the list of upstreams.
	EffectReplicaEvidence
	// EffectIgnored reports that a registration of Upstream is ignored, because it is no
	// newer than the last one before the upstream was removed.
	EffectIgnored
)

// Effect is an output of State.Apply.
type Effect struct {
	Kind     EffectKind
	Service  catalog.Service
	Upstream model.UpstreamID
	Term     uint64
	Member   Member
	Evidence Evidence
	Members  int
	ListAge  time.Duration
}

// Member is this VM's view of an upstream.
type Member struct {
	Registration
	// IsPrimary is the upstream's role in RoleTerm, last observed at RoleAt.
	IsPrimary bool
	RoleTerm  uint64
	RoleAt    model.Time
	// Status is the last status received, StatusAt the time when its query was
	// sent; 0 if there was none.
	Status   Status
	StatusAt model.Time
	// Applied is the highest position known to be visible to reads of this
	// incarnation.
	Applied model.Position
	// appliedAt is when Applied was learned.
	appliedAt model.Time
	// ContactAt is the time of the upstream's last answer, 0 if there was none.
	ContactAt model.Time
	// FailedSince is the time of the first failure since the last answer, 0 if
	// there was none.
	FailedSince model.Time
	// FailedAt is the time of the last failure, 0 if there was none. The upstream may have restarted
	// since an older answer.
	FailedAt model.Time
	// RefusedSince is the time of the first refused connection since the last
	// answer, 0 if there was none.
	RefusedSince model.Time
	// LaggingAt is the time when the upstream last reported that it had not
	// reached LaggingBehind.
	LaggingAt     model.Time
	LaggingBehind model.Position
	// LeavingAt is the time when this VM learned that the upstream is leaving.
	LeavingAt model.Time
	// RetiredAt is when all voters were first known to have a list in which the upstream is leaving, so that
	// it proves no more commits to any VM; 0 before.
	RetiredAt model.Time

	// leavingListedAt is when this VM got the first list in which the upstream is leaving, 0 if it is not.
	leavingListedAt model.Time
	// missingSince is the start of MissingGracePeriod while the registration is
	// missing from the store, 0 while it is present.
	missingSince model.Time
	// steppedDownTerm is the newest term in which the upstream is known to have
	// ceased to be the primary. A peer that still reports it as the primary of
	// that term has stale information.
	steppedDownTerm uint64
}

// Failing reports whether a request to the upstream has failed since its last
// answer.
func (m *Member) Failing() bool { return m.FailedSince != 0 }

// Time limits.
const (
	// MissingGracePeriod is how long a registration may be missing from the store
	// before its upstream is removed. Registrations that expired while the store
	// was unavailable are back within two seconds of its return.
	MissingGracePeriod = 2500 * time.Millisecond
	// departedRetention is how long a removed upstream is remembered. It is longer than a
	// copy from which the store may come back is old.
	departedRetention = time.Minute
	// evidenceRetention is the maximum age of stored evidence. Routes with a
	// larger staleness bound use newer evidence than they need.
	evidenceRetention = 5 * time.Second
	// evidenceMinInterval is the minimum time between stored pieces of evidence; the
	// newest one is overwritten until it is that far from the one before.
	evidenceMinInterval = 50 * time.Millisecond
	// freshnessMargin is subtracted from a route's staleness bound to cover the
	// time between the choice of a position and the arrival of the read.
	freshnessMargin = 200 * time.Millisecond
	// laggingPenalty is how long a replica that had not reached a position is
	// ranked behind the primary and the other replicas.
	laggingPenalty = 60 * time.Millisecond
	// maxReplicaStatusAge is the maximum age of the replicas' statuses that are
	// combined into evidence, and so the maximum time between them.
	maxReplicaStatusAge = 600 * time.Millisecond
	// RegistrationTimeout is how long after its start an upstream that reaches the store
	// may be missing from the list. It covers one interval between an upstream's writes.
	RegistrationTimeout = 1500 * time.Millisecond
	// listingDelay is the age of a replica from which on lists have it as a rule: new ones
	// have been seen in a list within 630 ms of their start.
	listingDelay = 700 * time.Millisecond
	// lateReceiptWindow is how long after the replicas' logs last grew evidence from the replicas
	// allows for a commit that was passed on and that only a replica has which is not listed yet.
	// VMs pass none on (see CommitProof), so the evidence is on the safe side.
	lateReceiptWindow = 500 * time.Millisecond
	// departureTimeout is how long an upstream that has lost its registration without an
	// announcement may still run and count for acknowledgements.
	departureTimeout = time.Minute
	// maxListAge is the maximum age of the list of upstreams for evidence from
	// replicas.
	maxListAge = 1500 * time.Millisecond
	// minConfirmingMembers is the smallest number of upstreams whose statuses confirm a
	// primary: without a replica nothing shows whether another upstream was promoted.
	minConfirmingMembers = 2
	// leavingDemoteAfter is how long a leaving upstream keeps its rank among the
	// candidates for a read.
	leavingDemoteAfter = 2 * time.Second
	// leavingExcludeAfter is how long a leaving upstream stays eligible; after
	// leavingDemoteAfter it is used for a read only if no better candidate is
	// left. Upstreams still serve for seconds after they announce that they leave.
	leavingExcludeAfter = 3 * time.Second
)
