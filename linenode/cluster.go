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
	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/quota"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/store"
	"github.com/chervilhatch/chervilhatch/upstreampool"
	"github.com/chervilhatch/chervilhatch/upstreamrun"
)

const (
	// crossZoneCost is the network round trip to another zone in milliseconds. It is
	// added to the load of upstreams there when the replica for a read is chosen.
	crossZoneCost = 2.0
	// recentEvidenceAge is the maximum age of evidence that shows an isolated VM that
	// it still reaches a service.
	recentEvidenceAge = 900 * time.Millisecond
)

// cluster holds what this VM knows of the deployment (configuration, upstreams, rate
// limits) and its connections to upstreams. It implements lineproxy.Cluster.
type cluster struct {
	self model.VMID
	// startedAt is the time of this VM's start.
	startedAt model.Time
	store     store.Store
	formats   Formats
	zone      model.Zone
	log       zerolog.Logger
	registry  metrics.Registry

	// catalog is the configuration in force, nil before the first.
	catalog atomic.Pointer[catalog.Snapshot]
	// rawConfigMu guards rawConfig, the configuration in force as encoded in the
	// store, which is passed on to peers.
	rawConfigMu sync.Mutex
	rawConfig   []byte
	// gzipConfig is rawConfig compressed, nil until a peer has asked for it.
	gzipConfig []byte

	// mu guards the fields from replicas to lastForwardedAt, except for the functions,
	// probes, rounds, local and forward, which do not change after the start.
	mu sync.Mutex
	// replicas knows the upstreams of each service, which of them is the primary and
	// what evidence there is. quota decides which operations to admit.
	replicas *replicaset.State
	quota    *quota.State
	// effects is the buffer for the results of replicas.Apply.
	effects []replicaset.Effect
	// pools are this VM's own connections to each upstream.
	pools map[model.UpstreamID]*upstreampool.Pool
	// division is how the connection limits of upstreams are divided, seats what that
	// depends on at each upstream.
	division connlimit.Division
	seats    map[model.UpstreamID]*connlimit.Seat
	// gateMetrics are the metrics of the pools' gates, nil if no pool has one.
	gateMetrics *upstreampool.GateMetrics
	// vms is the number of VMs, 0 while it is unknown.
	vms int
	// probes sends status queries and commands; local runs statements over pools.
	probes *probes
	local  upstreamrun.Local
	rounds *statusRounds
	// proofs is set by New.
	proofs *commitProofs
	// evacuated are the evacuated zones as of operatorsRevision, a revision of the
	// store.
	operatorsRevision int64
	evacuated         []string
	// keptZones are zones that remain evacuated until the given time although evacuated
	// lacks them; see keepMissingZones.
	keptZones map[string]model.Time
	// followsHub reports whether a hub passes on to this VM what operators write; see
	// members.followsHub.
	followsHub func() bool
	// awaitsHub reports whether a hub may pass it on soon; see members.awaitsHub.
	awaitsHub func() bool
	// isolated is members.isolated, one of the conditions of Isolated. announce is
	// peers.announce, called when a service gets another primary.
	isolated func() bool
	// askForPromises is peers.askForPromises.
	askForPromises func()
	announce       func(service catalog.Service, primary model.UpstreamID, term uint64)
	// holdersOf returns the holders of an upstream's connections, the first holder
	// first; forward runs statements there.
	holdersOf func(zone model.Zone, id model.UpstreamID) []holderVM
	forward   *forwarder
	// lastForwardedAt is the arrival time of the last work that another VM forwarded
	// to this one for an upstream.
	lastForwardedAt map[model.UpstreamID]model.Time
}

func newCluster(o Options) *cluster {
	c := &cluster{
		self: o.VM, startedAt: boottime.Now(), store: o.Store, formats: o.Formats, zone: o.Zone, log: o.Log, registry: o.Registry,
		replicas: replicaset.New(), quota: quota.New(o.VM),
		pools:           map[model.UpstreamID]*upstreampool.Pool{},
		division:        o.ConnectionDivision,
		seats:           map[model.UpstreamID]*connlimit.Seat{},
		isolated:        func() bool { return false },
		followsHub:      func() bool { return false },
		awaitsHub:       func() bool { return false },
		announce:        func(catalog.Service, model.UpstreamID, uint64) {},
		askForPromises:  func() {},
		lastForwardedAt: map[model.UpstreamID]model.Time{},
		keptZones:       map[string]model.Time{},
		holdersOf:       func(model.Zone, model.UpstreamID) []holderVM { return nil },
	}
	if o.ByDeadline {
		c.gateMetrics = upstreampool.NewGateMetrics(o.Registry)
	}
	c.probes = newProbes(c)
	c.rounds = newStatusRounds(c)
	c.local = upstreamrun.Local{Cluster: c, Tracer: o.Tracer}
	return c
}

