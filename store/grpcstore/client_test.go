package grpcstore

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
	"github.com/chervilhatch/chervilhatch/store"
)

const testTimeout = 10 * time.Second

// fakeServer answers some calls with fixed data.
type fakeServer struct {
	platformv1.UnimplementedPlatformServer
	// txnError is returned after the Txn took effect.
	txnError error
	// hangs makes Get wait until the call is canceled.
	hangs bool
	txns  []*platformv1.TxnRequest
}

func (f *fakeServer) Get(ctx context.Context, r *platformv1.GetRequest) (*platformv1.GetResponse, error) {
	if f.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if r.Key == "absent" {
		return &platformv1.GetResponse{Revision: 9}, nil
	}
	return &platformv1.GetResponse{Kv: &platformv1.KeyValue{Key: r.Key, Value: []byte("v"), ModRevision: 3}}, nil
}

func (f *fakeServer) Txn(_ context.Context, r *platformv1.TxnRequest) (*platformv1.TxnResponse, error) {
	f.txns = append(f.txns, r)
	return &platformv1.TxnResponse{Succeeded: true, Revision: 4}, f.txnError
}

func (f *fakeServer) LeaseKeepAlive(_ context.Context, r *platformv1.LeaseKeepAliveRequest) (*platformv1.LeaseKeepAliveResponse, error) {
	return &platformv1.LeaseKeepAliveResponse{TtlMs: r.LeaseId}, nil
}

func (f *fakeServer) Watch(r *platformv1.WatchRequest, stream grpc.ServerStreamingServer[platformv1.WatchResponse]) error {
	kv := &platformv1.KeyValue{Key: r.Prefix, ModRevision: r.StartRevision}
	if err := stream.Send(&platformv1.WatchResponse{Revision: r.StartRevision, Changes: []*platformv1.KeyValue{kv}}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return stream.Context().Err()
}

func (f *fakeServer) ListVMs(context.Context, *platformv1.ListVMsRequest) (*platformv1.ListVMsResponse, error) {
	return &platformv1.ListVMsResponse{Vms: []*platformv1.VM{
		{Id: "vm1", Zone: "a", PeerAddress: "127.0.0.1:1", State: platformv1.VMState_VM_STATE_LEAVING},
	}}, nil
}

func (f *fakeServer) ListGroups(context.Context, *platformv1.ListGroupsRequest) (*platformv1.ListGroupsResponse, error) {
	u := &platformv1.GroupUpstream{Id: "u1", Zone: "a", Address: "127.0.0.1:2", State: platformv1.VMState_VM_STATE_LIVE}
	return &platformv1.ListGroupsResponse{Groups: []*platformv1.Group{
		{Database: "entries", Upstreams: []*platformv1.GroupUpstream{u}},
	}}, nil
}

// serve starts a server and returns its address.
func serve(t *testing.T, f *fakeServer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	platformv1.RegisterPlatformServer(server, f)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func connect(t *testing.T, timeout time.Duration, addresses ...string) (*Client, metrics.Registry) {
	t.Helper()
	registry := metrics.NewRegistry()
	c, err := New(Options{Addresses: addresses, Timeout: timeout, Metrics: registry})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, registry
}

func counter(r metrics.Registry, name string) int64 {
	return metrics.GetOrRegisterCounter(name, r).Count()
}

// Guards against one unreachable address that makes the store unavailable, and
// against calls that are not counted.
func TestCallsSwitchToTheNextAddress(t *testing.T) {
	c, registry := connect(t, testTimeout, closedAddress(t), serve(t, &fakeServer{}))
	for range 2 {
		kv, err := c.Get(t.Context(), "k")
		if err != nil || kv.ModRevision != 3 || string(kv.Value) != "v" {
			t.Fatalf("Get = %+v, %v", kv, err)
		}
	}
	if calls, failed := counter(registry, "platform.calls.get"), counter(registry, "platform.errors.get"); calls != 3 || failed != 1 {
		t.Errorf("calls, errors = %d, %d; want 3, 1", calls, failed)
	}
	if kv, err := c.Get(t.Context(), "absent"); err != nil || kv.Key != "absent" || kv.ModRevision != 0 {
		t.Errorf("Get of an absent key = %+v, %v", kv, err)
	}
}

// Guards against sending a change again after its answer was lost.
func TestTxnIsSentOnce(t *testing.T) {
	lost := &fakeServer{txnError: status.Error(codes.Unavailable, "lost")}
	other := &fakeServer{}
	c, _ := connect(t, testTimeout, serve(t, lost), serve(t, other))
	_, err := c.Txn(t.Context(), []store.Condition{{Key: "k", ModRevision: 2}}, []store.Write{{Key: "k", Value: []byte("x"), Lease: 5}})
	if !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("Txn = %v", err)
	}
	if len(lost.txns) != 1 || len(other.txns) != 0 {
		t.Fatalf("the change was sent %d + %d times", len(lost.txns), len(other.txns))
	}
	sent := lost.txns[0]
	if sent.Conditions[0].ModRevision != 2 || sent.Writes[0].LeaseId != 5 || string(sent.Writes[0].Value) != "x" {
		t.Errorf("sent %v", sent)
	}
}

// Guards against a call that waits without limit for a store that does not
// answer.
func TestCallTimesOut(t *testing.T) {
	c, _ := connect(t, 20*time.Millisecond, serve(t, &fakeServer{hangs: true}))
	if _, err := c.Get(t.Context(), "k"); !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("Get = %v", err)
	}
}

// Guards against a watch that stays on an address that no longer answers.
func TestWatchEndsWhenTheAddressIsSwitched(t *testing.T) {
	c, _ := connect(t, testTimeout, serve(t, &fakeServer{}), serve(t, &fakeServer{}))
	got := make(chan store.Change, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- c.Watch(t.Context(), "config/", 7, func(change store.Change) { got <- change })
	}()
	if change := <-got; change.Revision != 7 || change.KVs[0].Key != "config/" {
		t.Fatalf("change = %+v", change)
	}
	c.switchFrom(0)
	if err := <-ended; !errors.Is(err, store.ErrUnavailable) || !errors.Is(err, errAddressSwitched) {
		t.Fatalf("Watch = %v", err)
	}
}

func TestLeaseAndInventory(t *testing.T) {
	c, _ := connect(t, testTimeout, serve(t, &fakeServer{}))
	if err := c.LeaseKeepAlive(t.Context(), 0); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Errorf("LeaseKeepAlive of an expired lease = %v", err)
	}
	if err := c.LeaseKeepAlive(t.Context(), 1); err != nil {
		t.Errorf("LeaseKeepAlive = %v", err)
	}
	vms, err := c.ListVMs(t.Context())
	if err != nil || len(vms) != 1 || !vms[0].Leaving || vms[0].PeerAddress != "127.0.0.1:1" {
		t.Errorf("ListVMs = %+v, %v", vms, err)
	}
	groups, err := c.ListGroups(t.Context())
	if err != nil || len(groups) != 1 || groups[0].Upstreams[0].ID != "u1" || groups[0].Upstreams[0].Leaving {
		t.Errorf("ListGroups = %+v, %v", groups, err)
	}
}
