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
	"github.com/chervilhatch/chervilhatch/panics"
	"github.com/chervilhatch/chervilhatch/pause"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
)

// contactRetention is the maximum age of a contact with an upstream that is reported
// to peers.
const contactRetention = 5 * time.Second

// peers polls the other VMs for what they know (Observe), and answers their polls; it
// implements the VMLink service.
type peers struct {
	vmlinkv1.UnimplementedVMLinkServer

	options     Options
	cluster     *cluster
	members     *members
	lists       *lists
	transitions *transitions
	usage       *usageReports
	log         zerolog.Logger

	// links has the connections to other VMs, shared with forwarder.
	links *links

	// mu guards the fields below. It is locked after cluster.mu.
	mu sync.Mutex
	// requestInFlight has the addresses of peers with an unanswered Observe call.
	requestInFlight map[string]bool
	// promisesAskedAt is when askForPromises last polled, 0 if it never has.
	promisesAskedAt model.Time
	// demands are the rates and counts of operations that reach this VM, by workspace,
	// as of the last publishDemands.
	demands []quota.Demand
	// summary sums the reports of the VMs in this zone and those of the other zones
	// while this VM is a hub.
	summary *quota.Summary
	// followedHub is the hub whose sums this VM uses if it follows hubs, and
	// followedHubAt the time of its last report. A VM uses one hub at a time, because
	// each hub counts admitted operations from its own start.
	followedHub   model.VMID
	followedHubAt model.Time
}

func newPeers(o Options, c *cluster, m *members, l *lists, t *transitions, u *usageReports, links *links) *peers {
	return &peers{
		options: o, cluster: c, members: m, lists: l, transitions: t, usage: u, log: o.Log, summary: quota.NewSummary(m.incarnation),
		links: links, requestInFlight: map[string]bool{},
	}
}

// run polls all neighbors at each interval until ctx ends.
func (p *peers) run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		p.publishDemands()
		targets := p.targets()
		for vm, address := range targets {
			panics.Go(p.log, "poll of a peer", func() { p.observe(ctx, vm, address) })
		}
		p.closeUnused(targets)
		pause.For(ctx, p.interval(round))
	}
	p.links.retain(nil)
}

// askForPromises polls the holder of the promotion lease at once, or all neighbors if the holder is
// not known, unless that was done less than promiseRefreshInterval ago.
func (p *peers) askForPromises() {
	now := boottime.Now()
	p.mu.Lock()
	due := p.promisesAskedAt == 0 || now.Sub(p.promisesAskedAt) >= promiseRefreshInterval
	if due {
		p.promisesAskedAt = now
	}
	p.mu.Unlock()
	if !due {
		return
	}
	targets, holder := p.targets(), p.transitions.knownHolder()
	for vm, address := range targets {
		if _, polled := targets[holder]; !polled || vm == holder {
			panics.Go(p.log, "poll of a peer", func() { p.observe(p.cluster.probes.ctx, vm, address) })
		}
	}
}

// interval returns the pause after the given round of polls, counted from the start.
func (p *peers) interval(round int) time.Duration {
	if round < initialObserveRounds || round < maxInitialObserveRounds && p.members.startingUp() {
		return initialObserveInterval
	}
	return observeInterval
}

