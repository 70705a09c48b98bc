// Package executor defines the interface between the caller side of the proxy,
// which is the VM that a caller is connected to, and the VM that holds the
// connections to an upstream. Both may be the same VM.
package executor

import (
	"context"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Hello describes the caller session that a stream is opened for.
type Hello struct {
	// Session is unique among the sessions of the caller side's VM.
	Session   uint64
	Workspace model.Workspace
	Job       model.Job
	Database  model.Database
	// KeyID is empty for an open job.
	KeyID model.KeyID
}

// Prepared is a named prepared statement that a batch uses but does not parse.
type Prepared struct {
	Name string
	// Parse is the encoded Parse message as sent by the caller.
	Parse []byte
}

// Batch is a sequence of frontend messages that ends with a Sync or Query.
type Batch struct {
	// ID increases by one with each batch of a stream.
	ID uint64
	// Messages are encoded PostgreSQL frontend messages.
	Messages   []byte
	Class      model.Class
	Idempotent bool
	// Floor is the minimum position of a read. It applies if HasFloor is set.
	Floor    model.Position
	HasFloor bool
	// MaxAge is the freshness bound of a read; 0 allows only the primary.
	MaxAge time.Duration
	// Deadline is when the caller side stops waiting for the batch.
	Deadline    time.Time
	TraceParent string
	Prepared    []Prepared
}

// Result is the outcome of a batch. The answer itself is passed to the sink.
type Result struct {
	// Position is the position that the session has written or read. It is zero
	// if the batch did not change it.
	Position model.Position
	// TxStatus is 'I', 'T' or 'E' as in ReadyForQuery.
	TxStatus byte
	// Replica is true when a replica served the batch.
	Replica bool
	// Applied is the applied position of the upstream that received the batch.
	// Applied, Primary and PrimaryTerm are also set when Run returns an error,
	// if they are known.
	Applied model.Position
	// Primary is the primary known to the holder, in term PrimaryTerm.
	Primary     model.UpstreamID
	PrimaryTerm model.Term
}

// Sink receives encoded backend messages in order. It must not retain the slice.
type Sink func(messages []byte) error

// Stream runs the batches of one caller session, one at a time.
type Stream interface {
	// Run executes a batch and passes the complete answer, including
	// ReadyForQuery, to sink. An error is of type *sqlstate.Error; the sink has
	// then received no CommandComplete for a write, and nothing at all if NotRun
	// is set.
	Run(ctx context.Context, b *Batch, sink Sink) (Result, error)
	// Cancel asks the upstream to cancel the running batch. It may be called from
	// another goroutine.
	Cancel()
	// Close rolls back an open transaction and releases the stream.
	Close() error
}

// Executor opens streams to a database; router.Router implements it.
type Executor interface {
	Open(ctx context.Context, h Hello) (Stream, error)
}

// UpstreamOpener opens streams to one upstream, on this VM or on the peer that
// holds its connections. Packages holder and peer implement it. Its streams return
// an error with NotRun set for a write that a replica refused, for a read that the
// upstream cannot satisfy in time, and for a batch to an upstream that the VM does
// not hold.
type UpstreamOpener interface {
	Open(ctx context.Context, h Hello, u model.UpstreamID) (Stream, error)
}
