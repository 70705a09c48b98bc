package line

import (
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/core/usage"
	"github.com/chervilhatch/chervilhatch/platform"
	"github.com/chervilhatch/chervilhatch/store"
)

// reported returns the requests of all reports and the number of windows.
func (f *fixture) reported() (requests uint64, windows int) {
	reports := f.Store.Usage.Reports()
	for _, counts := range reports {
		for _, n := range counts {
			requests += n
		}
	}
	return requests, len(reports)
}

func (f *fixture) client() store.Store {
	return platform.NewStore(f.Store.Address(), time.Second, time.Second, metrics.NewRegistry())
}

// holder returns the index of the VM that holds the lease of the duties.
func (f *fixture) holder() int {
	kv, err := f.client().Get(f.t.Context(), "chervilhatch/duty/promotion")
	if err != nil || len(kv.Value) == 0 {
		f.t.Fatalf("no holder of the lease: %v", err)
	}
	return int(kv.Value[len(kv.Value)-1] - '0')
}

// Guards against windows that are reported with requests missing, doubled or of the proxy
// itself, and against two different reports for one window: while statements and
// transactions run on three VMs, answers of the store and of the platform are lost, and
// the holder of the duty stops.
func TestUsageReports(t *testing.T) {
	f := newFixtureWithoutVMs(t, fastGroup)
	f.usage = &usage.Settings{Window: time.Second, Due: 6 * time.Second}
	f.spreadZones = true
	f.startAll(3)
	// The first holder reports windows that begin after it has acquired the duty.
	f.WaitFor("a report", func() bool { _, windows := f.reported(); return windows > 0 })
	w := f.startWriters(6)
	f.WaitFor("writes", func() bool { return w.Count("") > 100 })
	f.Store.Usage.LoseAnswers(true)
	f.Store.LoseAnswers.Store(2)
	f.WaitFor("more writes", func() bool { return w.Count("") > 300 })
	w.stop()
	_, before := f.reported()
	f.WaitFor("reports without answers", func() bool { _, windows := f.reported(); return windows > before+1 })
	f.Store.Usage.LoseAnswers(false)
	sent, other := uint64(w.Count("")), uint64(0)
	for code, n := range w.Codes() {
		if code != "" {
			other += uint64(n)
		}
	}
	f.WaitFor("all requests reported", func() bool { requests, _ := f.reported(); return requests >= sent })
	f.nodes[f.holder()].Stop()
	_, before = f.reported()
	f.WaitFor("reports of another holder", func() bool { _, windows := f.reported(); return windows > before+2 })
	if requests, _ := f.reported(); requests < sent || requests > sent+other {
		t.Errorf("%d requests reported, %d sent and %d others", requests, sent, other)
	}
	for _, fault := range f.Store.Usage.Faults() {
		t.Error(fault)
	}
}

// Guards against a deployment without the setting that reports usage.
func TestUsageIsOffByDefault(t *testing.T) {
	f := newFixture(t, 3, fastGroup)
	w := f.startWriters(2)
	f.WaitFor("writes", func() bool { return w.Count("") > 100 })
	time.Sleep(2 * time.Second)
	w.stop()
	if _, windows := f.reported(); windows != 0 {
		t.Errorf("%d windows are reported", windows)
	}
	kvs, _, err := f.client().Range(t.Context(), "chervilhatch/usage/", 0)
	if err != nil || len(kvs) > 0 {
		t.Errorf("%d records are written, %v", len(kvs), err)
	}
}
