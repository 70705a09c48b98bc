package linenode

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/store"
)

const (
	// listsInterval is the maximum age of the lists of upstreams and VMs on the VM of
	// rank 0, which therefore reads them that often. This is frequent enough for an
	// upstream that announces in its registration that it leaves, since it continues
	// to serve for several seconds.
	listsInterval = time.Second
	// listsStagger is multiplied by the rank of a VM to give by how much older its
	// lists may become than those of the VM of rank 0. Usually that VM reads them, and
	// the others get them from it.
	listsStagger = 500 * time.Millisecond
	// initialListsInterval replaces listsInterval after the start, until the list of VMs
	// has settled; a list that is read earlier again cannot have settled.
	initialListsInterval = listSettleTime + 50*time.Millisecond
	// initialHubWait is how much longer a VM waits that a hub can send the lists to.
	initialHubWait = 700 * time.Millisecond
	// listsPollInterval is the interval at which a VM checks the age of its lists.
	listsPollInterval = 100 * time.Millisecond
	// minListsAgeGain is by how much lists have to be newer than those of a peer to be
	// sent to it.
	minListsAgeGain = 300 * time.Millisecond
	// maxListsInterval is the maximum age of the lists on VMs of high rank, and on VMs
	// that get them from a hub.
	maxListsInterval = 4 * time.Second
)

// storeLists are the registrations of upstreams and the entries of VMs, as read from
// the store.
type storeLists struct {
	// sentAt is the time when the read was sent, 0 before the first.
	sentAt    model.Time
	upstreams []store.KeyValue
	vms       []store.KeyValue
	// digest differs between lists with different contents.
	digest uint64
	// registrations and members are the decoded contents.
	registrations []replicaset.Registration
	members       map[model.VMID]memberEntry
}

// digestOf returns the digest of lists: a hash of all keys and revisions.
func digestOf(upstreams, vms []store.KeyValue) uint64 {
	h := fnv.New64a()
	for _, list := range [][]store.KeyValue{upstreams, vms} {
		for i := range list {
			// Writes to a hash.Hash never return an error.
			_, _ = h.Write([]byte(list[i].Key))
			_ = binary.Write(h, binary.LittleEndian, list[i].ModRevision)
		}
	}
	return h.Sum64()
}

// lists keeps the newest lists that this VM or a peer has read from the store.
type lists struct {
	options Options
	cluster *cluster
	members *members
	// wake ends the pause of run.
	wake chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// current are the newest lists.
	current storeLists
	// neededSince is the time from which on a read of the lists is needed, 0 before the
	// first refresh.
	neededSince model.Time
	// decoded has the decoded entries of upstreams in the current lists by key, so that an
	// entry is decoded again only when it has changed.
	decoded map[string]decodedEntry
}

// decodedEntry is what an entry of an upstream says as of a revision of the store. usable is
// false if it could not be decoded.
type decodedEntry struct {
	revision     int64
	registration replicaset.Registration
	usable       bool
}

func newLists(o Options, c *cluster, m *members) *lists {
	return &lists{options: o, cluster: c, members: m, wake: make(chan struct{}, 1)}
}

// age returns the age of the lists, or the time since the boot of the VM before the
// first.
func (l *lists) age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.sentAt == 0 {
		return time.Duration(boottime.Now())
	}
	return boottime.Now().Sub(l.current.sentAt)
}

// digest returns the digest of the lists, 0 before the first.
func (l *lists) digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.digest
}

// newerThan returns the lists if they are newer by minListsAgeGain than lists of the
// given age.
func (l *lists) newerThan(age time.Duration) (storeLists, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.sentAt == 0 || boottime.Now().Sub(l.current.sentAt)+minListsAgeGain > age {
		return storeLists{}, false
	}
	return l.current, true
}

// run reads the lists whenever they are older than maxAge, until ctx ends.
func (l *lists) run(ctx context.Context) {
	health := newStoreHealth(l.cluster, "lists")
	for ctx.Err() == nil {
		if !l.due() {
			l.waitUntilDue(ctx)
			continue
		}
		err := l.read(ctx)
		if ctx.Err() != nil {
			return
		}
		health.record(err)
		if err != nil {
			l.cluster.Observe(&replicaset.Event{Kind: replicaset.EventStoreUnavailable})
			health.wait(ctx)
		}
	}
}

