package linenode

import (
	"context"
	"errors"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/promotion"
	"github.com/chervilhatch/chervilhatch/core/quota"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
	"github.com/chervilhatch/chervilhatch/store"
)

// Observe answers the poll of a peer with what this VM knows and the peer does not
// have yet. In a mesh it also adds the peer to the known VMs.
func (p *peers) Observe(_ context.Context, r *vmlinkv1.ObserveRequest) (*vmlinkv1.ObserveResponse, error) {
	topo := p.members.topology()
	if r.GetAddress() != "" && !topo.large {
		e := memberEntry{Address: r.GetAddress(), Zone: model.Zone(r.GetZone())}
		p.members.addLearned(map[model.VMID]memberEntry{model.VMID(r.GetVm()): e}, true)
	}
	a := &vmlinkv1.ObserveResponse{
		Vm: string(p.options.VM), DutyHolder: string(p.transitions.leaseHolder()), Incarnation: p.members.incarnation, Isolated: p.members.isolated(),
		ListsAgeUs: uint64(p.lists.age().Microseconds()),
	}
	version, raw := p.cluster.storedConfig()
	a.ConfigVersion = version
	switch {
	case version <= r.GetConfigVersion():
	case r.GetAcceptsGzip():
		a.ConfigGzip = p.cluster.compressedConfig()
	default:
		a.Config = raw
	}
	a.OperatorsRevision, a.Evacuated = p.cluster.evacuations()
	p.addDemands(&topo, r, a)
	p.addMembers(&topo, a)
	if l, newer := p.lists.newerThan(age(r.GetListsAgeUs())); newer {
		a.Lists = &vmlinkv1.Lists{AgeUs: uint64(boottime.Now().Sub(l.sentAt).Microseconds()), Unchanged: l.digest == r.GetListsDigest()}
		if !a.Lists.Unchanged {
			a.Lists.Upstreams, a.Lists.Vms = toEntries(l.upstreams), toEntries(l.vms)
		}
	}
	p.addUpstreamState(a)
	p.addConfirmations(model.VMID(r.GetVm()), a)
	p.usage.answer(r, a)
	return a, nil
}

// addConfirmations adds the confirmations of this VM if it holds the promotion lease,
// and its vouchers, to the answer to vm.
func (p *peers) addConfirmations(vm model.VMID, a *vmlinkv1.ObserveResponse) {
	for _, c := range p.transitions.confirmations(vm) {
		a.Confirmations = append(a.Confirmations, &vmlinkv1.Confirmation{
			Service: string(c.Service), Upstream: string(c.Upstream), Term: c.Term, Successor: string(c.Successor),
			ValidUs: uint64(promotion.ConfirmationTTL.Microseconds()),
		})
	}
	for _, v := range p.cluster.vouchers() {
		a.Vouchers = append(a.Vouchers, &vmlinkv1.Confirmation{
			Service: string(v.Service), Upstream: string(v.Upstream), Term: v.Term, ValidUs: uint64(v.Valid.Microseconds()),
		})
	}
}

// addDemands adds the demands that the requesting VM needs to the answer a. A VM that
// is not a hub sends its own. A hub adds the report in the request to its summary if
// the VM is in its zone, and sends the sum of all other VMs. To VMs of other zones, and
// to those that send no report, it sends the sum of its zone.
func (p *peers) addDemands(topo *topology, r *vmlinkv1.ObserveRequest, a *vmlinkv1.ObserveResponse) {
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !topo.hub {
		a.Vms, a.Demands = 1, toDemands(p.demands)
		return
	}
	if r.GetZone() != string(p.options.Zone) || len(r.GetDemands()) == 0 && r.GetIncarnation() == 0 {
		zone := p.summary.Zone(now, p.options.VM)
		a.Vms, a.Demands = uint64(zone.VMs), toDemands(zone.Demands)
		return
	}
	report := quota.Report{VM: model.VMID(r.GetVm()), Incarnation: r.GetIncarnation(), Demands: fromDemands(r.GetDemands())}
	p.summary.AddReport(now, &report)
	others := p.summary.OthersOf(now, report.VM, report.Demands)
	a.Vms, a.Demands = uint64(others.VMs), toDemands(others.Demands)
}

// addMembers adds the VMs that this one knows to the answer; in a large deployment
// only itself, since the lists have the others.
func (p *peers) addMembers(topo *topology, a *vmlinkv1.ObserveResponse) {
	for vm, e := range p.members.all() {
		if topo.large && vm != p.options.VM {
			continue
		}
		a.Members = append(a.Members, &vmlinkv1.Member{
			Vm: string(vm), Address: e.Address, Zone: string(e.Zone), Capacity: e.Capacity,
		})
	}
}

