package slopes

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/confsync"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// Parameters of the exchange between VMs; they repeat those of packages peer and
// node.
const (
	// roundsPerSecond is how often each side of a stream sends a message.
	roundsPerSecond = 4
	// ownZoneStreams is the number of VMs of its own zone that a VM has streams to.
	ownZoneStreams = 3
	// remoteZoneStreams is the number of VMs of each other zone that a relay has
	// streams to.
	remoteZoneStreams = 2
	// stateDatabases is the number of databases in the configuration in force.
	stateDatabases = 3
)

// zone simulates the exchange of reports in a zone of VMs, with the real states of
// its relay and of one other member.
type zone struct {
	vms, zones    int
	relay, member *core.State
	outage        bool
	records       []*peerv1.RecordReport
	effects       core.Effects
	now           model.Time
	bytes         int
}

func vmName(zone, i int) model.VMID { return model.VMID(fmt.Sprintf("vm-%02d-%04d", zone, i)) }

func newZone(vms, zones int, outage bool) (*zone, error) {
	z := &zone{vms: vms, zones: zones, outage: outage, now: model.Time(time.Second)}
	text, document, err := parsedDocument(stateDatabases, max(zones, groupSize))
	if err != nil {
		return nil, err
	}
	z.relay = z.newState(0)
	z.member = z.newState(vms - 1)
	for _, s := range []*core.State{z.relay, z.member} {
		z.apply(s, &core.Event{Confsync: &confsync.Event{
			Kind: confsync.StoreRead, Version: 1, Document: text, Config: document, At: z.now,
		}})
	}
	for i := range vms {
		z.records = append(z.records, recordReport(0, i))
	}
	return z, nil
}

// newState returns the state of the i-th VM of the zone, which knows all others.
func (z *zone) newState(i int) *core.State {
	s := core.New(core.Config{Self: vmName(0, i), Zone: zoneName(0), Incarnation: 1})
	list := membership.Event{Kind: membership.EventVMList, Version: 1}
	live := confsync.Event{Kind: confsync.Members}
	record := membership.Record{Zone: zoneName(0), Epoch: 1}
	for n := range z.zones {
		for k := range z.vms {
			list.VMs = append(list.VMs, membership.VM{ID: vmName(n, k), Zone: zoneName(n)})
			live.Members = append(live.Members, confsync.Member{VM: vmName(n, k), Zone: zoneName(n)})
		}
	}
	for k := range z.vms {
		record.Members = append(record.Members, membership.Member{VM: vmName(0, k), Incarnation: 1})
	}
	z.apply(s, &core.Event{Membership: &list})
	z.apply(s, &core.Event{Confsync: &live})
	z.apply(s, &core.Event{Membership: &membership.Event{Kind: membership.EventRecordRead, Record: record, Revision: 1, SentAt: z.now}})
	return s
}

func (z *zone) apply(s *core.State, ev *core.Event) {
	z.effects.Reset()
	s.Apply(z.now, ev, &z.effects)
}

func configReport(zone, i int) *peerv1.ConfigReport {
	return &peerv1.ConfigReport{Vm: string(vmName(zone, i)), Zone: string(zoneName(zone)), Version: 1, HasEvidence: true, AgeUs: 350000}
}

func recordReport(zone, i int) *peerv1.RecordReport {
	return &peerv1.RecordReport{
		Vm: string(vmName(zone, i)), VmZone: string(zoneName(zone)), Zone: string(zoneName(zone)), Incarnation: 1,
		Record:    &peerv1.ZoneRecord{Zone: string(zoneName(zone)), Epoch: 1},
		Confirmed: true, RecordAgeUs: 350000, Steady: true, SteadyAgeUs: 1000,
	}
}

// ownMessage returns the message with which a VM reports its own state.
func ownMessage(zone, i int) *peerv1.ExchangeMessage {
	return &peerv1.ExchangeMessage{
		Vm: string(vmName(zone, i)), Zone: string(zoneName(zone)),
		Config:  []*peerv1.ConfigReport{configReport(zone, i)},
		Records: []*peerv1.RecordReport{recordReport(zone, i)},
	}
}

// relayMessage returns the relay's message to a member: its own reports and, during
// an outage of the store, copies of the record reports of all members of its zone
// and of the configuration reports of the other relays.
func (z *zone) relayMessage() *peerv1.ExchangeMessage {
	m := ownMessage(0, 0)
	if !z.outage {
		return m
	}
	for i := range z.vms {
		m.Records = append(m.Records, proto.Clone(z.records[i]).(*peerv1.RecordReport))
	}
	for n := 1; n < z.zones; n++ {
		m.Config = append(m.Config, configReport(n, 0))
	}
	return m
}

