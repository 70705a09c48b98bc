// Package node assembles the daemon: it feeds events from callers, upstreams,
// peers and the platform to the reducer and executes the reducer's effects.
package node

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/chervilhatch/chervilhatch/backend"
	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup/pgcontrol"
	"github.com/chervilhatch/chervilhatch/frontend"
	"github.com/chervilhatch/chervilhatch/holder"
	"github.com/chervilhatch/chervilhatch/operator"
	oprelay "github.com/chervilhatch/chervilhatch/operator/relay"
	"github.com/chervilhatch/chervilhatch/panics"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/peer"
	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
	"github.com/chervilhatch/chervilhatch/router"
	"github.com/chervilhatch/chervilhatch/store"
	"github.com/chervilhatch/chervilhatch/store/grpcstore"
	"github.com/chervilhatch/chervilhatch/telemetry"
)

// Options configures a Node.
type Options struct {
	VM   model.VMID
	Zone model.Zone

	// Listeners. Operator is nil when the operator API is disabled.
	Callers  net.Listener
	Peers    net.Listener
	Operator net.Listener

	// CallerTLS is nil when the caller listener does not offer TLS.
	CallerTLS        *tls.Config
	RequireCallerTLS bool
	// PeerServerTLS and PeerClientTLS are the credentials for mutual TLS between VMs.
	PeerServerTLS credentials.TransportCredentials
	PeerClientTLS credentials.TransportCredentials
	// Seeds are peer addresses contacted at startup.
	Seeds       []string
	OperatorTLS credentials.TransportCredentials

	Store     store.Store
	Inventory store.Inventory

	UpstreamUser     string
	UpstreamPassword string

	Log     zerolog.Logger
	Metrics metrics.Registry
}

// Node is one daemon process and its connections to callers, upstreams, peers
// and the platform.
type Node struct {
	options Options
	self    model.VMID
	zone    model.Zone
	log     zerolog.Logger
	metrics metrics.Registry

	loop         *loop
	activeConfig *activeConfig
	writeGates   *writeGates
	directory    *directory
	relay        *relay
	exchange     *exchange
	exchanger    *peer.Exchanger
	clients      *peer.Clients
	tokenServer  *tokenServer
	holder       *holder.Holder
	pools        *poolManager
	control      *pgcontrol.Control
	executor     *effectExecutor
	callers      *callerServer

	ctx    context.Context
	cancel context.CancelFunc
	grpc   []*grpc.Server
	// sharedDatabases maps each other watcher to the databases that it and this
	// VM both watch.
	sharedDatabases atomic.Pointer[map[model.VMID][]model.Database]
	// ownershipReady becomes true once canActOnOwnership has returned true.
	ownershipReady atomic.Bool
	// poolMu guards pools, which the effect executor and the demand reports use.
	poolMu sync.Mutex
	wg     sync.WaitGroup
}

