package linenode

import (
	"testing"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// Guards against statements that wait for slots by their deadlines although neither the
// setting nor a route of the highest priority asks for it, and against a configuration
// whose change of that has no effect.
func TestOnlyServicesWithAnUrgentRouteAreGated(t *testing.T) {
	f, _ := newBalanceFixture(t)
	c := f.cluster
	gated := func(priority int) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		s := &catalog.Snapshot{Routes: []catalog.Route{
			{Database: "d", Service: "s", Priority: priority}, {Database: "e", Service: "other", Priority: catalog.TopPriority},
		}}
		c.catalog.Store(s.Index())
		c.replacePools()
		for id, p := range c.pools {
			if p.Gated() != c.pools["i-0"].Gated() {
				t.Errorf("%s differs from the other upstreams of its service", id)
			}
		}
		return c.pools["i-0"].Gated()
	}
	if gated(catalog.TopPriority) {
		t.Error("gated without the setting")
	}
	c.gateMetrics = upstreampool.NewGateMetrics(c.registry)
	for _, priority := range []int{1, catalog.TopPriority, 2, catalog.TopPriority} {
		if got := gated(priority); got != (priority == catalog.TopPriority) {
			t.Errorf("priority %d: gated %t", priority, got)
		}
	}
	c.division = connlimit.Adaptive
	for priority, want := range map[int]connlimit.Division{catalog.TopPriority: connlimit.Adaptive, 1: connlimit.Fixed} {
		gated(priority)
		if got := c.divisionFor("s"); got != want {
			t.Errorf("priority %d: division %v, want %v", priority, got, want)
		}
	}
	gated(catalog.TopPriority)
	kept := c.pools["i-0"]
	if gated(catalog.TopPriority); c.pools["i-0"] != kept {
		t.Error("a configuration that changes nothing here has replaced the connections")
	}
}
