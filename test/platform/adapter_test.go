// Package platform tests the adapter to the users' platform against a stand-in.
package platform

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/platform"
	"github.com/chervilhatch/chervilhatch/standin/metastore"
	"github.com/chervilhatch/chervilhatch/store"
)

func newStore(t *testing.T) (*metastore.Store, *platform.Store) {
	t.Helper()
	s, err := metastore.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, newClient(s)
}

// newClient returns another client of a store.
func newClient(s *metastore.Store) *platform.Store {
	return platform.NewStore(s.Address(), 500*time.Millisecond, 300*time.Millisecond, metrics.NewRegistry())
}

func TestKeys(t *testing.T) {
	s, client := newStore(t)
	if kv, err := client.Get(t.Context(), "absent"); err != nil || kv.ModRevision != 0 {
		t.Errorf("Get of an absent key = %+v, %v", kv, err)
	}
	s.Put("op/a", []byte("value \x00\xff"))
	kv, err := client.Get(t.Context(), "op/a")
	if err != nil || string(kv.Value) != "value \x00\xff" || kv.ModRevision == 0 {
		t.Errorf("Get = %+v, %v", kv, err)
	}
}

// Guards against keys that are lost between two pages.
func TestRangeReadsAllPages(t *testing.T) {
	s, client := newStore(t)
	for i := range 1203 {
		s.Put(fmt.Sprintf("servers/%04d", i), []byte("x"))
	}
	kvs, revision, err := client.Range(t.Context(), "servers/", 0)
	if err != nil || len(kvs) != 1203 || revision == 0 {
		t.Errorf("%d keys at revision %d, %v", len(kvs), revision, err)
	}
}

// Guards against a change whose success, failure or unknown outcome is reported
// wrongly.
func TestTxn(t *testing.T) {
	s, client := newStore(t)
	absent := []store.Condition{{Key: "k"}}
	put := []store.Write{{Key: "k", Value: []byte("1")}}
	r, err := client.Txn(t.Context(), absent, put)
	if err != nil || !r.Succeeded || r.Revision == 0 {
		t.Fatalf("Txn = %+v, %v", r, err)
	}
	r, err = client.Txn(t.Context(), absent, put)
	if err != nil || r.Succeeded || len(r.Current) != 1 || string(r.Current[0].Value) != "1" {
		t.Errorf("Txn on a condition that fails = %+v, %v", r, err)
	}
	if _, err := client.Txn(t.Context(), nil, []store.Write{{Key: "k", Lease: 9}}); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Errorf("Txn with an expired lease: %v", err)
	}
	s.LoseAnswers.Store(1)
	if _, err := client.Txn(t.Context(), nil, []store.Write{{Key: "lost", Value: []byte("1")}}); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("Txn whose answer is lost: %v", err)
	}
	s.Down.Store(true)
	if _, err := client.Txn(t.Context(), nil, put); !errors.Is(err, store.ErrRejected) {
		t.Errorf("Txn that the store rejects: %v", err)
	}
}

func TestLeases(t *testing.T) {
	_, client := newStore(t)
	lease, err := client.LeaseGrant(t.Context(), 200*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Txn(t.Context(), nil, []store.Write{{Key: "k", Lease: lease}}); err != nil {
		t.Fatal(err)
	}
	if err := client.LeaseKeepAlive(t.Context(), lease); err != nil {
		t.Error(err)
	}
	time.Sleep(300 * time.Millisecond)
	if kv, _ := client.Get(t.Context(), "k"); kv.ModRevision != 0 {
		t.Error("the key outlives its lease")
	}
	if err := client.LeaseKeepAlive(t.Context(), lease); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Errorf("LeaseKeepAlive of an expired lease: %v", err)
	}
}

// Guards against changes that a watch misses, and against a watch that goes on
// after the store has discarded the changes since its start.
func TestWatch(t *testing.T) {
	s, client := newStore(t)
	s.Put("op/a", []byte("1"))
	_, revision, err := client.Range(t.Context(), "op/", 0)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	seen := make(chan store.KeyValue, 10)
	ended := make(chan error, 1)
	go func() {
		ended <- client.Watch(ctx, "op/", revision, func(c store.Change) {
			for _, kv := range c.KVs {
				seen <- kv
			}
		})
	}()
	s.Put("op/b", []byte("2"))
	if kv := <-seen; kv.Key != "op/b" || string(kv.Value) != "2" {
		t.Errorf("change %+v", kv)
	}
	s.Delete("op/a")
	if kv := <-seen; kv.Key != "op/a" || kv.ModRevision != 0 {
		t.Errorf("deletion %+v", kv)
	}
	cancel()
	<-ended
	s.CompactHistory()
	if err := client.Watch(t.Context(), "op/", revision, func(store.Change) {}); !errors.Is(err, store.ErrCompacted) {
		t.Errorf("Watch from a discarded revision: %v", err)
	}
}