// Now reads the clock.
func (c *cluster) Now() model.Time { return boottime.Now() }

// Catalog returns the configuration in force.
func (c *cluster) Catalog() *catalog.Snapshot { return c.catalog.Load() }

// Admit takes one token of the rate limit of a workspace for an operation.
func (c *cluster) Admit(w model.Workspace) quota.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quota.Admit(c.Now(), w)
}

// Refund returns the token of an operation that was not executed.
func (c *cluster) Refund(w model.Workspace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quota.Refund(w)
}

// Floor returns the log position that a read must have reached, and the age of the
// evidence for it.
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

// PrimaryGap returns how long a service has been without a known primary.
func (c *cluster) PrimaryGap(service catalog.Service) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas.PrimaryGap(c.Now(), service)
}

// ReadCandidates returns the upstreams to try for a read of a route, best first.
func (c *cluster) ReadCandidates(route *catalog.Route, floor model.Position, w model.Workspace) []replicaset.Candidate {
	if b := c.forward.balancer; b != nil {
		list, pools := c.unorderedCandidates(route.Service, floor)
		read := readOf(route, w)
		return b.order(c.Now(), &read, list, pools, c.zone)
	}
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
	return c.replicas.ReadCandidates(c.Now(), route.Service, floor, load)
}

// unorderedCandidates returns the upstreams that may serve a read, ordered by rank and
// ID, and this VM's own connections to each of them; nil for those that the VM uses
// through a holder.
func (c *cluster) unorderedCandidates(service catalog.Service, floor model.Position) ([]replicaset.Candidate, []*upstreampool.Pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.replicas.ReadCandidates(c.Now(), service, floor, func(*replicaset.Member) float64 { return 0 })
	pools := make([]*upstreampool.Pool, len(list))
	for i := range list {
		if !c.forward.usesHolder(&list[i].Member) {
			pools[i] = c.pools[list[i].ID]
		}
	}
	return list, pools
}

// Pool returns this VM's own connections to an upstream, or nil.
func (c *cluster) Pool(id model.UpstreamID) *upstreampool.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pools[id]
}

// Run runs a statement on an upstream, at the holder of its connections if possible.
func (c *cluster) Run(r *upstreamrun.Request) (upstreamrun.Outcome, error) { return c.forward.Run(r) }

// Open starts a transaction on an upstream, at the holder of its connections if
// possible.
func (c *cluster) Open(r *upstreamrun.OpenRequest) (upstreamrun.Tx, upstreamrun.Outcome, error) {
	return c.forward.Open(r)
}

// RefreshEvidence gets newer evidence of how far the log of a service reaches: it
// queries the status of the primary or, while no primary is known, of all replicas. It
// reports whether all of them answered and the primary, if one is known, is confirmed;
// it does not try replicas of which one is already failing.
func (c *cluster) RefreshEvidence(ctx context.Context, service catalog.Service) bool {
	if m, ok := c.Primary(service); ok {
		since := c.Now()
		return c.probes.status(ctx, m.ID) && (c.confirmedSince(m.ID, since) || c.rounds.confirm(ctx, service, m.ID, since))
	}
	c.mu.Lock()
	replicas := c.replicas.Replicas(service)
	c.mu.Unlock()
	return !c.anyFailing(replicas) && c.queryStatuses(ctx, replicas)
}

// Suspect starts status queries to an upstream that continue until it answers.
func (c *cluster) Suspect(id model.UpstreamID) { c.probes.suspect(id) }

// Isolated reports whether callers are better served by another VM: this VM is
// isolated (see members.isolated) and does not reach the store either, or it has no recent
// evidence for more than half of the services, or knows no service. In a zone that is cut
// off from the others, primaries continue to answer for a while, but their commits reach
// no replica in another zone.
func (c *cluster) Isolated() bool {
	if !c.isolated() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replicas.StoreUnavailable() {
		return true
	}
	now := c.Now()
	withEvidence := 0
	views := c.viewsLocked()
	for i := range views {
		if e, ok := c.replicas.NewestEvidence(views[i].Service); ok && now.Sub(e.At) < recentEvidenceAge {
			withEvidence++
		}
	}
	return withEvidence*2 < len(views) || len(views) == 0
}

