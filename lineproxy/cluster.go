// Package lineproxy serves callers that use the line protocol. It keeps their
// sessions with session values and prepared statements, and runs their statements
// and transactions on the upstreams that the Cluster knows.
package lineproxy

import (
	"context"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/quota"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// Cluster gives sessions the configuration, the quotas and the state of the upstreams,
// and runs their statements.
type Cluster interface {
	// Now returns the current time of the clock that all model.Time values refer to.
	Now() model.Time
	// Catalog returns the configuration in force, or nil if there is none yet.
	Catalog() *catalog.Snapshot
	// Admit takes a token for one operation if the workspace's quota permits.
	// Refund returns the token of an operation that has not run.
	Admit(w model.Workspace) quota.Decision
	Refund(w model.Workspace)
	// Floor returns the minimum log position of a read with the given freshness
	// bound and session position, and the age of the evidence for it. ok is false
	// if no evidence is recent enough.
	Floor(service catalog.Service, bound time.Duration, session model.Position) (floor model.Position, age time.Duration, ok bool)
	// RefreshEvidence asks the primary for newer evidence. It returns false if
	// there is none before ctx ends.
	RefreshEvidence(ctx context.Context, service catalog.Service) bool
	// Primary returns the upstream that gets the writes of a service. It returns
	// false if no primary is known, or, with a non-zero Member, if the primary is
	// failing or not eligible.
	Primary(service catalog.Service) (replicaset.Member, bool)
	// PrimaryGap returns how long a service has had no known primary.
	PrimaryGap(service catalog.Service) time.Duration
	// ReadCandidates returns the upstreams that may serve a read of a route at floor, in
	// the order in which they are to be tried.
	ReadCandidates(route *catalog.Route, floor model.Position, w model.Workspace) []replicaset.Candidate
	// Run runs a statement on an upstream, Open starts a transaction on one. Both
	// report what the answer or failure tells about the upstream.
	Run(r *upstreamrun.Request) (upstreamrun.Outcome, error)
	Open(r *upstreamrun.OpenRequest) (upstreamrun.Tx, upstreamrun.Outcome, error)
	// Suspect requests status queries to an upstream that does not answer.
	Suspect(id model.UpstreamID)
	// Isolated reports whether this VM is partitioned from other VMs and upstreams
	// while callers may still reach other VMs.
	Isolated() bool
}
