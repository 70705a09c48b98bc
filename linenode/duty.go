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
	dutyTTL   = 2 * time.Second
	dutyRenew = 450 * time.Millisecond
	// dutyMargin is taken off the TTL by the holder, for the time until an
	// order arrives.
	dutyMargin = 300 * time.Millisecond
	// dutyTick and dutyIdleTick are the pauses between decisions during a
	// move and otherwise.
	dutyTick     = 20 * time.Millisecond
	dutyIdleTick = 100 * time.Millisecond
	// dutyProbe is how often the holder asks each primary for its status.
	dutyProbe = 300 * time.Millisecond
	// replicaProbe is the same for a replica that answers.
	replicaProbe = 800 * time.Millisecond
	// dutySilence is how long no VM may call itself the holder before others try.
	dutySilence = 1200 * time.Millisecond
	// dutyStagger keeps VMs from trying at the same moment.
	dutyStagger = 150 * time.Millisecond
	// callTimeout bounds a promotion call.
	callTimeout = time.Second
)

// duty is the part of this VM in changing primaries. One VM holds the duty,
// which is a key with a lease in the store.
type duty struct {
	options Options
	cluster *cluster
	members *members
	log     zerolog.Logger

	mu       sync.Mutex
	state    *promotion.State
	contacts map[model.UpstreamID]model.Time
	// holderSeen is when a VM last said that it holds the duty.
	holderSeen model.Time
	// until is when this VM has to stop unless it renews the lease.
	until    model.Time
	lease    int64
	released bool
	probedAt model.Time
	inFlight map[model.UpstreamID]bool
	// acting is true while this VM holds the duty; it is read without the mutex.
	acting atomic.Bool
}

func newDuty(o Options, c *cluster, m *members) *duty {
	return &duty{
		options: o, cluster: c, members: m, log: o.Log, state: promotion.New(),
		contacts: map[model.UpstreamID]model.Time{}, inFlight: map[model.UpstreamID]bool{},
	}
}

// holder returns this VM's name while it holds the duty.
func (d *duty) holder() model.VMID {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.Holding() && boottime.Now() < d.until {
		return d.options.VM
	}
	return ""
}

// active reports whether this VM holds the duty. It may be called under the
// cluster's mutex.
func (d *duty) active() bool { return d.acting.Load() }

// heard takes over what a peer says of the duty.
func (d *duty) heard(vm, holder model.VMID, at model.Time) {
	if holder == "" || holder != vm {
		return
	}
	d.mu.Lock()
	d.holderSeen = max(d.holderSeen, at)
	d.mu.Unlock()
}

// contact notes that a peer had an answer of an upstream.
func (d *duty) contact(id model.UpstreamID, at model.Time) {
	d.mu.Lock()
	d.contacts[id] = max(d.contacts[id], at)
	d.mu.Unlock()
}

// run takes part until ctx ends.
func (d *duty) run(ctx context.Context) {
	go d.keep(ctx)
	for ctx.Err() == nil {
		pause.For(ctx, d.step(ctx))
	}
}

// step decides once and returns the pause until the next decision.
func (d *duty) step(ctx context.Context) time.Duration {
	now := boottime.Now()
	d.mu.Lock()
	if d.state.Holding() && now >= d.until {
		d.loseLocked("lease not renewed in time")
	}
	if !d.state.Holding() {
		d.mu.Unlock()
		return dutyIdleTick
	}
	effects := d.state.Tick(now, d.input(), nil)
	moving := d.state.InTransition()
	probe := now.Sub(d.probedAt) >= dutyProbe
	if probe {
		d.probedAt = now
	}
	d.mu.Unlock()
	if probe {
		d.probeAll(ctx)
	}
	for i := range effects {
		d.execute(ctx, &effects[i])
	}
	if moving {
		return dutyTick
	}
	return dutyIdleTick
}

func (d *duty) loseLocked(cause string) {
	d.state.Lose()
	d.acting.Store(false)
	d.lease = 0
	d.log.Warn().Str("cause", cause).Msg("promotion duty lost")
}

