package linenode

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/holderlink"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
)

// fakeHolder answers checks; while slow is set, only after holderCheckTimeout.
type fakeHolder struct {
	vmlinkv1.UnimplementedHolderServer
	slow     atomic.Bool
	stopping atomic.Bool
}

func (h *fakeHolder) Check(context.Context, *vmlinkv1.CheckRequest) (*vmlinkv1.CheckResponse, error) {
	if h.slow.Load() {
		time.Sleep(2 * holderCheckTimeout)
	}
	return &vmlinkv1.CheckResponse{Stopping: h.stopping.Load()}, nil
}

// startHolder starts a fake holder and returns a forwarder in whose topology it is the
// only holder.
func startHolder(t *testing.T) (*fakeHolder, *forwarder, holderVM) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := &fakeHolder{}
	server := grpc.NewServer()
	vmlinkv1.RegisterHolderServer(server, served)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	o := Options{VM: "vm-1", Zone: "z", Log: zerolog.Nop(), Registry: metrics.NewRegistry()}
	c := newCluster(o)
	m := newMembers(o, c)
	h := holderVM{vm: "vm-2", address: l.Addr().String()}
	m.topo.holders = map[model.Zone][]holderVM{"z": {h}}
	links := newLinks()
	t.Cleanup(func() { links.retain(nil) })
	return served, newForwarder(ctx, c, m, links), h
}

// await fails the test unless done returns true within 10 seconds.
func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not true within 10 s: %s", what)
		}
	}
}

// Guards against a holder that still gets statements although it is slow, is stopping
// or answers nothing, and against one that gets none after it has recovered.
func TestUnhealthyHolderGetsNoStatementsUntilItRecovers(t *testing.T) {
	served, f, h := startHolder(t)
	usable := func() bool { return f.usable(h) != nil }
	unusable := func() bool { return f.usable(h) == nil }
	await(t, "connected", usable)

	served.slow.Store(true)
	f.recordAnswer(h, time.Now().Add(-2*maxHolderOverhead), &holderlink.Report{}, nil)
	await(t, "a slow holder is not usable", unusable)
	served.slow.Store(false)
	await(t, "the recovered holder is usable", usable)

	served.stopping.Store(true)
	f.recordAnswer(h, time.Now(), &holderlink.Report{Stopping: true}, nil)
	if !unusable() {
		t.Error("a stopping holder is usable")
	}
	time.Sleep(2 * holderCheckInterval)
	if !unusable() {
		t.Error("a holder that is still stopping is usable again")
	}
	served.stopping.Store(false)
	await(t, "the recovered holder is usable", usable)

	served.slow.Store(true)
	stop := f.checkUnlessAnswered(h)
	defer stop()
	await(t, "a holder that answers nothing is not usable", unusable)
	served.slow.Store(false)
	await(t, "the recovered holder is usable", usable)
}

// Guards against checks of a VM that go on after it has ceased to be a holder.
func TestFormerHolderIsNotChecked(t *testing.T) {
	served, f, h := startHolder(t)
	served.slow.Store(true)
	f.members.mu.Lock()
	f.members.topo.holders = nil
	f.members.mu.Unlock()
	f.check(h)
	await(t, "the checks of the former holder end", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return !f.state(h).checking
	})
	f.prune(nil)
	if len(f.holders) != 0 {
		t.Errorf("the state of %d former holders is kept, want 0", len(f.holders))
	}
}