func (z *zone) encode(m *peerv1.ExchangeMessage) []byte {
	// Encoding cannot fail: all strings in these messages are valid UTF-8.
	data, _ := proto.Marshal(m)
	z.bytes += len(data)
	return data
}

// receive decodes a message and applies its reports.
func (z *zone) receive(s *core.State, data []byte) {
	m := &peerv1.ExchangeMessage{}
	if proto.Unmarshal(data, m) != nil {
		return
	}
	for _, r := range m.GetConfig() {
		z.apply(s, &core.Event{Confsync: &confsync.Event{
			Kind: confsync.PeerReport, VM: model.VMID(r.GetVm()), Zone: model.Zone(r.GetZone()),
			Version: r.GetVersion(), HasEvidence: r.GetHasEvidence(), At: z.now,
		}})
	}
	for _, r := range m.GetRecords() {
		z.apply(s, &core.Event{Membership: &membership.Event{Kind: membership.EventReport, SentAt: z.now, Report: z.report(s, r)}})
	}
}

func (z *zone) report(s *core.State, r *peerv1.RecordReport) membership.Report {
	return membership.Report{
		From: model.VMID(r.GetVm()), FromZone: model.Zone(r.GetVmZone()), Incarnation: r.GetIncarnation(),
		Record:    s.Membership.Record(model.Zone(r.GetZone())),
		Confirmed: r.GetConfirmed(), RecordAge: time.Duration(r.GetRecordAgeUs()) * time.Microsecond,
		Steady: r.GetSteady(), SteadyAge: time.Duration(r.GetSteadyAgeUs()) * time.Microsecond,
	}
}

// relayRound performs one round of the relay: it receives a message from every
// member and from the other relays, and sends one to each.
func (z *zone) relayRound() {
	z.now = z.now.Add(time.Second / roundsPerSecond)
	for i := 1; i < z.vms; i++ {
		z.receive(z.relay, z.encode(ownMessage(0, i)))
		z.encode(z.relayMessage())
	}
	for n := 1; n < z.zones; n++ {
		for range remoteZoneStreams {
			z.receive(z.relay, z.encode(ownMessage(n, 0)))
			z.encode(ownMessage(0, 0))
		}
	}
}

// memberRound performs one round of a VM that is not the relay.
func (z *zone) memberRound() {
	z.now = z.now.Add(time.Second / roundsPerSecond)
	z.receive(z.member, z.encode(z.relayMessage()))
	for range ownZoneStreams {
		z.encode(ownMessage(0, z.vms-1))
	}
	for range ownZoneStreams - 1 {
		z.receive(z.member, z.encode(ownMessage(0, 1)))
	}
}

// ExchangeByVMs measures the cost of the exchange as a function of the number of
// VMs in a zone, with the store reachable or during an outage of it.
func ExchangeByVMs(sizes []int, outage bool) (Slope, error) {
	const zones = 4
	name := "Exchange by VMs in a zone"
	if outage {
		name += ", store outage"
	}
	return exchange(name, "VMs in the zone (4 zones)", sizes, func(n int) (*zone, error) { return newZone(n, zones, outage) })
}

// ExchangeByZones measures the cost of the exchange as a function of the number of
// zones.
func ExchangeByZones(sizes []int) (Slope, error) {
	const vms = 20
	return exchange("Exchange by zones", "zones (20 VMs each)", sizes, func(n int) (*zone, error) { return newZone(vms, n, false) })
}

func exchange(name, size string, sizes []int, create func(int) (*zone, error)) (Slope, error) {
	s := Slope{
		Name: name, Size: size,
		Columns: []string{"relay, ms of processor time a second", "relay, KB a second", "other VM, ms a second", "other VM, KB a second"},
		Note: "Messages are composed as packages peer and node do, 4 a second on each stream, encoded, decoded and applied to the " +
			"states of a relay and of one other VM; bytes count both directions without gRPC and TLS, whose cost is not included. " +
			"During an outage of the store the relay sends the reports of all VMs of its zone to each of them, so its cost " +
			"then grows with the square of their number. " +
			"A VM's member column includes composing the relay's message, so it is an upper bound.",
	}
	for _, n := range sizes {
		z, err := create(n)
		if err != nil {
			return s, err
		}
		row := Row{Size: float64(n)}
		for _, round := range []func(){z.relayRound, z.memberRound} {
			z.bytes = 0
			round()
			bytes := z.bytes
			row.Costs = append(row.Costs, milliseconds(cost(round))*roundsPerSecond, float64(bytes*roundsPerSecond)/1000)
		}
		s.Rows = append(s.Rows, row)
	}
	return s, nil
}
