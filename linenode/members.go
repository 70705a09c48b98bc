package linenode

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/store"
)

// memberEntry is what a VM writes about itself.
type memberEntry struct {
	Address string     `json:"address"`
	Zone    model.Zone `json:"zone"`
	// Capacity is the VM's share of a core; hubs are VMs with a large one.
	Capacity float64 `json:"capacity"`
	// Incarnation differs between two starts of the VM.
	Incarnation uint64 `json:"incarnation"`
}

// learnedVM is a VM that may not be in the store's list yet.
type datedEntry struct {
	entry memberEntry
	at    model.Time
}

// members keeps this VM's entry in the store alive and knows those of others.
type members struct {
	options Options
	cluster *cluster
	log     zerolog.Logger
	// incarnation differs between two starts of this VM.
	incarnation uint64

	mu sync.Mutex
	// listed are the VMs in the store's list, learned those that spoke
	// themselves or that a peer told of before the list was read.
	listed  map[model.VMID]memberEntry
	learned map[model.VMID]datedEntry
	// missing are VMs that have gone from the list lately.
	missing map[model.VMID]datedEntry
	// shape is whom this VM asks, as of the last change of the VMs.
	topo topology
	// isolatedPeers are the asked VMs that say that they are cut off themselves.
	peerIsolated map[model.VMID]bool
	listRead     bool
	// heardAt is when a peer last answered.
	heard map[model.VMID]model.Time

	lease int64
	// writtenAt is when this VM's entry was written, 0 before.
	writtenAt model.Time
	// listSettled is true once the list certainly has the VMs that started at the
	// same time.
	listSettled bool
}

func newMembers(o Options, c *cluster) *members {
	return &members{
		options: o, cluster: c, log: o.Log, incarnation: rand.Uint64(),
		listed: map[model.VMID]memberEntry{}, peerIsolated: map[model.VMID]bool{}, learned: map[model.VMID]datedEntry{}, missing: map[model.VMID]datedEntry{}, heard: map[model.VMID]model.Time{},
	}
}

// known reports whether the list of VMs is settled, or a peer has spoken.
func (m *members) known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listSettled || len(m.learned) > 0
}

// run keeps the entry until ctx ends.
func (m *members) run(ctx context.Context) {
	state := newDependency(m.cluster, "entry of this VM")
	for ctx.Err() == nil {
		err := m.renew(ctx)
		if ctx.Err() != nil {
			return
		}
		state.record(err)
		if err != nil {
			state.wait(ctx)
			continue
		}
		pause.For(ctx, memberRenewInterval)
	}
}

