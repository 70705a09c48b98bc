package linenode

import (
	"fmt"
	"testing"

	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// Guards against VMs that compute different holders for an upstream, against holders
// in another zone than the upstream, and against a VM that is the first holder of far
// more upstreams than others.
func TestHoldersAreSpreadAndAgreed(t *testing.T) {
	all := deployment(100)
	first := map[model.VMID]int{}
	for i := range 240 {
		id := model.UpstreamID(fmt.Sprint("i-", i))
		zone := model.Zone(fmt.Sprint("zone-", i%4))
		var agreed []holderVM
		for vm := range all {
			holders := holdersOf(newTopology(vm, all, nil).holders, zone, id)
			if agreed == nil {
				agreed = holders
			}
			if len(holders) != connlimit.Holders || holders[0] != agreed[0] || holders[1] != agreed[1] {
				t.Fatalf("%s: holders %v, other VMs compute %v", vm, holders, agreed)
			}
		}
		if all[agreed[0].vm].Zone != zone {
			t.Errorf("the first holder of upstream %s in %s is %s in another zone", id, zone, agreed[0].vm)
		}
		first[agreed[0].vm]++
	}
	for vm, n := range first {
		if n > 2*240/8 {
			t.Errorf("%s is the first holder of %d of 240 upstreams", vm, n)
		}
	}
}

// Guards against hubs, and thus holders, that change because VMs lose their connection
// to the store for a while. The old holders would still have their connections open,
// in addition to those of the new ones.
func TestHubsRemainWhileTheirEntriesAreMissing(t *testing.T) {
	all := deployment(100)
	before := hubsOf(all, nil)
	missing := map[model.VMID]memberEntry{}
	for vm, e := range before {
		if len(missing) < len(before)/2 {
			missing[vm] = e
			delete(all, vm)
		}
	}
	after := hubsOf(all, missing)
	for vm := range before {
		if _, found := after[vm]; !found {
			t.Errorf("%s is no longer a hub", vm)
		}
	}
	for zone, vms := range byCapacity(all) {
		listed := 0
		for _, vm := range vms {
			if _, found := after[vm]; found {
				listed++
			}
		}
		if listed == 0 {
			t.Errorf("%s has no hub that is in the list", zone)
		}
	}
}

// Guards against an upstream that gets statements at more than its warm-up rate, and
// against one that gets few of them because the first holder, which forwards nearly
// all statements, has only an even share of the rate.
func TestWarmupFractionsFitTheRate(t *testing.T) {
	for vms := 1; vms < 100; vms++ {
		sum := warmupFraction(vms, connlimit.First)
		if sum < 0.5 {
			t.Errorf("%d VMs: the first holder has the fraction %.2f of the rate, want at least 0.5", vms, sum)
		}
		if vms > 1 {
			sum += warmupFraction(vms, connlimit.Second)
		}
		sum += float64(max(vms-connlimit.Holders, 0)) * warmupFraction(vms, connlimit.Other)
		if sum > 1+1e-9 {
			t.Errorf("%d VMs together have the fraction %.2f of the rate, want at most 1", vms, sum)
		}
	}
}
