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
	kind := c.proveCommit(p, position, now)
	c.proofs.report(p, position, kind, now)
	return kind != proofNone
}

// proveCommit returns how a commit that was acknowledged by now is proved.
func (c *cluster) proveCommit(p *upstreamrun.Place, position model.Position, now model.Time) proofKind {
	need := c.proofNeeded(p, position)
	switch {
	case need.unneeded:
		return proofUnneeded
	case need.proved:
		return proofReplica
	case !need.replicas:
		return proofNoReplicas
	}
	ctx, cancel := context.WithDeadline(context.Background(), p.Deadline)
	defer cancel()
	if need.receiving {
		if now.Sub(need.receivedSince) > receiptRefreshAge {
			c.proofs.refreshReceipt(p, position)
		}
		switch {
		case need.crossed:
			return proofCrossed
		case need.sameZone && c.proofs.reachAny(ctx, need.elsewhere, now):
			return proofReach
		}
	}
	if c.proofs.awaitReplica(ctx, p, position) {
		return proofReplica
	}
	return proofNone
}

// proofNeed is what is known of a commit when its proof is looked for.
type proofNeed struct {
	// unneeded is true if commits need no replica, and proved if so or if a registered one is
	// known to have this one.
	unneeded bool
	proved   bool
	// receivedSince is the time since which a registered replica has received a commit of
	// this term, and receiving is true if that is within replicaset.CommitProofWindow.
	receivedSince model.Time
	receiving     bool
	// crossed is true if the acknowledgement has crossed zones while the primary was
	// confirmed, or if no replica is outside of the primary's zone.
	crossed bool
	// replicas is true if a replica is registered.
	replicas bool
	// sameZone is true if the primary is in this VM's zone.
	sameZone bool
	// elsewhere are the registered replicas outside of the primary's zone.
	elsewhere []replicaset.Member
}

// proofNeeded returns what is known of a commit of the primary p.Upstream up to position.
func (c *cluster) proofNeeded(p *upstreamrun.Place, position model.Position) proofNeed {
	configuration := c.Catalog()
	if configuration == nil || configuration.Service(p.Service) == nil || configuration.Service(p.Service).SyncReplicas == 0 {
		return proofNeed{unneeded: true, proved: true}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	primary, found := c.replicas.Member(p.Upstream)
	need := proofNeed{
		sameZone:      found && primary.Zone == c.zone,
		receivedSince: c.replicas.ReceivedSince(p.Service, position.Term),
	}
	need.receiving = need.receivedSince != 0 && now.Sub(need.receivedSince) <= replicaset.CommitProofWindow
	need.crossed = found && !need.sameZone && c.replicas.ConfirmedUntil(p.Upstream) >= now
	for _, id := range c.replicas.Upstreams(p.Service) {
		m, _ := c.replicas.Member(id)
		if id == p.Upstream {
			continue
		}
		need.replicas = true
		need.proved = need.proved || holdsCommit(&m, position)
		if !found || m.Zone != primary.Zone {
			need.elsewhere = append(need.elsewhere, m)
		}
	}
	need.crossed = need.crossed || len(need.elsewhere) == 0
	return need
}

// holdsCommit reports whether a replica has said that it has received a commit, in the term of
// it, or that its reads see it.
func holdsCommit(m *replicaset.Member, position model.Position) bool {
	s := &m.Status
	if !m.IsPrimary && m.Applied.Term == position.Term && m.Applied.Compare(position) >= 0 {
		return true
	}
	return m.StatusAt != 0 && !s.Primary && s.Term == position.Term.Counter && s.Received.Compare(position) >= 0
}

// refreshReceipt queries a replica in the background, so that later commits need not wait for
// its answer.
func (p *commitProofs) refreshReceipt(place *upstreamrun.Place, position model.Position) {
	p.mu.Lock()
	running := p.refreshing[place.Service]
	p.refreshing[place.Service] = true
	p.mu.Unlock()
	if running {
		return
	}
	p.cluster.forward.count("commit_proofs.refreshed")
	panics.Go(p.cluster.log, "status query", func() {
		defer func() {
			p.mu.Lock()
			delete(p.refreshing, place.Service)
			p.mu.Unlock()
		}()
		p.queryReplicas(p.cluster.probes.ctx, place, position)
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
func (p *commitProofs) awaitReplica(ctx context.Context, place *upstreamrun.Place, position model.Position) bool {
	p.cluster.forward.count("commit_proofs.status")
	for {
		if p.queryReplicas(ctx, place, position) {
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
func (p *commitProofs) queryReplicas(ctx context.Context, place *upstreamrun.Place, position model.Position) bool {
	ids := p.nearestFirst(place)
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
			if p.cluster.proofNeeded(place, position).proved {
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
func (p *commitProofs) nearestFirst(place *upstreamrun.Place) []model.UpstreamID {
	c := p.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := slices.DeleteFunc(c.replicas.Upstreams(place.Service), func(id model.UpstreamID) bool { return id == place.Upstream })
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