func toEntries(kvs []store.KeyValue) []*vmlinkv1.Entry {
	entries := make([]*vmlinkv1.Entry, len(kvs))
	for i := range kvs {
		entries[i] = &vmlinkv1.Entry{Key: kvs[i].Key, Value: kvs[i].Value, Revision: kvs[i].ModRevision}
	}
	return entries
}

func fromEntries(entries []*vmlinkv1.Entry) []store.KeyValue {
	kvs := make([]store.KeyValue, len(entries))
	for i, e := range entries {
		kvs[i] = store.KeyValue{Key: e.GetKey(), Value: e.GetValue(), ModRevision: e.GetRevision()}
	}
	return kvs
}

// announce tells the other VMs of a new primary if this VM holds the promotion lease.
// It does nothing on other VMs, since their peers learn of it as fast from their own
// requests.
func (p *peers) announce(service catalog.Service, primary model.UpstreamID, term uint64) {
	if !p.transitions.holdsLease() {
		return
	}
	request := &vmlinkv1.AnnounceRequest{Service: string(service), Primary: string(primary), Term: term}
	for address, link := range p.links.all() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), observeTimeout)
			defer cancel()
			if _, err := vmlinkv1.NewVMLinkClient(link).Announce(ctx, request); err != nil {
				// The peer learns of the primary with its next poll.
				p.log.Debug().Err(err).Str("address", address).Msg("announcement of the new primary not delivered")
			}
		}()
	}
}

// Announce applies the new primary that a peer announces.
func (p *peers) Announce(_ context.Context, r *vmlinkv1.AnnounceRequest) (*vmlinkv1.AnnounceResponse, error) {
	p.cluster.Observe(&replicaset.Event{
		Kind: replicaset.EventPrimary, Service: catalog.Service(r.GetService()),
		Upstream: model.UpstreamID(r.GetPrimary()), Term: r.GetTerm(),
	})
	return &vmlinkv1.AnnounceResponse{}, nil
}

// errNoAddress means that the address of a VM is not known.
var errNoAddress = errors.New("address of the VM not known")

// withdraw tells a VM that the primary of a service is no longer confirmed, but for promises that
// name the successor.
func (p *peers) withdraw(ctx context.Context, service catalog.Service, successor model.UpstreamID, vm model.VMID) (promotion.Withdrawal, error) {
	e, found := p.members.all()[vm]
	if !found {
		return promotion.Withdrawal{}, errNoAddress
	}
	link, err := p.links.get(e.Address)
	if err != nil {
		return promotion.Withdrawal{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	r, err := vmlinkv1.NewVMLinkClient(link).Withdraw(ctx, &vmlinkv1.WithdrawRequest{Service: string(service), Successor: string(successor)})
	return promotion.Withdrawal{Vouched: age(r.GetVouchedUs()), PassedOn: position(r.GetPassedOnTerm(), r.GetPassedOn()), Running: age(r.GetRunningUs())}, err
}

// Withdraw ends the confirmation of a service's primary on this VM.
func (p *peers) Withdraw(_ context.Context, r *vmlinkv1.WithdrawRequest) (*vmlinkv1.WithdrawResponse, error) {
	w := p.cluster.withdrawConfirmation(catalog.Service(r.GetService()), model.UpstreamID(r.GetSuccessor()))
	if r.GetSuccessor() != "" {
		p.askForPromises()
	}
	return &vmlinkv1.WithdrawResponse{
		VouchedUs: uint64(w.Vouched.Microseconds()), PassedOnTerm: w.PassedOn.Term.Counter, PassedOn: uint64(w.PassedOn.Pos), RunningUs: uint64(w.Running.Microseconds()),
	}, nil
}

// addUpstreamState adds evidence for each service, and the times at which upstreams
// last answered this VM, to the answer.
func (p *peers) addUpstreamState(a *vmlinkv1.ObserveResponse) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	now := boottime.Now()
	for _, v := range p.cluster.viewsLocked() {
		if e, ok := p.cluster.replicas.NewestEvidence(v.Service); ok {
			evidence := &vmlinkv1.Evidence{
				Service: string(v.Service), Term: e.Term, PositionTerm: e.Position.Term.Counter,
				Position: uint64(e.Position.Pos), AgeUs: uint64(now.Sub(e.At).Microseconds()),
			}
			evidence.PassedOnTerm, evidence.PassedOn = v.PassedOn.Term.Counter, uint64(v.PassedOn.Pos)
			if v.PrimaryTerm == e.Term {
				evidence.Primary = string(v.Primary)
			}
			a.Evidence = append(a.Evidence, evidence)
		}
		for i := range v.Members {
			m := &v.Members[i]
			if m.ContactAt != 0 && now.Sub(m.ContactAt) < contactRetention {
				a.Contacts = append(a.Contacts, &vmlinkv1.Contact{
					Upstream: string(m.ID), AgeUs: uint64(now.Sub(m.ContactAt).Microseconds()),
				})
			}
		}
	}
}
