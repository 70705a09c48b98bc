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

// demandInterval is how often the reducer is told about open connections and
// waiting requests.
const demandInterval = 100 * time.Millisecond

// poolManager carries out the connection poolManager of the upstreams that this VM
// holds. The executor calls it from one goroutine.
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

// applyBudget applies a budget; 0 removes the pool. Connections in use finish their
// transactions.
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
	known := b.managed[e.Upstream]
	if known.pool == nil || known.address != address {
		known = managedPool{pool: b.openPool(address, e), address: address}
		b.pools.Set(e.Upstream, known.pool)
	}
	known.budget = e.Connections
	known.pool.SetBudget(e.Connections)
	known.pool.SetWarm(e.Warm)
	b.managed[e.Upstream] = known
	b.reportConnections(e.Upstream, known.pool.Stats().Open, e.Connections)
}

func (b *poolManager) openPool(address string, e connshare.Effect) *backend.Pool {
	return backend.NewPool(backend.PoolOptions{
		Config: backend.Config{Address: address, Credentials: b.credentials, TLS: b.tls},
		Budget: e.Connections,
		Warm:   e.Warm,
	})
}

// reportConnections tells the reducer how many connections are open under which budget.
func (b *poolManager) reportConnections(u model.UpstreamID, open, budget int) {
	ev := connshare.Event{Kind: connshare.EventOpenConnections, Upstream: u, Count: open, Limit: budget}
	b.loop.apply(&core.Event{ConnShare: &ev})
}

// reportAll reports the connections and the demand of all upstreams held.
func (b *poolManager) reportAll() {
	for u, known := range b.managed {
		b.reportConnections(u, known.pool.Stats().Open, known.budget)
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
