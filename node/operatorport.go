package node

import (
	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/operator"
	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
)

// operatorBackend implements operator.Backend.
type operatorBackend struct {
	node *Node
}

var _ operator.Backend = (*operatorBackend)(nil)

// Config implements operator.Backend.
func (b *operatorBackend) Config() (config.Record, bool) {
	var stored []byte
	b.node.loop.view(func(_ model.Time, s *core.State) { stored = s.Confsync.Document() })
	if len(stored) == 0 {
		return config.Record{}, false
	}
	record, err := config.DecodeRecord(stored)
	return record, err == nil
}

// Accepted implements operator.Backend.
func (b *operatorBackend) Accepted(record config.Record) {
	encoded, err := config.EncodeRecord(record)
	if err == nil {
		b.node.applyStoredConfig(encoded)
	}
}

// Progress implements operator.Backend.
func (b *operatorBackend) Progress(version uint64) (confirmed, missing []model.VMID) {
	b.node.loop.view(func(_ model.Time, s *core.State) {
		confirmed, missing = s.Confsync.Progress(version)
	})
	return confirmed, missing
}

// Status implements operator.Backend.
func (b *operatorBackend) Status() *operatorv1.StatusResponse {
	n := b.node
	_, unreachable := n.relay.unreachableSince()
	out := &operatorv1.StatusResponse{Vm: string(n.self), Zone: string(n.zone), StoreReachable: !unreachable}
	n.loop.view(func(now model.Time, s *core.State) {
		out.ConfigVersion = s.Confsync.Version()
		if d := s.Confsync.Config(); d != nil {
			out.Preset = d.Preset
			b.databases(d, s, out)
		}
		b.vms(now, s, out)
	})
	return out
}

func (b *operatorBackend) vms(now model.Time, s *core.State, out *operatorv1.StatusResponse) {
	for _, vm := range b.node.directory.list().GetVms() {
		status := &operatorv1.VMStatus{Id: vm.GetId(), Zone: vm.GetZone(), Live: !vm.GetLeaving(), LastHeardMs: -1}
		if version, at, ok := s.Confsync.LastHeard(model.VMID(vm.GetId())); ok {
			status.ConfigVersion = version
			status.LastHeardMs = now.Sub(at).Milliseconds()
		}
		if model.VMID(vm.GetId()) == b.node.self {
			status.ConfigVersion = s.Confsync.Version()
			status.LastHeardMs = 0
		}
		out.Vms = append(out.Vms, status)
	}
}

func (b *operatorBackend) databases(d *config.Document, s *core.State, out *operatorv1.StatusResponse) {
	for i := range d.Databases {
		db := &d.Databases[i]
		status := &operatorv1.DatabaseStatus{Database: string(db.Name)}
		for _, u := range db.Upstreams {
			applied, primary, term := s.Replication.Hint(db.Name, u.ID)
			up := &operatorv1.UpstreamStatus{Id: string(u.ID), Zone: string(u.Zone), Applied: uint64(applied.Pos), Reachable: !applied.IsZero()}
			up.Role = "replica"
			if primary == u.ID {
				up.Role = "primary"
				status.Primary = string(primary)
				status.Term = term.String()
				status.Position = uint64(applied.Pos)
			}
			status.Upstreams = append(status.Upstreams, up)
		}
		out.Databases = append(out.Databases, status)
	}
}
