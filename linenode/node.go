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

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/holderlink"
	"github.com/chervilhatch/chervilhatch/lineproxy"
	"github.com/chervilhatch/chervilhatch/pause"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
	"github.com/chervilhatch/chervilhatch/telemetry"
)

// Reasons why a VM takes no new sessions.
var (
	errNoConfiguration = errors.New("no configuration is known yet")
	errNoMembers       = errors.New("the list of VMs is not known yet")
	errNoUpstreams     = errors.New("no upstream is known yet")
	errStopping        = errors.New("the VM stops")
	errIsolated        = errors.New("the VM is cut off from other VMs and from the upstreams")
)

// Node is one daemon.
type Node struct {
	options Options
	log     zerolog.Logger
	cluster *cluster
	members *members
	lists   *lists
	duty    *duty
	peers   *peers
	forward *forwarder
	holder  *holderlink.Server
	callers *lineproxy.Server

	stopping atomic.Bool
	// toldReady is the last answer to whether this VM is ready.
	toldReady atomic.Pointer[error]
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	grpc      *grpc.Server
	pages     []*http.Server
}

// New returns a node that has not started yet.
func New(o Options) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{options: o, log: o.Log, ctx: ctx, cancel: cancel}
	n.cluster = newCluster(o)
	n.members = newMembers(o, n.cluster)
	n.lists = newLists(o, n.cluster, n.members)
	n.duty = newDuty(o, n.cluster, n.members)
	links := newLinks()
	n.peers = newPeers(o, n.cluster, n.members, n.lists, n.duty, links)
	n.forward = newForwarder(ctx, n.cluster, n.members, links)
	n.holder = &holderlink.Server{Local: &n.cluster.local, Admit: n.cluster.admitForwarded, Stopping: n.stopping.Load}
	n.cluster.forward = n.forward
	n.cluster.holdersOf = n.members.holdersOf
	n.cluster.isolated = n.members.isolated
	n.cluster.follows = n.members.follows
	n.cluster.announce = n.peers.announce
	n.callers = lineproxy.NewServer(lineproxy.Options{
		Cluster: n.cluster, Log: o.Log, Metrics: o.Registry, MaxSessions: o.MaxSessions, Tracer: o.Tracer,
	})
	return n
}

// Start begins to work.
func (n *Node) Start() {
	n.servePages()
	n.grpc = grpc.NewServer()
	vmlinkv1.RegisterVMLinkServer(n.grpc, n.peers)
	vmlinkv1.RegisterHolderServer(n.grpc, n.holder)
	n.background(func() {
		if err := n.grpc.Serve(n.options.Peers); err != nil {
			n.log.Error().Err(err).Msg("gRPC listener failed")
		}
	})
	n.background(func() {
		if err := n.callers.Serve(n.options.Callers); err != nil {
			n.log.Error().Err(err).Msg("callers' listener failed")
		}
	})
	n.background(func() { n.cluster.followOperators(n.ctx) })
	n.background(func() { n.lists.run(n.ctx) })
	n.background(func() { n.members.run(n.ctx) })
	n.background(func() { n.peers.run(n.ctx) })
	n.background(func() { n.duty.run(n.ctx) })
	n.background(func() { n.forward.run(n.ctx) })
	n.background(n.tick)
	n.log.Info().Str("vm", string(n.options.VM)).Str("zone", string(n.options.Zone)).
		Str("callers", n.options.Callers.Addr().String()).Msg("started")
}

func (n *Node) background(fn func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		fn()
	}()
}

func (n *Node) servePages() {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+n.options.Formats.ReadyPath, n.serveReady)
	n.pages = append(n.pages, serveHTTP(n.options.Ready, ready, n.log))
	if n.options.Metrics == nil {
		return
	}
	pages := http.NewServeMux()
	pages.Handle("GET /metrics", telemetry.MetricsText(n.options.Registry))
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

// logReady writes a line when the answer to whether this VM is ready changes.
func (n *Node) logReady(err error) {
	if last := n.toldReady.Swap(&err); last != nil && errors.Is(err, *last) {
		return
	}
	if err != nil {
		n.log.Info().Str("cause", err.Error()).Msg("not ready for new sessions")
		return
	}
	n.log.Info().Msg("ready for new sessions")
}

// Ready returns nil when this VM takes new sessions.
func (n *Node) Ready() error {
	c := n.cluster.Catalog()
	switch {
	case n.stopping.Load():
		return errStopping
	case c == nil:
		return errNoConfiguration
	case !n.members.known():
		return errNoMembers
	case !n.cluster.reachesAny(c):
		return errNoUpstreams
	case n.cluster.Isolated():
		return errIsolated
	}
	return nil
}

// tick passes time where it is needed.
func (n *Node) tick() {
	for pause.For(n.ctx, trimInterval) {
		n.cluster.trim()
	}
}

// forwardedPart is the part of the grace time that statements of other VMs have
// after the callers of this one are served.
const forwardedPart = 8

// leaveTimeout bounds the removal of a stopped VM's entry, which else expires.
const leaveTimeout = 300 * time.Millisecond

// drainTimes divides the grace time of a stop. The platform needs about two
// seconds to notice that the VM is not ready; transactions get half of the time.
func drainTimes(grace time.Duration) lineproxy.DrainSchedule {
	return lineproxy.DrainSchedule{
		AfterAnswer: grace * 2 / 5,
		Idle:        grace / 2,
		All:         grace / 2,
		Timeout:     grace * 3 / 4,
	}
}

// Stop ends the node gracefully: new sessions go elsewhere, requests are
// answered, and the VM's duties are handed over.
func (n *Node) Stop() {
	n.log.Info().Int("sessions", n.callers.Sessions()).Dur("grace", n.options.Grace).Msg("stopping")
	n.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.options.Grace)
	defer cancel()
	// A slow store must not use up the callers' time.
	n.background(func() { n.duty.release(ctx) })
	n.callers.Drain(ctx, drainTimes(n.options.Grace))
	// The listener of a process that ends is closed anyway.
	_ = n.options.Callers.Close()
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	n.members.leave(leaveCtx)
	n.finishForwarded(ctx)
	n.cancel()
	n.grpc.Stop()
	for _, p := range n.pages {
		_ = p.Close()
	}
	n.cluster.close()
	n.log.Info().Msg("stopped")
}

// Forwarded returns how many statements and transactions of other VMs have come
// to this one.
func (n *Node) Forwarded() int { return n.holder.Served() }

// forwardedPoll is how often a stop looks whether statements of other VMs are done.
const forwardedPoll = 20 * time.Millisecond

// finishForwarded lets the statements end that run here for other VMs, and tells
// those to send no more.
func (n *Node) finishForwarded(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.options.Grace/forwardedPart)
	defer cancel()
	for n.holder.UnderWay() > 0 && pause.For(ctx, forwardedPoll) {
	}
	go n.grpc.GracefulStop()
	pause.For(ctx, forwardedPoll)
}

// reachesAny reports whether an upstream of each service is known.
func (c *cluster) reachesAny(s *catalog.Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range s.Routes {
		if c.replicas.HasUpstreams(s.Routes[i].Service) {
			return true
		}
	}
	return false
}
