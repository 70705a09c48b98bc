package linenode

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// holderVM is a VM that may hold connections for others, and its peer address.
type holderVM struct {
	vm      model.VMID
	address string
}

// holdersOf returns the holders of an upstream, the VMs that hold connections to it for all
// others, the first holder first. Statements go to the second while the first is unusable. They are VMs
// of the upstream's zone, which fail together with it, or of any zone if that one has
// no candidates. The order is a rendezvous hash, so that all VMs with the same
// candidates compute the same holders and upstreams spread over the candidates.
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
	return list[:min(len(list), connlimit.Holders)]
}

// weight returns the rendezvous hash of a VM and an upstream.
func weight(vm model.VMID, id model.UpstreamID) uint64 {
	h := fnv.New64a()
	// Writes to a hash.Hash never return an error.
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	// The low bits of FNV are well mixed only after another step.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
