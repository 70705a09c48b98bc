package linenode

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// holdersPerUpstream VMs hold connections to an upstream for all others: the
// first is asked, the second while the first cannot be.
const holdersPerUpstream = 2

// holderVM is a VM that may hold connections.
type holderVM struct {
	vm      model.VMID
	address string
}

// holdersOf returns the VMs that hold the connections to an upstream, the first
// one first: VMs of the upstream's zone, so that they fail with it, or of any zone
// if that one has none. Every VM computes the same.
func holdersOf(candidates map[model.Zone][]holderVM, zone model.Zone, id model.UpstreamID) []holderVM {
	list := slices.Clone(candidates[zone])
	if len(list) == 0 {
		for _, vms := range candidates {
			list = append(list, vms...)
		}
	}
	slices.SortFunc(list, func(a, b holderVM) int {
		return cmp.Or(cmp.Compare(weight(b.vm, id), weight(a.vm, id)), cmp.Compare(a.vm, b.vm))
	})
	return list[:min(len(list), holdersPerUpstream)]
}

// weight is the rendezvous hash of a VM and an upstream.
func weight(vm model.VMID, id model.UpstreamID) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	// The low bits of FNV are well mixed only after another step.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