// New returns a node that has not been started.
func New(o Options) (*Node, error) {
	credentials, err := backend.NewCredentials(o.UpstreamUser, o.UpstreamPassword)
	if err != nil {
		return nil, fmt.Errorf("upstream credentials: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		options: o, self: o.VM, zone: o.Zone, log: o.Log, metrics: o.Metrics,
		ctx: ctx, cancel: cancel,
	}
	incarnation := uint64(time.Now().UnixNano())
	state := core.New(core.Config{Self: o.VM, Zone: o.Zone, Incarnation: incarnation})
	n.loop = newLoop(clock{start: time.Now()}, state)
	n.activeConfig = &activeConfig{loop: n.loop}
	n.writeGates = newWriteGates(n.writesDrained)
	n.directory = newDirectory(n.loop, n.updateTargets)
	n.tokenServer = newTokenServer(n.loop, n.activeConfig)
	n.clients = peer.NewClients(n.directory.address, o.PeerClientTLS)
	n.exchange = &exchange{node: n, reportCache: newReportCache()}
	n.exchanger = peer.NewExchanger(ctx, n.exchange, n.clients)
	n.relay = &relay{
		loop: n.loop, store: o.Store, inventory: o.Inventory, directory: n.directory,
		zone: o.Zone, log: o.Log, metrics: o.Metrics, ctx: ctx,
	}
	n.control = pgcontrol.New(n.activeConfig.upstreamAddress, pgcontrol.Credentials{User: o.UpstreamUser, Password: o.UpstreamPassword})
	n.executor = &effectExecutor{node: n, loop: n.loop, control: n.control, log: o.Log, metrics: o.Metrics}
	n.buildDataPath(credentials)
	n.executor.unresponsiveDetector = newUnresponsiveDetector(n.holder.InterruptReads)
	return n, nil
}

// buildDataPath creates the components that a request passes through: frontend,
// router and holder.
func (n *Node) buildDataPath(credentials *backend.Credentials) {
	pools := holder.NewPools()
	n.pools = &poolManager{
		loop: n.loop, pools: pools, activeConfig: n.activeConfig, credentials: credentials,
		log: n.log, managed: map[model.UpstreamID]managedPool{},
	}
	n.holder = holder.New(holder.Options{
		Decider: &decider{loop: n.loop, activeConfig: n.activeConfig, writeGates: n.writeGates},
		Pools:   pools,
		Tracer:  telemetry.Tracer(),
	})
	dial := &holderDialer{loop: n.loop, activeConfig: n.activeConfig, self: n.self, local: n.holder, clients: n.clients}
	ports := &callers{loop: n.loop, activeConfig: n.activeConfig}
	counters := newRequestMetrics(n.metrics)
	n.callers = &callerServer{
		log: n.log,
		options: frontend.Options{
			Directory:  ports,
			Admitter:   countedAdmitter{ports, counters},
			Executor:   countedExecutor{router.New(&routingAdapter{loop: n.loop, activeConfig: n.activeConfig}, dial), counters},
			TLS:        n.options.CallerTLS,
			RequireTLS: n.options.RequireCallerTLS,
			MockSecret: mockSecret(n.options.UpstreamPassword),
			Tracer:     telemetry.Tracer(),
		},
	}
	n.serveGRPC(n.options.Peers, n.options.PeerServerTLS, func(s *grpc.Server) {
		peerv1.RegisterPeerServer(s, peer.NewServer(n.holder, n.exchanger, n.tokenServer))
		platformv1.RegisterPlatformServer(s, oprelay.NewServer(n.options.Store, n.routeToRelay, n.applyStoredConfig))
	})
	if n.options.Operator == nil {
		return
	}
	store := oprelay.NewStore(n.options.Store, n.routeToRelay, grpcstore.Options{Timeout: storeCallTimeout, Metrics: n.metrics})
	n.serveGRPC(n.options.Operator, n.options.OperatorTLS, func(s *grpc.Server) {
		operatorv1.RegisterOperatorServer(s, operator.New(&operatorBackend{n}, store, operator.DefaultReadBackTimeout))
	})
}

// mockSecret derives the secret for mock SCRAM exchanges with unknown
// workspaces. It comes from the upstream password, so that all VMs send the same
// mock parameters.
func mockSecret(password string) []byte {
	mac := hmac.New(sha256.New, []byte(password))
	mac.Write([]byte("chervilhatch mock verifier"))
	return mac.Sum(nil)
}

func (n *Node) serveGRPC(l net.Listener, creds credentials.TransportCredentials, register func(*grpc.Server)) {
	s := grpc.NewServer(append(panics.ServerOptions(n.log), grpc.Creds(creds))...)
	register(s)
	n.grpc = append(n.grpc, s)
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		if err := s.Serve(l); err != nil {
			n.log.Error().Err(err).Msg("gRPC listener failed")
		}
	}()
}

// Start runs the node. It accepts callers once a configuration is in force.
func (n *Node) Start() {
	n.background(func() { n.loop.run(n.ctx, n.executor) })
	n.background(n.reportDemand)
	n.background(n.bootstrap)
	n.log.Info().Str("vm", string(n.self)).Str("zone", string(n.zone)).Msg("started")
}

func (n *Node) background(fn func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		fn()
	}()
}

// bootstrapInterval is the pause between attempts to read the list of VMs and
// the configuration at startup.
const bootstrapInterval = 200 * time.Millisecond

// bootstrap asks the platform and the seeds for the list of VMs and the
// configuration until both are known.
func (n *Node) bootstrap() {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	for _, address := range n.options.Seeds {
		n.background(func() { n.exchanger.RunSeed(ctx, address) })
	}
	for n.ctx.Err() == nil {
		n.relay.bootstrap(n.ctx)
		if n.activeConfig.current() != nil && len(n.directory.list().GetVms()) > 0 {
			return
		}
		pause.For(n.ctx, bootstrapInterval)
	}
}

func (n *Node) reportDemand() {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.poolMu.Lock()
			n.pools.reportAll()
			n.poolMu.Unlock()
		case <-n.ctx.Done():
			return
		}
	}
}

// Ready returns nil when this VM serves callers. After startup a VM is not ready
// until it may act on all the items that it owns.
func (n *Node) Ready() error {
	if n.activeConfig.current() == nil {
		return errNoConfiguration
	}
	if !n.ownershipReady.Load() && !n.canActOnOwnership() {
		return errOwnership
	}
	n.ownershipReady.Store(true)
	return n.callers.ready()
}

// canActOnOwnership reports whether this VM is a member of its zone's record,
// its membership is confirmed, and no item that it owns still waits for the
// previous owner to release it or to expire.
func (n *Node) canActOnOwnership() bool {
	owns := false
	n.loop.view(func(now model.Time, s *core.State) {
		for _, m := range s.Membership.Record(n.zone).Members {
			owns = owns || m.VM == n.self
		}
		owns = owns && s.Membership.WaitingItems() == 0 && s.Membership.ConfirmedUntil() > now
	})
	return owns
}
