package linenode

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/usage"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
	"github.com/chervilhatch/chervilhatch/store"
)

// errUsageRefused is the error of a fakeReporter for a lower token than it has seen.
var errUsageRefused = errors.New("refused")

// fakeReporter keeps the reports.
type fakeReporter struct {
	err     error
	windows map[usage.Window]map[model.Workspace]uint64
}

func (f *fakeReporter) ReportUsage(_ context.Context, w usage.Window, counts map[model.Workspace]uint64, _ uint64) error {
	if f.err == nil {
		f.windows[w] = counts
	}
	return f.err
}

// newUsageVM returns a VM with reports of usage in windows of 5 s.
func newUsageVM(vm model.VMID, zone model.Zone, s *memoryStore) *Node {
	return New(Options{
		VM: vm, Zone: zone, Store: s.client(), Log: zerolog.Nop(), Registry: metrics.NewRegistry(),
		Usage: &UsageOptions{
			Settings:    usage.Settings{Window: 5 * time.Second, Due: 10 * time.Second},
			LeasePeriod: 3 * time.Second, Refused: errUsageRefused,
			Reporter: &fakeReporter{windows: map[usage.Window]map[model.Workspace]uint64{}},
		},
	})
}

// setTopology makes the VMs, the first two of each zone hubs, the topology of n.
func (n *Node) setTopology(hub bool, others ...*Node) {
	topo := topology{large: true, hub: hub, neighbors: map[model.VMID]string{}, neighborZones: map[model.VMID]model.Zone{}}
	for _, o := range others {
		topo.add(o.options.VM, memberEntry{Address: string(o.options.VM), Zone: o.options.Zone})
	}
	n.members.topo = topo
}

// pollUsage makes n poll another VM for usage alone.
func (n *Node) pollUsage(other *Node) {
	sentAt := boottime.Now()
	r := &vmlinkv1.ObserveRequest{Vm: string(n.options.VM), Zone: string(n.options.Zone), Incarnation: n.members.incarnation}
	n.usage.addRequest(other.options.VM, r)
	a := &vmlinkv1.ObserveResponse{Vm: string(other.options.VM), Incarnation: other.members.incarnation}
	other.usage.answer(r, a)
	n.usage.applyAnswer(sentAt, r, a)
}

func (n *Node) totalUsage() uint64 {
	n.usage.mu.Lock()
	defer n.usage.mu.Unlock()
	sum := uint64(0)
	now := n.usage.settings.At(n.usage.now())
	for _, w := range []usage.Window{now - 1, now, now + 1} {
		for _, requests := range n.usage.counts.Total(w) {
			sum += requests
		}
	}
	return sum
}

// Guards against counts that do not reach the holder through the hubs of another zone, or
// only once: after a hub has started again, and in messages that repeat nothing.
func TestUsageReachesHolderThroughHubs(t *testing.T) {
	s := newMemoryStore()
	vm, hub, holder := newUsageVM("vm-9", "b", s), newUsageVM("vm-1", "b", s), newUsageVM("vm-0", "a", s)
	for _, n := range []*Node{vm, hub, holder} {
		n.usage.step(t.Context())
	}
	vm.setTopology(false, hub)
	hub.setTopology(true, holder)
	holder.setTopology(true, hub)
	holder.usage.lease = heldLease(7)
	for range 3 {
		vm.usage.Began("w", boottime.Now())
	}
	vm.usage.Began("-", boottime.Now())
	vm.pollUsage(hub)
	hub.usage.Began("w", boottime.Now())
	holder.pollUsage(hub)
	if n := holder.totalUsage(); n != 4 {
		t.Fatalf("the holder knows of %d requests, want 4", n)
	}
	r := &vmlinkv1.ObserveRequest{}
	vm.usage.addRequest(hub.options.VM, r)
	if len(r.GetUsage()) != 0 {
		t.Errorf("counts are sent twice: %v", r.GetUsage())
	}
	again := newUsageVM("vm-1", "b", s)
	again.setTopology(true, holder)
	again.usage.step(t.Context())
	vm.pollUsage(again)
	vm.usage.Began("w", boottime.Now())
	vm.pollUsage(again)
	if n := again.totalUsage(); n != 4 {
		t.Errorf("the hub knows of %d requests after its start, want 4", n)
	}
}

// heldLease is a lease that is held with a revision.
type heldLease int64

func (l heldLease) held() (revision int64, ok bool) { return int64(l), true }

