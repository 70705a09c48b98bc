package linenode

import (
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/connlimit"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

const (
	// firstHolderWarmupFraction is the fraction of the warm-up rate that the first
	// holder of an upstream may use. The other VMs need some of it for when they
	// cannot reach the first holder.
	firstHolderWarmupFraction = 0.75
	// actingHolderPeriod is how long a VM acts as a holder of an upstream after
	// another VM has forwarded work for it.
	actingHolderPeriod = 3 * time.Second
)

// setPool creates the pool of a new upstream, and replaces that of an upstream that
// has restarted or moved, or whose statements begin or cease to wait for slots. The pool of one with any other change is kept. The caller
// holds mu, as for all methods of cluster in this file except admitForwarded and trim.
func (c *cluster) setPool(m *replicaset.Member) {
	pool := c.pools[m.ID]
	gated := c.usesGate(m.Service)
	if pool != nil && pool.ConnectsTo(m.Address, m.Incarnation) && pool.Gated() == gated {
		return
	}
	c.dropPool(m.ID)
	c.pools[m.ID] = upstreampool.New(poolUpstream(m), c.computeShare(m))
	if gated {
		c.pools[m.ID].UseGate(c.gateMetrics)
	}
}

// usesGate reports whether the statements of a service wait for slots; see
// Options.ByDeadline.
func (c *cluster) usesGate(service catalog.Service) bool {
	s := c.Catalog()
	return c.gateMetrics != nil && s != nil && s.Urgent(service)
}

// divisionFor returns how the connections to the upstreams of a service are divided. More of
// them without an order of what waits for slots only move the wait into the upstream's queue,
// so connlimit.Adaptive needs a gate.
func (c *cluster) divisionFor(service catalog.Service) connlimit.Division {
	if !c.usesGate(service) {
		return connlimit.Fixed
	}
	return c.division
}

// replacePools replaces the pools of services whose statements begin or cease to wait for
// slots with the configuration.
func (c *cluster) replacePools() {
	for id := range c.pools {
		if m, ok := c.replicas.Member(id); ok {
			c.setPool(&m)
		}
	}
}

// poolUpstream returns what a pool needs to know of an upstream.
func poolUpstream(m *replicaset.Member) upstreampool.Upstream {
	return upstreampool.Upstream{
		ID: m.ID, Service: string(m.Service), Address: m.Address, Slots: m.Slots, Incarnation: m.Incarnation,
	}
}

// setWarmup limits the rate of statements to an upstream that is slow after its start
// (warms up) to this VM's fraction of the service's warm-up rate.
func (c *cluster) setWarmup(m *replicaset.Member) {
	s := c.Catalog()
	if s == nil || s.Service(m.Service) == nil || s.Service(m.Service).WarmupRate <= 0 {
		return
	}
	rate := s.Service(m.Service).WarmupRate * warmupFraction(c.vms, c.holderRank(m))
	c.log.Info().Str("upstream", string(m.ID)).Dur("cold", m.WarmupLeft).Float64("per_second", rate).Msg("upstream warms up")
	c.pools[m.ID].SetWarmup(m.WarmupLeft, rate)
}

// warmupFraction returns the fraction of a warm-up rate that a VM of the given holder
// rank may use. Most of it goes to the first holder, through which nearly all
// statements pass. The fractions of all VMs add up to at most 1.
func warmupFraction(vms int, rank connlimit.Rank) float64 {
	switch rank {
	case connlimit.First:
		return firstHolderWarmupFraction
	case connlimit.Second:
		return (1 - firstHolderWarmupFraction) / 2
	}
	return (1 - firstHolderWarmupFraction) / 2 / float64(max(vms-connlimit.Holders, 1))
}

// dropPool closes the pool of an upstream.
func (c *cluster) dropPool(id model.UpstreamID) {
	if pool := c.pools[id]; pool != nil {
		pool.Close()
		delete(c.pools, id)
		delete(c.lastForwardedAt, id)
		delete(c.seats, id)
	}
}

// computeShare returns how many connections to an upstream this VM may open: one while
// the number of VMs or the limit is unknown.
func (c *cluster) computeShare(m *replicaset.Member) connlimit.Share {
	s := c.Catalog()
	if s == nil || s.Service(m.Service) == nil || c.vms == 0 {
		return connlimit.Share{Base: 1, Max: 1, Keep: 1}
	}
	seat := c.seats[m.ID]
	if seat == nil {
		seat = connlimit.NewSeat(c.divisionFor(m.Service))
		c.seats[m.ID] = seat
	}
	return seat.Share(c.Now(), s.Service(m.Service).ConnectionLimit, c.vms, c.holderRank(m))
}

// holderRank returns this VM's holder rank for an upstream. A VM that is not a holder
// but recently got forwarded work, because another VM takes it for one, has the rank
// of the second holder.
func (c *cluster) holderRank(m *replicaset.Member) connlimit.Rank {
	rank := slices.IndexFunc(c.holdersOf(m.Zone, m.ID), func(h holderVM) bool { return h.vm == c.self })
	at := c.lastForwardedAt[m.ID]
	switch {
	case rank >= 0:
		return connlimit.Rank(rank)
	case at != 0 && c.Now().Sub(at) < actingHolderPeriod:
		return connlimit.Second
	}
	return connlimit.Other
}

// admitForwarded admits new work that another VM forwards to this one, and records
// that it takes this VM for a holder. It returns an error if the upstream gets no new
// work, which the other VM may not know yet.
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

// updateShares recomputes the share of this VM in the connections of each upstream.
func (c *cluster) updateShares() {
	for id, pool := range c.pools {
		if m, ok := c.replicas.Member(id); ok {
			pool.SetShare(c.computeShare(&m))
		}
	}
}

// trim closes idle connections that are no longer needed and updates the connection
// shares and the metric of open connections.
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
