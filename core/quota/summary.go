package quota

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Others is the VM ID in a hub's report that covers all VMs except its receiver.
const Others model.VMID = "others"

// Summary aggregates reports on a hub: the reports of the VMs in its zone, which
// arrive with their requests, and the sums of other zones, which the hubs of those
// zones send.
type Summary struct {
	incarnation uint64
	vms         map[model.VMID]*report
	// admitted is the number of operations admitted by the VMs of the zone since
	// the hub's start, admittedByVM the same by VM.
	admitted     map[model.Workspace]uint64
	admittedByVM map[model.VMID]map[model.Workspace]uint64
	zones        map[model.Zone]*zoneSummary
}

// zoneSummary is the newest sum of another zone.
type zoneSummary struct {
	// hub is the hub of that zone whose counts are used.
	hub model.VMID
	report
	// admitted is the number of operations admitted since this hub's start.
	admitted map[model.Workspace]uint64
}

// NewSummary returns an empty summary. incarnation has to differ between any two
// starts of the hub.
func NewSummary(incarnation uint64) *Summary {
	return &Summary{
		incarnation:  incarnation,
		vms:          map[model.VMID]*report{},
		admitted:     map[model.Workspace]uint64{},
		admittedByVM: map[model.VMID]map[model.Workspace]uint64{},
		zones:        map[model.Zone]*zoneSummary{},
	}
}

// AddReport applies the report of a VM in the hub's zone. Operations that a VM admits
// while its last report is expired are not counted, because its share of the rates
// was reserved for it during that time.
func (s *Summary) AddReport(now model.Time, received *Report) {
	last := s.vms[received.VM]
	next := &report{at: now, vms: 1, incarnation: received.Incarnation, demands: byWorkspace(received.Demands)}
	if last != nil && now.Sub(last.at) <= ReportTTL {
		admittedByVM := s.admittedByVM[received.VM]
		if admittedByVM == nil {
			admittedByVM = map[model.Workspace]uint64{}
			s.admittedByVM[received.VM] = admittedByVM
		}
		for i := range received.Demands {
			d := &received.Demands[i]
			delta := admittedSince(last, next.incarnation, d)
			s.admitted[d.Workspace] += delta
			admittedByVM[d.Workspace] += delta
		}
	}
	s.vms[received.VM] = next
}

// AddZoneReport applies the sum of another zone, sent by one of that zone's hubs. It
// ignores other hubs of a zone until the one in use has been silent for
// isolatedAfter.
func (s *Summary) AddZoneReport(now model.Time, zone model.Zone, received *Report) {
	z := s.zones[zone]
	if z == nil {
		z = &zoneSummary{admitted: map[model.Workspace]uint64{}}
		s.zones[zone] = z
	}
	if z.hub != received.VM && z.hub != "" && now.Sub(z.at) < isolatedAfter {
		return
	}
	next := report{at: now, vms: max(received.VMs, 1), incarnation: received.Incarnation, demands: byWorkspace(received.Demands)}
	if z.hub == received.VM && z.incarnation == received.Incarnation && now.Sub(z.at) <= ReportTTL {
		for i := range received.Demands {
			d := &received.Demands[i]
			if known, found := z.demands[d.Workspace]; found && d.Admitted > known.Admitted {
				z.admitted[d.Workspace] += d.Admitted - known.Admitted
			}
		}
	}
	z.hub, z.report = received.VM, next
}

func byWorkspace(demands []Demand) map[model.Workspace]Demand {
	m := make(map[model.Workspace]Demand, len(demands))
	for _, d := range demands {
		m[d.Workspace] = d
	}
	return m
}

// Zone returns the sum of the hub's zone, to be sent to the hubs of other zones.
func (s *Summary) Zone(now model.Time, self model.VMID) Report {
	r := Report{VM: self, Incarnation: s.incarnation}
	sums := map[model.Workspace]float64{}
	for vm, v := range s.vms {
		if now.Sub(v.at) > ReportTTL {
			s.expire(now, vm, v)
			continue
		}
		r.VMs++
		for name, d := range v.demands {
			sums[name] += d.PerSecond
		}
	}
	for name, n := range s.admitted {
		r.Demands = append(r.Demands, Demand{Workspace: name, PerSecond: sums[name], Admitted: n})
		delete(sums, name)
	}
	for name, sum := range sums {
		r.Demands = append(r.Demands, Demand{Workspace: name, PerSecond: sum})
	}
	return r
}

// silentVMRetention is how long the counts of a VM that does not report are kept, so
// that they continue when it reports again.
const silentVMRetention = time.Minute

func (s *Summary) expire(now model.Time, vm model.VMID, v *report) {
	if now.Sub(v.at) > silentVMRetention {
		delete(s.vms, vm)
		delete(s.admittedByVM, vm)
	}
}

// OthersOf returns the sum of all VMs of all zones except vm, a VM of the hub's zone.
// It covers the given workspaces, or all workspaces if workspaces is nil.
func (s *Summary) OthersOf(now model.Time, vm model.VMID, workspaces []Demand) Report {
	zone := s.Zone(now, "")
	total := byWorkspace(zone.Demands)
	r := Report{VM: Others, Incarnation: s.incarnation, VMs: zone.VMs}
	if own := s.vms[vm]; own != nil && now.Sub(own.at) <= ReportTTL {
		r.VMs--
		for name, d := range own.demands {
			t := total[name]
			t.PerSecond = max(t.PerSecond-d.PerSecond, 0)
			total[name] = t
		}
	}
	for name, n := range s.admittedByVM[vm] {
		t := total[name]
		t.Admitted -= n
		total[name] = t
	}
	for _, z := range s.zones {
		if now.Sub(z.at) > ReportTTL {
			continue
		}
		r.VMs += z.vms
		for name, d := range z.demands {
			t := total[name]
			t.PerSecond += d.PerSecond
			total[name] = t
		}
	}
	for _, z := range s.zones {
		for name, n := range z.admitted {
			t := total[name]
			t.Admitted += n
			total[name] = t
		}
	}
	r.Demands = filterDemands(total, workspaces)
	return r
}

// filterDemands returns the sums of the wanted workspaces, or all sums if wanted is
// nil.
func filterDemands(total map[model.Workspace]Demand, wanted []Demand) []Demand {
	list := make([]Demand, 0, len(total))
	if wanted == nil {
		for name, d := range total {
			d.Workspace = name
			list = append(list, d)
		}
		return list
	}
	for _, w := range wanted {
		d := total[w.Workspace]
		d.Workspace = w.Workspace
		list = append(list, d)
	}
	return list
}
