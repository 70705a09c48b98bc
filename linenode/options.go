// Package linenode is the daemon (node) of a deployment whose callers and upstreams
// speak the line protocol. Upstreams and VMs register in a store that the platform
// runs, under keys that expire unless their lease is renewed.
//
// The VMs of a deployment poll each other and share what they know, so that they go on
// working while the store is unavailable: the configuration, the registrations, how
// much each workspace uses, how far the logs of the primaries reach. With more than
// meshVMs VMs, a few VMs of each zone, the hubs, collect this information, and the
// others poll only the hubs of their zone; see topology.
//
// Most connections to an upstream belong to one VM, its first holder. Other VMs
// forward their statements to the holder; see forwarder.
//
// One VM holds the promotion lease and runs the transitions, the changes of primary;
// see transitions.
package linenode

import (
	"context"
	"net"
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/store"
)

// Formats define the keys and the encodings of what the platform keeps in the store.
type Formats struct {
	// ConfigurationKey is the key of the configuration. OperatorsPrefix is the
	// common prefix of all keys that operators write: this one and those below
	// EvacuationsPrefix, where each evacuated zone has a key that ends in its name.
	ConfigurationKey  string
	OperatorsPrefix   string
	EvacuationsPrefix string
	// RegistrationsPrefix is the prefix of the upstreams' registrations.
	RegistrationsPrefix string
	// Configuration decodes the value of ConfigurationKey.
	Configuration func(value []byte) (*catalog.Snapshot, error)
	// Registration decodes a key below RegistrationsPrefix.
	Registration func(key string, value []byte) (replicaset.Registration, error)
	// ReadyPath is the HTTP path of the readiness probe.
	ReadyPath string
	// PromotionRefused is the error of Promoter.Promote for a promotion that will
	// never succeed, for example because a higher fencing token has been used.
	PromotionRefused error
}

// Promoter makes an upstream the primary of a service. If it checks fencing tokens (see
// Options.TokensChecked), it refuses promotions with a lower one than was used before.
// A call without an answer may be executed seconds later.
type Promoter interface {
	Promote(ctx context.Context, service catalog.Service, id model.UpstreamID, token uint64) error
}

// Options configure a Node.
type Options struct {
	VM   model.VMID
	Zone model.Zone
	// Capacity is the share of a CPU core that the VM has. VMs with the largest
	// capacity become hubs.
	Capacity float64
	// PeerAddress is the host:port where other VMs reach the Peers listener.
	PeerAddress string
	// Seeds are the peer addresses to poll while no other VM is known.
	Seeds []string

	// Callers accepts the line protocol, Peers gRPC calls of other VMs, Ready the
	// platform's readiness probes, Metrics requests for /metrics; Metrics may be nil.
	Callers net.Listener
	Peers   net.Listener
	Ready   net.Listener
	Metrics net.Listener

	Store    store.Store
	Promoter Promoter
	Formats  Formats
	// TokensChecked is true if Promoter refuses lower fencing tokens than it has seen.
	TokensChecked bool

	// ConnectionDivision is how the connection limits of upstreams are divided among VMs, for
	// services whose statements wait by deadlines; see ByDeadline. Others have
	// connlimit.Fixed.
	ConnectionDivision connlimit.Division

	// ByDeadline makes statements of services with a route of catalog.TopPriority wait for
	// the slots of upstreams by their objectives and deadlines; see
	// upstreampool.Pool.UseGate.
	ByDeadline bool
	// Balance is how the upstream of a read is chosen; empty means BalanceLeast.
	Balance BalanceMode
	// Usage is nil if the usage of workspaces is not reported.
	Usage *UsageOptions

	// MaxSessions is the maximum number of connections of callers.
	MaxSessions int
	// Grace is the time between the request to stop and the end of the process by
	// force.
	Grace time.Duration

	Log      zerolog.Logger
	Registry metrics.Registry
	// Tracer records a span for each hop of a statement; nil disables tracing.
	Tracer trace.Tracer
}

// leasePeriod is UsageOptions.LeasePeriod, 0 without reports of usage.
func (o *Options) leasePeriod() time.Duration {
	if o.Usage == nil {
		return 0
	}
	return o.Usage.LeasePeriod
}

// markHolder returns the VM to record in the mark of the lease, if leasePeriod needs it.
func (o *Options) markHolder() model.VMID {
	if o.leasePeriod() == 0 {
		return ""
	}
	return o.VM
}

