package linenode

import (
	"maps"
	"time"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/usage"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
)

const (
	// usagePullInterval is the interval at which counts are asked for in other zones,
	// whose traffic has a price. Counts of the same zone are exchanged with each poll.
	usagePullInterval = time.Second
	// usageCollectTime is how long after the end of a window the VMs of a zone have sent
	// their counts of it to its hubs: two polls.
	usageCollectTime = 2 * observeInterval
	// maxClockRoundTrip is the longest exchange whose reading of a clock is used. Half of
	// it is small against the settle time of a window.
	maxClockRoundTrip = 200 * time.Millisecond
)

// usagePeer is what was exchanged with another VM.
type usagePeer struct {
	// incarnation is the one that the fields below refer to.
	incarnation uint64
	// acknowledged is the version of this VM's counts that the peer has.
	acknowledged uint64
	// since is the version of the peer's counts that this VM has, of its zone if
	// sinceOfZone is true.
	since       uint64
	sinceOfZone bool
	// askedAt is when the counts were last asked for, answeredAt when the newest
	// question with an answer was.
	askedAt, answeredAt model.Time
}

// peer returns what was exchanged with a VM. The caller holds mu.
func (u *usageReports) peer(vm model.VMID) *usagePeer {
	if u.peers[vm] == nil {
		u.peers[vm] = &usagePeer{}
	}
	return u.peers[vm]
}

// dropPeers forgets VMs that this one does not poll any more. The caller holds mu.
func (u *usageReports) dropPeers() {
	neighbors := u.members.topology().neighbors
	maps.DeleteFunc(u.peers, func(vm model.VMID, _ *usagePeer) bool { return neighbors[vm] == "" })
}

// addRequest adds to a poll of a VM the wall clock of this one, its counts if it has hubs,
// and what it wants to know.
func (u *usageReports) addRequest(vm model.VMID, r *vmlinkv1.ObserveRequest) {
	if u == nil {
		return
	}
	topo := u.members.topology()
	_, holding := u.lease.held()
	u.mu.Lock()
	defer u.mu.Unlock()
	r.WallUs = toMicroseconds(u.wallTime())
	p := u.peer(vm)
	if topo.large && !topo.hub {
		tallies, version := u.counts.Own(p.acknowledged)
		r.Usage, r.UsageVersion = toUsageWindows(tallies), version
		return
	}
	now := boottime.Now()
	near := topo.neighborZones[vm] == u.options.Zone
	if near || (holding || !topo.large) && u.pullDue(now, p) {
		p.askedAt = now
		r.UsageRequest = &vmlinkv1.UsageRequest{Since: p.since, SinceOfZone: p.sinceOfZone}
	}
}

// pullDue reports whether it is time to ask a VM of another zone for counts. The caller
// holds mu.
func (u *usageReports) pullDue(now model.Time, p *usagePeer) bool {
	if now.Sub(p.askedAt) >= usagePullInterval {
		return true
	}
	wall, ok := u.clock.Now(now)
	if !ok {
		return false
	}
	settled := u.bootTime(now, wall, u.settings.End(u.settings.At(wall)-1)).Add(usageCollectTime)
	return now >= settled && p.askedAt < settled
}

// bootTime returns the reading of the boot-time clock at the true time t, when wall is the
// true time at now.
func (*usageReports) bootTime(now model.Time, wall, t usage.WallTime) model.Time {
	return now.Add(time.Duration(t - wall))
}

// answer applies what a polling VM says of its usage, and adds to the answer what it asks
// for.
func (u *usageReports) answer(r *vmlinkv1.ObserveRequest, a *vmlinkv1.ObserveResponse) {
	if u == nil || r.GetWallUs() == 0 {
		return
	}
	topo := u.members.topology()
	now, zone := boottime.Now(), model.Zone(r.GetZone())
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observeClock(model.VMID(r.GetVm()), now, r.GetWallUs())
	a.WallUs, a.TrueUs = toMicroseconds(u.wallTime()), toMicroseconds(u.now())
	if topo.hub && zone == u.options.Zone && r.GetUsageVersion() != 0 {
		source := usage.Source{VM: model.VMID(r.GetVm()), Incarnation: r.GetIncarnation()}
		u.ignored(u.counts.AddVM(source, zone, fromUsageWindows(r.GetUsage())))
		a.UsageReceived = r.GetUsageVersion()
	}
	q := r.GetUsageRequest()
	if q == nil {
		return
	}
	a.UsageOfZone = topo.hub && zone != u.options.Zone
	since := q.GetSince()
	if q.GetSinceOfZone() != a.UsageOfZone {
		since = 0
	}
	tallies, version := u.counts.Own(since)
	if a.UsageOfZone {
		tallies, version = u.counts.Zone(since)
	}
	a.Usage, a.UsageVersion = toUsageWindows(tallies), max(version, 1)
}

