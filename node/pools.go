package node

import (
	"crypto/tls"
	"time"

	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/backend"
	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/connshare"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/holder"
)

// demandInterval is how often open connections and demand are reported to the
// reducer.
const demandInterval = 100 * time.Millisecond

// poolManager applies the connection budgets of the upstreams that this VM holds.
// It is not safe for concurrent use; Node.poolMu guards it.
type poolManager struct {
	loop         *loop
	pools        *holder.Pools
	activeConfig *activeConfig
	credentials  *backend.Credentials
	tls          *tls.Config
	log          zerolog.Logger

	managed map[model.UpstreamID]managedPool
}

type managedPool struct {
	pool    *backend.Pool
	address string
	budget  int
}

// applyBudget opens or resizes the pool of an upstream; a budget of 0 removes
// the pool. Connections in use finish their transactions.
func (b *poolManager) applyBudget(e connshare.Effect) {
	if e.Connections == 0 {
		b.pools.Remove(e.Upstream)
		delete(b.managed, e.Upstream)
		b.reportConnections(e.Upstream, 0, 0)
		return
	}
	address, ok := b.activeConfig.upstreamAddress(e.Upstream)
	if !ok {
		return
	}
	entry := b.managed[e.Upstream]
	if entry.pool == nil || entry.address != address {
		entry = managedPool{pool: b.openPool(address, e), address: address}
		b.pools.Set(e.Upstream, entry.pool)
	}
	entry.budget = e.Connections
	entry.pool.SetBudget(e.Connections)
	entry.pool.SetWarm(e.Warm)
	b.managed[e.Upstream] = entry
	b.reportConnections(e.Upstream, entry.pool.Stats().Open, e.Connections)
}

func (b *poolManager) openPool(address string, e connshare.Effect) *backend.Pool {
	return backend.NewPool(backend.PoolOptions{
		Config: backend.Config{Address: address, Credentials: b.credentials, TLS: b.tls},
		Budget: e.Connections,
		Warm:   e.Warm,
	})
}

// reportConnections tells the reducer how many connections are open and which
// budget is applied.
func (b *poolManager) reportConnections(u model.UpstreamID, open, budget int) {
	ev := connshare.Event{Kind: connshare.EventOpenConnections, Upstream: u, Count: open, Limit: budget}
	b.loop.apply(&core.Event{ConnShare: &ev})
}

// reportAll reports the open connections and the demand of all managed pools.
func (b *poolManager) reportAll() {
	for u, entry := range b.managed {
		b.reportConnections(u, entry.pool.Stats().Open, entry.budget)
		demand := 0
		b.loop.view(func(_ model.Time, s *core.State) {
			running, waiting := s.Fairness.Load(u)
			demand = running + waiting
		})
		ev := connshare.Event{Kind: connshare.EventDemand, Upstream: u, Count: demand}
		b.loop.apply(&core.Event{ConnShare: &ev})
	}
}

// closeAll closes all pools.
func (b *poolManager) closeAll() {
	for u := range b.managed {
		b.pools.Remove(u)
	}
}
