package linenode

import (
	"context"
	"maps"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/quota"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/pause"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
)

// forgetContact is the age at which a contact with an upstream is no longer
// reported.
const forgetContact = 5 * time.Second

// peers asks the other VMs what they know, and answers them.
type peers struct {
	vmlinkv1.UnimplementedVMLinkServer

	options Options
	cluster *cluster
	members *members
	lists   *lists
	duty    *duty
	log     zerolog.Logger

	links *links

	mu      sync.Mutex
	asking  map[string]bool
	demands []quota.Demand
	// summary sums the reports of this VM's zone while it is a hub.
	summary *quota.Summary
	// source is the hub whose summary this VM follows, heard at sourceAt.
	source   model.VMID
	sourceAt model.Time
}

func newPeers(o Options, c *cluster, m *members, l *lists, d *duty, links *links) *peers {
	return &peers{
		options: o, cluster: c, members: m, lists: l, duty: d, log: o.Log, summary: quota.NewSummary(m.incarnation),
		links: links, asking: map[string]bool{},
	}
}

// run asks all peers at each interval until ctx ends.
func (p *peers) run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		p.tick()
		targets := p.targets()
		for _, address := range targets {
			go p.ask(ctx, address)
		}
		p.forget(targets)
		pause.For(ctx, p.interval(round))
	}
	p.links.retain(nil)
}

// interval returns the pause after a round of questions, counted from the start.
func (p *peers) interval(round int) time.Duration {
	if round < firstObserves || round < scarceObserves && p.members.scarce() {
		return firstObserveInterval
	}
	return observeInterval
}

