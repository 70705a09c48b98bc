package linenode

import (
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

const (
	// leastReserved connections of an upstream's limit, or a tenth of it, are
	// left for status queries and for VMs that come and go.
	minReserved     = 2
	reservedDivisor = 10
	// firstWarmupPart is the part of a warm-up rate that the first holder uses; the
	// others need some for when they cannot reach it.
	firstHolderWarmupFraction = 0.75
	// forwardedKept is how long a VM acts as a holder after a statement of another VM.
	actingHolderPeriod = 3 * time.Second
)

// setPool keeps the pool of an upstream whose phase changed and renews that of
// one that started again or moved.
func (c *cluster) setPool(m *replicaset.Member) {
	pool := c.pools[m.ID]
	if pool != nil && pool.Same(m.Address, m.Incarnation) {
		return
	}
	c.dropPool(m.ID)
	c.pools[m.ID] = upstreampool.New(poolUpstream(m), c.computeShare(m))
}

// upstreamOf returns where the pools of an upstream connect to.
func poolUpstream(m *replicaset.Member) upstreampool.Upstream {
	return upstreampool.Upstream{
		ID: m.ID, Service: string(m.Service), Address: m.Address, Slots: m.Slots, Incarnation: m.Incarnation,
	}
}

// setWarmup limits the statements to an upstream that is slow after its start to
// this VM's part of the service's rate.
func (c *cluster) setWarmup(m *replicaset.Member) {
	s := c.Catalog()
	if s == nil || s.Service(m.Service) == nil || s.Service(m.Service).WarmupRate <= 0 {
		return
	}
	rate := s.Service(m.Service).WarmupRate * warmupFraction(c.vms, c.holderRank(m))
	c.log.Info().Str("upstream", string(m.ID)).Dur("cold", m.WarmupLeft).Float64("per_second", rate).Msg("upstream warms up")
	c.pools[m.ID].SetWarmup(m.WarmupLeft, rate)
}

// warmupPart returns the part of a warm-up rate that a VM of a rank may use. Nearly
// all statements pass the first holder; the parts of all VMs add up to one at most.
func warmupFraction(vms, rank int) float64 {
	switch rank {
	case rankFirst:
		return firstHolderWarmupFraction
	case rankSecond:
		return (1 - firstHolderWarmupFraction) / 2
	}
	return (1 - firstHolderWarmupFraction) / 2 / float64(max(vms-holdersPerUpstream, 1))
}

func (c *cluster) dropPool(id model.UpstreamID) {
	if pool := c.pools[id]; pool != nil {
		pool.Close()
		delete(c.pools, id)
		delete(c.lastForwardedAt, id)
	}
}

// shareOf returns how many connections to an upstream this VM may open.
func (c *cluster) computeShare(m *replicaset.Member) upstreampool.Share {
	s := c.Catalog()
	if s == nil || s.Service(m.Service) == nil || c.vms == 0 {
		return upstreampool.Share{Base: 1, Most: 1}
	}
	limit := s.Service(m.Service).ConnectionLimit
	limit -= max(minReserved, limit/reservedDivisor)
	return holderShare(limit, c.vms, c.holderRank(m))
}

// Ranks of a VM among those that hold an upstream's connections.
const (
	rankFirst = iota
	rankSecond
	rankNone
)

// rankOf returns this VM's rank for an upstream. A VM that others take for a
// holder acts as one.
func (c *cluster) holderRank(m *replicaset.Member) int {
	rank := slices.IndexFunc(c.holdersOf(m.Zone, m.ID), func(h holderVM) bool { return h.vm == c.self })
	at := c.lastForwardedAt[m.ID]
	switch {
	case rank >= 0:
		return rank
	case at != 0 && c.Now().Sub(at) < actingHolderPeriod:
		return rankSecond
	}
	return rankNone
}

// admitForwarded notes new work of another VM that takes this one for a holder. It
// fails if the upstream gets no new work; the other VM may not know yet.
func (c *cluster) admitForwarded(id model.UpstreamID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if !c.replicas.Eligible(now, id) {
		return upstreampool.ErrClosed
	}
	first := c.lastForwardedAt[id] == 0 || now.Sub(c.lastForwardedAt[id]) >= actingHolderPeriod
	c.lastForwardedAt[id] = now
	if m, ok := c.replicas.Member(id); ok && first {
		c.pools[id].SetShare(c.computeShare(&m))
	}
	return nil
}

// holderShare divides the connections of an upstream by the rank of a VM. The
// first holder has half, so that its connections of before a loss of power and
// those of after fit in together; upstreams count the old ones for seconds. Of the
// other half each further VM may have one at least. Where the VMs are too many for
// that, they still may, since they use it only while they reach no holder.
func holderShare(limit, vms, rank int) upstreampool.Share {
	first := limit / 2
	further := max(vms-holdersPerUpstream, 1)
	direct := limit / 4
	if further < limit-first {
		direct = max(direct, further)
	}
	switch rank {
	case rankFirst:
		return upstreampool.Share{Base: first, Most: max(first, 1)}
	case rankSecond:
		return upstreampool.Share{Base: 0, Most: max(limit-first-direct, 1)}
	}
	return upstreampool.Share{Base: 0, Most: max(direct/further, 1)}
}

// reshare divides the connections anew.
func (c *cluster) updateShares() {
	for id, pool := range c.pools {
		if m, ok := c.replicas.Member(id); ok {
			pool.SetShare(c.computeShare(&m))
		}
	}
}

// trim closes connections that are no longer needed.
func (c *cluster) trim() {
	c.mu.Lock()
	c.updateShares()
	pools := make([]*upstreampool.Pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.Unlock()
	c.probes.trim()
	open := 0
	for _, p := range pools {
		p.Trim()
		open += p.Stats().Open
	}
	metrics.GetOrRegisterGauge("upstream.connections", c.registry).Update(int64(open))
}
