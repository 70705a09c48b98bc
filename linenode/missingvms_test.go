package linenode

import (
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/store"
)

// Guards against a VM that takes the first list after an outage of the store, in which the
// entries of VMs expired, for complete: the others still run and use their shares.
func TestVMsMissingFromAListKeepTheirShares(t *testing.T) {
	m, all := newSixVMs(t)
	m.applyList(m.writtenAt.Add(20*listSettleTime), m.decode(all[:3]))
	if m.cluster.vms != 6 {
		t.Errorf("rate limits and connections are divided by %d VMs at once, although 3 have only lost their entries", m.cluster.vms)
	}
}

// newSixVMs returns the members of a VM that has read the list of six VMs, and that list.
func newSixVMs(t *testing.T) (*members, []store.KeyValue) {
	t.Helper()
	o := Options{VM: "vm-1", Zone: "z", Log: zerolog.Nop(), Registry: metrics.NewRegistry()}
	c := newCluster(o)
	m := newMembers(o, c)
	all := []store.KeyValue{entryOf(t, "vm-1", m.self())}
	for _, vm := range []string{"vm-2", "vm-3", "vm-4", "vm-5", "vm-6"} {
		all = append(all, entryOf(t, vm, memberEntry{Address: vm, Zone: "z"}))
	}
	m.writtenAt = boottime.Now()
	m.applyList(m.writtenAt.Add(listSettleTime), m.decode(all))
	if c.vms != 6 {
		t.Fatalf("fixture: %d VMs", c.vms)
	}
	return m, all
}

// Guards against parts of rates and connections that nobody uses: those of VMs that are gone, with
// an outage of the store or without.
func TestVMsThatAreGoneGiveTheirSharesUp(t *testing.T) {
	m, all := newSixVMs(t)
	m.applyList(m.writtenAt.Add(3*listSettleTime), m.decode(all[:5]))
	if m.cluster.vms != 5 {
		t.Errorf("%d VMs count after one has left, want 5", m.cluster.vms)
	}
	m.applyList(m.writtenAt.Add(20*listSettleTime), m.decode(all[:4]))
	m.applyList(m.writtenAt.Add(21*listSettleTime), m.decode(all[:3]))
	if m.cluster.vms != 5 {
		t.Errorf("%d VMs count right after an outage, want 5", m.cluster.vms)
	}
	m.keepMissingUntil = boottime.Now()
	m.applyList(m.writtenAt.Add(22*listSettleTime), m.decode(all[:3]))
	if m.cluster.vms != 3 {
		t.Errorf("%d VMs count once they had time to write their entries again, want 3", m.cluster.vms)
	}
}