// publishDemands measures the demand on this VM, which peers get with the next poll. A
// hub adds it to its summary and takes the sum over all other VMs from there.
func (p *peers) publishDemands() {
	now := boottime.Now()
	topo := p.members.topology()
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	demands := p.cluster.quota.Tick(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demands = demands
	if !topo.hub {
		return
	}
	p.summary.AddReport(now, &quota.Report{VM: p.options.VM, Incarnation: p.members.incarnation, Demands: demands})
	others := p.summary.OthersOf(now, p.options.VM, nil)
	p.cluster.quota.AddReport(now, &others)
}

// targets returns the addresses to poll by VM: those of the neighbors or, while no
// other VM is known, those of the seeds, with placeholders for the unknown VM IDs.
func (p *peers) targets() map[model.VMID]string {
	addresses := maps.Clone(p.members.topology().neighbors)
	if len(addresses) > 0 {
		return addresses
	}
	addresses = map[model.VMID]string{}
	for _, address := range p.options.Seeds {
		if address != p.options.PeerAddress {
			addresses[model.VMID("seed "+address)] = address
		}
	}
	return addresses
}

// closeUnused closes the connections to VMs that are neither in targets nor holders.
func (p *peers) closeUnused(targets map[model.VMID]string) {
	wanted := map[string]bool{}
	for _, address := range targets {
		wanted[address] = true
	}
	for _, h := range p.members.holders() {
		wanted[h.address] = true
	}
	p.links.retain(wanted)
}

// conn returns the connection to a peer and marks a request to it as in flight, or
// returns nil if one already is.
func (p *peers) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requestInFlight[address] {
		return nil, nil
	}
	conn, err := p.links.get(address)
	if err != nil {
		return nil, err
	}
	p.requestInFlight[address] = true
	return conn, nil
}

