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
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/pause"
	"github.com/chervilhatch/chervilhatch/store"
)

// memberEntry is what a VM writes about itself to the store, under membersPrefix.
type memberEntry struct {
	// Address is the host:port where other VMs reach the peer listener.
	Address string     `json:"address"`
	Zone    model.Zone `json:"zone"`
	// Capacity is the share of a CPU core that the VM has. VMs with the largest
	// capacity become hubs.
	Capacity float64 `json:"capacity"`
	// Incarnation is random and thus differs between two starts of the VM.
	Incarnation uint64 `json:"incarnation"`
}

// datedEntry is the entry of a VM that is not in the list in the store, and the time
// when the VM was last reported by a peer or was found missing.
type datedEntry struct {
	entry memberEntry
	at    model.Time
}

// members keeps this VM's member entry in the store alive and knows the other VMs,
// from the list in the store and from peers.
type members struct {
	options Options
	cluster *cluster
	log     zerolog.Logger
	// incarnation is the one in this VM's entry.
	incarnation uint64

	mu sync.Mutex
	// listed are the VMs in the list in the store. learned are VMs without an entry
	// there: those that sent a message themselves, and those that peers named before
	// the list was first read.
	listed  map[model.VMID]memberEntry
	learned map[model.VMID]datedEntry
	// missing are VMs that have disappeared from the list within missingVMRetention.
	missing map[model.VMID]datedEntry
	// listSentAt is when the read of the list was sent. If it was the first after an outage of
	// the store, the VMs that were missing from then on keep their parts of rates and
	// connections until keepMissingUntil; keptMissing is their number.
	listSentAt       model.Time
	keepMissingUntil model.Time
	keptMissing      int
	// topo is the topology as of the last change of the list of VMs.
	topo topology
	// peerIsolated is true for the neighbors whose last answer said that they are
	// isolated.
	peerIsolated map[model.VMID]bool
	// listRead is true once the list has been read from the store, by this VM or a
	// peer.
	listRead bool
	// heard is the time of the last answered request to each peer.
	heard map[model.VMID]model.Time

	// lease is the ID of the lease of this VM's entry, 0 if there is none.
	lease int64
	// writtenAt is the time when this VM's entry was written, 0 before.
	writtenAt model.Time
	// listSettled is true once the list is certain to have all VMs that started at the
	// same time as this one; see listSettleTime.
	listSettled bool
}

func newMembers(o Options, c *cluster) *members {
	return &members{
		options: o, cluster: c, log: o.Log, incarnation: rand.Uint64(),
		listed: map[model.VMID]memberEntry{}, peerIsolated: map[model.VMID]bool{}, learned: map[model.VMID]datedEntry{}, missing: map[model.VMID]datedEntry{}, heard: map[model.VMID]model.Time{},
	}
}

// known reports whether other VMs are known: the list has settled, or a peer has been
// learned.
func (m *members) known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listSettled || len(m.learned) > 0
}

// run keeps this VM's entry alive until ctx ends.
func (m *members) run(ctx context.Context) {
	health := newStoreHealth(m.cluster, "entry of this VM")
	for ctx.Err() == nil {
		err := m.renew(ctx)
		if ctx.Err() != nil {
			return
		}
		health.record(err)
		if err != nil {
			health.wait(ctx)
			continue
		}
		pause.For(ctx, memberRenewInterval)
	}
}

