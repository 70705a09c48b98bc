package grpcstore

import (
	"context"

	"github.com/chervilhatch/chervilhatch/core/model"
	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
	"github.com/chervilhatch/chervilhatch/store"
)

// ListVMs returns the VMs as the platform last saw them.
func (c *Client) ListVMs(ctx context.Context) ([]store.VM, error) {
	answer, err := callIdempotent(ctx, c, "list_vms", func(ctx context.Context, p platformv1.PlatformClient) (*platformv1.ListVMsResponse, error) {
		return p.ListVMs(ctx, &platformv1.ListVMsRequest{})
	})
	if err != nil {
		return nil, err
	}
	vms := make([]store.VM, len(answer.GetVms()))
	for i, vm := range answer.GetVms() {
		vms[i] = store.VM{
			ID:          model.VMID(vm.GetId()),
			Zone:        model.Zone(vm.GetZone()),
			PeerAddress: vm.GetPeerAddress(),
			Leaving:     vm.GetState() == platformv1.VMState_VM_STATE_LEAVING,
		}
	}
	return vms, nil
}

// ListGroups returns the database groups as the platform last saw them.
func (c *Client) ListGroups(ctx context.Context) ([]store.Group, error) {
	answer, err := callIdempotent(ctx, c, "list_groups", func(ctx context.Context, p platformv1.PlatformClient) (*platformv1.ListGroupsResponse, error) {
		return p.ListGroups(ctx, &platformv1.ListGroupsRequest{})
	})
	if err != nil {
		return nil, err
	}
	groups := make([]store.Group, len(answer.GetGroups()))
	for i, g := range answer.GetGroups() {
		groups[i] = store.Group{
			Database:  model.Database(g.GetDatabase()),
			Upstreams: fromUpstreams(g.GetUpstreams()),
		}
	}
	return groups, nil
}

func fromUpstreams(list []*platformv1.GroupUpstream) []store.Upstream {
	upstreams := make([]store.Upstream, len(list))
	for i, u := range list {
		upstreams[i] = store.Upstream{
			ID:      model.UpstreamID(u.GetId()),
			Zone:    model.Zone(u.GetZone()),
			Address: u.GetAddress(),
			Leaving: u.GetState() == platformv1.VMState_VM_STATE_LEAVING,
		}
	}
	return upstreams
}

func fromKeyValue(kv *platformv1.KeyValue) store.KeyValue {
	return store.KeyValue{Key: kv.GetKey(), Value: kv.GetValue(), ModRevision: kv.GetModRevision()}
}

func fromKeyValues(list []*platformv1.KeyValue) []store.KeyValue {
	kvs := make([]store.KeyValue, len(list))
	for i, kv := range list {
		kvs[i] = fromKeyValue(kv)
	}
	return kvs
}

func toTxn(conditions []store.Condition, writes []store.Write) *platformv1.TxnRequest {
	request := &platformv1.TxnRequest{}
	for _, c := range conditions {
		request.Conditions = append(request.Conditions, &platformv1.Condition{Key: c.Key, ModRevision: c.ModRevision})
	}
	for _, w := range writes {
		request.Writes = append(request.Writes, &platformv1.Write{
			Key: w.Key, Value: w.Value, Delete: w.Delete, LeaseId: w.Lease,
		})
	}
	return request
}
