package usage

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/model"
)

var testSettings = Settings{Window: 5 * time.Second, Due: 10 * time.Second}

// node is a VM in a simulated exchange of counts.
type node struct {
	source Source
	zone   model.Zone
	counts *Counts
	// sent and received are versions by source, as between two VMs.
	sent, received map[Source]uint64
}

func newNode(vm int, incarnation uint64, zone model.Zone) *node {
	n := &node{
		source: Source{VM: model.VMID(fmt.Sprintf("vm-%02d", vm)), Incarnation: incarnation}, zone: zone, counts: NewCounts(zone),
		sent: map[Source]uint64{}, received: map[Source]uint64{},
	}
	n.counts.Trim(0, 10)
	return n
}

// push sends what the hub does not have; pull asks it for its own counts or its zone's.
func (n *node) push(hub *node) {
	tallies, version := n.counts.Own(n.sent[hub.source])
	hub.counts.AddVM(n.source, n.zone, tallies)
	n.sent[hub.source] = version
}

func (n *node) pull(from *node) {
	if from.zone == n.zone {
		tallies, version := from.counts.Own(n.received[from.source])
		n.counts.AddVM(from.source, from.zone, tallies)
		n.received[from.source] = version
		return
	}
	tallies, version := from.counts.Zone(n.received[from.source])
	n.counts.AddZone(from.zone, tallies)
	n.received[from.source] = version
}

// Guards against sums that miss or double counts under load, the pattern of one shared
// sum by zone: 84 VMs in 4 zones with 2 hubs each, 300 workspaces of which few have most
// requests, VMs and hubs that are killed and start again, and polls at any time. What a
// killed VM had not passed on in its zone may be missing, and nothing else.
func TestSumsOfManyVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []model.Zone{"a", "b", "c", "d"}
		nodes := make([]*node, 84)
		for i := range nodes {
			nodes[i] = newNode(i, 1, zones[i%4])
		}
		hubs := func() []*node { return nodes[:8] }
		truth, lost := map[model.Workspace]uint64{}, map[model.Workspace]uint64{}
		unsent := map[Source]map[model.Workspace]uint64{}
		exchange := func(n *node) {
			for _, hub := range hubs() {
				switch {
				case hub == n:
				case hub.zone == n.zone && n != hubs()[0]:
					n.push(hub)
				}
			}
			unsent[n.source] = nil
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			n := nodes[rapid.IntRange(0, 83).Draw(t, "vm")]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				exchange(n)
			case 1:
				hub := hubs()[rapid.IntRange(1, 7).Draw(t, "hub")]
				hubs()[0].pull(hub)
				if hub.zone == hubs()[0].zone {
					unsent[hub.source] = nil
				}
			case 2:
				i := rapid.IntRange(4, 83).Draw(t, "killed")
				for name, requests := range unsent[nodes[i].source] {
					lost[name] += requests
				}
				nodes[i] = newNode(i, nodes[i].source.Incarnation+1, nodes[i].zone)
			default:
				index := min(rapid.IntRange(0, 299).Draw(t, "a"), rapid.IntRange(0, 299).Draw(t, "b"), rapid.IntRange(0, 299).Draw(t, "c"))
				name := model.Workspace(fmt.Sprintf("w%d", index))
				n.counts.Count(3, name)
				truth[name]++
				if unsent[n.source] == nil {
					unsent[n.source] = map[model.Workspace]uint64{}
				}
				unsent[n.source][name]++
			}
		}
		for name, requests := range hubs()[0].counts.Total(3) {
			if requests > truth[name] {
				t.Fatalf("%s: %d requests, %d were sent", name, requests, truth[name])
			}
		}
		for _, n := range nodes {
			exchange(n)
		}
		for _, hub := range hubs()[1:] {
			hubs()[0].pull(hub)
			hubs()[0].pull(hub)
		}
		total := hubs()[0].counts.Total(3)
		for name, requests := range truth {
			if total[name] > requests || total[name]+lost[name] < requests {
				t.Fatalf("%s: %d requests and at most %d lost, %d were sent", name, total[name], lost[name], requests)
			}
		}
	})
}

