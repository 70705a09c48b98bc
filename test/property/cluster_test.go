package property

import (
	"container/heap"
	"math/rand"
	"sort"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// cluster simulates VMs with individual clocks; a network and a store that lose,
// delay, duplicate and reorder messages; and the platform's list of VMs, which
// lags behind.
type cluster struct {
	t   *rapid.T
	rng *rand.Rand
	// now is the simulated time in nanoseconds. VMs see only their own clocks.
	now      int64
	queue    actionQueue
	sequence uint64
	vms      []*vm
	// partition is the network partition of each VM. VMs in different partitions
	// cannot reach each other, and only partition 0 can reach the store.
	partition map[model.VMID]int
	storeDown bool
	// slowOneIn means that one in slowOneIn messages is slow.
	slowOneIn int
	// faultsEnabled allows random faults of messages, store calls, the
	// platform's list and VMs.
	faultsEnabled bool
	records       map[model.Zone]storedRecord
	listVersion   uint64
	zones         []model.Zone
	items         []membership.Item
	// check runs after actions, at most once per checkInterval.
	check     func()
	lastCheck int64
}

// storedRecord is a zone record in the simulated store.
type storedRecord struct {
	record   membership.Record
	revision int64
}

// action is a function to run at a simulated time.
type action struct {
	at       int64
	sequence uint64
	run      func()
}

// actionQueue is a heap of actions ordered by time, then by insertion.
type actionQueue []action

func (q actionQueue) Len() int { return len(q) }
func (q actionQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q actionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *actionQueue) Push(x any)   { *q = append(*q, x.(action)) }
func (q *actionQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	checkInterval  = 5 * time.Millisecond
	tickInterval   = 20 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	listInterval   = 500 * time.Millisecond
	// maxClockDriftPPM is the most by which a VM's clock runs fast or slow.
	maxClockDriftPPM = 10_000
)

// newCluster returns a cluster of VMs. The first two characters of a VM's name,
// for example "z1a", are its zone.
func newCluster(t *rapid.T, names ...model.VMID) *cluster {
	c := &cluster{
		t:             t,
		rng:           rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))),
		partition:     map[model.VMID]int{},
		slowOneIn:     rapid.SampledFrom([]int{3, 40}).Draw(t, "slow"),
		faultsEnabled: true,
		records:       map[model.Zone]storedRecord{},
		check:         func() {},
	}
	seen := map[model.Zone]bool{}
	for _, name := range names {
		z := model.Zone(name[:2])
		if !seen[z] {
			c.zones = append(c.zones, z)
		}
		seen[z] = true
		c.vms = append(c.vms, &vm{c: c, id: name, zone: z})
	}
	return c
}

// startAll starts all VMs and the periodic distribution of the platform's list.
func (c *cluster) startAll() {
	for _, v := range c.vms {
		v.start()
	}
	c.every(listInterval, c.sendList)
}

// after schedules fn to run once d has passed.
func (c *cluster) after(d time.Duration, fn func()) {
	c.sequence++
	heap.Push(&c.queue, action{at: c.now + int64(d), sequence: c.sequence, run: fn})
}

// every schedules fn to run at intervals of d.
func (c *cluster) every(d time.Duration, fn func()) {
	c.after(d, func() {
		fn()
		c.every(d, fn)
	})
}

// advance runs the simulation for d.
func (c *cluster) advance(d time.Duration) {
	end := c.now + int64(d)
	for len(c.queue) > 0 && c.queue[0].at <= end {
		a := heap.Pop(&c.queue).(action)
		c.now = a.at
		a.run()
		if c.now-c.lastCheck >= int64(checkInterval) {
			c.lastCheck = c.now
			c.check()
		}
	}
	c.now = end
	c.check()
}

// delay returns the latency of a message: below 2 ms, and for some messages up to
// 100 ms or 5 s more while faults are enabled.
func (c *cluster) delay() time.Duration {
	d := time.Duration(c.rng.Intn(2000)) * time.Microsecond
	if c.faultsEnabled && c.rng.Intn(c.slowOneIn) == 0 {
		most := []int{100, 5000, 5000, 5000}[c.rng.Intn(4)]
		d += time.Duration(c.rng.Intn(most)) * time.Millisecond
	}
	return d
}

func (c *cluster) dropsMessage() bool { return c.faultsEnabled && c.rng.Intn(20) == 0 }

// send delivers a message to a VM. While faults are enabled, the message may be
// lost or duplicated.
func (c *cluster) send(from *vm, to model.VMID, deliver func(*vm)) {
	if c.partition[from.id] != c.partition[to] || c.dropsMessage() {
		return
	}
	copies := 1
	if c.faultsEnabled && c.rng.Intn(30) == 0 {
		copies = 2
	}
	for range copies {
		c.after(c.delay(), func() {
			v := c.vmByID(to)
			v.runInVM(v.incarnation, func() { deliver(v) })
		})
	}
}

func (c *cluster) vmByID(id model.VMID) *vm {
	for _, v := range c.vms {
		if v.id == id {
			return v
		}
	}
	return nil
}

// callStore runs op at the store and tells reply whether the response arrived
// within the timeout. While faults are enabled, op may run after the timeout.
func (c *cluster) callStore(v *vm, op func(), reply func(answered bool)) {
	const timeout = 500 * time.Millisecond
	incarnation := v.incarnation
	requestDelay, replyDelay := c.delay(), c.delay()
	delivered := !c.storeDown && c.partition[v.id] == 0 && !c.dropsMessage()
	if delivered {
		c.after(requestDelay, op)
	}
	answered := delivered && !c.dropsMessage() && requestDelay+replyDelay < timeout
	wait := requestDelay + replyDelay
	if !answered {
		wait = timeout
	}
	c.after(wait, func() { v.runInVM(incarnation, func() { reply(answered) }) })
}

