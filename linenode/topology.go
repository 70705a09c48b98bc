package linenode

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/quota"
)

const (
	// meshVMs is the largest number of VMs that all poll each other (a mesh). Larger
	// deployments use hubs.
	meshVMs = 12
	// hubsPerZone is the number of hubs in each zone; with two of them, one may fail.
	hubsPerZone = 2
)

// topology says which VMs a VM polls. In a small deployment, a mesh, every VM polls
// all others. In a large deployment each zone has hubs: VMs that sum the reports of
// their zone. The other VMs poll the hubs of their zone, and hubs poll each other, so
// that the number of messages of a VM does not grow with the number of VMs.
type topology struct {
	// large is true if the deployment has more than meshVMs VMs, and therefore hubs.
	large bool
	// hub is true if this VM is a hub.
	hub bool
	// neighbors are the VMs that this VM polls, with their peer addresses.
	neighbors map[model.VMID]string
	// neighborZones are the zones of the neighbors.
	neighborZones map[model.VMID]model.Zone
	// sources are the IDs of the reports that together cover all other VMs: those VMs
	// in a mesh, quota.Others in a large deployment.
	sources []model.VMID
	// voters are the other VMs that vouch for primaries together with this one: all of
	// them in a mesh, the hubs in a large deployment; none on a VM that does not vouch.
	// VMs that have disappeared from the list are included.
	voters []model.VMID
	// holders are the VMs of each zone that may hold connections to its upstreams: all
	// of them in a mesh, the hubs in a large deployment.
	holders map[model.Zone][]holderVM
}

// newTopology returns the topology as the VM self sees it. all are the VMs in the
// list, including self; missing are VMs that have disappeared from it within
// missingVMRetention.
func newTopology(self model.VMID, all, missing map[model.VMID]memberEntry) topology {
	t := topology{
		large: len(all) > meshVMs, neighbors: map[model.VMID]string{}, neighborZones: map[model.VMID]model.Zone{},
		holders: map[model.Zone][]holderVM{},
	}
	if !t.large {
		for vm, e := range all {
			t.holders[e.Zone] = append(t.holders[e.Zone], holderVM{vm: vm, address: e.Address})
			if vm != self {
				t.add(vm, e)
				t.sources = append(t.sources, vm)
				t.voters = append(t.voters, vm)
			}
		}
		for vm := range missing {
			if _, listed := all[vm]; !listed {
				t.voters = append(t.voters, vm)
			}
		}
		return t
	}
	t.sources = []model.VMID{quota.Others}
	hubs := hubsOf(all, missing)
	_, t.hub = hubs[self]
	for vm, e := range hubs {
		t.holders[e.Zone] = append(t.holders[e.Zone], holderVM{vm: vm, address: e.Address})
		if vm != self && (t.hub || e.Zone == all[self].Zone) {
			t.add(vm, e)
		}
		if vm != self && t.hub {
			t.voters = append(t.voters, vm)
		}
	}
	return t
}

// add adds a neighbor.
func (t *topology) add(vm model.VMID, e memberEntry) {
	t.neighbors[vm] = e.Address
	t.neighborZones[vm] = e.Zone
}

// hubsOf returns the hubs of all zones, the VMs with the largest capacity. A VM that
// is missing from the list may only have lost its connection to the store, so it
// remains a hub. A zone whose hubs are all missing gets one more.
func hubsOf(all, missing map[model.VMID]memberEntry) map[model.VMID]memberEntry {
	known := maps.Clone(all)
	maps.Copy(known, missing)
	hubs := map[model.VMID]memberEntry{}
	for _, vms := range byCapacity(known) {
		for _, vm := range vms[:min(len(vms), hubsPerZone)] {
			hubs[vm] = known[vm]
		}
	}
	for _, vms := range byCapacity(all) {
		if !slices.ContainsFunc(vms, func(vm model.VMID) bool { return hubs[vm] != memberEntry{} }) {
			hubs[vms[0]] = all[vms[0]]
		}
	}
	return hubs
}

// byCapacity returns the VMs of each zone, ordered by descending capacity.
func byCapacity(all map[model.VMID]memberEntry) map[model.Zone][]model.VMID {
	zones := map[model.Zone][]model.VMID{}
	for vm, e := range all {
		zones[e.Zone] = append(zones[e.Zone], vm)
	}
	for _, vms := range zones {
		slices.SortFunc(vms, func(a, b model.VMID) int {
			return cmp.Or(cmp.Compare(all[b].Capacity, all[a].Capacity), cmp.Compare(a, b))
		})
	}
	return zones
}