const (
	// storeRetryDelay is the pause after the first failed call to the store. It
	// doubles with each further failure, up to an average of maxStoreRetryDelay, which
	// is shorter than the time within which a change by an operator must be in force
	// after the store returns.
	storeRetryDelay    = 200 * time.Millisecond
	maxStoreRetryDelay = 1200 * time.Millisecond
	// initialHubPoll is the interval at which a VM checks after its start whether a hub
	// has passed the configuration on.
	initialHubPoll = 20 * time.Millisecond
	// initialWatchDelay is the pause between the first read of the keys that operators
	// write and the watch on them. Hubs answer within it, and a VM that gets this
	// information from a hub needs no watch.
	initialWatchDelay = 300 * time.Millisecond
	// listSettleTime is the time within which VMs that start together have written
	// their member entries. A list read earlier may lack some of them.
	listSettleTime = 400 * time.Millisecond
	// missingVMRetention is how long a VM that is missing from the list of VMs remains
	// a hub. It is longer than a VM is usually unable to reach the store; the hubs
	// would otherwise change, and with them the holders of all connections.
	missingVMRetention = 15 * time.Second
	// learnedVMTTL is how long a VM that is known only from peers stays in the list of
	// VMs without a member entry in the store.
	learnedVMTTL = 3 * time.Second
	// memberTTL is the lifetime of a VM's member entry after the last renewal of its
	// lease, which is renewed every memberRenewInterval.
	memberTTL           = 5 * time.Second
	memberRenewInterval = 1500 * time.Millisecond
	// observeInterval is the interval at which a VM polls its peers with Observe.
	observeInterval = 300 * time.Millisecond
	// initialObserveInterval replaces observeInterval in the first
	// initialObserveRounds rounds after the start, because reports between VMs of
	// different zones have to pass through two hubs. While most peers have not
	// answered, it applies for up to maxInitialObserveRounds rounds.
	initialObserveInterval  = 60 * time.Millisecond
	initialObserveRounds    = 16
	maxInitialObserveRounds = 40
	// promiseRefreshInterval is the minimum time between two polls for promises by statements
	// that wait for one; a poll takes a few milliseconds.
	promiseRefreshInterval = 25 * time.Millisecond
	// firstPromiseTimeout is how long after its start a VM is not ready for lack of a promise.
	// It covers the time until a VM holds the promotion lease after a start of all VMs.
	firstPromiseTimeout = 4 * time.Second
	// observeTimeout is the timeout of an Observe or Announce call.
	observeTimeout = 400 * time.Millisecond
	// peerTimeout is how long a peer counts as reachable after its last answer. It
	// spans three polls.
	peerTimeout = 1000 * time.Millisecond
	// hubTimeout is how long a VM keeps using the reports of a hub that does not
	// answer. It spans two polls, and ends early enough that the reports of the other
	// hub arrive before core/quota considers the VM isolated.
	hubTimeout = 650 * time.Millisecond
	// trimInterval is the interval at which idle connections are closed and connection
	// shares are recomputed.
	trimInterval = 250 * time.Millisecond
	// readHeaderTimeout limits the time that a client of an HTTP page may take to send
	// the header of its request.
	readHeaderTimeout = 3 * time.Second
)

// Keys of this daemon in the store.
const (
	ownPrefix = "chervilhatch/"
	// membersPrefix is followed by the ID of a VM; the value is its memberEntry.
	membersPrefix = ownPrefix + "vms/"
	// promotionLeaseKey exists while a VM holds the promotion lease; the value is the
	// ID of that VM.
	promotionLeaseKey = ownPrefix + "duty/promotion"
	// promotionMarkKey has the promotion.Mark of the last acquisition of the promotion
	// lease. It begins with promotionLeaseKey, so that both are read together.
	promotionMarkKey = promotionLeaseKey + "-generation"
	// promotionsPrefix is followed by the name of a service; the value is the
	// promotion.Record of its last promotion.
	promotionsPrefix = ownPrefix + "promotions/"
	// usagePrefix is followed by the number of a window; the value is its usage.Record.
	usagePrefix = ownPrefix + "usage/"
)

// serveHTTP serves h on l in the background until the returned server is closed.
func serveHTTP(l net.Listener, h http.Handler, log zerolog.Logger) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		if err := server.Serve(l); err != nil && err != http.ErrServerClosed {
			log.Error().Err(err).Str("address", l.Addr().String()).Msg("HTTP listener failed")
		}
	}()
	return server
}