// tick publishes what reaches this VM. A hub also takes the sum over all other
// VMs from its own summary.
func (p *peers) tick() {
	now := boottime.Now()
	shape := p.members.topology()
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	demands := p.cluster.quota.Tick(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demands = demands
	if !shape.hub {
		return
	}
	p.summary.AddReport(now, &quota.Report{VM: p.options.VM, Incarnation: p.members.incarnation, Demands: demands})
	others := p.summary.OthersOf(now, p.options.VM, nil)
	p.cluster.quota.AddReport(now, &others)
}

// targets returns the addresses to ask: those of the topology, or of the seeds
// while no other VM is known.
func (p *peers) targets() map[model.VMID]string {
	asked := maps.Clone(p.members.topology().ask)
	if len(asked) > 0 {
		return asked
	}
	asked = map[model.VMID]string{}
	for _, address := range p.options.Seeds {
		if address != p.options.PeerAddress {
			asked[model.VMID("seed "+address)] = address
		}
	}
	return asked
}

// forget closes the connections to VMs that are gone.
func (p *peers) forget(targets map[model.VMID]string) {
	wanted := map[string]bool{}
	for _, address := range targets {
		wanted[address] = true
	}
	for _, h := range p.members.holders() {
		wanted[h.address] = true
	}
	p.links.retain(wanted)
}

// link returns the connection to a peer, unless a question to it is unanswered.
func (p *peers) link(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asking[address] {
		return nil, nil
	}
	link, err := p.links.get(address)
	if err != nil {
		return nil, err
	}
	p.asking[address] = true
	return link, nil
}

func (p *peers) ask(ctx context.Context, address string) {
	link, err := p.link(address)
	if err != nil {
		p.log.Error().Err(err).Str("address", address).Msg("peer cannot be called")
		return
	}
	if link == nil {
		return
	}
	defer func() {
		p.mu.Lock()
		delete(p.asking, address)
		p.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	version, _ := p.cluster.stored()
	request := &vmlinkv1.ObserveRequest{
		Vm: string(p.options.VM), ConfigVersion: version, Address: p.options.PeerAddress, Zone: string(p.options.Zone),
		ListsAgeUs: uint64(p.lists.age().Microseconds()), Incarnation: p.members.incarnation,
	}
	if shape := p.members.topology(); shape.large && !shape.hub {
		p.mu.Lock()
		request.Demands = toDemands(p.demands)
		p.mu.Unlock()
	}
	asked := boottime.Now()
	answer, err := vmlinkv1.NewVMLinkClient(link).Observe(ctx, request)
	if err != nil {
		// Silence shows in the age of what the peer said last.
		p.log.Debug().Err(err).Str("address", address).Msg("peer did not answer")
		return
	}
	p.heard(asked, answer)
}

// heard takes over what a peer knows. All of it is dated back from when the
// question was sent.
func (p *peers) heard(asked model.Time, a *vmlinkv1.ObserveResponse) {
	vm := model.VMID(a.GetVm())
	p.members.answered(vm, asked, a.GetIsolated())
	p.duty.heard(vm, model.VMID(a.GetDutyHolder()), asked)
	if len(a.GetConfig()) > 0 {
		p.cluster.install(a.GetConfig(), "peer "+a.GetVm())
	}
	if l := a.GetLists(); l != nil {
		p.lists.install(storeLists{
			askedAt: asked.Add(-age(l.GetAgeUs())), upstreams: fromEntries(l.GetUpstreams()), vms: fromEntries(l.GetVms()),
		})
	}
	p.cluster.evacuatedAsOf(a.GetOperatorsRevision(), a.GetEvacuated())
	found := map[model.VMID]memberEntry{}
	for _, m := range a.GetMembers() {
		found[model.VMID(m.GetVm())] = memberEntry{Address: m.GetAddress(), Zone: model.Zone(m.GetZone()), Capacity: m.GetCapacity()}
	}
	p.members.learn(found, false)
	if e, told := found[vm]; told {
		p.members.learn(map[model.VMID]memberEntry{vm: e}, true)
	}
	for _, c := range a.GetContacts() {
		p.duty.contact(model.UpstreamID(c.GetUpstream()), asked.Add(-age(c.GetAgeUs())))
	}
	p.report(asked, vm, a)
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	for _, e := range a.GetEvidence() {
		p.evidence(asked, e)
	}
}

// report takes over the demands that a peer tells: its own, the sum of all other
// VMs that a hub has made for this VM, or that of another zone.
func (p *peers) report(asked model.Time, vm model.VMID, a *vmlinkv1.ObserveResponse) {
	report := quota.Report{
		VM: vm, Incarnation: a.GetIncarnation(), VMs: int(a.GetVms()), Demands: fromDemands(a.GetDemands()),
	}
	shape := p.members.topology()
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !shape.large:
		p.cluster.quota.AddReport(asked, &report)
	case shape.hub:
		if zone := shape.zones[vm]; zone != p.options.Zone {
			p.summary.AddZoneReport(asked, zone, &report)
		}
	case p.source == vm || p.source == "" || asked.Sub(p.sourceAt) > sourceSilence:
		p.source, p.sourceAt = vm, asked
		report.VM = quota.Others
		p.cluster.quota.AddReport(asked, &report)
	}
}

func fromDemands(list []*vmlinkv1.Demand) []quota.Demand {
	demands := make([]quota.Demand, 0, len(list))
	for _, d := range list {
		demands = append(demands, quota.Demand{
			Workspace: model.Workspace(d.GetWorkspace()), PerSecond: d.GetPerSecond(), Admitted: d.GetAdmitted(),
		})
	}
	return demands
}

func toDemands(list []quota.Demand) []*vmlinkv1.Demand {
	demands := make([]*vmlinkv1.Demand, 0, len(list))
	for _, d := range list {
		demands = append(demands, &vmlinkv1.Demand{Workspace: string(d.Workspace), PerSecond: d.PerSecond, Admitted: d.Admitted})
	}
	return demands
}

func age(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }

func (p *peers) evidence(asked model.Time, e *vmlinkv1.Evidence) {
	at := asked.Add(-age(e.GetAgeUs()))
	service := catalog.Service(e.GetService())
	position := model.Position{Term: model.Term{Counter: e.GetPositionTerm()}, Pos: model.LogPos(e.GetPosition())}
	if e.GetPrimary() != "" {
		p.cluster.applyLocked(&replicaset.Event{
			Kind: replicaset.EventPrimary, Service: service, Upstream: model.UpstreamID(e.GetPrimary()), Term: e.GetTerm(), SentAt: at,
		})
	}
	p.cluster.applyLocked(&replicaset.Event{
		Kind: replicaset.EventEvidence, Service: service, Position: position, Term: e.GetTerm(), SentAt: at,
	})
}
