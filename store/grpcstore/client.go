// Package grpcstore is a client of the platform's key-value service and of its
// list of VMs and groups, by the protocol of proto/platform/v1. It counts every
// call.
package grpcstore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
	"github.com/chervilhatch/chervilhatch/store"
)

// maxMessageBytes limits a received message. Values have at most 1 MB, but a
// Range returns many.
const maxMessageBytes = 64 << 20

// Prefixes of the names of the counters. The name of the method follows in
// lower case.
const (
	callsPrefix  = "platform.calls."
	errorsPrefix = "platform.errors."
)

// ErrNoAddress reports Options without an address.
var ErrNoAddress = errors.New("no address of the platform's store")

// errAddressSwitched ends the watches of an address that was unavailable to
// another call.
var errAddressSwitched = errors.New("another call found the address unavailable")

// Options configures a Client.
type Options struct {
	// Addresses are tried in order, starting with the one that answered last.
	Addresses []string
	// Timeout limits each call except watches, which have no limit.
	Timeout time.Duration
	// Metrics is the registry of the counters.
	Metrics metrics.Registry
	// Credentials are the TLS credentials. If nil, connections are not encrypted.
	Credentials credentials.TransportCredentials
}

// Client implements store.Store and store.Inventory.
type Client struct {
	timeout time.Duration
	metrics metrics.Registry
	conns   []grpc.ClientConnInterface
	// owned are the connections that Close closes.
	owned []*grpc.ClientConn

	mu sync.Mutex
	// active is the index of the connection in use.
	active int
	// activeCtx ends when another connection becomes active.
	activeCtx    context.Context
	activeCancel context.CancelCauseFunc
}

var (
	_ store.Store     = (*Client)(nil)
	_ store.Inventory = (*Client)(nil)
)

// New returns a client. It does not wait for a connection.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, ErrNoAddress
	}
	if o.Credentials == nil {
		o.Credentials = insecure.NewCredentials()
	}
	c := newClient(o)
	for _, address := range o.Addresses {
		conn, err := dial(address, o.Credentials)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("platform store %s: %w", address, err), c.Close())
		}
		c.conns = append(c.conns, conn)
		c.owned = append(c.owned, conn)
	}
	return c, nil
}

// NewWithConn returns a client that uses a connection owned by the caller, for
// example one to a peer that forwards the calls. It ignores the addresses and
// credentials of o.
func NewWithConn(conn grpc.ClientConnInterface, o Options) *Client {
	c := newClient(o)
	c.conns = append(c.conns, conn)
	return c
}

func newClient(o Options) *Client {
	c := &Client{timeout: o.Timeout, metrics: o.Metrics}
	c.activeCtx, c.activeCancel = context.WithCancelCause(context.Background())
	return c
}

func dial(address string, creds credentials.TransportCredentials) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		// Retries by gRPC would not be counted, and could repeat a change.
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
}

// Close ends all watches and closes the connections that the client opened.
func (c *Client) Close() error {
	c.mu.Lock()
	c.activeCancel(context.Canceled)
	c.mu.Unlock()
	var errs []error
	for _, conn := range c.owned {
		errs = append(errs, conn.Close())
	}
	return errors.Join(errs...)
}

// activeConn returns a stub on the active connection, the index of that
// connection and its context.
func (c *Client) activeConn() (platformv1.PlatformClient, int, context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return platformv1.NewPlatformClient(c.conns[c.active]), c.active, c.activeCtx
}

// switchFrom makes the next connection active, unless another call has already
// switched from the failed one.
func (c *Client) switchFrom(failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active != failed {
		return
	}
	c.activeCancel(errAddressSwitched)
	c.active = (c.active + 1) % len(c.conns)
	c.activeCtx, c.activeCancel = context.WithCancelCause(context.Background())
}

// callOnce makes one call on the active connection.
func callOnce[T any](ctx context.Context, c *Client, method string, call func(context.Context, platformv1.PlatformClient) (T, error)) (T, error) {
	client, index, _ := c.activeConn()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.count(callsPrefix, method)
	answer, err := call(ctx, client)
	if err == nil {
		return answer, nil
	}
	c.count(errorsPrefix, method)
	// A call that its caller canceled shows nothing about the address.
	if unavailable(err) && !errors.Is(ctx.Err(), context.Canceled) {
		c.switchFrom(index)
	}
	return answer, wrapError(method, err)
}

// callIdempotent makes a call that may be repeated, on one address after
// another until one answers. It tries each at most once.
func callIdempotent[T any](ctx context.Context, c *Client, method string, call func(context.Context, platformv1.PlatformClient) (T, error)) (T, error) {
	var answer T
	var err error
	for range c.conns {
		answer, err = callOnce(ctx, c, method, call)
		if err == nil || !errors.Is(err, store.ErrUnavailable) || ctx.Err() != nil {
			return answer, err
		}
	}
	return answer, err
}

func (c *Client) count(prefix, method string) {
	metrics.GetOrRegisterCounter(prefix+method, c.metrics).Inc(1)
}

// unavailable reports whether the service did not answer, or refused the call
// because of its load.
func unavailable(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled, codes.ResourceExhausted,
		codes.Aborted, codes.Unknown, codes.Internal:
		return true
	}
	return false
}

func wrapError(method string, err error) error {
	if unavailable(err) {
		return fmt.Errorf("%w: %s: %w", store.ErrUnavailable, method, err)
	}
	return fmt.Errorf("platform store: %s: %w", method, err)
}
