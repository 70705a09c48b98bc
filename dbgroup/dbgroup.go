// Package dbgroup is the interface to the control functions of a replicated
// database group: status, fence, promote and follow.
package dbgroup

import (
	"context"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Role is what an upstream does in its group.
type Role uint8

// Roles of an upstream.
const (
	// Replica applies the log of a primary.
	Replica Role = iota
	// Primary takes writes.
	Primary
	// Fenced takes neither writes nor replication until it is told to follow
	// or is promoted.
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

// Status is what one upstream reports about itself.
type Status struct {
	Role Role
	// Promised is the highest term whose fence, promotion or primary the
	// upstream has accepted. It never decreases.
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

// Control reaches the control functions of one upstream at a time. Every method may
// fail after the change took effect.
type Control interface {
	Status(ctx context.Context, u model.UpstreamID) (Status, error)
	// Fence asks u to accept term t. It returns whether u accepted, and u's
	// status afterwards.
	Fence(ctx context.Context, u model.UpstreamID, t model.Term) (bool, Status, error)
	// Promote makes u the primary of term t; u must have accepted t. Repeating
	// it for the same t has no further effect.
	Promote(ctx context.Context, u model.UpstreamID, t model.Term) (Status, error)
	// Follow makes u a replica of primary in term t, rewinding entries that
	// primary lacks. It is refused if u has accepted a term above t.
	Follow(ctx context.Context, u model.UpstreamID, t model.Term, primary model.UpstreamID) (Status, error)
}
