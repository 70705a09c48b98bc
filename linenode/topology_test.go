package linenode

import (
	"fmt"
	"testing"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/quota"
)

// deployment returns n VMs in four zones. Eight of them, two in each zone, have the
// capacity of a hub.
func deployment(n int) map[model.VMID]memberEntry {
	all := map[model.VMID]memberEntry{}
	for i := range n {
		e := memberEntry{Address: fmt.Sprint(i), Zone: model.Zone(fmt.Sprint("zone-", i%4)), Capacity: 0.2}
		if i >= n-8 {
			e.Capacity = 0.8
		}
		all[model.VMID(fmt.Sprintf("vm-%03d", i))] = e
	}
	return all
}

// Guards against hubs in a deployment that is small enough for a mesh.
func TestSmallDeploymentIsAMesh(t *testing.T) {
	all := deployment(8)
	topo := newTopology("vm-003", all, nil)
	if topo.large || len(topo.neighbors) != 7 || len(topo.sources) != 7 {
		t.Errorf("topology %+v", topo)
	}
}

// Guards against VMs that poll more VMs the larger the deployment is, and against hubs
// with a small capacity.
func TestLargeDeploymentHasHubs(t *testing.T) {
	all := deployment(100)
	hubs := 0
	for vm, e := range all {
		topo := newTopology(vm, all, nil)
		if topo.hub {
			hubs++
			if e.Capacity < 0.8 || len(topo.neighbors) != 7 {
				t.Errorf("hub %s with capacity %.1f polls %d VMs, want capacity 0.8 and 7 VMs", vm, e.Capacity, len(topo.neighbors))
			}
			continue
		}
		if len(topo.neighbors) != hubsPerZone || len(topo.sources) != 1 || topo.sources[0] != quota.Others {
			t.Errorf("%s: topology %+v", vm, topo)
		}
		for hub := range topo.neighbors {
			if all[hub].Zone != e.Zone {
				t.Errorf("%s polls %s of another zone", vm, hub)
			}
		}
	}
	if hubs != 8 {
		t.Errorf("%d hubs, want 8", hubs)
	}
}

// Guards against hubs that remain isolated for ever because each believes that the
// others are: all say so at their start. VMs that are no hubs do count as isolated
// with such hubs.
func TestHubsThatHearEachOtherAreNotIsolated(t *testing.T) {
	all := deployment(100)
	for vm := range all {
		m := newMembers(Options{VM: vm}, nil)
		m.topo = newTopology(vm, all, nil)
		for neighbor := range m.topo.neighbors {
			m.recordAnswer(neighbor, boottime.Now(), true)
		}
		if got := m.isolated(); got == m.topo.hub {
			t.Errorf("%s (hub: %t): isolated %t", vm, m.topo.hub, got)
		}
	}
}
