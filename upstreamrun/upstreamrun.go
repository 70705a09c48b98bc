// Package upstreamrun runs callers' statements on upstreams: it takes a
// connection, gives it the session's values and prepared statements, proves
// reads fresh at the moment of their sending, and reports what the upstream's
// answer tells about it.
package upstreamrun

import (
	"errors"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// ErrNoEvidence means that no proof of the upstream's freshness is young enough;
// nothing was sent.
var ErrNoEvidence = errors.New("freshness cannot be proved")

// Mode is how a statement is run.
type Mode uint8

// Modes.
const (
	// ModePlain sends the statement as it is.
	ModePlain Mode = iota
	// ModeFresh runs a read on a log that is proved to be new enough.
	ModeFresh
	// ModePrimary runs a read inside a transaction of its own: the primary
	// refuses the statements of a transaction after it has lost its role, but
	// not a read outside of one.
	ModePrimary
)

// Statement is one statement of a caller.
type Statement struct {
	ID   string
	Text string
	// Write tells that the statement changes data.
	Write bool
	// Shape and Arguments are those of an execution of a prepared statement;
	// Shape is empty for other statements.
	Shape     string
	Arguments string
}

// Target is where and for whom statements run.
type Target struct {
	Upstream model.UpstreamID
	Service  catalog.Service
	// Workspace is the name under which the upstream knows the caller.
	Workspace string
	// Priority orders requests that wait for a connection; 0 goes first.
	Priority int
	// Wait bounds the wait for a connection.
	Wait time.Duration
	// Deadline ends the statement.
	Deadline time.Time
	// Bound is the age that reads accept, Position what they have to see at
	// least: the session's last commit where the route promises that.
	Bound    time.Duration
	Position model.Position
	// TraceParent is the W3C trace context of the last hop, empty without traces.
	TraceParent string
}

// Request is one statement outside of a transaction.
type Request struct {
	Target
	Statement
	Mode    Mode
	Session upstreampool.SessionState
}

// Outcome is an answered statement.
type Outcome struct {
	upstreampool.Answer
	// Floor is the position that the read had to see, ProofAge the age of its proof.
	Floor    model.Position
	EvidenceAge time.Duration
	// Holder is the VM whose connection was used, empty for this one.
	Holder model.VMID
}

// Tx is an open transaction on one upstream. It is used by one goroutine at a time.
type Tx interface {
	// Send runs a statement. The transaction is over after an error, and after
	// an answer whose state is idle.
	Send(r *TxRequest) (upstreampool.Answer, error)
	// Rollback ends the transaction; Discard ends it with its connection. Both
	// do nothing after its end.
	Rollback()
	Discard()
}

// TxRequest is one statement of an open transaction.
type TxRequest struct {
	Statement
	Session upstreampool.SessionState
	// Wait bounds the wait for a slot, Deadline ends the statement.
	Wait     time.Duration
	Deadline time.Time
	// TraceParent is as in Place.
	TraceParent string
}

// Cluster is what runs need to know of the upstreams and report of them.
type Cluster interface {
	// Now reads the clock that all model.Time values refer to.
	Now() model.Time
	// Floor returns the position that a read has to see, and the age of its proof.
	Floor(service catalog.Service, bound time.Duration, session model.Position) (floor model.Position, age time.Duration, ok bool)
	// Observe reports what an upstream did.
	Observe(ev *replicaset.Event)
	// Suspect asks for a check of an upstream that does not answer.
	Suspect(id model.UpstreamID)
	// Pool returns the connections to an upstream, or nil.
	Pool(id model.UpstreamID) *upstreampool.Pool
}

// Sent reports whether a statement that failed may have reached the upstream.
func Sent(err error) bool {
	var broken *upstreampool.BrokenError
	return errors.As(err, &broken) && broken.Sent
}

// TimedOut reports whether a statement failed because its time had passed.
func TimedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
