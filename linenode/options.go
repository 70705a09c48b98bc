// Package linenode composes the daemon of a deployment whose callers and
// upstreams speak the line protocol and whose upstreams register in a store.
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
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/store"
)

// Formats decode what lies in the store.
type Formats struct {
	// ConfigurationKey holds the configuration; it and the keys of evacuated
	// zones have the prefix OperatorsPrefix.
	ConfigurationKey  string
	OperatorsPrefix   string
	EvacuationsPrefix string
	// RegistrationsPrefix is that of the upstreams' entries.
	RegistrationsPrefix string
	Configuration       func(value []byte) (*catalog.Snapshot, error)
	Registration        func(key string, value []byte) (replicaset.Registration, error)
	// ReadyPath is where the platform asks whether the VM takes new sessions.
	ReadyPath string
	// PromotionRefused is the error of a promotion that was refused for good.
	PromotionRefused error
}

// Promoter promotes an upstream of a service.
type Promoter interface {
	Promote(ctx context.Context, service catalog.Service, id model.UpstreamID, token uint64) error
}

// Options configure a Node.
type Options struct {
	VM   model.VMID
	Zone model.Zone
	// Capacity is the VM's share of a core.
	Capacity float64
	// PeerAddress is where other VMs reach the Peers listener.
	PeerAddress string
	// Seeds are peer addresses that are asked at the start.
	Seeds []string

	Callers net.Listener
	Peers   net.Listener
	Ready   net.Listener
	Metrics net.Listener

	Store    store.Store
	Promoter Promoter
	Formats  Formats

	// MaxSessions bounds the callers' connections.
	MaxSessions int
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration

	Log      zerolog.Logger
	Registry metrics.Registry
	// Tracer records a span for each hop; nil records none.
	Tracer trace.Tracer
}

const (
	// storeRetry is the pause after the first call that the store did not serve;
	// further ones double it, up to longestStoreRetry on average. That is below
	// the time after which operators' writes have to be in force again.
	storeRetryDelay    = 200 * time.Millisecond
	maxStoreRetryDelay = 1200 * time.Millisecond
	// firstWatchDelay is the pause between the first read of what the operators
	// have written and the watch; hubs answer within it.
	initialWatchDelay = 300 * time.Millisecond
	// settleTime is within which VMs that start together have written their
	// entries.
	listSettleTime = 400 * time.Millisecond
	// missingFor is how long a VM that has gone from the list keeps its part as
	// a hub; it is above the usual length of a VM's trouble with the store.
	missingVMRetention = 15 * time.Second
	// learnedFor is how long a VM that has spoken counts without an entry.
	learnedVMTTL = 3 * time.Second
	// memberTTL is how long the entry of a VM outlives its last renewal,
	// which comes every renewInterval.
	memberTTL           = 5 * time.Second
	memberRenewInterval = 1500 * time.Millisecond
	// observeInterval is how often a VM asks its peers.
	observeInterval = 300 * time.Millisecond
	// firstObserveInterval is the same for the first firstObserves questions, in
	// which reports pass through two hubs, and until most peers have answered, for
	// at most scarceObserves questions.
	initialObserveInterval  = 60 * time.Millisecond
	initialObserveRounds    = 16
	maxInitialObserveRounds = 40
	// observeTimeout bounds such a question.
	observeTimeout = 400 * time.Millisecond
	// peerSilence is how long a VM counts as heard after its last answer.
	peerTimeout = 1000 * time.Millisecond
	// sourceSilence is how long a VM follows a hub that does not answer: two
	// questions, so that it hears from the other hub before it counts as alone.
	hubTimeout = 650 * time.Millisecond
	// trimInterval is how often idle connections are looked at.
	trimInterval = 250 * time.Millisecond
	// headerTimeout bounds how long a client of the HTTP pages may take.
	readHeaderTimeout = 3 * time.Second
)

// Keys of this project in the store.
const (
	ownPrefix         = "chervilhatch/"
	membersPrefix     = ownPrefix + "vms/"
	promotionLeaseKey = ownPrefix + "duty/promotion"
)

func serveHTTP(l net.Listener, h http.Handler, log zerolog.Logger) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		if err := server.Serve(l); err != nil && err != http.ErrServerClosed {
			log.Error().Err(err).Str("address", l.Addr().String()).Msg("HTTP listener failed")
		}
	}()
	return server
}
