package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

func singleReport(vm string, incarnation uint64, perSecond float64, admitted uint64) *Report {
	return &Report{VM: model.VMID(vm), Incarnation: incarnation, Demands: []Demand{{Workspace: "w", PerSecond: perSecond, Admitted: admitted}}}
}

func findDemand(t *testing.T, r Report) Demand {
	t.Helper()
	for _, d := range r.Demands {
		if d.Workspace == "w" {
			return d
		}
	}
	t.Fatalf("no demand in %+v", r)
	return Demand{}
}

// Guards against sums that count a VM twice, include the requesting VM, or decrease
// when a VM or another zone's hub restarts.
func TestSummary(t *testing.T) {
	s := NewSummary(9)
	now := model.Time(time.Hour)
	s.AddReport(now, singleReport("a", 1, 10, 100))
	s.AddReport(now, singleReport("b", 1, 20, 200))
	s.AddZoneReport(now, "other", &Report{VM: "hub-1", Incarnation: 1, VMs: 3, Demands: []Demand{{Workspace: "w", PerSecond: 5, Admitted: 50}}})
	now = now.Add(300 * time.Millisecond)
	s.AddReport(now, singleReport("a", 1, 11, 104))
	s.AddReport(now, singleReport("b", 1, 21, 207))
	s.AddZoneReport(now, "other", &Report{VM: "hub-1", Incarnation: 1, VMs: 3, Demands: []Demand{{Workspace: "w", PerSecond: 6, Admitted: 53}}})
	others := s.OthersOf(now, "a", []Demand{{Workspace: "w"}})
	if d := findDemand(t, others); others.VMs != 4 || d.PerSecond != 27 || d.Admitted != 10 {
		t.Errorf("others of a: %+v", others)
	}
	zone := s.Zone(now, "hub")
	if d := findDemand(t, zone); zone.VMs != 2 || d.PerSecond != 32 || d.Admitted != 11 {
		t.Errorf("zone: %+v", zone)
	}
	s.AddReport(now, singleReport("b", 2, 1, 3))
	s.AddZoneReport(now.Add(time.Second), "other", &Report{VM: "hub-2", Incarnation: 7, VMs: 3, Demands: []Demand{{Workspace: "w", PerSecond: 6, Admitted: 9000}}})
	if d := findDemand(t, s.OthersOf(now, "a", nil)); d.Admitted != 13 {
		t.Errorf("admitted by others: %d, want 13", d.Admitted)
	}
	late := now.Add(ReportTTL + time.Millisecond)
	if r := s.OthersOf(late, "a", nil); r.VMs != 3 {
		t.Errorf("report covers %d VMs, want 3", r.VMs)
	}
}

// hubFleet simulates VMs in zones with one hub each. zone has the zone of each VM.
type hubFleet struct {
	*fleet
	hubs []*Summary
	zone []int
}

// Guards against refusals within the rate and against exceeding the rate in a
// deployment large enough to use hubs.
func TestHubsKeepTheRate(t *testing.T) {
	const n, zones = 60, 3
	for seed := range uint64(6) {
		h := &hubFleet{fleet: newFleet(t, seed, n, 200, 200)}
		for z := range zones {
			h.hubs = append(h.hubs, NewSummary(uint64(z+1)))
		}
		for i, s := range h.vms {
			h.zone = append(h.zone, i%zones)
			s.SetMembers(h.now, h.names, []model.VMID{Others})
		}
		h.runHubs(6*time.Second, 125)
		h.resetCounts()
		h.runHubs(10*time.Second, 125)
		if h.refused > 0 {
			t.Fatalf("seed %d: %d of %d operations refused within the rate", seed, h.refused, h.requested)
		}
		h.runHubs(10*time.Second, 900)
		h.checkRate()
	}
}

// runHubs simulates the time d with total operations per second, distributed unevenly
// over the VMs. VMs and hubs exchange reports every 30 steps (300 ms).
func (h *hubFleet) runHubs(d time.Duration, total float64) {
	weight := 0.0
	for i := range h.vms {
		weight += float64(1 + i%5)
	}
	for end := h.now.Add(d); h.now < end; h.now = h.now.Add(step) {
		for i, s := range h.vms {
			h.request(s, total*float64(1+i%5)/weight*step.Seconds())
			if int(h.now/model.Time(step))%30 == i%30 {
				h.exchange(i, s)
			}
		}
		if int(h.now/model.Time(step))%30 == 0 {
			h.exchangeZones()
		}
	}
}

func (h *hubFleet) exchange(i int, s *State) {
	hub := h.hubs[h.zone[i]]
	demands := s.Tick(h.now)
	hub.AddReport(h.now, &Report{VM: h.names[i], Incarnation: 1, Demands: demands})
	others := hub.OthersOf(h.now, h.names[i], demands)
	s.AddReport(h.now, &others)
}

func (h *hubFleet) exchangeZones() {
	for z, hub := range h.hubs {
		for other, from := range h.hubs {
			if other != z {
				report := from.Zone(h.now, model.VMID(fmt.Sprint("hub-", other)))
				hub.AddZoneReport(h.now, model.Zone(fmt.Sprint("zone-", other)), &report)
			}
		}
	}
}

// Guards against subtracting the admissions of a zone or VM during a partition from
// the shared bucket a second time when it reports again.
func TestSummaryExcludesAdmissionsDuringSilence(t *testing.T) {
	at := func(d time.Duration) model.Time { return model.Time(time.Hour).Add(d) }
	reportFrom := func(vm model.VMID, admitted uint64) *Report {
		return &Report{VM: vm, Incarnation: 1, VMs: 1, Demands: []Demand{{Workspace: "w", PerSecond: 1, Admitted: admitted}}}
	}
	s := NewSummary(7)
	total := func(now model.Time) uint64 {
		r := s.OthersOf(now, "hub", nil)
		return byWorkspace(r.Demands)["w"].Admitted
	}
	s.AddReport(at(0), reportFrom("vm", 100))
	s.AddZoneReport(at(0), "zone-b", reportFrom("other", 100))
	s.AddReport(at(time.Second), reportFrom("vm", 110))
	s.AddZoneReport(at(time.Second), "zone-b", reportFrom("other", 120))
	before := total(at(time.Second))
	if before != 30 {
		t.Errorf("%d admitted, want 30", before)
	}
	healed := time.Second + 2*ReportTTL
	s.AddReport(at(healed), reportFrom("vm", 400))
	s.AddZoneReport(at(healed), "zone-b", reportFrom("other", 400))
	if after := total(at(healed)); after != before {
		t.Errorf("%d admitted after the reports resumed, %d before", after, before)
	}
	s.AddReport(at(healed+time.Second), reportFrom("vm", 401))
	if after := total(at(healed + time.Second)); after != before+1 {
		t.Errorf("%d admitted, want one more than %d", after, before)
	}
}
