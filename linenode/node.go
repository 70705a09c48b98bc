package linenode

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/holderlink"
	"github.com/chervilhatch/chervilhatch/lineproxy"
	"github.com/chervilhatch/chervilhatch/panics"
	"github.com/chervilhatch/chervilhatch/pause"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
	"github.com/chervilhatch/chervilhatch/store"
	"github.com/chervilhatch/chervilhatch/telemetry"
)

// Reasons why a VM is not ready for new sessions, as the platform and the log show
// them.
var (
	errNoConfiguration = errors.New("no configuration is known yet")
	errNoMembers       = errors.New("the list of VMs is not known yet")
	errNoUpstreams     = errors.New("no upstream is known yet")
	errStopping        = errors.New("the VM stops")
	errNoPromise       = errors.New("no primary is promised yet, so that no commit could be passed on")
	errIsolated        = errors.New("the VM is cut off from other VMs and from the upstreams")
)

// Node is the daemon of one VM: it serves callers, runs their statements on upstreams,
// and exchanges what it knows with the other VMs.
type Node struct {
	options Options
	log     zerolog.Logger
	// cluster knows the configuration and the upstreams, members the other VMs; lists
	// reads registrations and member entries from the store.
	cluster *cluster
	members *members
	lists   *lists
	// transitions changes primaries while this VM holds the promotion lease. peers
	// exchanges information with other VMs.
	transitions *transitions
	peers       *peers
	// usage reports the requests of workspaces; nil if that is not configured.
	usage *usageReports
	// forward sends statements to the holders of connections; holder serves those that
	// other VMs send to this one.
	forward *forwarder
	holder  *holderlink.Server
	// callers serves the callers' sessions.
	callers *lineproxy.Server

	// stopping is true from the start of Stop.
	stopping atomic.Bool
	// lastReady is the last result of Ready that was logged, nil before the first.
	lastReady atomic.Pointer[error]
	// ctx ends the background work. wg counts its goroutines; Stop does not wait for
	// them.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// grpc serves peers and holder; pages are the HTTP servers of the readiness probe
	// and of the metrics.
	grpc  *grpc.Server
	pages []*http.Server
}

// New returns a node whose listeners are not served yet; Start serves them.
func New(o Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{options: o, log: o.Log, ctx: ctx, cancel: cancel}
	n.cluster = newCluster(o)
	n.members = newMembers(o, n.cluster)
	n.lists = newLists(o, n.cluster, n.members)
	n.transitions = newTransitions(o, n.cluster, n.members)
	links := newLinks()
	n.usage = newUsageReports(o, n.members, n.transitions)
	if n.usage != nil {
		n.cluster.local.Usage = n.usage
	}
	n.peers = newPeers(o, n.cluster, n.members, n.lists, n.transitions, n.usage, links)
	n.forward = newForwarder(ctx, n.cluster, n.members, links)
	if o.Balance == BalanceEven {
		n.forward.balancer = newBalancer(o.VM, n.cluster.startedAt, o.Registry)
	}
	n.holder = &holderlink.Server{Local: &n.cluster.local, Admit: n.cluster.admitForwarded, Stopping: n.stopping.Load}
	if g, ok := o.Store.(store.Generational); ok {
		g.OnGeneration(n.handleGeneration)
	}
	n.cluster.forward = n.forward
	n.cluster.proofs = newCommitProofs(n.cluster)
	n.cluster.holdersOf = n.members.holdersOf
	n.cluster.isolated = n.members.isolated
	n.cluster.followsHub = n.members.followsHub
	n.cluster.awaitsHub = n.members.awaitsHub
	n.cluster.announce = n.peers.announce
	n.cluster.askForPromises = n.peers.askForPromises
	n.transitions.withdraw = n.peers.withdraw
	n.transitions.refreshLists = n.lists.refresh
	n.callers = lineproxy.NewServer(lineproxy.Options{
		Cluster: n.cluster, Log: o.Log, Metrics: o.Registry, MaxSessions: o.MaxSessions, ByDeadline: o.ByDeadline, Tracer: o.Tracer,
	})
	return n
}