// Guards against counts from another VM that are out of range and change sums, or keep
// memory.
func TestBadCountsAreIgnored(t *testing.T) {
	c := NewCounts("a")
	c.Trim(10, 12)
	bad := []Tally{
		{Window: 9, Counts: map[model.Workspace]uint64{"w": 1}}, {Window: 13, Counts: map[model.Workspace]uint64{"w": 1}},
		{Window: -1 << 62, Counts: map[model.Workspace]uint64{"w": 1}},
		{Window: 11, Counts: map[model.Workspace]uint64{"w": MaxCount + 1, "": 1, "v": 0}},
	}
	if n := c.AddVM(Source{VM: "x"}, "a", bad); n != 6 {
		t.Errorf("%d counts ignored, want 6", n)
	}
	if n := c.AddZone("b", bad); n != 6 {
		t.Errorf("%d counts of a zone ignored, want 6", n)
	}
	if total := c.Total(11); len(total) != 0 {
		t.Errorf("total %v, want none", total)
	}
	c.AddVM(Source{VM: "x"}, "a", []Tally{{Window: 11, Counts: map[model.Workspace]uint64{"w": 4}}})
	c.AddZone("b", []Tally{{Window: 11, Counts: map[model.Workspace]uint64{"w": 2}}})
	c.AddZone("a", []Tally{{Window: 11, Counts: map[model.Workspace]uint64{"w": 5}}})
	if total := c.Total(11); !maps.Equal(total, map[model.Workspace]uint64{"w": 7}) {
		t.Errorf("total %v, want 7 of w", total)
	}
	c.Trim(12, 13)
	if len(c.vms) != 0 || len(c.own.windows)+len(c.zoneSum.windows)+len(c.received["a"].windows) != 0 {
		t.Error("counts of an old window are kept")
	}
}

// Guards against windows that move with a wall clock that jumps on a minority of VMs,
// this one among them, and against readings that overflow.
func TestClockFollowsMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(3, 20).Draw(t, "vms")
		wrong := (vms - 1) / 2
		const now, trueTime = model.Time(1000 * time.Second), WallTime(1_700_000_000 * time.Second)
		c := NewClock("vm-0")
		for i := range vms {
			reading := trueTime + WallTime(rapid.IntRange(-20, 20).Draw(t, "skew"))*WallTime(time.Millisecond)
			if i < wrong {
				reading += WallTime(rapid.IntRange(-15000, 15000).Draw(t, "jump")) * WallTime(time.Millisecond)
			}
			c.Observe(model.VMID(fmt.Sprintf("vm-%d", i)), now, reading)
		}
		for _, bad := range []WallTime{-1, 0, 1<<63 - 1} {
			if c.Observe("odd", now, bad) {
				t.Fatalf("reading %d is used", bad)
			}
		}
		got, ok := c.Now(now.Add(time.Second))
		if off := time.Duration(got - trueTime - WallTime(time.Second)).Abs(); !ok || off > 20*time.Millisecond {
			t.Fatalf("estimate is off by %s", off)
		}
		// A majority that jumps for some seconds.
		for at := now.Add(time.Second); at < now.Add(12*time.Second); at = at.Add(time.Second / 10) {
			for i := range vms {
				jump := WallTime(0)
				if at > now.Add(5*time.Second) && i > 0 {
					jump = WallTime(5 * time.Second)
				}
				c.Observe(model.VMID(fmt.Sprintf("vm-%d", i)), at, trueTime+WallTime(at-now)+jump)
			}
			got, _ := c.Now(at)
			if off := time.Duration(got - trueTime - WallTime(at-now)).Abs(); off > 100*time.Millisecond {
				t.Fatalf("estimate is off by %s after a jump", off)
			}
		}
		if _, ok := c.Now(now.Add(time.Hour)); !ok || len(c.readings) != 1 {
			t.Fatalf("%d readings after an hour, want the own one", len(c.readings))
		}
	})
}
