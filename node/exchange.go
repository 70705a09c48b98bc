package node

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/confsync"
	"github.com/chervilhatch/chervilhatch/core/failover"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/peer"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// maxForwardedAge is the age above which a relay no longer forwards a report.
const maxForwardedAge = 5 * time.Second

// exchange implements peer.StateHandler: it sends this VM's reports to peers and
// applies the reports that it receives. A relay also forwards reports between its
// zone and the other zones.
type exchange struct {
	node *Node
	reportCache
}

var _ peer.StateHandler = (*exchange)(nil)

// Now implements peer.StateHandler.
func (x *exchange) Now() model.Time { return x.node.loop.clock.Now() }

// Compose implements peer.StateHandler.
func (x *exchange) Compose(vm model.VMID, l *peer.Link) *peerv1.ExchangeMessage {
	n := x.node
	m := &peerv1.ExchangeMessage{Vm: string(n.self), Zone: string(n.zone)}
	n.loop.view(func(now model.Time, s *core.State) {
		m.Config = append(m.Config, x.ownConfigReport(now, s))
		everyMessage := s.Membership.IsRelay() || n.directory.zoneOf(vm) == n.zone
		x.addRecordReports(now, s, l, m, everyMessage)
		if s.Membership.IsRelay() {
			x.storeSummary(x.summary(s))
		}
		if l.TakeIncludeConfig() {
			m.ConfigVersion = s.Confsync.Version()
			m.ConfigDocument = s.Confsync.Document()
		}
	})
	if n.relay.active() {
		x.addForwardedReports(vm, m)
		x.addSummaries(vm, l, m)
	}
	m.Health = x.healthReports(n.self, x.Now(), n.sharedDatabasesWith(vm))
	if list := n.directory.list(); l.MarkVersionSent("vms", list.GetVersion()) {
		m.Vms = list
	}
	return m
}

func (x *exchange) ownConfigReport(now model.Time, s *core.State) *peerv1.ConfigReport {
	r := &peerv1.ConfigReport{Vm: string(x.node.self), Zone: string(x.node.zone), Version: s.Confsync.Version()}
	if age, ok := s.Confsync.ConfirmedAge(now); ok {
		r.HasEvidence = true
		r.AgeUs = age.Microseconds()
	}
	if age, ok := s.Confsync.StoreUnreachableAge(x.node.zone, now); ok {
		r.StoreUnreachable = true
		r.UnreachableAgeUs = age.Microseconds()
	}
	return r
}

// addRecordReports adds reports about zone records. The record of this VM's zone
// is sent in every message if everyMessage is set, that is to all peers of a relay
// and to peers in the same zone, and otherwise once per epoch: a VM that knows
// only an old record of another zone may have no stream to that zone's relay, and
// gets the newer record this way. A relay also sends the record of another zone
// once per epoch and stream, and in every message while that record has no
// members, because the owners of such a zone's seats depend on these reports for
// their confirmation.
func (x *exchange) addRecordReports(now model.Time, s *core.State, l *peer.Link, m *peerv1.ExchangeMessage, everyMessage bool) {
	zones := []model.Zone{x.node.zone}
	if s.Membership.IsRelay() {
		zones = x.node.zones()
	}
	for _, zone := range zones {
		r := s.Membership.Report(now, zone)
		first := l.MarkVersionSent("record "+string(zone), r.Record.Epoch)
		if first || (everyMessage && zone == x.node.zone) || len(r.Record.Members) == 0 {
			m.Records = append(m.Records, recordReport(r, first))
		}
	}
}

// maxOwnEvidenceAge is the age of a relay's own evidence above which the relay
// also forwards the reports of other VMs. Always forwarding all of them would cost
// traffic that grows with the square of the number of VMs.
const maxOwnEvidenceAge = 1500 * time.Millisecond

// addSummaries adds the zone summaries that changed since they were last sent on
// the stream: all zones' to a VM of this zone, only this zone's to other relays.
func (x *exchange) addSummaries(vm model.VMID, l *peer.Link, m *peerv1.ExchangeMessage) {
	own := x.node.directory.zoneOf(vm) == x.node.zone
	for _, s := range x.summaries() {
		if !own && s.GetZone() != string(x.node.zone) {
			continue
		}
		encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
		if err == nil && l.MarkHashSent("summary "+s.GetZone(), xxhash.Sum64(encoded)) {
			m.Summaries = append(m.Summaries, s)
		}
	}
}

