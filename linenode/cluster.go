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
	// leastReserved connections of an upstream's limit, or a tenth of it, are
	// left for status queries and for VMs that come and go.
	leastReserved = 2
	reservedPart  = 10
	// crossZoneCost is added to the load of an upstream in another zone, in
	// milliseconds: the way there and back.
	crossZoneCost = 2.0
	// forwardedKept is how long a VM acts as a holder after a statement of another VM.
	forwardedKept = 3 * time.Second
	// isolatedAfter is how old the newest proof of most services is on a VM that
	// counts as cut off.
	isolatedAfter = 900 * time.Millisecond
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
	// rawMu guards raw, the stored form of the configuration in force.
	rawMu sync.Mutex
	raw   []byte

	mu       sync.Mutex
	replicas *replicaset.State
	quota    *quota.State
	effects  []replicaset.Effect
	pools    map[model.UpstreamID]*upstreampool.Pool
	// vms is the number of VMs, 0 while it is not known.
	vms    int
	probes *probes
	local  upstreamrun.Local
	// evacuated are the zones out of service as of operatorsRevision.
	operatorsRevision int64
	evacuated         []string
	// follows reports whether another VM tells what the operators write.
	follows func() bool
	// isolated reports whether few other VMs answer, and announce tells the
	// other VMs of a new primary.
	isolated func() bool
	announce func(service catalog.Service, primary model.UpstreamID, term uint64)
	// holdersOf returns the VMs that hold the connections to an upstream, and
	// forward runs statements there.
	holdersOf func(zone model.Zone, id model.UpstreamID) []holderVM
	forward   *forwarder
	// forwardedAt is when a statement of another VM last arrived for an upstream.
	forwardedAt map[model.UpstreamID]model.Time
}