// handleGeneration logs the generation of the store and, when it changes, takes into
// account that what the store had of the former one may be gone.
func (n *Node) handleGeneration(g store.GenerationChange) {
	now := boottime.Now()
	event := n.log.Info()
	message := "generation of the store"
	if !g.First {
		event, message = n.log.Warn(), "the store has come back from an older copy"
	}
	event.Int64("old", g.Old).Int64("new", g.New).Str("call", g.Call).Msg(message)
	n.transitions.handleGeneration(now, &g)
}

// Start serves the listeners and starts the background work. It does not block.
func (n *Node) Start() {
	n.serveHTTPPages()
	n.grpc = grpc.NewServer(panics.ServerOptions(n.log)...)
	vmlinkv1.RegisterVMLinkServer(n.grpc, n.peers)
	vmlinkv1.RegisterHolderServer(n.grpc, n.holder)
	n.spawn(func() {
		if err := n.grpc.Serve(n.options.Peers); err != nil {
			n.log.Error().Err(err).Msg("gRPC listener failed")
		}
	})
	n.spawn(func() {
		if err := n.callers.Serve(n.options.Callers); err != nil {
			n.log.Error().Err(err).Msg("callers' listener failed")
		}
	})
	n.spawn(func() { n.cluster.followOperators(n.ctx) })
	n.spawn(func() { n.lists.run(n.ctx) })
	n.spawn(func() { n.members.run(n.ctx) })
	n.spawn(func() { n.peers.run(n.ctx) })
	n.spawn(func() { n.transitions.run(n.ctx) })
	n.spawn(func() { n.forward.run(n.ctx) })
	if n.usage != nil {
		n.spawn(func() { n.usage.run(n.ctx) })
	}
	n.spawn(n.trimLoop)
	n.log.Info().Str("vm", string(n.options.VM)).Str("zone", string(n.options.Zone)).
		Str("callers", n.options.Callers.Addr().String()).Msg("started")
}

// panicRestartDelay is the pause before background work that panicked is run again.
const panicRestartDelay = time.Second

// spawn runs fn in a goroutine of the background work, and again if it panics.
func (n *Node) spawn(fn func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		for panics.Call(n.log, "background work", fn) != nil && pause.For(n.ctx, panicRestartDelay) {
		}
	}()
}

func (n *Node) serveHTTPPages() {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+n.options.Formats.ReadyPath, n.serveReady)
	n.pages = append(n.pages, serveHTTP(n.options.Ready, ready, n.log))
	if n.options.Metrics == nil {
		return
	}
	pages := http.NewServeMux()
	pages.Handle("GET /metrics", telemetry.MetricsText(n.options.Registry))
	pages.HandleFunc("GET "+ExplainPath, n.serveExplain)
	n.pages = append(n.pages, serveHTTP(n.options.Metrics, pages, n.log))
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	err := n.Ready()
	n.logReady(err)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// logReady logs the result of Ready if it differs from the last one.
func (n *Node) logReady(err error) {
	if last := n.lastReady.Swap(&err); last != nil && errors.Is(err, *last) {
		return
	}
	if err != nil {
		n.log.Info().Str("cause", err.Error()).Msg("not ready for new sessions")
		return
	}
	n.log.Info().Msg("ready for new sessions")
}

// Ready returns nil if this VM accepts new sessions, otherwise the reason why not.
func (n *Node) Ready() error {
	c := n.cluster.Catalog()
	switch {
	case n.stopping.Load():
		return errStopping
	case c == nil:
		return errNoConfiguration
	case !n.members.known():
		return errNoMembers
	case !n.cluster.hasUpstreams(c):
		return errNoUpstreams
	case n.cluster.Isolated():
		return errIsolated
	case n.members.usesOwnConnections() && n.cluster.awaitsFirstPromise(c):
		return errNoPromise
	}
	return nil
}

