package relay

import (
	"context"
	"errors"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
	"github.com/chervilhatch/chervilhatch/store"
	"github.com/chervilhatch/chervilhatch/store/grpcstore"
)

// countingStore has every key at revision 5 and counts the transactions. A
// transaction succeeds if its first condition expects revision 5 and its first
// write has the value "new".
type countingStore struct {
	store.Store
	txns int
}

func (c *countingStore) Get(_ context.Context, key string) (store.KeyValue, error) {
	return store.KeyValue{Key: key, Value: []byte("v"), ModRevision: 5}, nil
}

func (c *countingStore) Txn(_ context.Context, conditions []store.Condition, writes []store.Write) (store.TxnResult, error) {
	c.txns++
	holds := conditions[0].ModRevision == 5 && string(writes[0].Value) == "new"
	return store.TxnResult{Succeeded: holds, Revision: 6}, nil
}

// isRelay is the RelayConn of a VM that is the relay.
func isRelay() grpc.ClientConnInterface { return nil }

// connect starts a gRPC server for s and returns a connection to it.
func connect(t *testing.T, s *Server) *grpc.ClientConn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	platformv1.RegisterPlatformServer(server, s)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// Guards against a VM that calls the store although it is not the relay, against
// calls that are forwarded in a loop, against peers that access other keys, and
// against a relay that does not learn which changes were accepted through it.
func TestCallsGoThroughTheRelay(t *testing.T) {
	options := grpcstore.Options{Timeout: 10 * time.Second, Metrics: metrics.NewRegistry()}
	relayStore := &countingStore{}
	var seen []string
	conn := connect(t, NewServer(relayStore, isRelay, func(record []byte) { seen = append(seen, string(record)) }))
	toRelay := func() grpc.ClientConnInterface { return conn }
	localStore := &countingStore{}
	forwarding := NewStore(localStore, toRelay, options)

	if kv, err := forwarding.Get(t.Context(), "config/current"); err != nil || kv.ModRevision != 5 {
		t.Errorf("Get = %+v, %v", kv, err)
	}
	conditions := []store.Condition{{Key: "config/current", ModRevision: 5}}
	writes := []store.Write{{Key: "config/current", Value: []byte("new")}}
	if r, err := forwarding.Txn(t.Context(), conditions, writes); err != nil || !r.Succeeded || r.Revision != 6 {
		t.Errorf("Txn = %+v, %v", r, err)
	}
	if relayStore.txns != 1 || localStore.txns != 0 {
		t.Errorf("the relay ran %d transactions and the forwarding VM %d, want 1 and 0", relayStore.txns, localStore.txns)
	}
	if !slices.Equal(seen, []string{"v", "new"}) {
		t.Errorf("records reported to the relay: %q, want \"v\" and \"new\"", seen)
	}
	writes[0].Key = "zones/a"
	if _, err := forwarding.Txn(t.Context(), conditions, writes); err == nil || relayStore.txns != 1 {
		t.Error("a peer changed a key outside the configuration")
	}

	notRelay := connect(t, NewServer(relayStore, toRelay, nil))
	toNonRelay := NewStore(localStore, func() grpc.ClientConnInterface { return notRelay }, options)
	if _, err := toNonRelay.Get(t.Context(), "config/current"); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("Get through a VM that is not the relay = %v", err)
	}
}
