package peer

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/chervilhatch/chervilhatch/core/model"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// maxReconnectDelay bounds how long a recovered peer stays disconnected.
const maxReconnectDelay = time.Second

// connectParams make a connection attempt to an unresponsive peer fail within
// a second.
var connectParams = grpc.ConnectParams{
	Backoff: backoff.Config{
		BaseDelay:  50 * time.Millisecond,
		Multiplier: 1.6,
		Jitter:     0.2,
		MaxDelay:   maxReconnectDelay,
	},
	MinConnectTimeout: time.Second,
}

// keepaliveParams detect a peer that vanished without closing its connection.
// 10 s is the shortest ping interval that gRPC allows.
var keepaliveParams = keepalive.ClientParameters{
	Time:    10 * time.Second,
	Timeout: 2 * time.Second,
}

// ErrUnknownVM is returned for a VM whose peer address is not known.
var ErrUnknownVM = errors.New("no address known for VM")

// Clients holds one gRPC connection per peer, which is created on first use.
type Clients struct {
	resolve func(model.VMID) (address string, ok bool)
	creds   credentials.TransportCredentials

	mu    sync.Mutex
	conns map[model.VMID]peerConn

	liveness *liveness
}

type peerConn struct {
	address string
	conn    *grpc.ClientConn
}

// NewClients returns Clients without connections. resolve returns the peer
// address of a VM.
func NewClients(resolve func(model.VMID) (string, bool), creds credentials.TransportCredentials) *Clients {
	c := &Clients{resolve: resolve, creds: creds, conns: map[model.VMID]peerConn{}}
	c.liveness = newLiveness(c.ping)
	return c
}

// client returns a gRPC client on the connection to vm.
func (c *Clients) client(vm model.VMID) (peerv1.PeerClient, error) {
	conn, err := c.Conn(vm)
	if err != nil {
		return nil, err
	}
	return peerv1.NewPeerClient(conn), nil
}

// Conn returns the connection to vm. If the address of vm has changed, it
// replaces the connection.
func (c *Clients) Conn(vm model.VMID) (*grpc.ClientConn, error) {
	address, ok := c.resolve(vm)
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownVM, vm)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.conns[vm]
	if ok && known.address == address {
		return known.conn, nil
	}
	if ok {
		_ = known.conn.Close()
	}
	conn, err := c.dial(address)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", vm, err)
	}
	c.conns[vm] = peerConn{address: address, conn: conn}
	return conn, nil
}

func (c *Clients) dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient(address,
		grpc.WithTransportCredentials(c.creds),
		grpc.WithConnectParams(connectParams),
		grpc.WithKeepaliveParams(keepaliveParams),
	)
}

// Close closes all connections and stops the pings. It must be called only once.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.liveness.done)
	for vm, p := range c.conns {
		_ = p.conn.Close()
		delete(c.conns, vm)
	}
}
