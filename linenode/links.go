package linenode

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	// maxReconnectDelay is the maximum pause between connection attempts to a peer, so
	// that a peer that returns is reached within a second.
	maxReconnectDelay = 500 * time.Millisecond
	// maxMessageSize is the maximum size of a message from a peer, in bytes. It is
	// larger than the rows that an upstream connection keeps of one answer, 8 MiB.
	maxMessageSize = 12 << 20
	// keepaliveTimeout is how long a connection is kept after a keepalive ping without
	// an answer.
	keepaliveTimeout = time.Second
)

// links are the gRPC connections to other VMs, one for each address.
type links struct {
	mu sync.Mutex
	// conns has the connections by address.
	conns map[string]*grpc.ClientConn
}

func newLinks() *links { return &links{conns: map[string]*grpc.ClientConn{}} }

// get returns the connection to an address. It may not be established yet.
func (l *links) get(address string) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if link := l.conns[address]; link != nil {
		return link, nil
	}
	link, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: maxReconnectDelay / 4, Multiplier: 1.6, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: maxReconnectDelay,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: keepaliveTimeout}))
	if err != nil {
		return nil, err
	}
	l.conns[address] = link
	return link, nil
}

// all returns the connections by address.
func (l *links) all() map[string]*grpc.ClientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := make(map[string]*grpc.ClientConn, len(l.conns))
	for address, link := range l.conns {
		copied[address] = link
	}
	return copied
}

// retain closes the connections to addresses that are not in wanted.
func (l *links) retain(wanted map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, link := range l.conns {
		if !wanted[address] {
			// Calls in flight fail, which is intended: the peer is gone.
			_ = link.Close()
			delete(l.conns, address)
		}
	}
}
