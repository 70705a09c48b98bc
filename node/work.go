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

// Numbers of Exchange streams.
const (
	// relayCandidates is how many of a zone's next relays a VM keeps a stream
	// to, so that the loss of two of them leaves it connected.
	relayCandidates = 3
	// foreignRelays is how many VMs of each other zone a relay keeps a stream to.
	foreignRelays = 2
)

// configApplied puts a document into force outside of the reducer. The
// executor calls it in the order of the versions.
func (n *Node) configApplied(_ uint64, d *config.Document) {
	old := n.access.current()
	n.access.set(d)
	n.exchanger.TriggerAll()
	for _, gone := range core.Withdrawn(old, d) {
		countMetric(n.metrics, "keys.withdrawn")
		n.callers.closeKey(gone.Workspace, gone.Key)
	}
	n.updateTargets()
	n.applyDrain(d)
}

// applyDrain starts or stops to serve callers as the own zone is in service.
func (n *Node) applyDrain(d *config.Document) {
	zone := d.Zone(n.zone)
	if zone == nil || !zone.Drained {
		n.callers.serveFirst(n.options.Callers)
		n.callers.resume()
		return
	}
	n.callers.drain(n.ctx)
}

// writesDrained tells failover that no write of a database is in progress.
func (n *Node) writesDrained(db model.Database) {
	n.loop.apply(&core.Event{Failover: &failover.Event{Kind: failover.WritesDrained, Database: db}})
}

// learnRecord takes in a configuration that the store is known to have.
func (n *Node) learnRecord(stored []byte) {
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

// sendDocument sends the configuration document on a stream to vm.
func (n *Node) sendDocument(vm model.VMID) {
	for _, l := range n.exchanger.Links() {
		if l.Peer() == vm {
			l.IncludeConfig()
			return
		}
	}
}

// publishHealth tells the other watchers how the primary is.
func (n *Node) publishHealth(e failover.Effect) {
	n.exchange.setHealth(n.loop.clock.Now(), e)
}

// upstreamsOf returns the upstreams of a database.
func (n *Node) upstreamsOf(db model.Database) []model.UpstreamID {
	d := n.access.current()
	if d == nil || d.Database(db) == nil {
		return nil
	}
	var out []model.UpstreamID
	for _, u := range d.Database(db).Upstreams {
		out = append(out, u.ID)
	}
	return out
}

// zones returns all zones that this VM knows of.
func (n *Node) zones() []model.Zone {
	zones := n.directory.zones()
	if !slices.Contains(zones, n.zone) {
		zones = append(zones, n.zone)
	}
	return zones
}

// updateTargets opens the Exchange streams that this VM needs.
func (n *Node) updateTargets() {
	var targets []model.VMID
	add := func(vms []model.VMID, most int) {
		for _, vm := range vms[:min(most, len(vms))] {
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
				add(candidates, relayCandidates)
			case s.Membership.IsRelay():
				add(candidates, foreignRelays)
			}
		}
		shared := n.findShared(s)
		watchers := slices.Sorted(maps.Keys(shared))
		add(watchers, len(watchers))
		n.shared.Store(&shared)
	})
	n.exchanger.SetTargets(targets)
}

// sharedWith returns the databases that this VM watches together with vm.
func (n *Node) sharedWith(vm model.VMID) []model.Database {
	shared := n.shared.Load()
	if shared == nil {
		return nil
	}
	return (*shared)[vm]
}

// findShared returns the databases that this VM watches, by the VMs that watch
// them as well: the main holders of their upstreams.
func (n *Node) findShared(s *core.State) map[model.VMID][]model.Database {
	out := map[model.VMID][]model.Database{}
	d := n.access.current()
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

// askTokens asks the owner of a share for tokens.
func (n *Node) askTokens(ctx context.Context, e limits.Effect) (*peerv1.TokensResponse, error) {
	r := &peerv1.TokensRequest{
		Workspace:   string(e.Workspace),
		Zone:        string(e.Zone),
		RequestId:   e.RequestID,
		AmountMilli: e.Amount,
		FromVm:      string(n.self),
		Borrow:      e.Borrow,
	}
	if e.VM == n.self {
		return n.tokens.Tokens(ctx, r)
	}
	return n.clients.Tokens(ctx, e.VM, r)
}

// routeToRelay returns the connection to the zone's relay, or nil if this VM
// is the relay.
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
