package upstreampool

import "time"

// grantNext lets the next waiter open a connection if the limit allows one.
func (p *Pool) grantNext() {
	if p.gate != nil {
		p.dispatch()
		return
	}
	if p.open >= p.limit() || p.closed {
		return
	}
	w := p.nextWaiter("")
	if w == nil {
		return
	}
	p.open++
	p.inUse[w.workspace]++
	w.ready <- grant{}
}

// nextWaiter removes and returns the next waiter: by priority, then the
// workspace that uses the fewest connections, then by arrival. As long as that
// waiter has waited for less than workspaceAffinity, a waiter of the given
// workspace is preferred to it, unless its request is less urgent.
func (p *Pool) nextWaiter(workspace string) *waiter {
	best := -1
	for i, w := range p.waiters {
		if best < 0 || p.before(w, p.waiters[best]) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	if first := p.waiters[best]; first.workspace != workspace && time.Since(first.since) < workspaceAffinity {
		for i, w := range p.waiters {
			if w.workspace == workspace && w.priority <= first.priority {
				best = i
				break
			}
		}
	}
	w := p.waiters[best]
	p.waiters = append(p.waiters[:best], p.waiters[best+1:]...)
	return w
}

// before reports whether waiter a goes before waiter b, which arrived earlier.
func (p *Pool) before(a, b *waiter) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return p.inUse[a.workspace] < p.inUse[b.workspace]
}
