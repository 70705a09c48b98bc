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
	// listsInterval is how often the lists of upstreams and VMs are read; a
	// leaving upstream serves for several seconds after its notice.
	listsInterval = time.Second
	// listsPatience is how much longer each further VM waits for the lists of
	// another one before it reads them itself. Usually the first VM reads.
	listsStagger = 500 * time.Millisecond
	// firstListsInterval is the same right after the start.
	initialListsInterval = 200 * time.Millisecond
	// listsPoll is how often a VM looks whether its lists are too old.
	listsPollInterval = 100 * time.Millisecond
	// listsGain is by how much lists have to be newer to be passed on.
	minListsAgeGain = 300 * time.Millisecond
	// longestListsWait bounds the wait on deployments of many VMs.
	maxListsInterval = 4 * time.Second
)

// storeLists are the entries of upstreams and VMs as read from the store.
type storeLists struct {
	// askedAt is when the read was sent, 0 before the first.
	sentAt    model.Time
	upstreams []store.KeyValue
	vms       []store.KeyValue
}

// lists keeps the newest lists, read by this VM or by a peer.
type lists struct {
	options Options
	cluster *cluster
	members *members

	mu      sync.Mutex
	current storeLists
	// unreadable has the keys of entries that were logged as such.
	unreadable map[string]bool
}

func newLists(o Options, c *cluster, m *members) *lists {
	return &lists{options: o, cluster: c, members: m, unreadable: map[string]bool{}}
}

// age returns the age of the lists.
func (l *lists) age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.sentAt == 0 {
		return time.Duration(boottime.Now())
	}
	return boottime.Now().Sub(l.current.sentAt)
}

// newerThan returns the lists if they are worth passing on to a VM whose lists
// have the given age.
func (l *lists) newerThan(age time.Duration) (storeLists, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.sentAt == 0 || boottime.Now().Sub(l.current.sentAt)+minListsAgeGain > age {
		return storeLists{}, false
	}
	return l.current, true
}

// run reads the lists whenever they are too old, until ctx ends.
func (l *lists) run(ctx context.Context) {
	state := newDependency(l.cluster, "lists")
	for ctx.Err() == nil {
		if l.age() < l.maxAge() {
			pause.For(ctx, listsPollInterval)
			continue
		}
		err := l.read(ctx)
		if ctx.Err() != nil {
			return
		}
		state.record(err)
		if err != nil {
			l.cluster.Observe(&replicaset.Event{Kind: replicaset.EventStoreUnavailable})
			state.wait(ctx)
		}
	}
}

// patience returns how old the lists may become before this VM reads them.
func (l *lists) maxAge() time.Duration {
	switch {
	case l.members.followsHub():
		return maxListsInterval
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

// install takes over lists unless newer ones are known.
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

// registrations decodes the entries of upstreams.
func (l *lists) registrations(from *storeLists) *replicaset.Event {
	ev := &replicaset.Event{Kind: replicaset.EventRegistrations, SentAt: from.sentAt}
	for i := range from.upstreams {
		kv := &from.upstreams[i]
		r, err := l.options.Formats.Registration(kv.Key, kv.Value)
		if err != nil {
			if !l.unreadable[kv.Key] {
				l.unreadable[kv.Key] = true
				l.cluster.log.Warn().Err(err).Int64("revision", kv.ModRevision).Msg("registration ignored")
			}
			continue
		}
		ev.Registrations = append(ev.Registrations, r)
	}
	return ev
}
