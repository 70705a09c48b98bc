// Package holder runs batches on the upstreams whose connections this VM
// holds: it queues them, chooses an upstream, runs them and waits until a
// write is held by a majority.
package holder

import (
	"context"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Request asks for a slot on an upstream.
type Request struct {
	Workspace model.Workspace
	KeyID     model.KeyID
	Job       model.Job
	Database  model.Database
	Upstream  model.UpstreamID
	Class     model.Class
	Floor     model.Position
	HasFloor  bool
	MaxAge    time.Duration
	Deadline  time.Time
}

// Assignment is a slot on an upstream. It must be given back by Done.
type Assignment struct {
	ID uint64
	// Primary is true when the upstream is the primary of Term.
	Primary bool
	Term    model.Term
	// Floor is the request's floor, or the confirmed position of the primary
	// that stands in for a missing floor.
	Floor model.Position
	// Database and Upstream are those of the request.
	Database model.Database
	Upstream model.UpstreamID
	// Gated is true for a write, for which planned switchovers of the database
	// wait until the assignment is given back.
	Gated bool
}

// Hint is what is known of an upstream and its group, for executor.Result.
type Hint struct {
	Applied model.Position
	Primary model.UpstreamID
	Term    model.Term
}

// Outcome tells how a batch on an assignment ended.
type Outcome uint8

// Outcomes of a batch.
const (
	// Completed means that the upstream answered completely.
	Completed Outcome = iota
	// Unreachable means that the connection failed.
	Unreachable
	// TimedOut means that the upstream did not answer in time.
	TimedOut
)

// Decider makes the holder's decisions. node implements it over the reducer;
// tests use a fake. Errors are *sqlstate.Error.
type Decider interface {
	// Schedule waits until the upstream satisfies the request and a slot is
	// free in the workspace's turn. It refuses as not run otherwise.
	Schedule(ctx context.Context, r *Request) (Assignment, error)
	// Done gives the slot back and returns the hint of its upstream.
	Done(a Assignment, outcome Outcome) Hint
	// EndWrite ends a write for which Schedule was called. It comes after Done
	// and, where the write is acknowledged, after AwaitMajority, so that a
	// planned switchover waits for the acknowledgement.
	EndWrite(a Assignment)
	// AwaitMajority returns nil once a majority of the group holds p in p's
	// term, and an OutcomeUnknown error when that fails or ctx ends.
	AwaitMajority(ctx context.Context, db model.Database, p model.Position) error
	// Hint returns what is known of the upstream and its group.
	Hint(db model.Database, u model.UpstreamID) Hint
	// KeyValid reports whether the key may still be used for the job, and is
	// asked again before each statement runs. An error says why not.
	KeyValid(w model.Workspace, k model.KeyID, j model.Job) error
}
