package platform

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
)

// testTimeout bounds the calls of a test, so that a blocked call fails the test
// instead of hanging it.
const testTimeout = 30 * time.Second

func start(t *testing.T) (*Server, platformv1.PlatformClient, context.Context) {
	t.Helper()
	s := New()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Stop)
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return s, platformv1.NewPlatformClient(conn), ctx
}

// put writes a key if it has the given revision.
func put(ctx context.Context, client platformv1.PlatformClient, key, text string, revision, lease int64) (*platformv1.TxnResponse, error) {
	return client.Txn(ctx, &platformv1.TxnRequest{
		Conditions: []*platformv1.Condition{{Key: key, ModRevision: revision}},
		Writes:     []*platformv1.Write{{Key: key, Value: []byte(text), LeaseId: lease}},
	})
}

func mustPut(t *testing.T, ctx context.Context, client platformv1.PlatformClient, key, text string, revision, lease int64) int64 {
	t.Helper()
	resp, err := put(ctx, client, key, text, revision, lease)
	if err != nil || !resp.Succeeded {
		t.Fatalf("put of %s: %v, %v", key, resp, err)
	}
	return resp.Revision
}

// A compare-and-swap on an old revision must fail, and its response must have
// the current value.
func TestTxnConditions(t *testing.T) {
	_, client, ctx := start(t)
	first := mustPut(t, ctx, client, "a", "1", 0, 0)
	mustPut(t, ctx, client, "a", "2", first, 0)
	resp, err := put(ctx, client, "a", "3", first, 0)
	if err != nil || resp.Succeeded || string(resp.Current[0].Value) != "2" {
		t.Fatalf("put on an old revision: %v, %v", resp, err)
	}
	mustPut(t, ctx, client, "ab", "4", 0, 0)
	mustPut(t, ctx, client, "b", "5", 0, 0)
	found, err := client.Range(ctx, &platformv1.RangeRequest{Prefix: "a"})
	if err != nil || len(found.Kvs) != 2 || found.Kvs[1].Key != "ab" || found.Revision != first+3 {
		t.Fatalf("range: %v, %v", found, err)
	}
}

// A transaction with a lost response must still take effect. Otherwise the
// stand-in would hide errors in how a client finds out, by reading back the
// request id, whether its transaction was applied.
func TestLostAnswerTakesEffect(t *testing.T) {
	s, client, ctx := start(t)
	s.LoseAnswers(1)
	if _, err := put(ctx, client, "a", "1", 0, 0); status.Code(err) != codes.Unavailable {
		t.Fatalf("lost answer: %v", err)
	}
	got, err := client.Get(ctx, &platformv1.GetRequest{Key: "a"})
	if err != nil || string(got.Kv.Value) != "1" {
		t.Fatalf("after a lost answer: %v, %v", got, err)
	}
	mustPut(t, ctx, client, "a", "2", got.Kv.ModRevision, 0)
	if calls := s.Calls(); calls["Txn"] != 2 || calls["Get"] != 1 {
		t.Fatalf("calls: %v", calls)
	}
}

// A watch must report the changes from its start revision on, also those made
// before it was opened, only for keys with its prefix, and must fail if the
// start revision is no longer in the history.
func TestWatchFromRevision(t *testing.T) {
	s, client, ctx := start(t)
	first := mustPut(t, ctx, client, "w/a", "1", 0, 0)
	mustPut(t, ctx, client, "other", "1", 0, 0)
	second := mustPut(t, ctx, client, "w/a", "2", first, 0)
	watch, err := client.Watch(ctx, &platformv1.WatchRequest{Prefix: "w/", StartRevision: first})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []int64{first, second} {
		change, err := watch.Recv()
		if err != nil || change.Revision != want || change.Changes[0].ModRevision != want {
			t.Fatalf("change %v, %v, want revision %d", change, err, want)
		}
	}
	third := mustPut(t, ctx, client, "w/b", "3", 0, 0)
	if change, err := watch.Recv(); err != nil || change.Revision != third {
		t.Fatalf("live change %v, %v, want revision %d", change, err, third)
	}
	s.SetDown(true)
	if _, err := watch.Recv(); status.Code(err) != codes.Unavailable {
		t.Fatalf("watch while the store is down: %v", err)
	}
	s.SetDown(false)
	revision := third
	for range maxHistory {
		revision = mustPut(t, ctx, client, "w/b", "x", revision, 0)
	}
	old, err := client.Watch(ctx, &platformv1.WatchRequest{Prefix: "w/", StartRevision: first})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := old.Recv(); status.Code(err) != codes.OutOfRange {
		t.Fatalf("watch from a revision that is too old: %v", err)
	}
}

