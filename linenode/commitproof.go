package linenode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/holderlink"
	"github.com/chervilhatch/chervilhatch/panics"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

const (
	// reachTimeout is how long another zone may take to answer. A primary that is cut off
	// for less than that is not replaced.
	reachTimeout = 100 * time.Millisecond
	// reachDistrust is how long after an unanswered question commits are proved by replicas
	// alone: the cut may have ended before the replicas have caught up.
	reachDistrust = 2 * time.Second
	// receiptRefreshAge is the age of the newest commit that a replica is known to have
	// received from which on its status is queried, so that commits need not wait for that.
	receiptRefreshAge = replicaset.CommitProofWindow / 2
	// nextReplicaDelay is how long the nearest replica may take to answer before the others
	// are asked as well; an answer takes a few milliseconds.
	nextReplicaDelay = 25 * time.Millisecond
	// commitPollInterval is the pause between status queries that look for a commit.
	commitPollInterval = 50 * time.Millisecond
)

// commitProofs establish that a commit that a primary has acknowledged is on registered replicas
// or is going to be. A replica counts for acknowledgements before it is registered, and if it
// cannot register, another upstream is promoted without the commits that only this replica and
// the primary have.
//
// The proof is a registered replica that has received the commit. It is enough that one has
// received a commit of this VM which is at most replicaset.CommitProofWindow old, together with an
// answer from another zone, by a VM or else by a replica, to a question sent after the
// acknowledgement: the primary's replicas received its log and its zone was connected, so the
// replicas elsewhere get the commit as well.
type commitProofs struct {
	cluster *cluster
	members *members

	mu sync.Mutex
	// rounds has the last question to each zone.
	rounds map[model.Zone]*reachRound
	// refreshing has the services whose replicas are being queried in the background.
	refreshing map[catalog.Service]bool
	// unreachableAt is when last no zone had answered a question, 0 if never.
	unreachableAt model.Time

	log commitLog
}

// reachRound is one question to a zone. Waiting commits share it.
type reachRound struct {
	sentAt model.Time
	// done is closed when the question is answered or given up; answered is set before.
	done     chan struct{}
	answered bool
}

func newCommitProofs(c *cluster, m *members) *commitProofs {
	return &commitProofs{cluster: c, members: m, rounds: map[model.Zone]*reachRound{}, refreshing: map[catalog.Service]bool{}, log: newCommitLog(c.log)}
}

// ConfirmCommit reports whether a commit up to position, which the primary p.Upstream has just
// acknowledged, is on more than unregistered replicas in the primary's zone. It waits for the
// proof until p.Deadline at most.
func (c *cluster) ConfirmCommit(p *upstreamrun.Place, position model.Position) bool {
	now := c.Now()
	if !c.commitsNeedReplicas(p.Service) {
		return true
	}
	commit := replicaset.AcknowledgedCommit{Service: p.Service, Primary: p.Upstream, AcknowledgedAt: now, Position: position}
	kind := c.proveCommit(&commit, p.Deadline)
	c.proofs.report(&commit, kind)
	return kind != proofNone
}