// renew extends the lease of this VM's entry, or writes the entry anew.
func (m *members) renew(ctx context.Context) error {
	if m.lease != 0 {
		err := m.options.Store.LeaseKeepAlive(ctx, m.lease)
		if !errors.Is(err, store.ErrLeaseGone) {
			return err
		}
		m.lease = 0
	}
	lease, err := m.options.Store.LeaseGrant(ctx, memberTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(m.self())
	if err != nil {
		return err
	}
	key := membersPrefix + string(m.options.VM)
	if _, err := m.options.Store.Txn(ctx, nil, []store.Write{{Key: key, Value: value, Lease: lease}}); err != nil {
		return err
	}
	m.lease = lease
	m.mu.Lock()
	m.writtenAt = boottime.Now()
	m.mu.Unlock()
	m.log.Info().Int64("lease", lease).Msg("entry of this VM written")
	return nil
}

// applyList takes over the entries of all VMs from a read that was sent at askedAt.
func (m *members) applyList(sentAt model.Time, kvs []store.KeyValue) {
	listed := map[model.VMID]memberEntry{}
	for i := range kvs {
		var e memberEntry
		if err := json.Unmarshal(kvs[i].Value, &e); err != nil {
			m.log.Warn().Err(err).Str("key", kvs[i].Key).Msg("entry of a VM ignored")
			continue
		}
		listed[model.VMID(strings.TrimPrefix(kvs[i].Key, membersPrefix))] = e
	}
	own, found := listed[m.options.VM]
	// An entry of this VM's last life tells that the others are listed as well.
	returned := found && own.Incarnation != m.incarnation
	listed[m.options.VM] = m.self()
	m.mu.Lock()
	changed := len(listed) != len(m.listed)
	for vm, e := range listed {
		changed = changed || m.listed[vm] != e
	}
	changed = m.updateMissing(listed) || changed
	m.listed, m.listRead = listed, true
	if !m.listSettled && (returned || m.writtenAt != 0 && sentAt.Sub(m.writtenAt) >= listSettleTime) {
		m.listSettled, changed = true, true
	}
	for vm, l := range m.learned {
		if boottime.Now().Sub(l.at) > learnedVMTTL {
			delete(m.learned, vm)
			changed = true
		}
	}
	m.mu.Unlock()
	if changed {
		m.publish("store")
	}
}

// noteMissing keeps the VMs that the next list lacks, for a while. It runs under
// the mutex and returns true when one is no longer kept.
func (m *members) updateMissing(next map[model.VMID]memberEntry) (forgotten bool) {
	now := boottime.Now()
	for vm, e := range m.listed {
		if _, found := next[vm]; !found {
			m.missing[vm] = datedEntry{entry: e, at: now}
		}
	}
	for vm, l := range m.missing {
		_, found := next[vm]
		if old := now.Sub(l.at) > missingVMRetention; found || old {
			delete(m.missing, vm)
			forgotten = forgotten || old
		}
	}
	return forgotten
}

// addLearned takes over VMs that have spoken, and what they know of others as long
// as the store's list has not been read.
func (m *members) addLearned(found map[model.VMID]memberEntry, direct bool) {
	m.mu.Lock()
	changed := false
	for vm, e := range found {
		if _, known := m.listed[vm]; known || vm == m.options.VM || m.listRead && !direct {
			continue
		}
		changed = changed || m.learned[vm].entry != e
		m.learned[vm] = datedEntry{entry: e, at: boottime.Now()}
	}
	m.mu.Unlock()
	if changed {
		m.publish("peer")
	}
}

// publish tells the cluster of the VMs. Until the list is settled the cluster
// knows of none and takes only a small part of what VMs divide.
func (m *members) publish(source string) {
	all := m.all()
	m.mu.Lock()
	listSettled := m.listSettled
	missing := make(map[model.VMID]memberEntry, len(m.missing))
	for vm, l := range m.missing {
		missing[vm] = l.entry
	}
	m.mu.Unlock()
	if !listSettled && len(all) == 1 {
		return
	}
	vms := make([]model.VMID, 0, len(all))
	for vm := range all {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	topo := newTopology(m.options.VM, all, missing)
	m.mu.Lock()
	m.topo = topo
	m.mu.Unlock()
	m.cluster.setMembers(vms, topo.sources)
	m.log.Info().Int("vms", len(vms)).Str("source", source).Msg("list of VMs changed")
}

// self returns the entry of this VM.
func (m *members) self() memberEntry {
	return memberEntry{
		Address: m.options.PeerAddress, Zone: m.options.Zone, Capacity: m.options.Capacity, Incarnation: m.incarnation,
	}
}

// all returns the entries of the VMs, this one included.
func (m *members) all() map[model.VMID]memberEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[model.VMID]memberEntry{m.options.VM: m.self()}
	for vm, l := range m.learned {
		all[vm] = l.entry
	}
	for vm, e := range m.listed {
		all[vm] = e
	}
	return all
}

// topology returns whom this VM asks.
func (m *members) topology() topology {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.topo
}

// holdersOf returns the VMs that hold the connections to an upstream of a zone.
func (m *members) holdersOf(zone model.Zone, id model.UpstreamID) []holderVM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return holdersOf(m.topo.holders, zone, id)
}

// holders returns the VMs that hold connections.
func (m *members) holders() []holderVM {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []holderVM
	for _, vms := range m.topo.holders {
		all = append(all, vms...)
	}
	return all
}

// isHolder reports whether a VM holds connections at the given address.
func (m *members) isHolder(h holderVM) bool { return slices.Contains(m.holders(), h) }

// recordAnswer notes the answer of a VM; cutOff is what it says of itself.
func (m *members) recordAnswer(vm model.VMID, at model.Time, peerIsolated bool) {
	m.mu.Lock()
	m.heard[vm] = at
	m.peerIsolated[vm] = peerIsolated
	m.mu.Unlock()
}

// scarce reports whether most other VMs have not answered yet.
func (m *members) startingUp() bool { return !m.known() || m.isolated() }

// isolated reports whether few of the VMs that this one asks have answered
// lately, or only such as are cut off with it.
func (m *members) isolated() bool {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	heard, connected := 0, 0
	for vm := range m.topo.neighbors {
		if now.Sub(m.heard[vm]) >= peerTimeout {
			continue
		}
		heard++
		if !m.peerIsolated[vm] {
			connected++
		}
	}
	if m.topo.large && !m.topo.hub {
		return connected == 0
	}
	return heard*2 < len(m.topo.neighbors)
}

// mayLead reports whether this VM may take the promotion duty: on a large
// deployment only hubs hear of each other's.
func (m *members) mayHoldLease() bool {
	topo := m.topology()
	return !topo.large || topo.hub
}

// followsHub reports whether a hub tells this VM what the operators write.
func (m *members) followsHub() bool {
	topo := m.topology()
	return topo.large && !topo.hub && !m.isolated()
}

// rank returns how many VMs that have answered lately come before this one.
func (m *members) rank() int {
	now := boottime.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	rank := 0
	for vm, at := range m.heard {
		if vm < m.options.VM && now.Sub(at) < peerTimeout {
			rank++
		}
	}
	return rank
}

// leave removes this VM's entry.
func (m *members) leave(ctx context.Context) {
	if m.lease == 0 {
		return
	}
	if err := m.options.Store.LeaseRevoke(ctx, m.lease); err != nil {
		m.log.Warn().Err(err).Msg("entry of this VM not removed; it expires")
	}
}
