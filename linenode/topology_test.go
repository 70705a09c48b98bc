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
	shape := newTopology("vm-003", all, nil)
	if shape.large || len(shape.ask) != 7 || len(shape.sources) != 7 {
		t.Errorf("topology %+v", shape)
	}
}

// Guards against questions whose number grows with the deployment, and against
// hubs on small VMs.
func TestLargeDeploymentHasHubs(t *testing.T) {
	all := deployment(100)
	hubs := 0
	for vm, e := range all {
		shape := newTopology(vm, all, nil)
		if shape.hub {
			hubs++
			if e.Capacity < 0.8 || len(shape.ask) != 7 {
				t.Errorf("hub %s with capacity %.1f asks %d VMs", vm, e.Capacity, len(shape.ask))
			}
			continue
		}
		if len(shape.ask) != hubsPerZone || len(shape.sources) != 1 || shape.sources[0] != quota.Others {
			t.Errorf("%s: topology %+v", vm, shape)
		}
		for hub := range shape.ask {
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
		m.shape = newTopology(vm, all, nil)
		for asked := range m.shape.ask {
			m.answered(asked, boottime.Now(), true)
		}
		if cutOff := m.isolated(); cutOff == m.shape.hub {
			t.Errorf("%s (hub: %t) counts as cut off: %t", vm, m.shape.hub, cutOff)
		}
	}
}
