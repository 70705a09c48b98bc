package linenode

import (
	"cmp"
	"slices"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/quota"
)

const (
	// meshVMs is the largest number of VMs that all ask each other.
	meshVMs = 12
	// hubsPerZone is how many VMs of a zone sum its reports on larger
	// deployments: two, so that one may fail.
	hubsPerZone = 2
)

// topology says whom a VM asks. On a small deployment every VM asks all others.
// On a large one the VMs of a zone ask the zone's hubs, and hubs ask each other,
// so that what a VM sends does not grow with the number of VMs.
type topology struct {
	large bool
	// hub is true on a hub.
	hub bool
	// ask are the VMs to ask and their addresses.
	ask map[model.VMID]string
	// zones are the zones of the VMs in ask.
	zones map[model.VMID]model.Zone
	// sources are those whose reports stand for all other VMs.
	sources []model.VMID
}

// newTopology returns the topology as one VM sees it; all has this VM as well.
func newTopology(self model.VMID, all map[model.VMID]memberEntry) topology {
	t := topology{large: len(all) > meshVMs, ask: map[model.VMID]string{}, zones: map[model.VMID]model.Zone{}}
	if !t.large {
		for vm, e := range all {
			if vm != self {
				t.add(vm, e)
				t.sources = append(t.sources, vm)
			}
		}
		return t
	}
	t.sources = []model.VMID{quota.Others}
	hubs := hubsOf(all)
	_, t.hub = hubs[self]
	for vm, e := range hubs {
		if vm != self && (t.hub || e.Zone == all[self].Zone) {
			t.add(vm, e)
		}
	}
	return t
}

func (t *topology) add(vm model.VMID, e memberEntry) {
	t.ask[vm] = e.Address
	t.zones[vm] = e.Zone
}

// hubsOf returns the hubs of all zones: the VMs with the largest capacity.
func hubsOf(all map[model.VMID]memberEntry) map[model.VMID]memberEntry {
	zones := map[model.Zone][]model.VMID{}
	for vm, e := range all {
		zones[e.Zone] = append(zones[e.Zone], vm)
	}
	hubs := map[model.VMID]memberEntry{}
	for _, vms := range zones {
		slices.SortFunc(vms, func(a, b model.VMID) int {
			return cmp.Or(cmp.Compare(all[b].Capacity, all[a].Capacity), cmp.Compare(a, b))
		})
		for _, vm := range vms[:min(len(vms), hubsPerZone)] {
			hubs[vm] = all[vm]
		}
	}
	return hubs
}
