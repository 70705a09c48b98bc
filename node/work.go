package node

import (
	"context"
	"maps"
	"slices"

	"google.golang.org/grpc"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/confsync"
	"github.com/chervilhatch/chervilhatch/core/failover"
	"github.com/chervilhatch/chervilhatch/core/limits"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// Numbers of Exchange streams that a VM keeps open.
const (
	// ownZoneStreams is the number of relay candidates in its own zone that a VM
	// keeps a stream to, so that it stays connected if two of them fail.
	ownZoneStreams = 3
	// remoteZoneStreams is the number of VMs in each other zone that a relay
	// keeps a stream to.
	remoteZoneStreams = 2
)

// activateConfig applies a configuration that came into force to the parts outside
// the reducer. The effect executor calls it in the order of the versions.
func (n *Node) activateConfig(_ uint64, d *config.Document) {
	old := n.activeConfig.current()
	n.activeConfig.set(d)
	n.exchanger.TriggerAll()
	for _, withdrawn := range core.Withdrawn(old, d) {
		countMetric(n.metrics, "keys.withdrawn")
		n.callers.closeKey(withdrawn.Workspace, withdrawn.Key)
	}
	n.updateTargets()
	n.applyDrain(d)
}

// applyDrain starts or stops serving callers, depending on whether this VM's zone
// is in service.
func (n *Node) applyDrain(d *config.Document) {
	zone := d.Zone(n.zone)
	if zone == nil || !zone.Drained {
		n.callers.serveInitial(n.options.Callers)
		n.callers.resume()
		return
	}
	n.callers.drain(n.ctx)
}

// writesDrained tells failover that no write to a database is in progress.
func (n *Node) writesDrained(db model.Database) {
	n.loop.apply(&core.Event{Failover: &failover.Event{Kind: failover.WritesDrained, Database: db}})
}

// applyStoredConfig applies a configuration that the store is known to hold.
func (n *Node) applyStoredConfig(stored []byte) {
	record, err := config.DecodeRecord(stored)
	if err != nil {
		return
	}
	document, list := record.Parse()
	if len(list) > 0 {
		return
	}
	ev := confsync.Event{Kind: confsync.StoreChange, Version: record.Version, Document: stored, Config: document}
	n.loop.apply(&core.Event{Confsync: &ev})
	n.exchanger.TriggerAll()
}

// sendDocument sends the configuration document to vm if a stream to it is open.
func (n *Node) sendDocument(vm model.VMID) {
	for _, l := range n.exchanger.Links() {
		if l.Peer() == vm {
			l.IncludeConfig()
			return
		}
	}
}

// publishHealth sets the health report about a primary that the other watchers
// receive.
func (n *Node) publishHealth(e failover.Effect) {
	n.exchange.storeHealthReport(n.loop.clock.Now(), e)
}

// upstreamsOf returns the upstreams of a database.
func (n *Node) upstreamsOf(db model.Database) []model.UpstreamID {
	d := n.activeConfig.current()
	if d == nil || d.Database(db) == nil {
		return nil
	}
	var out []model.UpstreamID
	for _, u := range d.Database(db).Upstreams {
		out = append(out, u.ID)
	}
	return out
}

// zones returns all known zones, including this VM's own.
func (n *Node) zones() []model.Zone {
	zones := n.directory.zones()
	if !slices.Contains(zones, n.zone) {
		zones = append(zones, n.zone)
	}
	return zones
}

// updateTargets sets the VMs that this VM keeps an Exchange stream to: relay
// candidates of its own zone, VMs of the other zones if it is the relay, and the
// other watchers of its databases.
func (n *Node) updateTargets() {
	var targets []model.VMID
	add := func(vms []model.VMID, limit int) {
		for _, vm := range vms[:min(limit, len(vms))] {
			if vm != n.self && !slices.Contains(targets, vm) {
				targets = append(targets, vm)
			}
		}
	}
	zones := n.zones()
	n.loop.view(func(_ model.Time, s *core.State) {
		for _, zone := range zones {
			candidates := s.Membership.RelayCandidates(zone)
			if len(candidates) == 0 {
				candidates = n.directory.vmsOf(zone)
			}
			switch {
			case zone == n.zone:
				add(candidates, ownZoneStreams)
			case s.Membership.IsRelay():
				add(candidates, remoteZoneStreams)
			}
		}
		sharedDatabases := n.findSharedDatabases(s)
		watchers := slices.Sorted(maps.Keys(sharedDatabases))
		add(watchers, len(watchers))
		n.sharedDatabases.Store(&sharedDatabases)
	})
	n.exchanger.SetTargets(targets)
}

// sharedDatabasesWith returns the databases that both this VM and vm watch.
func (n *Node) sharedDatabasesWith(vm model.VMID) []model.Database {
	sharedDatabases := n.sharedDatabases.Load()
	if sharedDatabases == nil {
		return nil
	}
	return (*sharedDatabases)[vm]
}

// findSharedDatabases maps each other watcher to the databases that it and this VM
// both watch. The watchers of a database are the main holders of its upstreams.
func (n *Node) findSharedDatabases(s *core.State) map[model.VMID][]model.Database {
	out := map[model.VMID][]model.Database{}
	d := n.activeConfig.current()
	if d == nil {
		return out
	}
	for i := range d.Databases {
		var holders []model.VMID
		for _, u := range d.Databases[i].Upstreams {
			item := membership.Item{Kind: membership.MainSeat, Zone: u.Zone, Name: string(u.ID)}
			vm, _, ok := s.Membership.Owner(item)
			if ok && !slices.Contains(holders, vm) {
				holders = append(holders, vm)
			}
		}
		if !slices.Contains(holders, n.self) {
			continue
		}
		for _, vm := range holders {
			if vm != n.self {
				out[vm] = append(out[vm], d.Databases[i].Name)
			}
		}
	}
	return out
}

// sendTokenRequest requests tokens from the owner of a share.
func (n *Node) sendTokenRequest(ctx context.Context, e limits.Effect) (*peerv1.TokensResponse, error) {
	r := &peerv1.TokensRequest{
		Workspace:   string(e.Workspace),
		Zone:        string(e.Zone),
		RequestId:   e.RequestID,
		AmountMilli: e.Amount,
		FromVm:      string(n.self),
		Borrow:      e.Borrow,
	}
	if e.VM == n.self {
		return n.tokenServer.Tokens(ctx, r)
	}
	return n.clients.Tokens(ctx, e.VM, r)
}

// routeToRelay returns a connection to the zone's relay. It returns nil if this VM
// is the relay or no candidate can be connected to.
func (n *Node) routeToRelay() grpc.ClientConnInterface {
	if n.relay.active() {
		return nil
	}
	var candidates []model.VMID
	n.loop.view(func(_ model.Time, s *core.State) { candidates = s.Membership.RelayCandidates(n.zone) })
	for _, vm := range candidates {
		if vm == n.self {
			continue
		}
		if conn, err := n.clients.Conn(vm); err == nil {
			return conn
		}
	}
	return nil
}
