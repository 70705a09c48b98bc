package linenode

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/quota"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/store"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

const (
	// crossZoneCost is added to the load of an upstream in another zone, in
	// milliseconds: the way there and back.
	crossZoneCost = 2.0
	// isolatedAfter is how old the newest proof of most services is on a VM that
	// counts as cut off.
	recentEvidenceAge = 900 * time.Millisecond
)

// cluster holds what this VM knows of the deployment, and its connections. It
// implements lineproxy.Cluster.
type cluster struct {
	self     model.VMID
	store    store.Store
	formats  Formats
	zone     model.Zone
	log      zerolog.Logger
	registry metrics.Registry

	catalog atomic.Pointer[catalog.Snapshot]
	// rawConfigMu guards raw, the stored form of the configuration in force.
	rawConfigMu sync.Mutex
	rawConfig   []byte

	mu       sync.Mutex
	replicas *replicaset.State
	quota    *quota.State
	effects  []replicaset.Effect
	pools    map[model.UpstreamID]*upstreampool.Pool
	// vmCount is the number of VMs, 0 while it is not known.
	vms    int
	probes *probes
	local  upstreamrun.Local
	// evacuated are the zones out of service as of operatorsRevision.
	operatorsRevision int64
	evacuated         []string
	// followsHub reports whether another VM tells what the operators write.
	followsHub func() bool
	// isolated reports whether few other VMs answer, and announce tells the
	// other VMs of a new primary.
	isolated func() bool
	announce func(service catalog.Service, primary model.UpstreamID, term uint64)
	// holdersOf returns the VMs that hold the connections to an upstream, and
	// forward runs statements there.
	holdersOf func(zone model.Zone, id model.UpstreamID) []holderVM
	forward   *forwarder
	// forwardedAt is when a statement of another VM last arrived for an upstream.
	lastForwardedAt map[model.UpstreamID]model.Time
}

func newCluster(o Options) *cluster {
	c := &cluster{
		self: o.VM, store: o.Store, formats: o.Formats, zone: o.Zone, log: o.Log, registry: o.Registry,
		replicas: replicaset.New(), quota: quota.New(o.VM),
		pools:           map[model.UpstreamID]*upstreampool.Pool{},
		isolated:        func() bool { return false },
		followsHub:      func() bool { return false },
		announce:        func(catalog.Service, model.UpstreamID, uint64) {},
		lastForwardedAt: map[model.UpstreamID]model.Time{},
		holdersOf:       func(model.Zone, model.UpstreamID) []holderVM { return nil },
	}
	c.probes = newProbes(c)
	c.local = upstreamrun.Local{Knowledge: c, Tracer: o.Tracer}
	return c
}

// Now reads the clock.
func (c *cluster) Now() model.Time { return boottime.Now() }

// Catalog returns the configuration in force.
func (c *cluster) Catalog() *catalog.Snapshot { return c.catalog.Load() }

// Admit takes the token of one operation.
func (c *cluster) Admit(w model.Workspace) quota.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quota.Admit(c.Now(), w)
}

// Refund gives the token of an operation back that has not run.
func (c *cluster) Refund(w model.Workspace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quota.Refund(w)
}

// Floor returns the position that a read has to see.
func (c *cluster) Floor(service catalog.Service, bound time.Duration, session model.Position) (model.Position, time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas.Floor(c.Now(), service, bound, session)
}

// Primary returns the upstream that writes go to.
func (c *cluster) Primary(service catalog.Service) (replicaset.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas.Primary(c.Now(), service)
}

// PrimaryGap returns for how long no primary has been known.
func (c *cluster) PrimaryGap(service catalog.Service) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas.PrimaryGap(c.Now(), service)
}

// ReadCandidates returns the upstreams to try a read on.
func (c *cluster) ReadCandidates(service catalog.Service, floor model.Position, w model.Workspace) []replicaset.Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	load := func(m *replicaset.Member) float64 {
		pool := c.pools[m.ID]
		if pool == nil {
			return 0
		}
		l, forwarded := c.forward.holderLoad(m)
		if !forwarded {
			l = pool.Load(string(w))
		}
		if m.Zone != c.zone {
			l += crossZoneCost
		}
		return l
	}
	return c.replicas.ReadCandidates(c.Now(), service, floor, load)
}

// Pool returns the connections to an upstream.
func (c *cluster) Pool(id model.UpstreamID) *upstreampool.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pools[id]
}

// Run runs a statement on an upstream.
func (c *cluster) Run(r *upstreamrun.Request) (upstreamrun.Outcome, error) { return c.forward.Run(r) }

// Open starts a transaction on an upstream.
func (c *cluster) Open(r *upstreamrun.OpenRequest) (upstreamrun.Tx, upstreamrun.Outcome, error) {
	return c.forward.Open(r)
}