// proveCommit returns how a commit is proved. It waits for the proof until deadline at most.
func (c *cluster) proveCommit(commit *replicaset.AcknowledgedCommit, deadline time.Time) proofKind {
	proof := c.commitProof(commit)
	if proof.Sufficient(false) {
		c.refreshStaleReceipt(&proof, commit)
		return kindOf(&proof)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if proof.Sufficient(true) {
		c.refreshStaleReceipt(&proof, commit)
		if c.proofs.reachAny(ctx, proof.Elsewhere, commit.AcknowledgedAt) {
			return proofReach
		}
	}
	if c.proofs.awaitReplica(ctx, commit) {
		return proofReplica
	}
	return proofNone
}

// commitsNeedReplicas reports whether a service acknowledges commits only once replicas have
// received them.
func (c *cluster) commitsNeedReplicas(name catalog.Service) bool {
	configuration := c.Catalog()
	if configuration == nil {
		return false
	}
	service := configuration.Service(name)
	return service != nil && service.SyncReplicas > 0
}

// commitProof returns what this VM knows of a commit.
func (c *cluster) commitProof(commit *replicaset.AcknowledgedCommit) replicaset.CommitProof {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas.CommitProof(c.Now(), c.zone, commit)
}

// refreshStaleReceipt queries a replica in the background if the receipt on which the proofs of
// commits rely is about to become too old.
func (c *cluster) refreshStaleReceipt(proof *replicaset.CommitProof, commit *replicaset.AcknowledgedCommit) {
	if !proof.Held && proof.Receiving && c.Now().Sub(proof.ReceivedSince) > receiptRefreshAge {
		c.proofs.refreshReceipt(commit)
	}
}

// refreshReceipt queries a replica in the background, so that later commits need not wait for
// its answer.
func (p *commitProofs) refreshReceipt(commit *replicaset.AcknowledgedCommit) {
	p.mu.Lock()
	running := p.refreshing[commit.Service]
	p.refreshing[commit.Service] = true
	p.mu.Unlock()
	if running {
		return
	}
	p.cluster.forward.count("commit_proofs.refreshed")
	panics.Go(p.cluster.log, "status query", func() {
		defer func() {
			p.mu.Lock()
			delete(p.refreshing, commit.Service)
			p.mu.Unlock()
		}()
		p.queryReplicas(p.cluster.probes.ctx, commit)
	})
}

// question asks something in another zone and reports whether that was answered.
type question func(ctx context.Context) (answered bool)

// reachAny reports whether the zone of one of the replicas answers a question sent at since or
// later. It does not ask shortly after no zone has answered.
func (p *commitProofs) reachAny(ctx context.Context, replicas []replicaset.Member, since model.Time) bool {
	p.mu.Lock()
	distrusted := p.unreachableAt != 0 && since.Sub(p.unreachableAt) < reachDistrust
	p.mu.Unlock()
	if distrusted {
		return false
	}
	questions := p.questions(replicas)
	answers := make(chan bool, len(questions))
	for zone, q := range questions {
		go func() { answers <- p.reach(ctx, zone, q, since) }()
	}
	for range questions {
		if <-answers {
			return true
		}
	}
	p.mu.Lock()
	p.unreachableAt = p.cluster.Now()
	p.mu.Unlock()
	return false
}

// questions returns a question to each zone of the replicas: to a VM that is usable or, if
// there is none, to the replica.
func (p *commitProofs) questions(replicas []replicaset.Member) map[model.Zone]question {
	questions := map[model.Zone]question{}
	for i := range replicas {
		id, zone := replicas[i].ID, replicas[i].Zone
		questions[zone] = func(ctx context.Context) bool { return p.cluster.probes.status(ctx, id) }
		for _, h := range p.members.holdersIn(zone, id) {
			link := p.cluster.forward.usable(h)
			if link == nil {
				continue
			}
			questions[zone] = func(ctx context.Context) bool {
				_, err := holderlink.NewClient(h.vm, link).Check(ctx)
				return err == nil
			}
			break
		}
	}
	return questions
}

// reach reports whether a zone answers a question sent at since or later.
func (p *commitProofs) reach(ctx context.Context, zone model.Zone, q question, since model.Time) bool {
	for {
		round := p.current(zone, q, since)
		select {
		case <-round.done:
		case <-ctx.Done():
			return false
		}
		if round.sentAt >= since || !round.answered {
			return round.answered
		}
	}
}

// current returns the question to a zone that is under way, or else one sent at since or later.
func (p *commitProofs) current(zone model.Zone, q question, since model.Time) *reachRound {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := p.rounds[zone]; last != nil {
		select {
		case <-last.done:
			if last.sentAt >= since {
				return last
			}
		default:
			return last
		}
	}
	round := &reachRound{sentAt: p.cluster.Now(), done: make(chan struct{})}
	p.rounds[zone] = round
	go p.ask(q, round)
	return round
}

// ask asks the question of a round.
func (p *commitProofs) ask(q question, round *reachRound) {
	defer close(round.done)
	p.cluster.forward.count("commit_proofs.asked")
	ctx, cancel := context.WithTimeout(p.cluster.probes.ctx, reachTimeout)
	defer cancel()
	// The log has the error.
	_ = panics.Call(p.cluster.log, "question to another zone", func() { round.answered = q(ctx) })
}

// awaitReplica queries the statuses of the replicas until one has received the commit. It
// returns false when ctx ends first.
func (p *commitProofs) awaitReplica(ctx context.Context, commit *replicaset.AcknowledgedCommit) bool {
	p.cluster.forward.count("commit_proofs.status")
	for {
		if p.queryReplicas(ctx, commit) {
			return true
		}
		if !pause.For(ctx, commitPollInterval) {
			p.cluster.forward.count("commit_proofs.failed")
			return false
		}
	}
}

// queryReplicas queries the statuses of the replicas, first of the nearest one, and returns true
// as soon as one has received the commit.
func (p *commitProofs) queryReplicas(ctx context.Context, commit *replicaset.AcknowledgedCommit) bool {
	ids := p.nearestFirst(commit)
	answered := make(chan struct{}, len(ids))
	timer := time.NewTimer(nextReplicaDelay)
	defer timer.Stop()
	for sent, open := 0, 0; sent < len(ids) || open > 0; {
		if sent == 0 || open == 0 {
			p.query(ctx, ids[sent], answered)
			sent, open = sent+1, open+1
		}
		select {
		case <-answered:
			open--
			if proof := p.cluster.commitProof(commit); proof.Held {
				return true
			}
		case <-timer.C:
			for ; sent < len(ids); sent++ {
				p.query(ctx, ids[sent], answered)
				open++
			}
		}
	}
	return false
}

// query queries the status of a replica and reports the end of the query to answered.
func (p *commitProofs) query(ctx context.Context, id model.UpstreamID, answered chan<- struct{}) {
	go func() {
		defer func() { answered <- struct{}{} }()
		// The log has the error.
		_ = panics.Call(p.cluster.log, "status query", func() { p.cluster.probes.status(ctx, id) })
	}()
}

// nearestFirst returns the replicas of a service: those that answer before those that do not,
// and of these the ones in the zone of this VM first.
func (p *commitProofs) nearestFirst(commit *replicaset.AcknowledgedCommit) []model.UpstreamID {
	c := p.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := slices.DeleteFunc(c.replicas.Upstreams(commit.Service), func(id model.UpstreamID) bool { return id == commit.Primary })
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
	return ids
}
