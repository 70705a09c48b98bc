package linenode

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/store"
)

// newOddListsFixture returns a VM that cannot decode entries whose key contains "odd". count
// has the number of calls of the decoder.
func newOddListsFixture(vm model.VMID, count *int) *peers {
	p := newListsFixture(vm)
	p.lists.options.Formats.Registration = func(key string, value []byte) (replicaset.Registration, error) {
		*count++
		if strings.Contains(key, "odd") {
			return replicaset.Registration{}, errors.New("odd entry")
		}
		return replicaset.Registration{ID: model.UpstreamID(key), Service: catalog.Service(value), Slots: 1}, nil
	}
	return p
}

func upstreamsOf(p *peers) int {
	n := 0
	for _, v := range p.cluster.replicas.Views() {
		n += len(v.Members)
	}
	return n
}

// Guards against VMs that stop getting lists because of large entries of another writer among
// them: an answer with such an entry takes longer than a poll may, or exceeds the largest message.
func TestOddEntriesAreNotPassedOn(t *testing.T) {
	for _, odd := range []struct{ entries, size int }{{1, 100}, {1, 1 << 20}, {3, 1 << 19}, {20, 1 << 20}} {
		decoded := 0
		reader, other := newOddListsFixture("vm-0", &decoded), newOddListsFixture("vm-1", &decoded)
		lists := func(revision int64) storeLists {
			l := storeLists{sentAt: boottime.Now()}
			for i := range odd.entries {
				l.upstreams = append(l.upstreams, store.KeyValue{Key: "odd-" + string(rune('a'+i)), Value: bytes.Repeat([]byte("["), odd.size), ModRevision: revision})
			}
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				l.upstreams = append(l.upstreams, store.KeyValue{Key: id, Value: []byte("s"), ModRevision: 7})
			}
			return l
		}
		reader.lists.install(lists(8))
		if size := other.pollDirectly(t, reader); size > 4096 {
			t.Errorf("%d entries of %d bytes: the answer to a poll has %d bytes", odd.entries, odd.size, size)
		}
		if n, m := upstreamsOf(reader), upstreamsOf(other); n != 3 || m != 3 {
			t.Errorf("%d entries of %d bytes: the VMs know %d and %d upstreams, want 3", odd.entries, odd.size, n, m)
		}
		// The same lists are read again; then the other writer writes again.
		decoded = 0
		time.Sleep(time.Millisecond)
		reader.lists.install(lists(8))
		if decoded > 0 {
			t.Errorf("%d unchanged entries were decoded again", decoded)
		}
		digest := reader.lists.digest()
		time.Sleep(time.Millisecond)
		reader.lists.install(lists(9))
		if reader.lists.digest() != digest {
			t.Error("the lists count as changed after an odd entry was written again")
		}
	}
}

// Guards against an entry that is logged, or kept in memory, again and again.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	decoded := 0
	p := newOddListsFixture("vm-0", &decoded)
	var logged bytes.Buffer
	p.cluster.log = zerolog.New(&logged)
	for revision := range int64(20) {
		time.Sleep(time.Millisecond)
		p.lists.install(storeLists{sentAt: boottime.Now(), upstreams: []store.KeyValue{{Key: "odd", Value: []byte("x"), ModRevision: revision + 1}}})
	}
	if n := strings.Count(logged.String(), "undecodable registration ignored"); n != 1 {
		t.Errorf("logged %d times", n)
	}
	for i := range 20 {
		time.Sleep(time.Millisecond)
		p.lists.install(storeLists{sentAt: boottime.Now(), upstreams: []store.KeyValue{{Key: "odd-" + string(rune('a'+i)), ModRevision: 30}}})
	}
	if n := len(p.lists.decoded); n != 1 {
		t.Errorf("%d entries are kept, of which one is in the list", n)
	}
}

// Guards against changes of primary, and an isolation, because of entries that name a service
// which is not configured.
func TestUnconfiguredServicesAreIgnored(t *testing.T) {
	decoded := 0
	p := newOddListsFixture("vm-0", &decoded)
	l := storeLists{sentAt: boottime.Now()}
	for _, service := range []string{"s", "other-1", "other-2", "other-3"} {
		l.upstreams = append(l.upstreams, store.KeyValue{Key: "i-" + service, Value: []byte(service), ModRevision: 1})
	}
	p.lists.install(l)
	p.cluster.catalog.Store((&catalog.Snapshot{Version: 1, Services: []catalog.ServiceConfig{{Name: "s"}}}).Index())
	if views := p.transitions.input().Views; len(views) != 1 || views[0].Service != "s" {
		t.Errorf("transitions see %d services, want the configured one", len(views))
	}
	p.cluster.Observe(&replicaset.Event{Kind: replicaset.EventEvidence, Service: "s", Term: 1, SentAt: p.cluster.Now()})
	p.cluster.isolated = func() bool { return true }
	if p.cluster.Isolated() {
		t.Error("isolated although there is evidence of the only configured service")
	}
}