// maxAge returns the age at which this VM reads the lists itself.
func (l *lists) maxAge() time.Duration {
	switch {
	case l.members.followsHub():
		return maxListsInterval
	case !l.members.known() && l.members.hasHub():
		return initialListsInterval + initialHubWait
	case !l.members.known():
		return initialListsInterval
	}
	return min(listsInterval+time.Duration(l.members.rank())*listsStagger, maxListsInterval)
}

// refresh makes run read the lists now, and again after a failure, until newer ones than
// the present are known. Several requests share one read.
func (l *lists) refresh() {
	l.mu.Lock()
	l.neededSince = boottime.Now()
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// due reports whether this VM has to read the lists.
func (l *lists) due() bool {
	l.mu.Lock()
	needed := l.current.sentAt < l.neededSince
	l.mu.Unlock()
	return needed || l.age() >= l.maxAge()
}

// waitUntilDue pauses for listsPollInterval or until refresh is called.
func (l *lists) waitUntilDue(ctx context.Context) {
	timer := time.NewTimer(listsPollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.wake:
	}
}

func (l *lists) read(ctx context.Context) error {
	start := boottime.Now()
	upstreams, _, err := l.options.Store.Range(ctx, l.options.Formats.RegistrationsPrefix, 0)
	if err != nil {
		return err
	}
	vms, _, err := l.options.Store.Range(ctx, membersPrefix, 0)
	if err != nil {
		return err
	}
	l.install(storeLists{sentAt: start, upstreams: upstreams, vms: vms})
	return nil
}

// install applies lists unless newer ones are known.
func (l *lists) install(next storeLists) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next.sentAt <= l.current.sentAt {
		return
	}
	next.upstreams, next.registrations = l.decodeUpstreams(next.upstreams)
	next.digest = digestOf(next.upstreams, next.vms)
	if next.digest != l.current.digest {
		next.members = l.members.decode(next.vms)
		l.current = next
	}
	l.apply(next.sentAt)
}

// confirm applies that the lists with the digest were still current at sentAt.
func (l *lists) confirm(sentAt model.Time, digest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sentAt > l.current.sentAt && digest == l.current.digest {
		l.apply(sentAt)
	}
}

// apply applies the lists as of sentAt. The caller holds mu.
func (l *lists) apply(sentAt model.Time) {
	l.current.sentAt = sentAt
	l.cluster.Observe(&replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: sentAt, Registrations: l.current.registrations})
	l.members.applyList(sentAt, maps.Clone(l.current.members))
}

// decodeUpstreams returns the usable entries and what they say. Entries that cannot be
// decoded are dropped: another writer may have left them, of any size, and peers need not get
// them. The caller holds mu.
func (l *lists) decodeUpstreams(entries []store.KeyValue) (usable []store.KeyValue, registrations []replicaset.Registration) {
	decoded := make(map[string]decodedEntry, len(entries))
	for i := range entries {
		kv := &entries[i]
		old, found := l.decoded[kv.Key]
		d := old
		if !found || old.revision != kv.ModRevision {
			d = l.decode(kv, found && !old.usable)
		}
		decoded[kv.Key] = d
		if d.usable {
			usable, registrations = append(usable, *kv), append(registrations, d.registration)
		}
	}
	l.decoded = decoded
	return usable, registrations
}

// decode decodes an entry. logged is true if its former revision was logged as undecodable.
func (l *lists) decode(kv *store.KeyValue, logged bool) decodedEntry {
	r, err := l.options.Formats.Registration(kv.Key, kv.Value)
	if err != nil && !logged {
		l.cluster.log.Warn().Err(err).Int("bytes", len(kv.Value)).Int64("revision", kv.ModRevision).Msg("undecodable registration ignored")
	}
	return decodedEntry{revision: kv.ModRevision, registration: r, usable: err == nil}
}
