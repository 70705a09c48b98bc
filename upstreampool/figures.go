package upstreampool

import "time"

// serviceWeight is the weight of a new value in the moving average of the service time:
// a few answers show that the upstream has become slow.
const serviceWeight = 0.2

// Figures are what other VMs need to know of the load of an upstream.
type Figures struct {
	// InFlight is the number of connections in use plus that of waiting requests.
	InFlight int
	// Arrivals is the number of requests for a connection since the pool was created.
	Arrivals uint64
	// ServiceTime is how long a statement takes without the wait for a slot, 0 before
	// the first answer.
	ServiceTime time.Duration
}

// Figures returns the load of the upstream.
func (p *Pool) Figures() Figures {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Figures{InFlight: p.open - len(p.idle) + len(p.waiters), Arrivals: p.arrivals, ServiceTime: p.service}
}

// observeService adds the latency of an answered statement to the service time. The
// statements beyond the slots of the upstream waited in its queue. The caller holds mu.
func (p *Pool) observeService(latency time.Duration) {
	if running := p.open - len(p.idle); running > p.upstream.Slots {
		latency = latency * time.Duration(p.upstream.Slots) / time.Duration(running)
	}
	if p.service == 0 {
		p.service = latency
	}
	p.service += time.Duration(serviceWeight * float64(latency-p.service))
}