// The end of a lease must delete its keys, but not those that have moved to
// another lease. A keep-alive or a write after the end must not revive it.
func TestLeaseExpiryDeletesKeys(t *testing.T) {
	_, client, ctx := start(t)
	lease, err := client.LeaseGrant(ctx, &platformv1.LeaseGrantRequest{TtlMs: 50})
	if err != nil {
		t.Fatal(err)
	}
	lasting, err := client.LeaseGrant(ctx, &platformv1.LeaseGrantRequest{TtlMs: testTimeout.Milliseconds()})
	if err != nil {
		t.Fatal(err)
	}
	revision := mustPut(t, ctx, client, "moved", "1", 0, lease.LeaseId)
	mustPut(t, ctx, client, "moved", "2", revision, lasting.LeaseId)
	revision = mustPut(t, ctx, client, "held", "1", 0, lease.LeaseId)
	watch, err := client.Watch(ctx, &platformv1.WatchRequest{Prefix: "held", StartRevision: revision + 1})
	if err != nil {
		t.Fatal(err)
	}
	change, err := watch.Recv()
	if err != nil || change.Changes[0].ModRevision != 0 {
		t.Fatalf("change at the lease's end: %v, %v", change, err)
	}
	alive, err := client.LeaseKeepAlive(ctx, &platformv1.LeaseKeepAliveRequest{LeaseId: lease.LeaseId})
	if err != nil || alive.TtlMs != 0 {
		t.Fatalf("keep-alive after the end: %v, %v", alive, err)
	}
	if _, err := put(ctx, client, "held", "2", 0, lease.LeaseId); status.Code(err) != codes.NotFound {
		t.Fatalf("write with an ended lease: %v", err)
	}
	moved, err := client.Get(ctx, &platformv1.GetRequest{Key: "moved"})
	if err != nil || moved.Kv.ModRevision == 0 {
		t.Fatalf("key of another lease: %v, %v", moved, err)
	}
}

// A change to a list must not be served before the lag has passed.
func TestListLag(t *testing.T) {
	s, client, ctx := start(t)
	s.SetListLag(time.Hour)
	s.SetVMs([]*platformv1.VM{{Id: "vm-1"}})
	s.SetVMs([]*platformv1.VM{{Id: "vm-1"}, {Id: "vm-2"}})
	if list, err := client.ListVMs(ctx, &platformv1.ListVMsRequest{}); err != nil || len(list.Vms) != 1 {
		t.Fatalf("list within the lag: %v, %v", list, err)
	}
	s.SetListLag(0)
	if list, err := client.ListVMs(ctx, &platformv1.ListVMsRequest{}); err != nil || len(list.Vms) != 2 {
		t.Fatalf("list after the lag: %v, %v", list, err)
	}
}

// A call must block during a hang and be answered after it.
func TestHang(t *testing.T) {
	s, client, ctx := start(t)
	s.SetHang(true)
	result := make(chan error)
	go func() {
		_, err := client.Get(ctx, &platformv1.GetRequest{Key: "a"})
		result <- err
	}()
	for s.Calls()["Get"] == 0 {
		time.Sleep(time.Millisecond)
	}
	select {
	case err := <-result:
		t.Fatalf("a hanging call answered: %v", err)
	default:
	}
	s.SetHang(false)
	if err := <-result; err != nil {
		t.Fatal(err)
	}
}

// A delay must apply to calls, and ResetCalls must reset the counters.
func TestDelayAndCounters(t *testing.T) {
	s, client, ctx := start(t)
	s.SetDelay(time.Hour)
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	if _, err := client.Get(short, &platformv1.GetRequest{Key: "a"}); status.Code(err) != codes.DeadlineExceeded {
		t.Fatalf("call within its delay: %v", err)
	}
	s.SetDelay(0)
	s.ResetCalls()
	if _, err := client.Range(ctx, &platformv1.RangeRequest{}); err != nil {
		t.Fatal(err)
	}
	if calls := s.Calls(); len(calls) != 1 || calls["Range"] != 1 {
		t.Fatalf("calls after a reset: %v", calls)
	}
}
