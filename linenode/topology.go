package linenode

import (
	"cmp"
	"maps"
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
	// neighbors are the VMs to ask and their addresses.
	neighbors map[model.VMID]string
	// peerZones are the peerZones of the VMs in ask.
	neighborZones map[model.VMID]model.Zone
	// sources are those whose reports stand for all other VMs.
	sources []model.VMID
	// holders are the VMs of each zone that hold connections to its upstreams.
	holders map[model.Zone][]holderVM
}

// newTopology returns the topology as one VM sees it. all has this VM as well;
// missing are VMs that have gone from the list lately.
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
	}
	return t
}

func (t *topology) add(vm model.VMID, e memberEntry) {
	t.neighbors[vm] = e.Address
	t.neighborZones[vm] = e.Zone
}

// hubsOf returns the hubs of all zones: the VMs with the largest capacity. A VM
// that is missing from the list may only have lost the store and goes on as a hub;
// a zone in which all hubs are missing gets another one.
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

// byCapacity returns the VMs of each zone, the largest first.
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
