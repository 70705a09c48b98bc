package linenode

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/promotion"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/store"
)

const (
	// dutyTTL is how long the duty outlives its holder's last renewal, which
	// comes every dutyRenew.
	promotionLeaseTTL           = 2 * time.Second
	promotionLeaseRenewInterval = 450 * time.Millisecond
	// dutyMargin is taken off the TTL by the holder, for the time until an
	// order arrives.
	promotionLeaseMargin = 300 * time.Millisecond
	// dutyTick and dutyIdleTick are the pauses between decisions during a
	// move and otherwise.
	transitionTick = 20 * time.Millisecond
	idleTick       = 100 * time.Millisecond
	// dutyProbe is how often the holder asks each primary for its status.
	primaryStatusInterval = 300 * time.Millisecond
	// replicaProbe is the same for a replica that answers.
	replicaStatusInterval = 800 * time.Millisecond
	// dutySilence is how long no VM may call itself the holder before others try.
	leaseHolderTimeout = 1200 * time.Millisecond
	// dutyStagger keeps VMs from trying at the same moment.
	acquireStagger = 150 * time.Millisecond
	// callTimeout bounds a promotion call.
	promoteTimeout = time.Second
)

// promotionController is the part of this VM in changing primaries. One VM holds the promotionController,
// which is a key with a lease in the store.
type transitions struct {
	options Options
	cluster *cluster
	members *members
	log     zerolog.Logger

	mu       sync.Mutex
	state    *promotion.State
	contacts map[model.UpstreamID]model.Time
	// holderSeen is when a VM last said that it holds the duty.
	leaseHolderHeardAt model.Time
	// leaseUntil is when this VM has to stop unless it renews the lease.
	leaseUntil      model.Time
	lease           int64
	stopping        bool
	statusesSentAt  model.Time
	commandInFlight map[model.UpstreamID]bool
	// acting is true while this VM holds the duty; it is read without the mutex.
	leaseHeld atomic.Bool
}

func newTransitions(o Options, c *cluster, m *members) *transitions {
	return &transitions{
		options: o, cluster: c, members: m, log: o.Log, state: promotion.New(),
		contacts: map[model.UpstreamID]model.Time{}, commandInFlight: map[model.UpstreamID]bool{},
	}
}

// leaseHolder returns this VM's name while it holds the duty.
func (t *transitions) leaseHolder() model.VMID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state.Holding() && boottime.Now() < t.leaseUntil {
		return t.options.VM
	}
	return ""
}

// holdsLease reports whether this VM holds the duty. It may be called under the
// cluster's mutex.
func (t *transitions) holdsLease() bool { return t.leaseHeld.Load() }

// recordLeaseHolder takes over what a peer says of the duty.
func (t *transitions) handleAnswer(vm, holder model.VMID, at model.Time) {
	if holder == "" || holder != vm {
		return
	}
	t.mu.Lock()
	t.leaseHolderHeardAt = max(t.leaseHolderHeardAt, at)
	t.mu.Unlock()
}

// recordContact notes that a peer had an answer of an upstream.
func (t *transitions) recordContact(id model.UpstreamID, at model.Time) {
	t.mu.Lock()
	t.contacts[id] = max(t.contacts[id], at)
	t.mu.Unlock()
}

// run takes part until ctx ends.
func (t *transitions) run(ctx context.Context) {
	go t.maintainLease(ctx)
	for ctx.Err() == nil {
		pause.For(ctx, t.step(ctx))
	}
}

// step decides once and returns the pause until the next decision.
func (t *transitions) step(ctx context.Context) time.Duration {
	now := boottime.Now()
	t.mu.Lock()
	if t.state.Holding() && now >= t.leaseUntil {
		t.dropLeaseLocked("lease not renewed in time")
	}
	if !t.state.Holding() {
		t.mu.Unlock()
		return idleTick
	}
	effects := t.state.Tick(now, t.input(), nil)
	inTransition := t.state.InTransition()
	probe := now.Sub(t.statusesSentAt) >= primaryStatusInterval
	if probe {
		t.statusesSentAt = now
	}
	t.mu.Unlock()
	if probe {
		t.requestStatuses(ctx)
	}
	for i := range effects {
		t.execute(ctx, &effects[i])
	}
	if inTransition {
		return transitionTick
	}
	return idleTick
}