// renew renews the lease of this VM's entry, or writes the entry with a new lease if
// there is none.
func (m *members) renew(ctx context.Context) error {
	if m.lease != 0 {
		err := m.options.Store.LeaseKeepAlive(ctx, m.lease)
		if !errors.Is(err, store.ErrLeaseNotFound) {
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
	m.log.Info().Int64("lease", lease).Msg("member entry of this VM written")
	return nil
}

// decode decodes the entries of VMs.
func (m *members) decode(kvs []store.KeyValue) map[model.VMID]memberEntry {
	listed := map[model.VMID]memberEntry{}
	for i := range kvs {
		var e memberEntry
		if err := json.Unmarshal(kvs[i].Value, &e); err != nil {
			m.log.Warn().Err(err).Str("key", kvs[i].Key).Msg("undecodable member entry ignored")
			continue
		}
		listed[model.VMID(strings.TrimPrefix(kvs[i].Key, membersPrefix))] = e
	}
	return listed
}

// applyList applies the entries of all VMs, from a read sent at sentAt, and keeps the
// map.
func (m *members) applyList(sentAt model.Time, listed map[model.VMID]memberEntry) {
	own, found := listed[m.options.VM]
	// If the entry of this VM's previous incarnation has not expired, neither have
	// those of the other VMs, so the list is complete.
	returned := found && own.Incarnation != m.incarnation
	listed[m.options.VM] = m.self()
	now := boottime.Now()
	m.mu.Lock()
	if m.listSentAt != 0 && sentAt.Sub(m.listSentAt) > replicaset.MissingGracePeriod {
		m.keepMissingUntil = now.Add(replicaset.MissingGracePeriod)
	}
	m.listSentAt = sentAt
	changed := len(listed) != len(m.listed)
	for vm, e := range listed {
		changed = changed || m.listed[vm] != e
	}
	changed = m.updateMissing(listed) || changed
	if kept := len(m.keptVMs(now)); kept != m.keptMissing {
		m.keptMissing, changed = kept, true
	}
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

// keptVMs returns the VMs that have disappeared from the list with an outage of the store, in
// which entries expire, as long as they may only have to write theirs again. The caller holds mu.
func (m *members) keptVMs(now model.Time) []model.VMID {
	var kept []model.VMID
	for vm, l := range m.missing {
		if now < m.keepMissingUntil && l.at >= m.keepMissingUntil.Add(-replicaset.MissingGracePeriod) {
			kept = append(kept, vm)
		}
	}
	return kept
}

// updateMissing adds to missing the VMs that are listed and not in next, and removes
// those that are back or that have been missing for missingVMRetention. It reports
// whether one was removed for the latter reason. The caller holds mu.
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

// addLearned adds VMs that a peer has named. direct means that the VM sent the message
// itself; others are ignored once the list has been read from the store, which has
// them.
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

// publish passes the VMs to the cluster and recomputes the topology. As long as the
// list has not settled and no other VM is known, it does nothing; the cluster then uses
// only a small share of the rate limits and connections that VMs divide.
func (m *members) publish(source string) {
	all := m.all()
	m.mu.Lock()
	listSettled := m.listSettled
	kept := m.keptVMs(boottime.Now())
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
	for _, vm := range kept {
		if _, known := all[vm]; !known {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	topo := newTopology(m.options.VM, all, missing)
	m.mu.Lock()
	m.topo = topo
	m.mu.Unlock()
	m.cluster.setMembers(vms, &topo)
	m.log.Info().Int("vms", len(vms)).Str("source", source).Msg("list of VMs changed")
}

// self returns the entry of this VM.
func (m *members) self() memberEntry {
	return memberEntry{
		Address: m.options.PeerAddress, Zone: m.options.Zone, Capacity: m.options.Capacity, Incarnation: m.incarnation,
	}
}

// all returns the entries of all known VMs, including this one.
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

// topology returns which VMs this VM polls.
func (m *members) topology() topology {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.topo
}

// holdersOf returns the VMs that hold the connections to an upstream of a zone, the
// first holder first.
func (m *members) holdersOf(zone model.Zone, id model.UpstreamID) []holderVM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return holdersOf(m.topo.holders, zone, id)
}

// holders returns all VMs that may hold connections.
func (m *members) holders() []holderVM {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []holderVM
	for _, vms := range m.topo.holders {
		all = append(all, vms...)
	}
	return all
}

// isHolder reports whether a VM, at the given address, may hold connections.
func (m *members) isHolder(h holderVM) bool { return slices.Contains(m.holders(), h) }

// recordAnswer records the answer of a VM to a request sent at the given time.
// peerIsolated is whether the VM says that it is isolated.
func (m *members) recordAnswer(vm model.VMID, at model.Time, peerIsolated bool) {
	m.mu.Lock()
	m.heard[vm] = at
	m.peerIsolated[vm] = peerIsolated
	m.mu.Unlock()
}

// usesOwnConnections reports whether this VM usually runs statements over its own connections to
// upstreams, for itself or for other VMs.
func (m *members) usesOwnConnections() bool {
	t := m.topology()
	return !t.large || t.hub
}

// startingUp reports whether most other VMs have not answered yet.
func (m *members) startingUp() bool { return !m.known() || m.isolated() }

// isolated reports whether less than half of this VM's neighbors are reachable (see
// peerTimeout). A VM that polls only the hubs of its zone is isolated if no hub
// answers that is not isolated itself, since the hubs may be cut off from other zones
// together with it.
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

// mayHoldLease reports whether this VM may hold the promotion lease. In a large
// deployment only hubs may, because only they learn from each other who holds it.
func (m *members) mayHoldLease() bool {
	topo := m.topology()
	return !topo.large || topo.hub
}

// hasHub reports whether this VM is one of those that get the lists from a hub. The hub
// may not have answered yet.
func (m *members) hasHub() bool {
	topo := m.topology()
	return topo.large && !topo.hub
}

// awaitsHub reports whether a hub may soon send what it passes on: the list of VMs has
// not been read yet, or this VM has a hub.
func (m *members) awaitsHub() bool {
	m.mu.Lock()
	read := m.listRead
	m.mu.Unlock()
	return !read || m.hasHub()
}

// followsHub reports whether this VM gets what operators write, and usually the lists,
// from a hub. Other VMs, and a VM that is isolated from its hubs, use the store.
func (m *members) followsHub() bool {
	return m.hasHub() && !m.isolated()
}

// rank returns the number of VMs with a lower ID that have answered within
// peerTimeout. It orders the VMs that could each do a task of which one is enough.
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

// leave removes this VM's entry by revoking its lease.
func (m *members) leave(ctx context.Context) {
	if m.lease == 0 {
		return
	}
	if err := m.options.Store.LeaseRevoke(ctx, m.lease); err != nil {
		m.log.Warn().Err(err).Msg("member entry of this VM not removed; its lease will expire")
	}
}