// applyAnswer applies what a VM says of its usage in the answer to a poll sent at
// sentAt.
func (u *usageReports) applyAnswer(sentAt model.Time, r *vmlinkv1.ObserveRequest, a *vmlinkv1.ObserveResponse) {
	if u == nil || a.GetWallUs() == 0 {
		return
	}
	topo := u.members.topology()
	vm, now := model.VMID(a.GetVm()), boottime.Now()
	zone, known := topo.neighborZones[vm]
	u.mu.Lock()
	defer u.mu.Unlock()
	if rtt := now.Sub(sentAt); rtt <= maxClockRoundTrip && a.GetTrueUs() != 0 {
		reading := a.GetWallUs()
		if topo.large && !topo.hub {
			// A VM that polls few others relies on the estimates of its hubs.
			reading = a.GetTrueUs()
		}
		u.observeClock(vm, sentAt.Add(rtt/2), reading)
		u.clock.ObserveEstimate(vm, sentAt.Add(rtt/2), usage.WallTime(time.Duration(min(a.GetTrueUs(), maxWallMicroseconds))*time.Microsecond))
	}
	p := u.peer(vm)
	if former := p.incarnation; former != a.GetIncarnation() {
		*p = usagePeer{incarnation: a.GetIncarnation(), askedAt: p.askedAt}
		if former != 0 {
			// The request and the answer have only what the former process did not.
			return
		}
	}
	p.acknowledged = max(p.acknowledged, a.GetUsageReceived())
	if r.GetUsageRequest() == nil || a.GetUsageVersion() == 0 || !known {
		return
	}
	if tallies := fromUsageWindows(a.GetUsage()); a.GetUsageOfZone() {
		u.ignored(u.counts.AddZone(zone, tallies))
	} else {
		u.ignored(u.counts.AddVM(usage.Source{VM: vm, Incarnation: a.GetIncarnation()}, zone, tallies))
	}
	p.since, p.sinceOfZone, p.answeredAt = a.GetUsageVersion(), a.GetUsageOfZone(), sentAt
}

// observeClock records a reading of another VM's clock. The caller holds mu.
func (u *usageReports) observeClock(vm model.VMID, at model.Time, us int64) {
	if vm == u.options.VM || us > maxWallMicroseconds || !u.clock.Observe(vm, at, usage.WallTime(time.Duration(us)*time.Microsecond)) {
		u.ignored(1)
	}
}

// maxWallMicroseconds is the latest reading of a clock that can be converted.
const maxWallMicroseconds = int64(1<<63-1) / int64(time.Microsecond)

// ignored counts values of other VMs that were out of range.
func (u *usageReports) ignored(n int) {
	if n > 0 {
		u.count("ignored", int64(n))
	}
}

// usageSums implements usage.Sums. The caller holds mu.
type usageSums struct{ *usageReports }

// Connected reports whether enough other VMs answer. On a VM that is cut off from them, a
// clock that has jumped is not noticed.
func (u usageSums) Connected() bool { return !u.members.isolated() }

// Total returns the requests in a window over all VMs.
func (u usageSums) Total(w usage.Window) map[model.Workspace]uint64 { return u.counts.Total(w) }

// Settled reports whether each zone has a hub that was asked for its counts, and has
// answered, after the VMs of its zone had sent theirs; in a mesh, each VM.
func (u usageSums) Settled(w usage.Window) bool {
	now := boottime.Now()
	wall, ok := u.clock.Now(now)
	if !ok {
		return false
	}
	collected := now.Sub(u.bootTime(now, wall, u.settings.End(w)).Add(usageCollectTime))
	for _, age := range u.sourceAges() {
		if age > collected {
			return false
		}
	}
	return true
}

// sourceAges returns the ages of the newest counts of each zone, or of each VM of a mesh.
// The caller holds mu.
func (u *usageReports) sourceAges() map[string]time.Duration {
	topo := u.members.topology()
	now, ages := boottime.Now(), map[string]time.Duration{}
	for vm, zone := range topo.neighborZones {
		source := string(vm)
		if topo.large {
			source = string(zone)
		}
		age := now.Sub(u.peer(vm).answeredAt)
		if other, found := ages[source]; !found || age < other {
			ages[source] = age
		}
	}
	return ages
}

func toMicroseconds(t usage.WallTime) int64 { return time.Duration(t).Microseconds() }

func toUsageWindows(tallies []usage.Tally) []*vmlinkv1.UsageWindow {
	windows := make([]*vmlinkv1.UsageWindow, 0, len(tallies))
	for i := range tallies {
		w := &vmlinkv1.UsageWindow{Window: int64(tallies[i].Window)}
		for name, requests := range tallies[i].Counts {
			w.Counts = append(w.Counts, &vmlinkv1.UsageCount{Workspace: string(name), Requests: requests})
		}
		windows = append(windows, w)
	}
	return windows
}

func fromUsageWindows(windows []*vmlinkv1.UsageWindow) []usage.Tally {
	tallies := make([]usage.Tally, 0, len(windows))
	for _, w := range windows {
		t := usage.Tally{Window: usage.Window(w.GetWindow()), Counts: map[model.Workspace]uint64{}}
		for _, c := range w.GetCounts() {
			t.Counts[model.Workspace(c.GetWorkspace())] = max(t.Counts[model.Workspace(c.GetWorkspace())], c.GetRequests())
		}
		tallies = append(tallies, t)
	}
	return tallies
}