// Guards against a VM without the setting that sends counts, reads clocks or takes part in
// the order of holders.
func TestUsageIsOffWithoutSetting(t *testing.T) {
	s := newMemoryStore()
	off, on := newCandidate(t, "vm-0", s), newUsageVM("vm-1", "z", s)
	r := &vmlinkv1.ObserveRequest{}
	off.usage.addRequest("vm-1", r)
	a := &vmlinkv1.ObserveResponse{}
	on.usage.answer(r, a)
	off.usage.answer(&vmlinkv1.ObserveRequest{WallUs: 1}, a)
	off.usage.applyAnswer(boottime.Now(), r, &vmlinkv1.ObserveResponse{WallUs: 1})
	if r.String() != (&vmlinkv1.ObserveRequest{}).String() || a.String() != (&vmlinkv1.ObserveResponse{}).String() {
		t.Errorf("request %v, answer %v", r, a)
	}
	off.awaitLease(t)
	if mark := string(s.copy()[promotionMarkKey].Value); strings.Contains(mark, "holder") {
		t.Errorf("mark %s names the holder", mark)
	}
}

// Guards against another VM's values that end the process or change what is known: clock
// readings that overflow, and windows of the far past and future.
func TestBadUsageOfPeersIsIgnored(t *testing.T) {
	s := newMemoryStore()
	hub := newUsageVM("vm-1", "b", s)
	hub.setTopology(true)
	hub.usage.step(t.Context())
	before := hub.usage.now()
	for _, wall := range []int64{-1, 1<<63 - 1, -1 << 63, 1 << 53} {
		r := &vmlinkv1.ObserveRequest{Vm: "vm-9", Zone: "b", WallUs: wall, UsageVersion: 3, Usage: []*vmlinkv1.UsageWindow{
			nil, {Window: -1 << 63}, {Window: 1<<63 - 1, Counts: []*vmlinkv1.UsageCount{{Workspace: "w", Requests: 1}}},
			{Window: int64(hub.usage.settings.At(before)), Counts: []*vmlinkv1.UsageCount{nil, {Workspace: "w", Requests: 1<<64 - 1}}},
		}}
		hub.usage.answer(r, &vmlinkv1.ObserveResponse{})
	}
	if n := hub.totalUsage(); n != 0 {
		t.Errorf("%d requests are counted", n)
	}
	if off := time.Duration(hub.usage.now() - before).Abs(); off > 100*time.Millisecond {
		t.Errorf("the true time has changed by %s", off)
	}
	if ignored := metrics.GetOrRegisterCounter("usage.ignored", hub.options.Registry).Count(); ignored < 10 {
		t.Errorf("%d values were ignored", ignored)
	}
}

// Guards against a holder that does not report after its record was undecodable, or
// replaces that record.
func TestUndecodableRecordIsGivenUp(t *testing.T) {
	s := newMemoryStore()
	n := newUsageVM("vm-0", "z", s)
	n.look(t)
	n.awaitLease(t)
	n.usage.step(t.Context())
	last := n.usage.settings.At(n.usage.now()) - 1
	bad := []store.Write{{Key: usageKey(last), Value: []byte("{")}, {Key: usagePrefix + "odd", Value: []byte("{}")}}
	if _, err := n.options.Store.Txn(t.Context(), nil, bad); err != nil {
		t.Fatal(err)
	}
	n.transitions.giveUpLease(t.Context(), "test")
	n.usage.step(t.Context())
	n.awaitLease(t)
	n.usage.step(t.Context())
	if given := metrics.GetOrRegisterCounter("usage.windows.given_up", n.options.Registry).Count(); given != 1 {
		t.Errorf("%d windows are given up, want 1", given)
	}
	if value := string(s.copy()[usageKey(last)].Value); value != "{" {
		t.Errorf("record %q was replaced", value)
	}
}

// giveUp ends the hold of a VM; a memoryStore does not end leases by itself.
func (n *Node) giveUp(t *testing.T) model.Time {
	t.Helper()
	n.transitions.giveUpLease(t.Context(), "test")
	if _, err := n.options.Store.Txn(t.Context(), nil, []store.Write{{Key: promotionLeaseKey, Delete: true}}); err != nil {
		t.Fatal(err)
	}
	return boottime.Now()
}

// Guards against two VMs that take turns as the holder within the period in which they must
// not: a VM that lost the lease to another one takes it back at once.
func TestHoldersDoNotTakeTurns(t *testing.T) {
	s := newMemoryStore()
	first, second := newUsageVM("vm-0", "z", s), newUsageVM("vm-1", "z", s)
	for _, n := range []*Node{first, second} {
		n.look(t)
	}
	first.awaitLease(t)
	ended := first.giveUp(t)
	first.awaitLease(t)
	if waited := boottime.Now().Sub(ended); waited > time.Second {
		t.Errorf("a VM that nobody has succeeded takes the lease back after %s", waited)
	}
	ended = first.giveUp(t)
	second.awaitLease(t)
	second.giveUp(t)
	first.awaitLease(t)
	if waited := boottime.Now().Sub(ended); waited < 3*time.Second {
		t.Errorf("a VM that another one has succeeded takes the lease back after %s, want 3 s", waited)
	}
}