// evidenceExpired reports whether the relay's own evidence for the configuration
// and its own confirmation of the zone's record are too old for the VMs of its
// zone to rely on. Evidence for the configuration also counts as expired while
// the relay cannot reach the store and reports an outage of it.
func (x *exchange) evidenceExpired() (config, record bool) {
	x.node.loop.view(func(now model.Time, s *core.State) {
		age, ok := s.Confsync.ConfirmedAge(now)
		config = !ok || age > maxOwnEvidenceAge
		_, outage := s.Confsync.StoreUnreachableAge(x.node.zone, now)
		_, failing := x.node.relay.unreachableSince()
		config = config || (outage && failing)
		r := s.Membership.Report(now, x.node.zone)
		record = !r.Confirmed || r.RecordAge > maxOwnEvidenceAge
	})
	return config, record
}

func recordReport(r membership.Report, withMembers bool) *peerv1.RecordReport {
	record := &peerv1.ZoneRecord{Zone: string(r.Record.Zone), Epoch: r.Record.Epoch}
	if withMembers {
		for _, member := range r.Record.Members {
			record.Members = append(record.Members, &peerv1.Member{Vm: string(member.VM), Incarnation: member.Incarnation})
		}
	}
	return &peerv1.RecordReport{
		Vm:            string(r.From),
		VmZone:        string(r.FromZone),
		Zone:          string(r.Record.Zone),
		Incarnation:   r.Incarnation,
		Record:        record,
		Confirmed:     r.Confirmed,
		RecordAgeUs:   r.RecordAge.Microseconds(),
		Steady:        r.Steady,
		SteadyAgeUs:   r.SteadyAge.Microseconds(),
		ReleasedEpoch: r.ReleasedEpoch,
	}
}

// summary returns the configuration version that this VM has and the VMs of its
// zone that are not known to have it.
func (x *exchange) summary(s *core.State) *peerv1.ZoneSummary {
	out := &peerv1.ZoneSummary{Zone: string(x.node.zone), MinVersion: s.Confsync.Version()}
	_, missing := s.Confsync.Progress(out.MinVersion)
	for _, vm := range missing {
		if x.node.directory.zoneOf(vm) == x.node.zone {
			out.Lagging = append(out.Lagging, string(vm))
		}
	}
	return out
}

// addForwardedReports adds the reports of other VMs that a relay forwards to a VM
// of its zone while its own evidence has expired: configuration reports of the
// other zones and record reports of the zone's members.
func (x *exchange) addForwardedReports(vm model.VMID, m *peerv1.ExchangeMessage) {
	if x.node.directory.zoneOf(vm) != x.node.zone {
		return
	}
	now := x.Now()
	config, record := x.evidenceExpired()
	if config {
		x.forwardConfigReports(vm, now, m)
	}
	if record {
		x.forwardRecordReports(vm, now, m)
	}
}

// forwardConfigReports adds the configuration reports received from other zones.
func (x *exchange) forwardConfigReports(vm model.VMID, now model.Time, m *peerv1.ExchangeMessage) {
	for _, h := range x.recentConfigReports(now) {
		if h.report.GetVm() == string(vm) || h.report.GetZone() == string(x.node.zone) {
			continue
		}
		r := copyConfigReport(h.report)
		age := now.Sub(h.at)
		r.AgeUs += age.Microseconds()
		r.UnreachableAgeUs += age.Microseconds()
		m.Config = append(m.Config, r)
	}
}

// forwardRecordReports adds the record reports of the zone's other members.
func (x *exchange) forwardRecordReports(vm model.VMID, now model.Time, m *peerv1.ExchangeMessage) {
	for _, h := range x.recentRecordReports(now) {
		if h.report.GetVm() == string(vm) || h.report.GetVmZone() != string(x.node.zone) {
			continue
		}
		r := copyRecordReport(h.report)
		r.ReportAgeUs += now.Sub(h.at).Microseconds()
		m.Records = append(m.Records, r)
	}
}

// Received implements peer.StateHandler.
func (x *exchange) Received(m *peerv1.ExchangeMessage, sentAt model.Time, ok bool) {
	n := x.node
	if list := m.GetVms(); list != nil {
		n.directory.update(list)
	}
	if len(m.GetConfigDocument()) > 0 {
		x.applyDocument(m)
	}
	for _, r := range m.GetConfig() {
		x.applyConfigReport(r, sentAt, ok)
	}
	for _, r := range m.GetRecords() {
		x.applyRecordReport(r, sentAt, ok)
	}
	for _, r := range m.GetHealth() {
		x.applyHealthReport(r)
	}
	for _, s := range m.GetSummaries() {
		x.applySummary(s)
	}
}

