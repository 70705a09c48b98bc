package holder

import (
	"sync"

	"github.com/chervilhatch/chervilhatch/backend"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// Pools has the connection pools of the upstreams whose connections this VM holds.
type Pools struct {
	mu    sync.RWMutex
	pools map[model.UpstreamID]*backend.Pool
}

// NewPools returns an empty set of pools.
func NewPools() *Pools {
	return &Pools{pools: map[model.UpstreamID]*backend.Pool{}}
}

// Set makes pool the pool of upstream u and closes the previous one.
func (p *Pools) Set(u model.UpstreamID, pool *backend.Pool) {
	p.mu.Lock()
	old := p.pools[u]
	p.pools[u] = pool
	p.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// Remove closes the pool of upstream u. Open transactions can still finish on
// their connections.
func (p *Pools) Remove(u model.UpstreamID) {
	p.mu.Lock()
	old := p.pools[u]
	delete(p.pools, u)
	p.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// Get returns the pool of upstream u, or nil if this VM does not hold its connections.
func (p *Pools) Get(u model.UpstreamID) *backend.Pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.pools[u]
}
