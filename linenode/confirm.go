package linenode

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/promotion"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/panics"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

// failedRoundPause is how long after a status round that has not confirmed a primary
// the next round of the service may start.
const failedRoundPause = 250 * time.Millisecond

// statusRounds confirm primaries without the holder of the promotion lease: a round
// queries the status of the upstreams of a service other than its primary; see
// replicaset.State. Statements that wait for one share it.
type statusRounds struct {
	cluster *cluster

	mu sync.Mutex
	// rounds has the last round of each service.
	rounds map[catalog.Service]*statusRound
}

// statusRound is one round of status queries.
type statusRound struct {
	startedAt model.Time
	// done is closed at the end of the round; endedAt and answered are set before.
	done    chan struct{}
	endedAt model.Time
	// answered is true if all upstreams have answered.
	answered bool
}

func newStatusRounds(c *cluster) *statusRounds {
	return &statusRounds{cluster: c, rounds: map[catalog.Service]*statusRound{}}
}

// ConfirmPrimary reports whether no upstream other than p.Upstream had become the
// primary at since. Usually the holder of the promotion lease has confirmed it for some
// time to come; otherwise this waits for a status round, for at most p.Wait.
func (c *cluster) ConfirmPrimary(p *upstreamrun.Place, since model.Time) bool {
	if c.confirmedSince(p.Upstream, since) {
		return true
	}
	deadline := time.Now().Add(p.Wait)
	if p.Deadline.Before(deadline) {
		deadline = p.Deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return c.rounds.confirm(ctx, p.Service, p.Upstream, since)
}

const (
	// promiseWait bounds the wait for a promise of the primary: the time in which the next
	// answer of the lease holder or of vouchers usually comes. A change of primary takes longer.
	promiseWait = 100 * time.Millisecond
	// promisePollInterval is the pause between two looks at the promise.
	promisePollInterval = 10 * time.Millisecond
)

// ConfirmCommits reports whether the primary p.Upstream is promised at since. Otherwise it waits for
// the promise, for at most p.Wait and promiseWait. Commits that need no replica have no proof, and
// their primary is confirmed as for reads.
func (c *cluster) ConfirmCommits(p *upstreamrun.Place, since model.Time) bool {
	if !c.commitsNeedReplicas(p.Service) {
		return c.ConfirmPrimary(p, since)
	}
	wait := min(p.Wait, promiseWait, time.Until(p.Deadline))
	for end := time.Now().Add(wait); !c.promisedSince(p.Upstream, since); {
		if !time.Now().Before(end) {
			return false
		}
		c.askForPromises()
		time.Sleep(promisePollInterval)
	}
	return true
}

// promisedSince reports whether an upstream is promised as the primary at since.
func (c *cluster) promisedSince(id model.UpstreamID, since model.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas.CommitsConfirmed(id, since)
}

// confirmedSince reports whether an upstream is confirmed as the primary at since.
func (c *cluster) confirmedSince(id model.UpstreamID, since model.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas.ConfirmedUntil(id) >= since
}

// confirm waits until a round that started at since or later has confirmed the primary
// id of a service. It returns false if that round fails or ctx ends first.
func (r *statusRounds) confirm(ctx context.Context, service catalog.Service, id model.UpstreamID, since model.Time) bool {
	for {
		round := r.current(service)
		select {
		case <-round.done:
		case <-ctx.Done():
			return r.cluster.confirmedSince(id, since)
		}
		switch {
		case r.cluster.confirmedSince(id, since):
			return true
		case round.startedAt >= since || !round.answered:
			return false
		}
	}
}

// current returns the round that is running, a failed one that has just ended, or a new
// one.
func (r *statusRounds) current(service catalog.Service) *statusRound {
	now := r.cluster.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.rounds[service]
	if last != nil && (last.endedAt == 0 || !last.answered && now.Sub(last.endedAt) < failedRoundPause) {
		return last
	}
	round := &statusRound{startedAt: now, done: make(chan struct{})}
	r.rounds[service] = round
	go r.run(service, round)
	return round
}

// run queries the statuses of a round.
func (r *statusRounds) run(service catalog.Service, round *statusRound) {
	r.cluster.forward.count("status_rounds")
	ids := r.cluster.roundMembers(service)
	answered := !r.cluster.anyFailing(ids) && r.cluster.queryStatuses(r.cluster.probes.ctx, ids)
	r.mu.Lock()
	round.answered, round.endedAt = answered, r.cluster.Now()
	r.mu.Unlock()
	close(round.done)
}

// roundMembers returns the upstreams whose statuses confirm the primary of a service:
// all others, and the primary as well while its term is not known.
func (c *cluster) roundMembers(service catalog.Service) []model.UpstreamID {
	primary, _ := c.Primary(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := c.replicas.Upstreams(service)
	if primary.RoleTerm == 0 {
		return ids
	}
	return slices.DeleteFunc(ids, func(id model.UpstreamID) bool { return id == primary.ID })
}

// anyFailing reports whether any of the upstreams is failing.
func (c *cluster) anyFailing(ids []model.UpstreamID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(ids, func(id model.UpstreamID) bool {
		m, _ := c.replicas.Member(id)
		return m.Failing()
	})
}

// queryStatuses queries the status of upstreams and reports whether all have answered.
func (c *cluster) queryStatuses(ctx context.Context, ids []model.UpstreamID) bool {
	answers := make(chan bool, len(ids))
	for _, id := range ids {
		go func() {
			answered := false
			defer func() { answers <- answered }()
			// The log has the error.
			_ = panics.Call(c.log, "status query", func() { answered = c.probes.status(ctx, id) })
		}()
	}
	all := len(ids) > 0
	for range ids {
		all = <-answers && all
	}
	return all
}

// applyVoucher applies a voucher of another VM in answer to a question sent at askedAt.
func (c *cluster) applyVoucher(vm model.VMID, id model.UpstreamID, term uint64, askedAt, until model.Time) {
	c.Observe(&replicaset.Event{Kind: replicaset.EventVouched, VM: vm, Upstream: id, Term: term, SentAt: askedAt, Until: until})
}

// withdrawConfirmation ends the confirmation of a service's primary on this VM, but for a promise
// that names the successor. The vouchers in the answer include those that it gave before a restart.
func (c *cluster) withdrawConfirmation(service catalog.Service, successor model.UpstreamID) promotion.Withdrawal {
	c.Observe(&replicaset.Event{Kind: replicaset.EventWithdrawn, Service: service, Successor: successor})
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	return promotion.Withdrawal{
		Vouched:  max(c.replicas.Vouched(now, service), c.startedAt.Add(replicaset.VoucherTTL).Sub(now)),
		PassedOn: c.replicas.PassedOn(service), Running: now.Sub(c.startedAt),
	}
}

// vouchers returns the vouchers of this VM for another one.
func (c *cluster) vouchers() []replicaset.Voucher {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas.Vouch(c.Now())
}
