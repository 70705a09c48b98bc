package property

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chervilhatch/chervilhatch/core/connshare"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// pool has the open connections of a VM to one upstream, and their budget.
type pool struct {
	open   int
	budget int
}

// share applies an event to the VM's connshare state and executes the effects.
func (v *vm) share(ev connshare.Event) {
	for _, e := range v.connshareState.Apply(v.clock(), &ev, nil) {
		p := v.pool(e.Upstream)
		if e.Kind == connshare.EffectSetBudget {
			p.budget = e.Connections
			if e.CloseNow {
				p.open = min(p.open, p.budget)
			}
			continue
		}
		v.sendRelease(seatItem(v.c, e), e.VM, e.Zone, e.Epoch, 0)
	}
}

func (v *vm) pool(u model.UpstreamID) *pool {
	p := v.pools[u]
	if p == nil {
		p = &pool{}
		v.pools[u] = p
	}
	return p
}

// seatItem returns the membership item of a released seat.
func seatItem(c *cluster, e connshare.Effect) membership.Item {
	for _, it := range c.items {
		if it.Name == string(e.Upstream) && it.Kind != membership.Tokens && seatOf(it) == e.Seat {
			return it
		}
	}
	return membership.Item{}
}

// runPools opens connections within the budgets, closes some of those above
// them, and reports the numbers of connections and some random demand.
func (v *vm) runPools() {
	for _, it := range v.c.items {
		if it.Kind != membership.MainSeat {
			continue
		}
		p := v.pool(model.UpstreamID(it.Name))
		switch {
		case p.open < p.budget && v.c.rng.Intn(3) > 0:
			p.open = p.budget
		case p.open > p.budget && !v.connsStayBusy && v.c.rng.Intn(5) == 0:
			p.open--
		}
		v.share(connshare.Event{
			Kind: connshare.EventOpenConnections, Upstream: model.UpstreamID(it.Name), Count: p.open, Limit: p.budget,
		})
		if v.c.rng.Intn(10) == 0 {
			v.share(connshare.Event{
				Kind: connshare.EventDemand, Upstream: model.UpstreamID(it.Name), Count: v.c.rng.Intn(8),
			})
		}
	}
}

// drained reports whether the VM has no open connections.
func (v *vm) drained() bool {
	for _, p := range v.pools {
		if p.open > 0 {
			return false
		}
	}
	return true
}

const (
	connLimit   = 20
	connsOfPool = connLimit - connshare.ReservedConnections
)

// seatItems returns the membership items of both seats of an upstream.
func seatItems(z model.Zone, u string) []membership.Item {
	return []membership.Item{
		{Kind: membership.MainSeat, Zone: z, Name: u},
		{Kind: membership.StandbySeat, Zone: z, Name: u},
	}
}

// checkConnections checks that neither the budgets of all running VMs nor the
// connections of those that are not paused exceed the limit of any upstream.
func (c *cluster) checkConnections() {
	for _, it := range c.items {
		u := model.UpstreamID(it.Name)
		budgets, open := 0, 0
		for _, v := range c.vms {
			if !v.alive {
				continue
			}
			budgets += v.connshareState.Budget(v.clock(), u)
			if !v.paused {
				open += v.pool(u).open
			}
		}
		if budgets > connsOfPool || open > connsOfPool {
			c.t.Fatalf("at %v, budgets of %d and %d open connections to %s", time.Duration(c.now), budgets, open, u)
		}
	}
}

// TestConnshareSum guards against holders that together open more connections
// than the upstream allows, and against seats without an owner after the faults
// have ended.
//
// Mutations of core/connshare that the test detects: a seat is released before its
// connections are closed, a confirmation extends a lost seat, a budget or open
// connections outlast the end of the seat, the standby share is one too large, and
// a lost seat keeps its budget ("budgets of 11 and 22 open connections").
func TestConnshareSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, "z1a", "z1b", "z1c", "z2a")
		c.items = append(seatItems("z1", "u1"), seatItems("z2", "u2")...)
		for _, v := range c.vms {
			v.onStart = startConnshare
		}
		c.startAll()
		c.check = c.checkConnections
		for range clusterSteps {
			c.step(t)
		}
		c.heal()
		c.advance(settleTime)
		c.checkWholeBudgets()
	})
}

func startConnshare(v *vm) {
	v.connshareState = connshare.New()
	for _, it := range v.c.items {
		if it.Kind == membership.MainSeat {
			v.share(connshare.Event{
				Kind: connshare.EventUpstreamSet, Upstream: model.UpstreamID(it.Name),
				Zone: it.Zone, Limit: connLimit, Slots: 3,
			})
		}
	}
}

// checkWholeBudgets checks that the budgets of each upstream add up to the shares
// of the seats that have a candidate: both in zone z1, only the main seat in z2.
func (c *cluster) checkWholeBudgets() {
	for _, it := range c.items {
		want := connshare.Share(connLimit, connshare.Main)
		if it.Zone == "z1" {
			want = connsOfPool
		}
		sum := 0
		for _, v := range c.vms {
			sum += v.connshareState.Budget(v.clock(), model.UpstreamID(it.Name))
		}
		if sum != want {
			c.t.Fatalf("budgets of %s are %d after the faults, want %d", it.Name, sum, want)
		}
	}
}