func (t *transitions) dropLeaseLocked(cause string) {
	t.state.Lose()
	t.leaseHeld.Store(false)
	t.lease = 0
	t.log.Warn().Str("cause", cause).Msg("promotion duty lost")
}

// input collects what a decision depends on.
func (t *transitions) input() *promotion.Input {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	replicas := t.cluster.replicas
	evidence := map[catalog.Service]replicaset.Evidence{}
	views := replicas.Views()
	evacuated := map[model.Zone]bool{}
	for i := range views {
		if e, ok := replicas.NewestEvidence(views[i].Service); ok {
			evidence[views[i].Service] = e
		}
		for j := range views[i].Members {
			zone := views[i].Members[j].Zone
			evacuated[zone] = replicas.Evacuated(zone)
		}
	}
	configuration := t.cluster.Catalog()
	return &promotion.Input{
		Views:       views,
		Evacuated:   func(z model.Zone) bool { return evacuated[z] },
		PeerContact: func(id model.UpstreamID) model.Time { return t.contacts[id] },
		Evidence: func(s catalog.Service) (replicaset.Evidence, bool) {
			e, ok := evidence[s]
			return e, ok
		},
		Isolated: t.members.isolated(),
		SyncReplicas: func(s catalog.Service) int {
			if configuration == nil || configuration.Service(s) == nil {
				return 0
			}
			return configuration.Service(s).SyncReplicas
		},
	}
}

// probeAll asks the primaries for their status, which proves freshness, and the
// other upstreams less often.
func (t *transitions) requestStatuses(ctx context.Context) {
	t.cluster.mu.Lock()
	views := t.cluster.replicas.Views()
	t.cluster.mu.Unlock()
	for i := range views {
		for j := range views[i].Members {
			m := &views[i].Members[j]
			if m.ID != views[i].Primary && boottime.Now().Sub(m.StatusAt) < replicaStatusInterval && !m.Failing() {
				continue
			}
			t.sendCommand(ctx, m.ID, promotion.CommandStatus, 0)
		}
	}
}

// sendCommand sends an sendCommand unless one to the same upstream is unanswered.
func (t *transitions) sendCommand(ctx context.Context, id model.UpstreamID, k promotion.CommandKind, term uint64) {
	t.mu.Lock()
	busy := t.commandInFlight[id]
	t.commandInFlight[id] = true
	t.mu.Unlock()
	if busy {
		return
	}
	go func() {
		err := t.cluster.probes.send(ctx, id, k, term)
		if k != promotion.CommandStatus {
			t.log.Info().Err(err).Str("upstream", string(id)).Str("order", k.String()).Uint64("term", term).Msg("order to upstream")
		}
		t.mu.Lock()
		delete(t.commandInFlight, id)
		t.mu.Unlock()
	}()
}

func (t *transitions) execute(ctx context.Context, e *promotion.Effect) {
	switch e.Kind {
	case promotion.EffectCommand:
		t.sendCommand(ctx, e.Upstream, e.Command, e.Term)
	case promotion.EffectPromote:
		go t.promote(ctx, *e)
	case promotion.EffectTransitionStarted:
		t.log.Info().Str("service", string(e.Service)).Str("primary", string(e.Upstream)).Str("cause", e.Cause).
			Uint64("fence_term", e.Term).Msg("change of primary started")
	case promotion.EffectTargetSelected:
		t.log.Info().Str("service", string(e.Service)).Str("upstream", string(e.Upstream)).Str("cause", e.Cause).
			Uint64("received", uint64(e.Position.Pos)).Msg("new primary chosen")
	case promotion.EffectTransitionEnded:
		t.log.Info().Str("service", string(e.Service)).Str("upstream", string(e.Upstream)).Str("cause", e.Cause).
			Dur("elapsed", e.Elapsed).Msg("change of primary ended")
	}
}

