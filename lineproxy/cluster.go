// Package lineproxy serves callers that speak the line protocol: sessions with
// values and prepared statements, single statements and transactions, which it
// runs on discovered upstreams.
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

// Cluster is what sessions need to know and report of the deployment.
type Cluster interface {
	// Now reads the clock that all model.Time values refer to.
	Now() model.Time
	// Catalog returns the configuration in force, or nil before the first.
	Catalog() *catalog.Snapshot
	// Admit takes the token of one operation, Refund gives it back for an
	// operation that has certainly not run.
	Admit(w model.Workspace) quota.Decision
	Refund(w model.Workspace)
	// Floor returns the position that a read has to see, and the age of its proof.
	Floor(service catalog.Service, bound time.Duration, session model.Position) (floor model.Position, age time.Duration, ok bool)
	// RefreshEvidence asks the primary for newer proof; it returns false when
	// there is none before ctx ends.
	RefreshEvidence(ctx context.Context, service catalog.Service) bool
	// Primary returns the upstream that writes go to.
	Primary(service catalog.Service) (replicaset.Member, bool)
	// PrimaryGap returns for how long no primary has been known.
	PrimaryGap(service catalog.Service) time.Duration
	// ReadCandidates returns the upstreams to try a read on, best first.
	ReadCandidates(service catalog.Service, floor model.Position, w model.Workspace) []replicaset.Candidate
	// Run runs a statement on an upstream, Open starts a transaction there.
	// Both report what they learn of the upstream.
	Run(r *upstreamrun.Request) (upstreamrun.Outcome, error)
	Open(r *upstreamrun.OpenRequest) (upstreamrun.Tx, upstreamrun.Outcome, error)
	// Suspect asks for a check of an upstream that does not answer.
	Suspect(id model.UpstreamID)
	// Isolated reports whether this VM is cut off from the upstreams while
	// callers may still reach other VMs.
	Isolated() bool
}