// sendList sends the platform's list to all VMs or, while faults are enabled, to
// some: the others keep an older list.
func (c *cluster) sendList() {
	c.listVersion++
	version := c.listVersion
	var vms []membership.VM
	for _, v := range c.vms {
		if v.listed {
			vms = append(vms, membership.VM{ID: v.id, Zone: v.zone, Leaving: v.leaving})
		}
	}
	for _, v := range c.vms {
		if c.faultsEnabled && c.rng.Intn(3) == 0 {
			continue
		}
		v.runInVM(v.incarnation, func() {
			v.applyMembership(membership.Event{Kind: membership.EventVMList, VMs: vms, Version: version})
		})
	}
}

// fault injects or repairs one random fault.
func (c *cluster) fault() {
	v := c.vms[rapid.IntRange(0, len(c.vms)-1).Draw(c.t, "vm")]
	switch rapid.IntRange(0, 14).Draw(c.t, "fault") {
	case 0:
		v.crash()
	case 1, 2:
		v.start()
	case 3:
		v.crash()
		v.start()
	case 4:
		v.pause(time.Duration(rapid.IntRange(10, 8000).Draw(c.t, "ms")) * time.Millisecond)
	case 5:
		c.storeDown = !c.storeDown
	case 6:
		c.partition[v.id] = rapid.IntRange(0, 2).Draw(c.t, "side")
	case 7, 8:
		c.partitionZone(v.zone, rapid.IntRange(0, 2).Draw(c.t, "side"))
	case 9:
		clear(c.partition)
	case 10:
		v.stop()
	case 11, 12:
		c.unlist(v)
	case 13, 14:
		c.replaceMembers(v.zone)
	}
}

// replaceMembers isolates some running VMs of a zone from the store and starts the
// stopped ones in the store's partition, so that the record changes without the
// isolated VMs learning of it.
func (c *cluster) replaceMembers(z model.Zone) {
	for _, v := range c.vms {
		switch {
		case v.zone != z:
		case !v.alive:
			c.partition[v.id] = 0
			v.start()
		case c.rng.Intn(2) == 0:
			c.partition[v.id] = 1
		}
	}
}

// partitionZone moves all VMs of a zone to a network partition.
func (c *cluster) partitionZone(z model.Zone, partition int) {
	for _, v := range c.vms {
		if v.zone == z {
			c.partition[v.id] = partition
		}
	}
}

// unlist removes a running VM from the platform's list if its zone has other VMs
// and all of them run, are listed and are members. Membership relies on the list
// never omitting all members of a record while one of them runs. When a VM crashes
// or stops, relistZone therefore adds the running VMs of its zone again.
func (c *cluster) unlist(v *vm) {
	others := 0
	for _, w := range c.vms {
		if w == v || w.zone != v.zone {
			continue
		}
		if !w.alive || !w.listed || w.leaving || !hasVM(c.records[v.zone].record, w.id) {
			return
		}
		others++
	}
	if others == 0 {
		return
	}
	v.listed = false
	// A VM that is also isolated is removed from the record while it runs.
	c.partition[v.id] = c.rng.Intn(2)
}

// isolateOwner moves the owner of an item to another network partition and removes
// it from the platform's list, so that another VM of its zone becomes the owner
// while the first one still runs.
func (c *cluster) isolateOwner(it membership.Item) {
	for _, id := range c.owners(it) {
		c.vmByID(id).listed = false
		c.partition[id] = 1
	}
}

// isolateMembers isolates the members of a zone from the store while a VM that was
// removed from the record starts again.
func (c *cluster) isolateMembers(newcomer *vm) {
	newcomer.crash()
	c.advance(settleTime)
	c.partitionZone(newcomer.zone, 1)
	c.partition[newcomer.id] = 0
	newcomer.start()
}

// relistZone adds all running VMs of a zone to the platform's list.
func (c *cluster) relistZone(z model.Zone) {
	for _, w := range c.vms {
		if w.zone == z && w.alive {
			w.listed = true
		}
	}
}

func hasVM(r membership.Record, id model.VMID) bool {
	for _, m := range r.Members {
		if m.VM == id {
			return true
		}
	}
	return false
}

// heal disables and repairs all faults and starts all VMs.
func (c *cluster) heal() {
	c.faultsEnabled = false
	c.storeDown = false
	clear(c.partition)
	for _, v := range c.vms {
		if v.leaving {
			v.crash()
		}
		v.start()
		v.listed = true
	}
}

// owners returns the VMs that may currently act as the owner of an item.
func (c *cluster) owners(it membership.Item) []model.VMID {
	var owners []model.VMID
	for _, v := range c.vms {
		if v.alive && v.membershipState.Owns(v.clock(), it) {
			owners = append(owners, v.id)
		}
	}
	return owners
}

// checkOwners fails if more than one VM may act as the owner of an item.
func (c *cluster) checkOwners() {
	for _, it := range c.items {
		if owners := c.owners(it); len(owners) > 1 {
			c.t.Fatalf("at %v, %v all own %+v, want at most one owner", time.Duration(c.now), owners, it)
		}
	}
}

// sortedZones returns the zones in name order.
func (c *cluster) sortedZones() []model.Zone {
	zones := append([]model.Zone(nil), c.zones...)
	sort.Slice(zones, func(i, j int) bool { return zones[i] < zones[j] })
	return zones
}