// promote calls the platform and reports the outcome.
func (t *transitions) promote(ctx context.Context, e promotion.Effect) {
	if t.leaseHolder() == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := t.options.Promoter.Promote(ctx, e.Service, e.Upstream, e.Token)
	outcome := t.outcome(err)
	t.log.Info().Err(err).Str("service", string(e.Service)).Str("upstream", string(e.Upstream)).
		Uint64("token", e.Token).Msg("promotion called")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.ReportPromotion(boottime.Now(), e.Service, e.Token, outcome)
}

func (t *transitions) outcome(err error) promotion.Outcome {
	switch {
	case err == nil:
		return promotion.OutcomeAccepted
	case errors.Is(err, t.options.Formats.PromotionRefused):
		return promotion.OutcomeRefused
	case errors.Is(err, store.ErrRejected):
		return promotion.OutcomeRejected
	}
	return promotion.OutcomeUnknown
}

// maintainLease renews the lease of the duty, or tries to get the duty.
func (t *transitions) maintainLease(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		holding, lease, stopping := t.state.Holding(), t.lease, t.stopping
		silent := boottime.Now().Sub(t.leaseHolderHeardAt) > leaseHolderTimeout
		t.mu.Unlock()
		switch {
		case stopping:
			return
		case holding && !t.members.mayHoldLease():
			t.giveUpLease(ctx, "a hub has to hold the duty")
		case holding:
			t.renewLease(ctx, lease)
		case silent && t.members.known() && t.members.mayHoldLease():
			pause.For(ctx, time.Duration(t.members.rank())*acquireStagger)
			t.acquireLease(ctx)
		}
		pause.For(ctx, promotionLeaseRenewInterval)
	}
}

func (t *transitions) renewLease(ctx context.Context, lease int64) {
	sent := boottime.Now()
	err := t.options.Store.LeaseKeepAlive(ctx, lease)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		t.leaseUntil = sent.Add(promotionLeaseTTL - promotionLeaseMargin)
		if t.state.TokensExhausted() {
			t.dropLeaseLocked("all fencing tokens are used")
		}
	case errors.Is(err, store.ErrLeaseGone):
		t.dropLeaseLocked("lease ended")
	}
}

// acquireLease takes the duty if no VM holds it.
func (t *transitions) acquireLease(ctx context.Context) {
	t.mu.Lock()
	silent := boottime.Now().Sub(t.leaseHolderHeardAt) > leaseHolderTimeout
	t.mu.Unlock()
	if !silent {
		return
	}
	held, err := t.options.Store.Get(ctx, promotionLeaseKey)
	if err != nil || held.ModRevision != 0 {
		return
	}
	sent := boottime.Now()
	lease, err := t.options.Store.LeaseGrant(ctx, promotionLeaseTTL)
	if err != nil {
		return
	}
	result, err := t.options.Store.Txn(ctx,
		[]store.Condition{{Key: promotionLeaseKey}},
		[]store.Write{{Key: promotionLeaseKey, Value: []byte(t.options.VM), Lease: lease}})
	if err != nil || !result.Succeeded {
		t.log.Info().Err(err).Bool("held", err == nil).Msg("promotion duty not acquired")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease = lease
	t.leaseUntil = sent.Add(promotionLeaseTTL - promotionLeaseMargin)
	t.state.Acquire(boottime.Now(), uint64(result.Revision))
	t.leaseHeld.Store(true)
	t.log.Info().Int64("revision", result.Revision).Msg("promotion duty acquired")
}

// releaseLease hands the duty over before a stop.
func (t *transitions) releaseLease(ctx context.Context) {
	t.mu.Lock()
	t.stopping = true
	t.mu.Unlock()
	t.giveUpLease(ctx, "the VM stops")
}

// handOver ends the duty, if this VM holds it, so that another VM can take it.
func (t *transitions) giveUpLease(ctx context.Context, cause string) {
	t.mu.Lock()
	holding, lease := t.state.Holding(), t.lease
	if holding {
		t.dropLeaseLocked(cause)
	}
	t.mu.Unlock()
	if !holding {
		return
	}
	if err := t.options.Store.LeaseRevoke(ctx, lease); err != nil {
		t.log.Warn().Err(err).Msg("promotion duty not released; it expires")
	}
}
