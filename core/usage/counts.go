package usage

import (
	"maps"
	"slices"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Source identifies one run of a VM's process. The counts of a source only grow.
type Source struct {
	VM model.VMID
	// Incarnation differs between two starts of the VM.
	Incarnation uint64
}

// maxWorkspaces limits the workspaces of a window that are taken from another VM.
const maxWorkspaces = 1 << 14

// Counts holds the counts of this VM, those of other VMs in its zone or mesh, and the
// sums of other zones, for the windows that are not late. Each count is a lower bound
// of the true one, so that of two for the same thing the larger is kept.
type Counts struct {
	zone model.Zone
	own  *sum
	// vms are the counts of other VMs, with the zone of each.
	vms map[Source]*vmCounts
	// received are the sums of zones as other VMs reported them.
	received map[model.Zone]*sum
	// zoneSum is the sum of own and of the counts of the VMs in the same zone.
	zoneSum *sum
	// version rises with each change.
	version uint64
	// oldest is the oldest window that is kept, newest the newest one that is taken
	// from other VMs.
	oldest, newest Window
}

type vmCounts struct {
	zone model.Zone
	sum
}

// sum is a grow-only table of counts.
type sum struct {
	windows map[Window]map[model.Workspace]entry
}

type entry struct {
	requests uint64
	// version is that of the last change.
	version uint64
}

func newSum() *sum { return &sum{windows: map[Window]map[model.Workspace]entry{}} }

// raise sets a count to at least requests, and returns by how much it rose.
func (s *sum) raise(w Window, name model.Workspace, requests, version uint64) uint64 {
	window := s.windows[w]
	if window == nil {
		window = map[model.Workspace]entry{}
		s.windows[w] = window
	}
	old := window[name].requests
	if requests <= old {
		return 0
	}
	window[name] = entry{requests: requests, version: version}
	return requests - old
}

// add adds to a count.
func (s *sum) add(w Window, name model.Workspace, requests, version uint64) {
	s.raise(w, name, s.windows[w][name].requests+requests, version)
}

// since returns the counts that have changed after a version, by window and workspace.
func (s *sum) since(version uint64) []Tally {
	var changed []Tally
	for _, w := range slices.Sorted(maps.Keys(s.windows)) {
		counts := map[model.Workspace]uint64{}
		for name, e := range s.windows[w] {
			if e.version > version {
				counts[name] = e.requests
			}
		}
		if len(counts) > 0 {
			changed = append(changed, Tally{Window: w, Counts: counts})
		}
	}
	return changed
}

func (s *sum) trim(oldest Window) {
	maps.DeleteFunc(s.windows, func(w Window, _ map[model.Workspace]entry) bool { return w < oldest })
}

// NewCounts returns empty counts of a VM in a zone.
func NewCounts(zone model.Zone) *Counts {
	return &Counts{
		zone: zone, own: newSum(), zoneSum: newSum(), vms: map[Source]*vmCounts{}, received: map[model.Zone]*sum{},
	}
}

// Count counts a request that this VM has sent in a window.
func (c *Counts) Count(w Window, name model.Workspace) {
	c.version++
	c.own.add(w, name, 1, c.version)
	c.zoneSum.add(w, name, 1, c.version)
}

// AddVM merges counts that another VM has reported of itself. It returns how many of
// them it ignored since they are out of range.
func (c *Counts) AddVM(source Source, zone model.Zone, tallies []Tally) (ignored int) {
	if len(tallies) == 0 {
		return 0
	}
	vm := c.vms[source]
	if vm == nil {
		vm = &vmCounts{zone: zone, sum: *newSum()}
		c.vms[source] = vm
	}
	return c.merge(tallies, func(w Window, name model.Workspace, requests uint64) {
		rise := vm.raise(w, name, requests, c.version)
		if rise > 0 && vm.zone == c.zone {
			c.zoneSum.add(w, name, rise, c.version)
		}
	})
}

// AddZone merges the sums of a zone, as another VM of that zone has reported them.
func (c *Counts) AddZone(zone model.Zone, tallies []Tally) (ignored int) {
	s := c.received[zone]
	if s == nil {
		s = newSum()
		c.received[zone] = s
	}
	return c.merge(tallies, func(w Window, name model.Workspace, requests uint64) {
		s.raise(w, name, requests, c.version)
	})
}

func (c *Counts) merge(tallies []Tally, raise func(Window, model.Workspace, uint64)) (ignored int) {
	c.version++
	for i := range tallies {
		t := &tallies[i]
		if t.Window < c.oldest || t.Window > c.newest || len(t.Counts) > maxWorkspaces {
			ignored += max(len(t.Counts), 1)
			continue
		}
		for name, requests := range t.Counts {
			if requests == 0 || requests > MaxCount || name == "" {
				ignored++
				continue
			}
			raise(t.Window, name, requests)
		}
	}
	return ignored
}

// Own returns the counts of this VM that have changed after a version that an earlier
// call returned, 0 for all of them, and the present version.
func (c *Counts) Own(since uint64) ([]Tally, uint64) { return c.own.since(since), c.version }

// Zone is Own for the sums of this VM's zone.
func (c *Counts) Zone(since uint64) ([]Tally, uint64) { return c.zoneSum.since(since), c.version }

// Total returns the requests in a window over all VMs.
func (c *Counts) Total(w Window) map[model.Workspace]uint64 {
	zones := map[model.Zone]*sum{c.zone: c.zoneSum}
	for source, vm := range c.vms {
		if vm.zone == c.zone {
			continue
		}
		if zones[vm.zone] == nil {
			zones[vm.zone] = newSum()
		}
		for name, e := range c.vms[source].windows[w] {
			zones[vm.zone].add(w, name, e.requests, 0)
		}
	}
	total := map[model.Workspace]uint64{}
	for zone, s := range zones {
		for name, e := range s.windows[w] {
			total[name] += e.requests
		}
		if other := c.received[zone]; other != nil {
			// Of two lower bounds for a zone the larger counts.
			for name, e := range other.windows[w] {
				total[name] += e.requests - min(e.requests, s.windows[w][name].requests)
			}
		}
	}
	for zone, s := range c.received {
		if zones[zone] != nil {
			continue
		}
		for name, e := range s.windows[w] {
			total[name] += e.requests
		}
	}
	return total
}

// Trim sets the oldest window that is kept and the newest that is taken from other VMs.
func (c *Counts) Trim(oldest, newest Window) {
	c.oldest, c.newest = oldest, newest
	c.own.trim(oldest)
	c.zoneSum.trim(oldest)
	for _, s := range c.received {
		s.trim(oldest)
	}
	for source, vm := range c.vms {
		if vm.trim(oldest); len(vm.windows) == 0 {
			delete(c.vms, source)
		}
	}
}
