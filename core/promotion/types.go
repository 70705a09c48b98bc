// Package promotion decides when another upstream becomes the primary of a
// service, and in which order the upstreams are fenced, compared and promoted.
// Only the VM that holds the duty runs it. It is pure: orders and calls are
// effects, and their answers are events.
//
// No acknowledged commit may be missing on the promoted upstream. A commit is
// acknowledged once one replica has received it, so it is safe to promote the
// upstream that has received the most once every replica that may have received
// a commit is fenced, that is, receives no more.
package promotion

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
)

const (
	// primaryLostTimeout is how long a primary has to be out of reach of this VM and of
	// its peers before it counts as lost. It is above a slow answer and below
	// the callers' usual time limit.
	primaryLostTimeout = 700 * time.Millisecond
	// observationPeriod is how long a new holder looks before it acts; its VM has used
	// the upstreams before.
	observationPeriod = 400 * time.Millisecond
	// isolatedLostTimeout is the same on a VM that hears from few others: they may
	// still reach the primary, and go on with it for as long.
	isolatedLostTimeout = 4 * time.Second
	// connRefusedTimeout is the same for a primary whose machine answers that
	// nothing listens there.
	connRefusedTimeout = 300 * time.Millisecond
	// noPrimaryTimeout is how long no upstream of a service may call itself the primary.
	noPrimaryTimeout = 500 * time.Millisecond
	// replicationStallTimeout is how long no replica may receive what the primary has
	// written: its commits are not acknowledged meanwhile.
	replicationStallTimeout = 1200 * time.Millisecond
	// commandRetryInterval is the pause between two sendings of the same order.
	commandRetryInterval = 150 * time.Millisecond
	// statusPollInterval is the pause between status queries during a move.
	statusPollInterval = 40 * time.Millisecond
	// promoteRetryInterval is the pause between two sendings of the same promotion call.
	promoteRetryInterval = 400 * time.Millisecond
	// fenceTimeout ends a move whose upstreams cannot all be fenced.
	fenceTimeout = 6 * time.Second
	// catchUpTimeout ends a planned move whose target stays behind.
	catchUpTimeout = 2 * time.Second
	// promoteTimeout is how long a promoted upstream may take to lead.
	promoteTimeout = 4 * time.Second
	// transitionRetryDelay is the pause after a move that failed.
	transitionRetryDelay = 500 * time.Millisecond
	// unfenceTimeout ends the release of fenced replicas, which later ticks repeat.
	unfenceTimeout = 2 * time.Second
	// contactMaxAge is how long an upstream counts as reachable after an answer.
	contactMaxAge = 800 * time.Millisecond
	// orphanedFenceTimeout is how long a fence without a move is left alone.
	orphanedFenceTimeout = 500 * time.Millisecond
)

// CommandKind is an order to an upstream.
type CommandKind uint8

// Orders. All of them answer with the upstream's status.
const (
	// CommandStatus only asks.
	CommandStatus CommandKind = iota
	// CommandPause fences a replica for a term: it receives no more.
	CommandPause
	// CommandResume ends a fence.
	CommandResume
	// CommandStepDown makes a primary of a lower term a replica.
	CommandStepDown
)

// String names the order.
func (k CommandKind) String() string {
	return [...]string{"status", "pause", "resume", "step down"}[k]
}

// Outcome is the answer to a promotion call.
type Outcome uint8

// Outcomes.
const (
	// OutcomeAccepted: the upstream leads shortly.
	OutcomeAccepted Outcome = iota
	// OutcomeRefused: a higher token was used, or the upstream does not run.
	OutcomeRefused
	// OutcomeRejected: the call was certainly not carried out.
	OutcomeRejected
	// OutcomeUnknown: the call may be carried out, perhaps later.
	OutcomeUnknown
)

// EffectKind tells what to do.
type EffectKind uint8

// Kinds of effects.
const (
	// EffectCommand sends Order with Term to Upstream.
	EffectCommand EffectKind = iota
	// EffectPromote calls the platform to promote Upstream with Token.
	EffectPromote
	// EffectTransitionStarted, EffectMoveChosen and EffectMoveEnded tell of a move,
	// for the log.
	EffectTransitionStarted
	EffectTargetSelected
	EffectTransitionEnded
)

// Effect is one output of State.Tick.
type Effect struct {
	Kind     EffectKind
	Service  catalog.Service
	Upstream model.UpstreamID
	Command  CommandKind
	Term     uint64
	Token    uint64
	// Cause says why a move started or ended.
	Cause string
	// Position is that of the chosen upstream.
	Position model.Position
	Elapsed  time.Duration
}

// Input is what a tick decides on.
type Input struct {
	Views []replicaset.View
	// Evacuated reports whether a zone gets no new work.
	Evacuated func(model.Zone) bool
	// PeerContact returns when a peer last had an answer of an upstream, 0 if never.
	PeerContact func(model.UpstreamID) model.Time
	// Evidence returns the newest proof of a service's log.
	Evidence func(catalog.Service) (replicaset.Evidence, bool)
	// SyncReplicas returns how many replicas have received an acknowledged commit.
	SyncReplicas func(catalog.Service) int
	// Isolated is true while this VM hears from less than half of the others.
	Isolated bool
}
