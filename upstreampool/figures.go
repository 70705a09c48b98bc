package upstreampool

import "time"

// serviceWeight is the weight of a new value in the moving average of the service time:
// a few answers show that the upstream has become slow.
const serviceWeight = 0.2

// Figures are what other VMs need to know of the load of an upstream.
type Figures struct {
	// InFlight is the number of statements that run plus that of waiting requests. Without a
	// gate each connection in use counts as a statement.
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
	return Figures{InFlight: p.running() + p.waitingCount(), Arrivals: p.arrivals, ServiceTime: p.service}
}

// running returns how many statements run, as in Figures. The caller holds mu.
func (p *Pool) running() int {
	if p.gate != nil {
		return p.gate.underWay
	}
	return p.open - len(p.idle)
}

// observeService adds the latency of an answered statement to the service time. The
// statements beyond the slots of the upstream waited in its queue. The caller holds mu.
func (p *Pool) observeService(latency time.Duration) {
	if running := p.running(); running > p.upstream.Slots {
		latency = latency * time.Duration(p.upstream.Slots) / time.Duration(running)
	}
	if p.service == 0 {
		p.service = latency
	}
	p.service += time.Duration(serviceWeight * float64(latency-p.service))
}
