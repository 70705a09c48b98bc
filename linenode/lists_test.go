package linenode

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	vmlinkv1 "github.com/chervilhatch/chervilhatch/proto/vmlink/v1"
	"github.com/chervilhatch/chervilhatch/store"
)

// newListsFixture returns the part of a VM that passes lists and the configuration on.
func newListsFixture(vm model.VMID) *peers {
	o := Options{VM: vm, Zone: "z", Log: zerolog.Nop(), Registry: metrics.NewRegistry()}
	o.Formats.Registration = func(key string, _ []byte) (replicaset.Registration, error) {
		return replicaset.Registration{ID: model.UpstreamID(key), Service: "s", Slots: 1}, nil
	}
	o.Formats.Configuration = func(value []byte) (*catalog.Snapshot, error) {
		return (&catalog.Snapshot{Version: uint64(len(value))}).Index(), nil
	}
	c := newCluster(o)
	m := newMembers(o, c)
	c.forward = newForwarder(c.probes.ctx, c, m, newLinks())
	l := newLists(o, c, m)
	return newPeers(o, c, m, l, newTransitions(o, c, m), nil, newLinks())
}

// poll makes p poll from, and returns the size of the answer in bytes.
func (p *peers) pollDirectly(t *testing.T, from *peers) int {
	t.Helper()
	sentAt := boottime.Now()
	version, _ := p.cluster.storedConfig()
	r := &vmlinkv1.ObserveRequest{
		Vm: string(p.options.VM), ConfigVersion: version, Zone: "z", ListsAgeUs: uint64(p.lists.age().Microseconds()),
		ListsDigest: p.lists.digest(), AcceptsGzip: true,
	}
	a, err := from.Observe(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	p.handleAnswer(sentAt, r.GetListsDigest(), a)
	return proto.Size(a)
}

// largeLists returns the lists of a deployment of 300 VMs and 60 upstreams.
func largeLists(t *testing.T, sentAt model.Time) storeLists {
	l := storeLists{sentAt: sentAt}
	for i := range 300 {
		value, err := json.Marshal(memberEntry{Address: "10.0.0.1:7560", Zone: "z", Capacity: 0.2, Incarnation: uint64(i)})
		if err != nil {
			t.Fatal(err)
		}
		l.vms = append(l.vms, store.KeyValue{Key: membersPrefix + "vm-" + strconv.Itoa(i), Value: value, ModRevision: int64(i + 1)})
	}
	for i := range 60 {
		l.upstreams = append(l.upstreams, store.KeyValue{Key: "i-" + strconv.Itoa(i), Value: []byte("registration"), ModRevision: int64(i + 1)})
	}
	return l
}

// Guards against lists that are sent again to every VM each time they are read, although
// nothing has changed: in a large deployment they were most of the traffic between VMs.
func TestUnchangedListsAreNotSentAgain(t *testing.T) {
	from, to := newListsFixture("vm-0"), newListsFixture("vm-1")
	start := boottime.Now().Add(-10 * listsInterval)
	from.lists.install(largeLists(t, start))
	first := to.pollDirectly(t, from)
	from.lists.install(largeLists(t, start.Add(listsInterval)))
	second := to.pollDirectly(t, from)
	if second*10 > first {
		t.Errorf("answers of %d and %d bytes, want the second without the lists", first, second)
	}
	if got, want := to.lists.age(), from.lists.age(); got > want+listsInterval/2 {
		t.Errorf("lists of age %v after a poll of lists of age %v", got, want)
	}
	changed := largeLists(t, start.Add(2*listsInterval))
	changed.upstreams[7].ModRevision = 1000
	from.lists.install(changed)
	to.pollDirectly(t, from)
	if to.lists.digest() != from.lists.digest() {
		t.Error("changed lists were not passed on")
	}
}

// Guards against a configuration that is sent to every VM in full: on small links a large
// one delayed statements for seconds.
func TestConfigurationIsSentCompressed(t *testing.T) {
	from, to := newListsFixture("vm-0"), newListsFixture("vm-1")
	config := []byte("[" + strings.Repeat(`{"name":"r-12345","database":"db","kind":"primary"},`, 1500) + "{}]")
	from.cluster.install(config, "test")
	if size := to.pollDirectly(t, from); size*5 > len(config) {
		t.Errorf("answer of %d bytes for a configuration of %d bytes", size, len(config))
	}
	if _, got := to.cluster.storedConfig(); !bytes.Equal(got, config) {
		t.Error("the configuration was changed on its way")
	}
	if got, err := decompress([]byte("not compressed")); err == nil {
		t.Errorf("%q was decompressed", got)
	}
}

// Guards against a former primary that peers take for the primary of a later term: evidence
// of a term came with the primary of another one.
func TestPeersAreNotToldAPrimaryOfAnotherTerm(t *testing.T) {
	p := newListsFixture("vm-0")
	now := p.cluster.Now()
	for _, ev := range []replicaset.Event{
		{Kind: replicaset.EventRegistrations, SentAt: now, Registrations: []replicaset.Registration{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}},
		{Kind: replicaset.EventPrimary, Service: "s", Upstream: "a", Term: 1, SentAt: now},
		{Kind: replicaset.EventEvidence, Service: "s", Position: model.Position{Term: model.Term{Counter: 2}, Pos: 10}, Term: 2, SentAt: now},
	} {
		p.cluster.Observe(&ev)
	}
	a, err := p.Observe(t.Context(), &vmlinkv1.ObserveRequest{Vm: "vm-1", Zone: "z"})
	if err != nil || len(a.GetEvidence()) != 1 {
		t.Fatalf("answer %+v, %v", a, err)
	}
	if e := a.GetEvidence()[0]; e.GetPrimary() != "" {
		t.Errorf("primary %q of term 1 is sent as that of term %d", e.GetPrimary(), e.GetTerm())
	}
}

// Guards against a change of primary that waits until the lists are due, seconds later, and
// against one read of the store for each of many changes that begin together.
func TestRefreshReadsTheListsOnceAndAtOnce(t *testing.T) {
	p := newListsFixture("vm-0")
	s := &countingStore{}
	p.lists.options.Store = s
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p.lists.install(storeLists{sentAt: boottime.Now()})
	go p.lists.run(ctx)
	time.Sleep(listsPollInterval / 2)
	for range 20 {
		p.lists.refresh()
	}
	time.Sleep(listsPollInterval / 2)
	if reads := s.ranges.Load(); reads < 2 || reads > 4 {
		t.Errorf("%d ranges were read, want one or two reads of both lists", reads)
	}
}

// countingStore counts reads and returns empty lists.
type countingStore struct {
	store.Store
	ranges atomic.Int32
}

func (s *countingStore) Range(context.Context, string, int) ([]store.KeyValue, int64, error) {
	s.ranges.Add(1)
	return nil, 0, nil
}
