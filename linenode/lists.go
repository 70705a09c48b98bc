package linenode

import (
	"context"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/pause"
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
}

// lists keeps the newest lists that this VM or a peer has read from the store.
type lists struct {
	options Options
	cluster *cluster
	members *members

	// mu guards the fields below.
	mu sync.Mutex
	// current are the newest lists.
	current storeLists
	// unreadable has the keys of registrations that cannot be decoded, so that each is
	// logged once.
	unreadable map[string]bool
}

func newLists(o Options, c *cluster, m *members) *lists {
	return &lists{options: o, cluster: c, members: m, unreadable: map[string]bool{}}
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
		if l.age() < l.maxAge() {
			pause.For(ctx, listsPollInterval)
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
	l.current = next
	l.cluster.Observe(l.registrations(&next))
	l.members.applyList(next.sentAt, next.vms)
}

// registrations decodes the registrations of upstreams. The caller holds mu.
func (l *lists) registrations(from *storeLists) *replicaset.Event {
	ev := &replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: from.sentAt}
	for i := range from.upstreams {
		kv := &from.upstreams[i]
		r, err := l.options.Formats.Registration(kv.Key, kv.Value)
		if err != nil {
			if !l.unreadable[kv.Key] {
				l.unreadable[kv.Key] = true
				l.cluster.log.Warn().Err(err).Int64("revision", kv.ModRevision).Msg("undecodable registration ignored")
			}
			continue
		}
		ev.Registrations = append(ev.Registrations, r)
	}
	return ev
}
