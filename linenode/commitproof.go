package linenode

import (
	"context"
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/panics"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

const (
	// nextReplicaDelay is how long the nearest replica may take to answer before the others
	// are asked as well; an answer takes a few milliseconds.
	nextReplicaDelay = 25 * time.Millisecond
	// commitPollInterval is the pause between two looks for the proof of a commit.
	commitPollInterval = 50 * time.Millisecond
)

// commitProofs establish that every later primary has a commit that a primary has acknowledged; see
// replicaset.CommitProof. They query the statuses of replicas.
type commitProofs struct {
	cluster *cluster
	log     commitLog
}

func newCommitProofs(c *cluster) *commitProofs {
	return &commitProofs{cluster: c, log: newCommitLog(c.log)}
}

// ConfirmCommit reports whether every later primary has a commit up to position, which the primary
// p.Upstream has just acknowledged. It waits for the proof until p.Deadline at most.
func (c *cluster) ConfirmCommit(p *upstreamrun.Place, position model.Position) bool {
	if !c.commitsNeedReplicas(p.Service) {
		return true
	}
	commit := replicaset.AcknowledgedCommit{Service: p.Service, Primary: p.Upstream, AcknowledgedAt: c.Now(), Position: position}
	ctx, cancel := context.WithDeadline(context.Background(), p.Deadline)
	defer cancel()
	proved := c.proofs.await(ctx, &commit)
	c.proofs.report(&commit, proved)
	return proved
}

// commitsNeedReplicas reports whether a service acknowledges commits only once replicas have
// received them, as far as this VM knows.
func (c *cluster) commitsNeedReplicas(name catalog.Service) bool {
	configuration := c.Catalog()
	if configuration == nil {
		return true
	}
	service := configuration.Service(name)
	return service == nil || service.SyncReplicas > 0
}

// recordPassedOn records that a commit up to position, which a holder has proved, is passed on.
func (c *cluster) recordPassedOn(service catalog.Service, position model.Position) {
	if c.commitsNeedReplicas(service) {
		c.Observe(&replicaset.Event{Kind: replicaset.EventPassedOn, Service: service, Position: position})
	}
}

// await waits for the proof of a commit. It returns false when ctx ends first, or once there will be
// none.
func (p *commitProofs) await(ctx context.Context, commit *replicaset.AcknowledgedCommit) bool {
	for {
		proof := p.proof(commit)
		if !proof.Held && !proof.Superseded {
			p.queryReplicas(ctx, commit, proof.Ask)
			proof = p.proof(commit)
		}
		switch {
		case proof.Sufficient():
			return true
		case proof.Superseded, !pause.For(ctx, commitPollInterval):
			return false
		case !proof.Promised:
			p.cluster.askForPromises()
		}
	}
}

// proof returns what this VM knows of a commit.
func (p *commitProofs) proof(commit *replicaset.AcknowledgedCommit) replicaset.CommitProof {
	c := p.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	proof := c.replicas.CommitProof(c.Now(), commit)
	if proof.Sufficient() {
		// A withdrawal that follows has to know of it.
		c.applyLocked(&replicaset.Event{Kind: replicaset.EventPassedOn, Service: commit.Service, Position: commit.Position})
	}
	return proof
}

// queryReplicas queries the statuses of upstreams, first of the nearest one, until one of them has
// received the commit.
func (p *commitProofs) queryReplicas(ctx context.Context, commit *replicaset.AcknowledgedCommit, ids []model.UpstreamID) {
	p.cluster.forward.count("commit_proofs.asked")
	p.nearestFirst(ids)
	answered := make(chan struct{}, len(ids))
	timer := time.NewTimer(nextReplicaDelay)
	defer timer.Stop()
	for sent, open := 0, 0; sent < len(ids) || open > 0; {
		if sent == 0 || open == 0 {
			p.query(ids[sent], answered)
			sent, open = sent+1, open+1
		}
		select {
		case <-ctx.Done():
			return
		case <-answered:
			open--
			if proof := p.proof(commit); proof.Held {
				return
			}
		case <-timer.C:
			for ; sent < len(ids); sent++ {
				p.query(ids[sent], answered)
				open++
			}
		}
	}
}

// query queries the status of a replica and reports the end of the query to answered. The query is
// shared, so the end of one commit's wait does not end it.
func (p *commitProofs) query(id model.UpstreamID, answered chan<- struct{}) {
	go func() {
		defer func() { answered <- struct{}{} }()
		// The log has the error.
		_ = panics.Call(p.cluster.log, "status query", func() { p.cluster.probes.status(p.cluster.probes.ctx, id) })
	}()
}

// nearestFirst sorts upstreams: those that answer before those that do not, and of these the ones in
// the zone of this VM first.
func (p *commitProofs) nearestFirst(ids []model.UpstreamID) {
	c := p.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	distance := func(id model.UpstreamID) int {
		m, _ := c.replicas.Member(id)
		switch {
		case m.Failing():
			return 2
		case m.Zone != c.zone:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(ids, func(a, b model.UpstreamID) int { return distance(a) - distance(b) })
}