// input collects what a decision depends on.
func (d *duty) input() *promotion.Input {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	replicas := d.cluster.replicas
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
	configuration := d.cluster.Catalog()
	return &promotion.Input{
		Views:       views,
		Evacuated:   func(z model.Zone) bool { return evacuated[z] },
		PeerContact: func(id model.UpstreamID) model.Time { return d.contacts[id] },
		Evidence: func(s catalog.Service) (replicaset.Evidence, bool) {
			e, ok := evidence[s]
			return e, ok
		},
		Isolated: d.members.isolated(),
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
func (d *duty) probeAll(ctx context.Context) {
	d.cluster.mu.Lock()
	views := d.cluster.replicas.Views()
	d.cluster.mu.Unlock()
	for i := range views {
		for j := range views[i].Members {
			m := &views[i].Members[j]
			if m.ID != views[i].Primary && boottime.Now().Sub(m.StatusAt) < replicaProbe && !m.Failing() {
				continue
			}
			d.order(ctx, m.ID, promotion.CommandStatus, 0)
		}
	}
}

// order sends an order unless one to the same upstream is unanswered.
func (d *duty) order(ctx context.Context, id model.UpstreamID, k promotion.CommandKind, term uint64) {
	d.mu.Lock()
	busy := d.inFlight[id]
	d.inFlight[id] = true
	d.mu.Unlock()
	if busy {
		return
	}
	go func() {
		err := d.cluster.probes.send(ctx, id, k, term)
		if k != promotion.CommandStatus {
			d.log.Info().Err(err).Str("upstream", string(id)).Str("order", k.String()).Uint64("term", term).Msg("order to upstream")
		}
		d.mu.Lock()
		delete(d.inFlight, id)
		d.mu.Unlock()
	}()
}

func (d *duty) execute(ctx context.Context, e *promotion.Effect) {
	switch e.Kind {
	case promotion.EffectCommand:
		d.order(ctx, e.Upstream, e.Command, e.Term)
	case promotion.EffectPromote:
		go d.promote(ctx, *e)
	case promotion.EffectTransitionStarted:
		d.log.Info().Str("service", string(e.Service)).Str("primary", string(e.Upstream)).Str("cause", e.Cause).
			Uint64("fence_term", e.Term).Msg("change of primary started")
	case promotion.EffectTargetSelected:
		d.log.Info().Str("service", string(e.Service)).Str("upstream", string(e.Upstream)).Str("cause", e.Cause).
			Uint64("received", uint64(e.Position.Pos)).Msg("new primary chosen")
	case promotion.EffectTransitionEnded:
		d.log.Info().Str("service", string(e.Service)).Str("upstream", string(e.Upstream)).Str("cause", e.Cause).
			Dur("elapsed", e.Elapsed).Msg("change of primary ended")
	}
}

// promote calls the platform and reports the outcome.
func (d *duty) promote(ctx context.Context, e promotion.Effect) {
	if d.holder() == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.options.Promoter.Promote(ctx, e.Service, e.Upstream, e.Token)
	outcome := d.outcome(err)
	d.log.Info().Err(err).Str("service", string(e.Service)).Str("upstream", string(e.Upstream)).
		Uint64("token", e.Token).Msg("promotion called")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.ReportPromotion(boottime.Now(), e.Service, e.Token, outcome)
}

func (d *duty) outcome(err error) promotion.Outcome {
	switch {
	case err == nil:
		return promotion.OutcomeAccepted
	case errors.Is(err, d.options.Formats.PromotionRefused):
		return promotion.OutcomeRefused
	case errors.Is(err, store.ErrRejected):
		return promotion.OutcomeRejected
	}
	return promotion.OutcomeUnknown
}

// keep renews the lease of the duty, or tries to get the duty.
func (d *duty) keep(ctx context.Context) {
	for ctx.Err() == nil {
		d.mu.Lock()
		holding, lease, released := d.state.Holding(), d.lease, d.released
		silent := boottime.Now().Sub(d.holderSeen) > dutySilence
		d.mu.Unlock()
		switch {
		case released:
			return
		case holding && !d.members.mayLead():
			d.handOver(ctx, "a hub has to hold the duty")
		case holding:
			d.renew(ctx, lease)
		case silent && d.members.known() && d.members.mayLead():
			pause.For(ctx, time.Duration(d.members.rank())*dutyStagger)
			d.acquire(ctx)
		}
		pause.For(ctx, dutyRenew)
	}
}

func (d *duty) renew(ctx context.Context, lease int64) {
	sent := boottime.Now()
	err := d.options.Store.LeaseKeepAlive(ctx, lease)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.until = sent.Add(dutyTTL - dutyMargin)
		if d.state.TokensExhausted() {
			d.loseLocked("all fencing tokens are used")
		}
	case errors.Is(err, store.ErrLeaseNotFound):
		d.loseLocked("lease ended")
	}
}

// acquire takes the duty if no VM holds it.
func (d *duty) acquire(ctx context.Context) {
	d.mu.Lock()
	silent := boottime.Now().Sub(d.holderSeen) > dutySilence
	d.mu.Unlock()
	if !silent {
		return
	}
	held, err := d.options.Store.Get(ctx, dutyKey)
	if err != nil || held.ModRevision != 0 {
		return
	}
	sent := boottime.Now()
	lease, err := d.options.Store.LeaseGrant(ctx, dutyTTL)
	if err != nil {
		return
	}
	result, err := d.options.Store.Txn(ctx,
		[]store.Condition{{Key: dutyKey}},
		[]store.Write{{Key: dutyKey, Value: []byte(d.options.VM), Lease: lease}})
	if err != nil || !result.Succeeded {
		d.log.Info().Err(err).Bool("held", err == nil).Msg("promotion duty not acquired")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease = lease
	d.until = sent.Add(dutyTTL - dutyMargin)
	d.state.Acquire(boottime.Now(), uint64(result.Revision))
	d.acting.Store(true)
	d.log.Info().Int64("revision", result.Revision).Msg("promotion duty acquired")
}

// release hands the duty over before a stop.
func (d *duty) release(ctx context.Context) {
	d.mu.Lock()
	d.released = true
	d.mu.Unlock()
	d.handOver(ctx, "the VM stops")
}

// handOver ends the duty, if this VM holds it, so that another VM can take it.
func (d *duty) handOver(ctx context.Context, cause string) {
	d.mu.Lock()
	holding, lease := d.state.Holding(), d.lease
	if holding {
		d.loseLocked(cause)
	}
	d.mu.Unlock()
	if !holding {
		return
	}
	if err := d.options.Store.LeaseRevoke(ctx, lease); err != nil {
		d.log.Warn().Err(err).Msg("promotion duty not released; it expires")
	}
}
