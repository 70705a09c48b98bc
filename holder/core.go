// Package holder runs batches on the upstreams whose connections this VM
// holds. A batch waits for a slot and a pooled connection, is sent to the
// upstream, and, if it committed a write, is acknowledged once a majority of
// the group has the write.
package holder

import (
	"context"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Request describes a batch that needs a slot on an upstream.
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

// Assignment is a slot on an upstream. It must be returned with Done.
type Assignment struct {
	ID uint64
	// Primary is true when the upstream is the primary of Term.
	Primary bool
	Term    model.Term
	// Floor is the request's floor or, if it has none, the primary's confirmed
	// position.
	Floor model.Position
	// Database and Upstream are those of the request.
	Database model.Database
	Upstream model.UpstreamID
	// Gated is true for a write that passed the write gate: a switchover of the
	// database waits until EndWrite is called for the assignment.
	Gated bool
}

// Hint is the known state of an upstream and its group, for executor.Result.
type Hint struct {
	Applied model.Position
	Primary model.UpstreamID
	Term    model.Term
}

// Outcome is how a batch on an assignment ended, as seen from the upstream.
type Outcome uint8

// Outcomes of a batch.
const (
	// Completed means that the upstream answered completely, or that it is not
	// at fault: for example, the caller canceled the batch or closed its connection.
	Completed Outcome = iota
	// Unreachable means that the connection failed.
	Unreachable
	// TimedOut means that the upstream did not answer in time.
	TimedOut
)

// Decider admits and schedules batches. Package node implements it on top of
// the reducer; tests use a fake. Errors are *sqlstate.Error.
type Decider interface {
	// Schedule waits until the upstream satisfies the request's floor and
	// freshness bound and fair queueing gives the workspace a free slot.
	// Otherwise it returns an error with NotRun set.
	Schedule(ctx context.Context, r *Request) (Assignment, error)
	// Done frees the slot and returns the hint of its upstream.
	Done(a Assignment, outcome Outcome) Hint
	// EndWrite is called for every assignment, after Done and, if the batch
	// committed a write, after AwaitMajority, so that a switchover waits until
	// the write is acknowledged.
	EndWrite(a Assignment)
	// AwaitMajority returns nil once a majority of the group has position p in
	// p's term, and an OutcomeUnknown error if that fails or ctx ends.
	AwaitMajority(ctx context.Context, db model.Database, p model.Position) error
	// Hint returns the known state of the upstream and its group.
	Hint(db model.Database, u model.UpstreamID) Hint
	// KeyValid returns an error if the key may no longer be used for the job. It
	// is called before each batch, and again after the batch has waited in the queue.
	KeyValid(w model.Workspace, k model.KeyID, j model.Job) error
}
