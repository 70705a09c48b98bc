package node

import (
	"slices"
	"sync"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/confsync"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
	"github.com/chervilhatch/chervilhatch/store"
)

// directory holds the newest known list of VMs with their zones and peer
// addresses.
type directory struct {
	loop *loop
	// onChange is called without the lock after the list has changed.
	onChange func()

	mu     sync.Mutex
	newest *peerv1.VMList
	byID   map[model.VMID]*peerv1.VMEntry
}

func newDirectory(l *loop, onChange func()) *directory {
	return &directory{loop: l, onChange: onChange, newest: &peerv1.VMList{}, byID: map[model.VMID]*peerv1.VMEntry{}}
}

// updateFromStore applies the platform's list of VMs as this VM read it. Versions
// must increase with each read by any relay.
func (d *directory) updateFromStore(version uint64, vms []store.VM) {
	list := &peerv1.VMList{Version: version}
	for _, vm := range vms {
		list.Vms = append(list.Vms, &peerv1.VMEntry{
			Id: string(vm.ID), Zone: string(vm.Zone), PeerAddress: vm.PeerAddress, Leaving: vm.Leaving,
		})
	}
	if equalVMs(d.list().GetVms(), list.GetVms()) {
		return
	}
	d.update(list)
}

func equalVMs(a, b []*peerv1.VMEntry) bool {
	return slices.EqualFunc(a, b, func(x, y *peerv1.VMEntry) bool {
		return x.GetId() == y.GetId() && x.GetZone() == y.GetZone() &&
			x.GetPeerAddress() == y.GetPeerAddress() && x.GetLeaving() == y.GetLeaving()
	})
}

// update replaces the list if the given one has a higher version.
func (d *directory) update(list *peerv1.VMList) {
	d.mu.Lock()
	if list.GetVersion() <= d.newest.GetVersion() {
		d.mu.Unlock()
		return
	}
	d.newest = list
	clear(d.byID)
	for _, vm := range list.GetVms() {
		d.byID[model.VMID(vm.GetId())] = vm
	}
	d.mu.Unlock()
	d.notifyReducer(list)
	d.onChange()
}

func (d *directory) notifyReducer(list *peerv1.VMList) {
	vmList := membership.Event{Kind: membership.EventVMList, Version: list.GetVersion()}
	members := confsync.Event{Kind: confsync.Members}
	for _, vm := range list.GetVms() {
		id, zone := model.VMID(vm.GetId()), model.Zone(vm.GetZone())
		vmList.VMs = append(vmList.VMs, membership.VM{ID: id, Zone: zone, Leaving: vm.GetLeaving()})
		if !vm.GetLeaving() {
			members.Members = append(members.Members, confsync.Member{VM: id, Zone: zone})
		}
	}
	d.loop.apply(&core.Event{Membership: &vmList})
	d.loop.apply(&core.Event{Confsync: &members})
}

// list returns the newest known list. The caller must not modify it.
func (d *directory) list() *peerv1.VMList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest
}

// address returns the peer address of a VM.
func (d *directory) address(vm model.VMID) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.byID[vm]
	return entry.GetPeerAddress(), entry != nil
}

// zoneOf returns the zone of a VM, or "" if the VM is not listed.
func (d *directory) zoneOf(vm model.VMID) model.Zone {
	d.mu.Lock()
	defer d.mu.Unlock()
	return model.Zone(d.byID[vm].GetZone())
}

// vmsOf returns the VMs of a zone.
func (d *directory) vmsOf(zone model.Zone) []model.VMID {
	var out []model.VMID
	for _, vm := range d.list().GetVms() {
		if vm.GetZone() == string(zone) {
			out = append(out, model.VMID(vm.GetId()))
		}
	}
	return out
}

// zones returns the zones of the listed VMs in the order of the list.
func (d *directory) zones() []model.Zone {
	var out []model.Zone
	for _, vm := range d.list().GetVms() {
		if zone := model.Zone(vm.GetZone()); !slices.Contains(out, zone) {
			out = append(out, zone)
		}
	}
	return out
}
