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
	o := Options{VM: "vm-1", Zone: "z", Log: zerolog.Nop(), Registry: metrics.NewRegistry()}
	c := newCluster(o)
	m := newMembers(o, c)
	self := entryOf(t, "vm-1", m.self())
	all := []store.KeyValue{self}
	for _, vm := range []string{"vm-2", "vm-3", "vm-4", "vm-5", "vm-6"} {
		all = append(all, entryOf(t, vm, memberEntry{Address: vm, Zone: "z"}))
	}
	m.writtenAt = boottime.Now()
	m.applyList(m.writtenAt.Add(listSettleTime), m.decode(all))
	if c.vms != 6 {
		t.Fatalf("fixture: %d VMs", c.vms)
	}
	m.applyList(m.writtenAt.Add(20*listSettleTime), m.decode(all[:3]))
	if c.vms != 6 {
		t.Errorf("rate limits and connections are divided by %d VMs at once, although 3 have only lost their entries", c.vms)
	}
}