// viewsLocked returns what is known of the upstreams of each service that is configured. An
// entry of another writer may name any service; nobody asks this VM to keep up a primary
// there. Before the first configuration, all services are returned. The caller holds c.mu.
func (c *cluster) viewsLocked() []replicaset.View {
	views, configuration := c.replicas.Views(), c.Catalog()
	if configuration == nil {
		return views
	}
	return slices.DeleteFunc(views, func(v replicaset.View) bool { return configuration.Service(v.Service) == nil })
}

// Observe applies an event, such as the answer of an upstream.
func (c *cluster) Observe(ev *replicaset.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyLocked(ev)
}

// applyLocked is Observe for callers that hold c.mu.
func (c *cluster) applyLocked(ev *replicaset.Event) {
	c.effects = c.replicas.Apply(c.Now(), ev, c.effects[:0])
	for i := range c.effects {
		c.execute(&c.effects[i])
	}
}

// execute carries out an effect. The caller holds c.mu.
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
		c.forward.balancer.forget(e.Upstream)
	case replicaset.EffectPrimary:
		c.log.Info().Str("service", string(e.Service)).Str("upstream", string(e.Upstream)).Uint64("term", e.Term).Msg("primary changed")
		if e.Upstream != "" && e.Term > 0 {
			c.announce(e.Service, e.Upstream, e.Term)
		}
	case replicaset.EffectIgnored:
		c.log.Warn().Str("upstream", string(e.Upstream)).Str("service", string(e.Service)).
			Int64("incarnation", e.Member.Incarnation).Int64("sequence", e.Member.Sequence).Msg("old registration of a removed upstream ignored")
	case replicaset.EffectEvacuated:
		c.log.Info().Msg("evacuated zones changed")
	case replicaset.EffectReplicaEvidence:
		c.log.Info().Str("service", string(e.Service)).Str("primary", string(e.Upstream)).Uint64("term", e.Term).
			Str("position", lineproto.FormatPosition(e.Evidence.Position)).Dur("proof_age", c.Now().Sub(e.Evidence.At)).
			Int("upstreams", e.Members).Dur("list_age", e.ListAge).Msg("freshness proved by replicas")
	}
}

// setMembers sets the list of VMs and what the topology says of them.
func (c *cluster) setMembers(vms []model.VMID, t *topology) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms = len(vms)
	c.quota.SetMembers(c.Now(), vms, t.sources)
	c.replicas.SetVoters(t.voters)
	c.replicas.SetVoting(!t.large || t.hub)
	c.updateShares()
}

// install puts a configuration in force unless it is older than the current one.
// source is where it came from, for the log.
func (c *cluster) install(rawConfig []byte, source string) {
	s, err := c.formats.Configuration(rawConfig)
	if err != nil {
		c.log.Error().Err(err).Str("source", source).Msg("undecodable configuration ignored")
		return
	}
	c.rawConfigMu.Lock()
	old := c.Catalog()
	if old != nil && s.Version <= old.Version {
		c.rawConfigMu.Unlock()
		return
	}
	c.rawConfig, c.gzipConfig = rawConfig, nil
	c.catalog.Store(s)
	c.rawConfigMu.Unlock()
	c.mu.Lock()
	c.quota.Configure(c.Now(), s)
	for i := range s.Services {
		rules := &s.Services[i]
		c.applyLocked(&replicaset.Event{Kind: replicaset.EventSyncReplicas, Service: rules.Name, SyncReplicas: rules.SyncReplicas})
	}
	c.replacePools()
	c.updateShares()
	c.mu.Unlock()
	c.log.Info().Uint64("config_version", s.Version).Str("source", source).Int("routes", len(s.Routes)).Msg("configuration in force")
}

// storedConfig returns the version and the encoded form of the configuration in force.
func (c *cluster) storedConfig() (uint64, []byte) {
	c.rawConfigMu.Lock()
	defer c.rawConfigMu.Unlock()
	if s := c.Catalog(); s != nil {
		return s.Version, c.rawConfig
	}
	return 0, nil
}

// compressedConfig returns the configuration in force, compressed once for all peers.
func (c *cluster) compressedConfig() []byte {
	c.rawConfigMu.Lock()
	defer c.rawConfigMu.Unlock()
	if c.gzipConfig == nil {
		c.gzipConfig = compress(c.rawConfig)
	}
	return c.gzipConfig
}

// close closes all connections to upstreams.
func (c *cluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.pools {
		c.dropPool(id)
	}
	c.probes.close()
}
