package linenode

import (
	"fmt"
	"testing"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/quota"
)

// deployment returns n VMs in four zones; some are large.
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

func TestSmallDeploymentIsAMesh(t *testing.T) {
	all := deployment(8)
	topo := newTopology("vm-003", all, nil)
	if topo.large || len(topo.neighbors) != 7 || len(topo.sources) != 7 {
		t.Errorf("topology %+v", topo)
	}
}

// Guards against questions whose number grows with the deployment, and against
// hubs on small VMs.
func TestLargeDeploymentHasHubs(t *testing.T) {
	all := deployment(100)
	hubs := 0
	for vm, e := range all {
		topo := newTopology(vm, all, nil)
		if topo.hub {
			hubs++
			if e.Capacity < 0.8 || len(topo.neighbors) != 7 {
				t.Errorf("hub %s with capacity %.1f asks %d VMs", vm, e.Capacity, len(topo.neighbors))
			}
			continue
		}
		if len(topo.neighbors) != hubsPerZone || len(topo.sources) != 1 || topo.sources[0] != quota.Others {
			t.Errorf("%s: topology %+v", vm, topo)
		}
		for hub := range topo.neighbors {
			if all[hub].Zone != e.Zone {
				t.Errorf("%s asks %s of another zone", vm, hub)
			}
		}
	}
	if hubs != 8 {
		t.Errorf("%d hubs", hubs)
	}
}

// Guards against hubs that count as cut off for ever, because each of them
// believes it of the others that said so at their start.
func TestHubsThatHearEachOtherAreNotCutOff(t *testing.T) {
	all := deployment(100)
	for vm := range all {
		m := newMembers(Options{VM: vm}, nil)
		m.topo = newTopology(vm, all, nil)
		for asked := range m.topo.neighbors {
			m.recordAnswer(asked, boottime.Now(), true)
		}
		if got := m.isolated(); got == m.topo.hub {
			t.Errorf("%s (hub: %t) counts as cut off: %t", vm, m.topo.hub, got)
		}
	}
}