func TestPromoter(t *testing.T) {
	s, _ := newStore(t)
	s.Promote = func(service, id string, token uint64) bool { return service == "db" && id == "b" && token == 7 }
	p := platform.NewPromoter(s.Address(), time.Second, "vm-1", metrics.NewRegistry())
	if err := p.Promote(t.Context(), "db", "b", 7); err != nil {
		t.Error(err)
	}
	if err := p.Promote(t.Context(), "db", "b", 6); !errors.Is(err, platform.ErrFenced) {
		t.Errorf("a refused promotion: %v", err)
	}
	s.Down.Store(true)
	if err := p.Promote(t.Context(), "db", "b", 7); !errors.Is(err, store.ErrRejected) {
		t.Errorf("a rejected promotion: %v", err)
	}
}

const configuration = `{"version":7,"unknown":true,
 "routes":[{"name":"r","database":"d","kind":"read_your_writes","timeout-ms":800,"target-latency-ms":250,"priority":2,
            "service-name":"s","max-staleness-ms":2500,"allow-anonymous":true},
           {"name":"r2","database":"d2","kind":"something new","service-name":"s"}],
 "services":[{"name":"s","max-conns":22,"sync-replicas":1,"warmup-s":1.5,"warmup-per-s":4}],
 "limits":{"tx-idle-ms":3000},
 "tenants":[{"name":"t","api-keys":["k1","k2"],"rate-per-s":138,"burst":140,"priority":1}]}`

func TestDecodeConfiguration(t *testing.T) {
	c, err := platform.DecodeConfiguration([]byte(configuration))
	if err != nil {
		t.Fatal(err)
	}
	r := c.Route("d")
	if r == nil || r.Freshness != catalog.FreshSession || r.MaxStaleness != 2500*time.Millisecond || !r.Anonymous ||
		r.StatementTimeout != 800*time.Millisecond || r.Service != "s" || r.Priority != 2 {
		t.Errorf("route %+v", r)
	}
	if other := c.Route("d2"); other.Freshness != catalog.FreshPrimary {
		t.Error("a route of an unknown kind does not have the strongest guarantee")
	}
	if w := c.WorkspaceByKey(catalog.DigestOf("k2")); w == nil || w.Name != "t" || w.Rate != 138 || w.Burst != 140 {
		t.Errorf("workspace %+v", w)
	}
	if s := c.Service("s"); s.ConnectionLimit != 22 || s.SyncReplicas != 1 || s.Warmup != 1500*time.Millisecond || s.WarmupRate != 4 {
		t.Errorf("service %+v", s)
	}
	if c.Limits.TxIdleTimeout != 3*time.Second || c.Version != 7 {
		t.Errorf("limits %+v, version %d", c.Limits, c.Version)
	}
	for _, bad := range []string{"", "{", "[]", `{"version":0}`, `{"version":"x"}`} {
		if _, err := platform.DecodeConfiguration([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

const registration = `{"service-name":"s","address":"10.1.0.9:8080","zone":"z","version":"v1","slots":3,"phase":"ready",
 "warmup-left-ms":20,"db-role":"replica","sequence":4,"born":1700000000000}`

// Guards against invalid entries, or entries of other writers, that are decoded
// as upstreams.
func TestDecodeRegistration(t *testing.T) {
	r, err := platform.DecodeRegistration("servers/i-1", []byte(registration))
	if err != nil || r.ID != "i-1" || r.Service != "s" || r.Slots != 3 || r.Leaving || r.Primary ||
		r.Incarnation != 1700000000000 || r.Sequence != 4 || r.WarmupLeft != 20*time.Millisecond {
		t.Errorf("registration %+v, %v", r, err)
	}
	for _, bad := range []string{
		"", "\xff\xfe", "null", "{}", `{"service-name":1}`,
		`{"service-name":"s","address":"x","zone":"z","slots":3,"phase":"ready","db-role":"replica"}`,
		`{"service-name":"s","address":"1.2.3.4:5","zone":"z","slots":3,"phase":"asleep","db-role":"replica"}`,
		`{"service-name":"s","address":"1.2.3.4:5","zone":"z","slots":3,"phase":"ready","db-role":"witness"}`,
		`{"service-name":"s","address":"1.2.3.4:5","zone":"z","slots":"3","phase":"ready","db-role":"primary"}`,
		`{"service-name":"s","address":"1.2.3.4:5","zone":"z","slots":0,"phase":"ready","db-role":"primary"}`,
	} {
		if r, err := platform.DecodeRegistration("servers/i-1", []byte(bad)); err == nil {
			t.Errorf("%q was decoded as %+v", bad, r)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(configuration))
	f.Add([]byte(registration))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := platform.DecodeConfiguration(data); err == nil && c.Version == 0 {
			t.Error("a configuration without a version was accepted")
		}
		if r, err := platform.DecodeRegistration("servers/i", data); err == nil && (r.Service == "" || r.Slots <= 0) {
			t.Errorf("registration %+v", r)
		}
	})
}