// trimLoop closes connections and ends evacuations that are no longer needed, every
// trimInterval.
func (n *Node) trimLoop() {
	for pause.For(n.ctx, trimInterval) {
		n.cluster.trim()
		n.cluster.dropKeptZones()
	}
}

// stopMarginDivisor divides the grace period; the quotient is left for the end of the
// process after a stopping VM has waited for statements, of its own callers and of other VMs.
const stopMarginDivisor = 10

// statementsEnd is how long after the start of a stop statements may still run.
func statementsEnd(grace time.Duration) time.Duration { return grace - grace/stopMarginDivisor }

// leaveTimeout bounds the removal of a stopping VM's member entry. An entry that is
// not removed expires after memberTTL.
const leaveTimeout = 300 * time.Millisecond

// drainTimes divides the grace period of a stop among the phases of the callers'
// drain. The platform needs about two seconds to notice that the VM is not ready; open
// transactions may continue for half of the grace period, and statements nearly until its end.
func drainTimes(grace time.Duration) lineproxy.DrainSchedule {
	return lineproxy.DrainSchedule{
		AfterAnswer: grace * 2 / 5,
		Idle:        grace / 2,
		All:         grace / 2,
		Timeout:     statementsEnd(grace),
	}
}

// Stop shuts the node down within the grace period: the VM reports that it is not
// ready, drains its callers, gives up the promotion lease, removes its member entry
// and lets the statements of other VMs end.
func (n *Node) Stop() {
	n.log.Info().Int("sessions", n.callers.Sessions()).Dur("grace", n.options.Grace).Msg("stopping")
	n.stopping.Store(true)
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), n.options.Grace)
	defer cancel()
	// Runs concurrently, since a slow store must not shorten the drain of the callers.
	n.spawn(func() { n.transitions.releaseLease(ctx) })
	n.callers.Drain(ctx, drainTimes(n.options.Grace))
	// An error does not matter: the process ends and its listeners with it.
	_ = n.options.Callers.Close()
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	n.members.leave(leaveCtx)
	n.finishForwarded(ctx, started.Add(statementsEnd(n.options.Grace)))
	n.cancel()
	n.grpc.Stop()
	for _, p := range n.pages {
		_ = p.Close()
	}
	n.cluster.close()
	n.log.Info().Msg("stopped")
}

// Forwarded returns the number of statements and transactions of other VMs that this
// VM has run as a holder of upstream connections.
func (n *Node) Forwarded() int { return n.holder.Served() }

// forwardedPollInterval is the interval at which a stopping VM checks whether the
// statements of other VMs have ended.
const forwardedPollInterval = 20 * time.Millisecond

// finishForwarded waits until the statements that run here for other VMs have ended, or
// until the deadline. It then starts a graceful stop of the gRPC server, which tells the other VMs to send
// no more requests.
func (n *Node) finishForwarded(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for n.holder.InFlight() > 0 && pause.For(ctx, forwardedPollInterval) {
	}
	go n.grpc.GracefulStop()
	pause.For(ctx, forwardedPollInterval)
}

// awaitsFirstPromise reports whether this VM has started lately and lacks the promise of a primary
// whose commits need one.
func (c *cluster) awaitsFirstPromise(s *catalog.Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if now.Sub(c.startedAt) > firstPromiseTimeout {
		return false
	}
	for i := range s.Routes {
		service := s.Service(s.Routes[i].Service)
		if service == nil || service.SyncReplicas == 0 || !c.replicas.HasUpstreams(service.Name) {
			continue
		}
		if id := c.replicas.PrimaryID(service.Name); id == "" || !c.replicas.CommitsConfirmed(id, now) {
			return true
		}
	}
	return false
}

// hasUpstreams reports whether an upstream is known for at least one service that the
// configuration routes to.
func (c *cluster) hasUpstreams(s *catalog.Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range s.Routes {
		if c.replicas.HasUpstreams(s.Routes[i].Service) {
			return true
		}
	}
	return false
}