func newCluster(o Options) *cluster {
	c := &cluster{
		self: o.VM, store: o.Store, formats: o.Formats, zone: o.Zone, log: o.Log, registry: o.Registry,
		replicas: replicaset.New(), quota: quota.New(o.VM),
		pools:       map[model.UpstreamID]*upstreampool.Pool{},
		isolated:    func() bool { return false },
		follows:     func() bool { return false },
		announce:    func(catalog.Service, model.UpstreamID, uint64) {},
		forwardedAt: map[model.UpstreamID]model.Time{},
		holdersOf:   func(model.Zone, model.UpstreamID) []holderVM { return nil },
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
func (c *cluster) Admit(w model.Workspace) quota.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quota.Admit(c.Now(), w)
}

// Return gives the token of an operation back that has not run.
func (c *cluster) Return(w model.Workspace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quota.Return(w)
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
		l, forwarded := c.forward.loadOf(m)
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
		if e, ok := c.replicas.NewestEvidence(views[i].Service); ok && now.Sub(e.At) < isolatedAfter {
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
	case replicaset.EffectCold:
		c.setWarmup(&e.Member)
	case replicaset.EffectRemoved:
		c.log.Info().Str("upstream", string(e.Upstream)).Str("service", string(e.Service)).Msg("upstream removed")
		c.dropPool(e.Upstream)
	case replicaset.EffectPrimary:
		c.log.Info().Str("service", string(e.Service)).Str("upstream", string(e.Upstream)).Uint64("term", e.Term).Msg("primary changed")
		if e.Upstream != "" && e.Term > 0 {
			c.announce(e.Service, e.Upstream, e.Term)
		}
	case replicaset.EffectEvacuated:
		c.log.Info().Msg("zones out of service changed")
	}
}

// setPool keeps the pool of an upstream whose phase changed and renews that of
// one that started again or moved.
func (c *cluster) setPool(m *replicaset.Member) {
	pool := c.pools[m.ID]
	if pool != nil && pool.Same(m.Address, m.Incarnation) {
		return
	}
	c.dropPool(m.ID)
	c.pools[m.ID] = upstreampool.New(upstreamOf(m), c.shareOf(m))
}

// upstreamOf returns where the pools of an upstream connect to.
func upstreamOf(m *replicaset.Member) upstreampool.Upstream {
	return upstreampool.Upstream{
		ID: m.ID, Service: string(m.Service), Address: m.Address, Slots: m.Slots, Incarnation: m.Incarnation,
	}
}

// setWarmup limits the statements to an upstream that is slow after its start:
// each VM takes an even part of the service's rate.
func (c *cluster) setWarmup(m *replicaset.Member) {
	s := c.Catalog()
	if s == nil || s.Service(m.Service) == nil || s.Service(m.Service).WarmupRate <= 0 {
		return
	}
	rate := s.Service(m.Service).WarmupRate / float64(max(c.vms, 1))
	c.log.Info().Str("upstream", string(m.ID)).Dur("cold", m.Cold).Float64("per_second", rate).Msg("upstream warms up")
	c.pools[m.ID].SetWarmup(m.Cold, rate)
}

func (c *cluster) dropPool(id model.UpstreamID) {
	if pool := c.pools[id]; pool != nil {
		pool.Close()
		delete(c.pools, id)
		delete(c.forwardedAt, id)
	}
}

// shareOf returns how many connections to an upstream this VM may open.
func (c *cluster) shareOf(m *replicaset.Member) upstreampool.Share {
	s := c.Catalog()
	if s == nil || s.Service(m.Service) == nil || c.vms == 0 {
		return upstreampool.Share{Base: 1, Most: 1}
	}
	limit := s.Service(m.Service).ConnectionLimit
	limit -= max(leastReserved, limit/reservedPart)
	return holderShare(limit, c.vms, c.rankOf(m))
}

// Ranks of a VM among those that hold an upstream's connections.
const (
	rankFirst = iota
	rankSecond
	rankNone
)

// rankOf returns this VM's rank for an upstream. A VM that others take for a
// holder acts as one.
func (c *cluster) rankOf(m *replicaset.Member) int {
	rank := slices.IndexFunc(c.holdersOf(m.Zone, m.ID), func(h holderVM) bool { return h.vm == c.self })
	at := c.forwardedAt[m.ID]
	switch {
	case rank >= 0:
		return rank
	case at != 0 && c.Now().Sub(at) < forwardedKept:
		return rankSecond
	}
	return rankNone
}

// arrived notes a statement of another VM that takes this one for a holder.
func (c *cluster) arrived(id model.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	first := c.forwardedAt[id] == 0 || now.Sub(c.forwardedAt[id]) >= forwardedKept
	c.forwardedAt[id] = now
	if m, ok := c.replicas.Member(id); ok && first {
		c.pools[id].SetShare(c.shareOf(&m))
	}
}

// holderShare divides the connections of an upstream by the rank of a VM. The
// first holder has half, so that its connections of before a loss of power and
// those of after fit in together; upstreams count the old ones for seconds. Of the
// other half each further VM may have one at least. Where the VMs are too many for
// that, they still may, since they use it only while they reach no holder.
func holderShare(limit, vms, rank int) upstreampool.Share {
	first := limit / 2
	further := max(vms-holdersPerUpstream, 1)
	direct := limit / 4
	if further < limit-first {
		direct = max(direct, further)
	}
	switch rank {
	case rankFirst:
		return upstreampool.Share{Base: first, Most: max(first, 1)}
	case rankSecond:
		return upstreampool.Share{Base: 0, Most: max(limit-first-direct, 1)}
	}
	return upstreampool.Share{Base: 0, Most: max(direct/further, 1)}
}

// reshare divides the connections anew.
func (c *cluster) reshare() {
	for id, pool := range c.pools {
		if m, ok := c.replicas.Member(id); ok {
			pool.SetShare(c.shareOf(&m))
		}
	}
}

// setMembers takes over the list of VMs, and those whose reports stand for all others.
func (c *cluster) setMembers(vms, sources []model.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms = len(vms)
	c.quota.SetMembers(c.Now(), vms, sources)
	c.reshare()
}

// install puts a configuration into force unless it is older than the present one.
func (c *cluster) install(raw []byte, source string) {
	s, err := c.formats.Configuration(raw)
	if err != nil {
		c.log.Error().Err(err).Str("source", source).Msg("configuration ignored")
		return
	}
	c.rawMu.Lock()
	old := c.Catalog()
	if old != nil && s.Version <= old.Version {
		c.rawMu.Unlock()
		return
	}
	c.raw = raw
	c.catalog.Store(s)
	c.rawMu.Unlock()
	c.mu.Lock()
	c.quota.Configure(c.Now(), s)
	for i := range s.Services {
		rules := &s.Services[i]
		c.applyLocked(&replicaset.Event{Kind: replicaset.EventRules, Service: rules.Name, SyncReplicas: rules.SyncReplicas})
	}
	c.reshare()
	c.mu.Unlock()
	c.log.Info().Uint64("config_version", s.Version).Str("source", source).Int("routes", len(s.Routes)).Msg("configuration in force")
}

// stored returns the version and the stored form of the configuration in force.
func (c *cluster) stored() (uint64, []byte) {
	c.rawMu.Lock()
	defer c.rawMu.Unlock()
	if s := c.Catalog(); s != nil {
		return s.Version, c.raw
	}
	return 0, nil
}

// trim closes connections that are no longer needed.
func (c *cluster) trim() {
	c.mu.Lock()
	c.reshare()
	pools := make([]*upstreampool.Pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.Unlock()
	c.probes.trim()
	open := 0
	for _, p := range pools {
		p.Trim()
		open += p.Stats().Open
	}
	metrics.GetOrRegisterGauge("upstream.connections", c.registry).Update(int64(open))
}

func (c *cluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.pools {
		c.dropPool(id)
	}
	c.probes.close()
}
