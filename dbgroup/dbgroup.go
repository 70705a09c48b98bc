// Package dbgroup defines the interface to the control functions of a replicated
// database group: status, fence, promote and follow.
package dbgroup

import (
	"context"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Role is the replication role of an upstream in its group.
type Role uint8

// Roles of an upstream.
const (
	// Replica replicates and applies the log of a primary.
	Replica Role = iota
	// Primary accepts writes.
	Primary
	// Fenced accepts neither writes nor replication until Follow or Promote is
	// called.
	Fenced
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case Primary:
		return "primary"
	case Fenced:
		return "fenced"
	}
	return "replica"
}

// Status is the replication status that an upstream reports about itself.
type Status struct {
	Role Role
	// Promised is the highest term for which the upstream has accepted a fence, a
	// promotion or a primary to follow. It never decreases.
	Promised model.Term
	// LastTerm is the term of the last entry in the upstream's log.
	LastTerm model.Term
	// TermStart is the position of the first entry of LastTerm.
	TermStart model.LogPos
	// Received is the position of the last entry in the log.
	Received model.LogPos
	// Applied is the position of the last entry visible to reads;
	// Applied <= Received.
	Applied model.LogPos
	// AppliedTerm is the term of the entry at Applied.
	AppliedTerm model.Term
}

// Control calls the control functions of upstreams. Each call goes to one upstream.
// A method that changes the upstream may return an error although the change has
// taken effect.
type Control interface {
	// Status returns u's status.
	Status(ctx context.Context, u model.UpstreamID) (Status, error)
	// Fence asks u to accept term t. It returns whether u has accepted, and u's
	// status after the call.
	Fence(ctx context.Context, u model.UpstreamID, t model.Term) (bool, Status, error)
	// Promote makes u the primary of term t, which u must have accepted. It is
	// idempotent for the same t.
	Promote(ctx context.Context, u model.UpstreamID, t model.Term) (Status, error)
	// Follow makes u a replica of primary in term t. u removes the entries from
	// its log that primary lacks. It is refused if u has accepted a term above t.
	Follow(ctx context.Context, u model.UpstreamID, t model.Term, primary model.UpstreamID) (Status, error)
}