func (x *exchange) applyDocument(m *peerv1.ExchangeMessage) {
	record, err := config.DecodeRecord(m.GetConfigDocument())
	if err != nil {
		countMetric(x.node.metrics, "config.malformed")
		return
	}
	document, list := record.Parse()
	if len(list) > 0 {
		countMetric(x.node.metrics, "config.malformed")
		return
	}
	x.node.loop.apply(&core.Event{Confsync: &confsync.Event{
		Kind:     confsync.PeerDocument,
		VM:       model.VMID(m.GetVm()),
		Version:  record.Version,
		Document: m.GetConfigDocument(),
		Config:   document,
	}})
}

func (x *exchange) applyConfigReport(r *peerv1.ConfigReport, sentAt model.Time, ok bool) {
	if r.GetVm() == string(x.node.self) {
		return
	}
	ev := confsync.Event{
		Kind:    confsync.PeerReport,
		VM:      model.VMID(r.GetVm()),
		Zone:    model.Zone(r.GetZone()),
		Version: r.GetVersion(),
	}
	if ok {
		ev.HasEvidence = r.GetHasEvidence()
		ev.At = sentAt.Add(-microseconds(r.GetAgeUs()))
		ev.StoreUnreachable = r.GetStoreUnreachable()
		ev.UnreachableAt = sentAt.Add(-microseconds(r.GetUnreachableAgeUs()))
		x.storeConfigReport(r, sentAt)
	}
	x.node.loop.apply(&core.Event{Confsync: &ev})
}

func (x *exchange) applyRecordReport(r *peerv1.RecordReport, sentAt model.Time, ok bool) {
	if r.GetVm() == string(x.node.self) {
		return
	}
	record := recordFromProto(r.GetRecord())
	if len(record.Members) > 0 {
		x.node.loop.apply(&core.Event{Membership: &membership.Event{Kind: membership.EventRecordSeen, Record: record}})
	}
	if !ok {
		return
	}
	x.storeRecordReport(r, sentAt)
	ev := membership.Event{
		Kind:   membership.EventReport,
		SentAt: sentAt.Add(-microseconds(r.GetReportAgeUs())),
		Report: membership.Report{
			From:          model.VMID(r.GetVm()),
			FromZone:      model.Zone(r.GetVmZone()),
			Incarnation:   r.GetIncarnation(),
			Record:        x.fillMembers(record),
			Confirmed:     r.GetConfirmed(),
			RecordAge:     microseconds(r.GetRecordAgeUs()),
			Steady:        r.GetSteady(),
			SteadyAge:     microseconds(r.GetSteadyAgeUs()),
			ReleasedEpoch: r.GetReleasedEpoch(),
		},
	}
	x.node.loop.apply(&core.Event{Membership: &ev})
}

// fillMembers adds the members to a record that was reported by epoch only, since
// its members were sent earlier on the stream.
func (x *exchange) fillMembers(r membership.Record) membership.Record {
	if len(r.Members) > 0 {
		return r
	}
	x.node.loop.view(func(_ model.Time, s *core.State) {
		if known := s.Membership.Record(r.Zone); known.Epoch == r.Epoch {
			r = known
		}
	})
	return r
}

func recordFromProto(m *peerv1.ZoneRecord) membership.Record {
	r := membership.Record{Zone: model.Zone(m.GetZone()), Epoch: m.GetEpoch()}
	for _, member := range m.GetMembers() {
		r.Members = append(r.Members, membership.Member{VM: model.VMID(member.GetVm()), Incarnation: member.GetIncarnation()})
	}
	return r
}

func (x *exchange) applyHealthReport(r *peerv1.HealthReport) {
	term := r.GetTerm()
	ev := failover.Event{
		Kind:     failover.PeerHealth,
		Database: model.Database(r.GetDatabase()),
		From:     model.VMID(r.GetVm()),
		Primary:  model.UpstreamID(r.GetPrimary()),
		Term:     model.Term{Counter: term.GetCounter(), Proposer: term.GetProposer()},
		Age:      microseconds(r.GetLastAnswerUs()),
	}
	x.node.loop.apply(&core.Event{Failover: &ev})
}

// applySummary records which VMs of a zone have a configuration version.
func (x *exchange) applySummary(m *peerv1.ZoneSummary) {
	zone := model.Zone(m.GetZone())
	if zone != x.node.zone {
		x.storeSummary(m)
	}
	lagging := map[string]bool{}
	for _, vm := range m.GetLagging() {
		lagging[vm] = true
	}
	for _, vm := range x.node.directory.vmsOf(zone) {
		if lagging[string(vm)] || vm == x.node.self {
			continue
		}
		ev := confsync.Event{Kind: confsync.VersionSeen, VM: vm, Version: m.GetMinVersion()}
		x.node.loop.apply(&core.Event{Confsync: &ev})
	}
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
