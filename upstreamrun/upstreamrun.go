// Package upstreamrun runs callers' statements on upstreams: it acquires a
// connection, applies the session's values and prepared statements, determines
// the position that a read has to see just before the read is sent, and reports
// what the upstream's answer shows about it.
package upstreamrun

import (
	"errors"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// ErrNoEvidence means that no evidence of the primary's log position is recent
// enough for the read's freshness bound. Nothing was sent.
var ErrNoEvidence = errors.New("freshness cannot be proved")

// ErrUnconfirmed means that another upstream may have become the primary, so that a
// write, or a read that has to see every commit, cannot be sent. Nothing was sent.
var ErrUnconfirmed = errors.New("primary not confirmed")

// errCommitUnconfirmed means that a commit was acknowledged and may be lost all the same, so
// that its outcome counts as unknown.
var errCommitUnconfirmed = errors.New("commit not known to outlast a change of primary")

// Mode is how a statement is run.
type Mode uint8

// Modes.
const (
	// ModePlain sends the statement as it is.
	ModePlain Mode = iota
	// ModeFresh sends a read with its floor. An upstream that has not applied its
	// log up to there refuses it with the code Lagging.
	ModeFresh
	// ModePrimary runs a read in a transaction of its own: an upstream that is no
	// longer the primary refuses the statements of open transactions, but not
	// reads outside of them.
	ModePrimary
)

// Statement is one statement of a caller.
type Statement struct {
	ID   string
	Text string
	// Write is set if the statement changes data.
	Write bool
	// Shape and Arguments are set for the execution of a prepared statement. Shape
	// is empty for other statements.
	Shape     string
	Arguments string
}

// Place is the upstream that a statement runs on, with the limits and the
// freshness that apply to the statement.
type Place struct {
	Upstream model.UpstreamID
	Service  catalog.Service
	// Workspace is the name by which the upstream knows the caller.
	Workspace string
	// Priority orders requests that wait for a connection; 0 goes first.
	Priority int
	// Wait bounds the wait for a connection.
	Wait time.Duration
	// Deadline ends the statement.
	Deadline time.Time
	// Objective is when the caller should have the answer by the route's latency
	// objective, zero if the VM that sent the request did not say. Elsewhere is set if
	// the statement is to be refused rather than wait beyond Objective, because
	// another upstream may run it. Only upstreams with a gate use them; see
	// upstreampool.Pool.UseGate.
	Objective time.Time
	Elsewhere bool
	// Bound is the freshness bound of reads. Position is a position that they
	// have to see in any case: that of the session's last commit if the route
	// promises that sessions read their own writes, and zero otherwise.
	Bound    time.Duration
	Position model.Position
	// TraceParent is the W3C trace context of the previous hop, empty without
	// traces.
	TraceParent string
}

// Request is one statement outside of a transaction.
type Request struct {
	Place
	Statement
	Mode    Mode
	Session upstreampool.SessionState
}

// Outcome is the result of an answered statement.
type Outcome struct {
	upstreampool.Answer
	// Floor is the position that the read had to see, EvidenceAge the age of the
	// evidence for it. Both are zero for statements without a floor.
	Floor       model.Position
	EvidenceAge time.Duration
	// Holder is the VM whose connection was used, empty for this VM.
	Holder model.VMID
}

// Tx is an open transaction on one upstream. It is not safe for concurrent use.
type Tx interface {
	// Send runs a statement. The transaction is over after an error, and after an
	// answer with the state idle.
	Send(r *TxRequest) (upstreampool.Answer, error)
	// Rollback ends the transaction and keeps its connection; Discard closes the
	// connection as well. Both do nothing once the transaction is over.
	Rollback()
	Discard()
}

// TxRequest is one statement of an open transaction.
type TxRequest struct {
	Statement
	Session upstreampool.SessionState
	// Wait bounds the wait for a slot of the upstream. Deadline ends the
	// statement.
	Wait     time.Duration
	Deadline time.Time
	// TraceParent is as in Place.
	TraceParent string
}

// Cluster holds what is known of the upstreams. Running a statement reads this
// state and reports to it what the answer shows.
type Cluster interface {
	// Now returns the time of the clock that all model.Time values refer to.
	Now() model.Time
	// Floor returns the position that a read has to see and the age of the
	// evidence for it. ok is false if no evidence is recent enough.
	Floor(service catalog.Service, bound time.Duration, session model.Position) (floor model.Position, age time.Duration, ok bool)
	// Observe reports an event of an upstream.
	Observe(ev *replicaset.Event)
	// ConfirmPrimary reports whether no other upstream had become the primary of the
	// service when the statement arrived, at since. It may wait for the proof, for at
	// most Place.Wait.
	ConfirmPrimary(p *Place, since model.Time) bool
	// ConfirmCommits reports whether commits of p.Upstream may be passed on to callers if they
	// are sent now, as far as is known before: no upstream has been chosen to follow it. It may
	// wait for that, for at most Place.Wait.
	ConfirmCommits(p *Place, since model.Time) bool
	// ConfirmCommit reports whether every later primary has a commit up to position that
	// p.Upstream has just acknowledged. It may wait for the proof, until p.Deadline.
	ConfirmCommit(p *Place, position model.Position) bool
	// Suspect requests status queries to an upstream that does not answer.
	Suspect(id model.UpstreamID)
	// Pool returns the connection pool of an upstream, or nil.
	Pool(id model.UpstreamID) *upstreampool.Pool
}

// Sent reports whether a statement that failed may have reached the upstream.
func Sent(err error) bool {
	var broken *upstreampool.BrokenError
	return errors.As(err, &broken) && broken.Sent
}

// TimedOut reports whether a statement failed because its deadline had passed.
func TimedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
