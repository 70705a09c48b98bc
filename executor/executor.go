// Package executor is the interface between the caller side of the proxy and
// the VM that holds a database's connections. The holder may be the same VM or
// a peer.
package executor

import (
	"context"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Hello opens a stream for one caller session.
type Hello struct {
	// Session is unique on the caller side's VM.
	Session   uint64
	Workspace model.Workspace
	Job       model.Job
	Database  model.Database
	// KeyID is empty on an open job.
	KeyID model.KeyID
}

// Prepared is a named prepared statement that a batch uses but does not parse.
type Prepared struct {
	Name string
	// Parse is the encoded Parse message, as the caller sent it.
	Parse []byte
}

// Batch is a run of frontend messages up to and including a Sync or Query.
type Batch struct {
	// ID increases by one with each batch of a stream.
	ID uint64
	// Messages are encoded PostgreSQL frontend messages.
	Messages   []byte
	Class      model.Class
	Idempotent bool
	// Floor is the position that a read must have reached.
	Floor    model.Position
	HasFloor bool
	// MaxAge is the freshness bound of a read; 0 means that only the primary will do.
	MaxAge time.Duration
	// Deadline is when the caller side gives up.
	Deadline    time.Time
	TraceParent string
	Prepared    []Prepared
}

// Result tells how a batch ended. The answer itself went to the sink.
type Result struct {
	// Position is what the session has written or read, zero if unchanged.
	Position model.Position
	// TxStatus is 'I', 'T' or 'E' as in ReadyForQuery.
	TxStatus byte
	// Replica is true when a replica served the batch.
	Replica bool
	// Applied is the applied position of the upstream that was asked. It and
	// Primary are set also when Run returns an error, if they are known.
	Applied model.Position
	// Primary is the primary known to the holder, in term PrimaryTerm.
	Primary     model.UpstreamID
	PrimaryTerm model.Term
}

// Sink receives encoded backend messages in order. It must not keep the slice.
type Sink func(messages []byte) error

// Stream runs the batches of one caller session, one at a time.
type Stream interface {
	// Run executes a batch and passes the whole answer, ReadyForQuery
	// included, to sink. An error is a *sqlstate.Error; then the sink got no
	// CommandComplete for a write, and nothing at all when NotRun is set.
	Run(ctx context.Context, b *Batch, sink Sink) (Result, error)
	// Cancel asks the upstream to cancel the running batch. It is safe to
	// call from another goroutine.
	Cancel()
	// Close rolls back an open transaction and frees the stream.
	Close() error
}

// Executor opens streams to a database; the router implements it.
type Executor interface {
	Open(ctx context.Context, h Hello) (Stream, error)
}

// UpstreamOpener opens streams to one upstream, on this VM or on the peer that holds
// its connections. holder and peer implement it. A Stream from UpstreamOpener answers a write that
// a replica refused, a read that the upstream cannot satisfy in time, and a
// batch for an upstream that it does not hold with an error that has NotRun set.
type UpstreamOpener interface {
	Open(ctx context.Context, h Hello, u model.UpstreamID) (Stream, error)
}