// RefreshEvidence asks the primary how far its log reaches, or all replicas
// while the primary does not answer.
func (c *cluster) RefreshEvidence(ctx context.Context, service catalog.Service) bool {
	if m, ok := c.Primary(service); ok {
		return c.probes.status(ctx, m.ID)
	}
	c.mu.Lock()
	replicas := c.replicas.Replicas(service)
	failing := slices.ContainsFunc(replicas, func(id model.UpstreamID) bool {
		m, _ := c.replicas.Member(id)
		return m.Failing()
	})
	c.mu.Unlock()
	if failing || len(replicas) == 0 {
		return false
	}
	answers := make(chan bool, len(replicas))
	for _, id := range replicas {
		go func() { answers <- c.probes.status(ctx, id) }()
	}
	all := true
	for range replicas {
		all = <-answers && all
	}
	return all
}

// Suspect checks an upstream until it answers.
func (c *cluster) Suspect(id model.UpstreamID) { c.probes.suspect(id) }

// Isolated reports whether this VM hears from few other VMs and has no recent
// proof of the logs of most services, so that callers are better served elsewhere.
// In a zone that is cut off, primaries go on for a while, but their commits reach
// no replica elsewhere.
func (c *cluster) Isolated() bool {
	if !c.isolated() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	proved := 0
	views := c.replicas.Views()
	for i := range views {
		if e, ok := c.replicas.NewestEvidence(views[i].Service); ok && now.Sub(e.At) < recentEvidenceAge {
			proved++
		}
	}
	return proved*2 < len(views) || len(views) == 0
}

// Observe reports what an upstream did.
func (c *cluster) Observe(ev *replicaset.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyLocked(ev)
}

func (c *cluster) applyLocked(ev *replicaset.Event) {
	c.effects = c.replicas.Apply(c.Now(), ev, c.effects[:0])
	for i := range c.effects {
		c.execute(&c.effects[i])
	}
}

// execute carries out an effect under the mutex.
func (c *cluster) execute(e *replicaset.Effect) {
	switch e.Kind {
	case replicaset.EffectAdded, replicaset.EffectChanged:
		c.log.Info().Str("upstream", string(e.Upstream)).Str("service", string(e.Service)).
			Str("zone", string(e.Member.Zone)).Bool("leaving", e.Member.Leaving).
			Int64("incarnation", e.Member.Incarnation).Int64("sequence", e.Member.Sequence).
			Msg(map[bool]string{true: "upstream added", false: "upstream changed"}[e.Kind == replicaset.EffectAdded])
		c.setPool(&e.Member)
	case replicaset.EffectWarmup:
		c.setWarmup(&e.Member)
	case replicaset.EffectRemoved:
		c.log.Info().Str("upstream", string(e.Upstream)).Str("service", string(e.Service)).Msg("upstream removed")
		c.dropPool(e.Upstream)
		c.forward.forget(e.Upstream)
	case replicaset.EffectPrimary:
		c.log.Info().Str("service", string(e.Service)).Str("upstream", string(e.Upstream)).Uint64("term", e.Term).Msg("primary changed")
		if e.Upstream != "" && e.Term > 0 {
			c.announce(e.Service, e.Upstream, e.Term)
		}
	case replicaset.EffectEvacuated:
		c.log.Info().Msg("zones out of service changed")
	}
}

// setMembers takes over the list of VMs, and those whose reports stand for all others.
func (c *cluster) setMembers(vms, sources []model.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms = len(vms)
	c.quota.SetMembers(c.Now(), vms, sources)
	c.updateShares()
}

// installConfig puts a configuration into force unless it is older than the present one.
func (c *cluster) install(rawConfig []byte, source string) {
	s, err := c.formats.Configuration(rawConfig)
	if err != nil {
		c.log.Error().Err(err).Str("source", source).Msg("configuration ignored")
		return
	}
	c.rawConfigMu.Lock()
	old := c.Catalog()
	if old != nil && s.Version <= old.Version {
		c.rawConfigMu.Unlock()
		return
	}
	c.rawConfig = rawConfig
	c.catalog.Store(s)
	c.rawConfigMu.Unlock()
	c.mu.Lock()
	c.quota.Configure(c.Now(), s)
	for i := range s.Services {
		rules := &s.Services[i]
		c.applyLocked(&replicaset.Event{Kind: replicaset.EventSyncReplicas, Service: rules.Name, SyncReplicas: rules.SyncReplicas})
	}
	c.updateShares()
	c.mu.Unlock()
	c.log.Info().Uint64("config_version", s.Version).Str("source", source).Int("routes", len(s.Routes)).Msg("configuration in force")
}

// storedConfig returns the version and the storedConfig form of the configuration in force.
func (c *cluster) storedConfig() (uint64, []byte) {
	c.rawConfigMu.Lock()
	defer c.rawConfigMu.Unlock()
	if s := c.Catalog(); s != nil {
		return s.Version, c.rawConfig
	}
	return 0, nil
}

func (c *cluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.pools {
		c.dropPool(id)
	}
	c.probes.close()
}