// observe polls one peer and applies its answer.
func (p *peers) observe(ctx context.Context, vm model.VMID, address string) {
	conn, err := p.conn(address)
	if err != nil {
		p.log.Error().Err(err).Str("address", address).Msg("cannot create gRPC client for peer")
		return
	}
	if conn == nil {
		return
	}
	defer func() {
		p.mu.Lock()
		delete(p.requestInFlight, address)
		p.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	version, _ := p.cluster.storedConfig()
	request := &vmlinkv1.ObserveRequest{
		Vm: string(p.options.VM), ConfigVersion: version, Address: p.options.PeerAddress, Zone: string(p.options.Zone),
		ListsAgeUs: uint64(p.lists.age().Microseconds()), Incarnation: p.members.incarnation,
	}
	if topo := p.members.topology(); topo.large && !topo.hub {
		p.mu.Lock()
		request.Demands = toDemands(p.demands)
		p.mu.Unlock()
	}
	request.ListsDigest, request.AcceptsGzip = p.lists.digest(), true
	p.usage.addRequest(vm, request)
	requestSentAt := boottime.Now()
	answer, err := vmlinkv1.NewVMLinkClient(conn).Observe(ctx, request)
	if err != nil {
		// No other action is needed: the age of the last answer shows the failure.
		p.log.Debug().Err(err).Str("address", address).Msg("peer did not answer")
		return
	}
	p.handleAnswer(requestSentAt, request.ListsDigest, answer)
	p.usage.applyAnswer(requestSentAt, request, answer)
}

// handleAnswer applies what a peer knows. listsDigest is the digest in the request. The ages in an answer are counted back from
// the time when the request was sent, so that no delay makes information look newer
// than it is.
func (p *peers) handleAnswer(requestSentAt model.Time, listsDigest uint64, a *vmlinkv1.ObserveResponse) {
	vm := model.VMID(a.GetVm())
	p.members.recordAnswer(vm, requestSentAt, a.GetIsolated())
	p.transitions.handleAnswer(vm, model.VMID(a.GetDutyHolder()), requestSentAt)
	if config := p.receivedConfig(a); len(config) > 0 {
		p.cluster.install(config, "peer "+a.GetVm())
	}
	switch l := a.GetLists(); {
	case l.GetUnchanged():
		p.lists.confirm(requestSentAt.Add(-age(l.GetAgeUs())), listsDigest)
	case l != nil:
		p.lists.install(storeLists{
			sentAt: requestSentAt.Add(-age(l.GetAgeUs())), upstreams: fromEntries(l.GetUpstreams()), vms: fromEntries(l.GetVms()),
		})
	}
	p.cluster.applyEvacuations(a.GetOperatorsRevision(), a.GetEvacuated())
	found := map[model.VMID]memberEntry{}
	for _, m := range a.GetMembers() {
		found[model.VMID(m.GetVm())] = memberEntry{Address: m.GetAddress(), Zone: model.Zone(m.GetZone()), Capacity: m.GetCapacity()}
	}
	p.members.addLearned(found, false)
	if e, ok := found[vm]; ok {
		p.members.addLearned(map[model.VMID]memberEntry{vm: e}, true)
	}
	for _, c := range a.GetContacts() {
		p.transitions.recordContact(model.UpstreamID(c.GetUpstream()), requestSentAt.Add(-age(c.GetAgeUs())))
	}
	for _, c := range a.GetConfirmations() {
		p.cluster.Observe(&replicaset.Event{
			Kind: replicaset.EventConfirmed, Upstream: model.UpstreamID(c.GetUpstream()), Term: c.GetTerm(), Successor: model.UpstreamID(c.GetSuccessor()),
			SentAt: requestSentAt, Until: requestSentAt.Add(age(c.GetValidUs())),
		})
	}
	for _, c := range a.GetVouchers() {
		p.cluster.applyVoucher(vm, model.UpstreamID(c.GetUpstream()), c.GetTerm(), requestSentAt, requestSentAt.Add(age(c.GetValidUs())))
	}
	if us := a.GetListsAgeUs(); us > 0 {
		p.cluster.Observe(&replicaset.Event{Kind: replicaset.EventPeerListed, VM: vm, SentAt: requestSentAt.Add(-age(us))})
	}
	p.report(requestSentAt, vm, a)
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	for _, e := range a.GetEvidence() {
		p.applyEvidence(requestSentAt, e)
	}
}

// receivedConfig returns the configuration in an answer in its stored encoding, empty if
// there is none.
func (p *peers) receivedConfig(a *vmlinkv1.ObserveResponse) []byte {
	if len(a.GetConfigGzip()) == 0 {
		return a.GetConfig()
	}
	config, err := decompress(a.GetConfigGzip())
	if err != nil {
		p.log.Error().Err(err).Str("vm", a.GetVm()).Msg("undecodable configuration ignored")
		return nil
	}
	return config
}

// report applies the demands in the answer of a peer. In a mesh they are those of the
// peer, between hubs of different zones those of the peer's zone, and from a hub to a
// VM of its zone those of all other VMs.
func (p *peers) report(requestSentAt model.Time, vm model.VMID, a *vmlinkv1.ObserveResponse) {
	report := quota.Report{
		VM: vm, Incarnation: a.GetIncarnation(), VMs: int(a.GetVms()), Demands: fromDemands(a.GetDemands()),
	}
	topo := p.members.topology()
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !topo.large:
		p.cluster.quota.AddReport(requestSentAt, &report)
	case topo.hub:
		if zone := topo.neighborZones[vm]; zone != p.options.Zone {
			p.summary.AddZoneReport(requestSentAt, zone, &report)
		}
	case p.followedHub == vm || p.followedHub == "" || requestSentAt.Sub(p.followedHubAt) > hubTimeout:
		p.followedHub, p.followedHubAt = vm, requestSentAt
		report.VM = quota.Others
		p.cluster.quota.AddReport(requestSentAt, &report)
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

// age converts an age in microseconds, as sent by peers.
func age(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }

// position converts a log position, as sent by peers.
func position(term, number uint64) model.Position {
	return model.Position{Term: model.Term{Counter: term}, Pos: model.LogPos(number)}
}

// applyEvidence applies a peer's evidence for a service, and which primary the peer
// knows. The caller holds cluster.mu.
func (p *peers) applyEvidence(requestSentAt model.Time, e *vmlinkv1.Evidence) {
	at := requestSentAt.Add(-age(e.GetAgeUs()))
	service := catalog.Service(e.GetService())
	if e.GetPrimary() != "" {
		p.cluster.applyLocked(&replicaset.Event{
			Kind: replicaset.EventPrimary, Service: service, Upstream: model.UpstreamID(e.GetPrimary()), Term: e.GetTerm(), SentAt: at,
		})
	}
	p.cluster.applyLocked(&replicaset.Event{
		Kind: replicaset.EventEvidence, Service: service, Position: position(e.GetPositionTerm(), e.GetPosition()), Term: e.GetTerm(), SentAt: at,
	})
	p.cluster.applyLocked(&replicaset.Event{
		Kind: replicaset.EventPassedOn, Service: service, Position: position(e.GetPassedOnTerm(), e.GetPassedOn()),
	})
}
