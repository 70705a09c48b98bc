package limits

import (
	"github.com/chervilhatch/chervilhatch/core/model"
)

// admit admits a request immediately if enough tokens are available and neither
// a request nor a peer waits. Otherwise it queues the request and requests the
// missing tokens, or refuses it if it costs more than the burst, its deadline
// has passed or the queue is full.
func (s *State) admit(ev *Event, out []Effect) []Effect {
	w := s.workspaces[ev.Workspace]
	if w == nil {
		return append(out, Effect{Kind: EffectRefuse, Workspace: ev.Workspace, ID: ev.ID})
	}
	w.grants.expire(s.now)
	w.bucket.refill(s.now)
	w.demand.add(ev.Amount)
	cost := max(ev.Amount, 1)
	if len(w.queued()) == 0 && len(w.peerRequests) == 0 && s.consume(w, cost) {
		out = append(out, Effect{Kind: EffectAdmit, Workspace: w.name, ID: ev.ID})
		return s.fetch(w, out)
	}
	r := waiter{id: ev.ID, cost: cost, deadline: min(ev.Deadline, s.now.Add(s.config.MaxWait))}
	if cost > w.burst || s.now >= r.deadline || len(w.queued()) >= s.config.QueueLimit {
		return append(out, refusal(w, r))
	}
	w.waiters = append(w.waiters, r)
	w.queuedCost += cost
	return s.serve(w, out)
}

// consume debits cost from the prefetched tokens first and then from the
// balance of the owned share. If together they do not cover cost, it debits
// nothing and returns false.
func (s *State) consume(w *workspace, cost int64) bool {
	balance := int64(0)
	if w.bucket.ownedAt(s.now) {
		balance = w.bucket.balance
	}
	if w.grants.total+balance < cost {
		return false
	}
	rest := cost - w.grants.consume(cost)
	w.bucket.balance -= rest
	return true
}

// cancel removes a queued request whose caller no longer waits for it.
func (s *State) cancel(w *workspace, id uint64) {
	for i, r := range w.queued() {
		if r.id == id {
			w.removeWaiter(i)
			return
		}
	}
}

// refuseExpired refuses the queued requests whose deadline has passed.
func (s *State) refuseExpired(w *workspace, out []Effect) []Effect {
	kept := w.waiters[:0]
	for _, r := range w.queued() {
		if s.now < r.deadline {
			kept = append(kept, r)
			continue
		}
		w.queuedCost -= r.cost
		out = append(out, refusal(w, r))
	}
	w.waiters = kept
	w.head = 0
	return out
}

// admitWaiters admits queued requests in order of arrival, up to limit tokens
// in total, and returns their cost. The first request may exceed limit.
func (s *State) admitWaiters(w *workspace, limit int64, out []Effect) (int64, []Effect) {
	served := int64(0)
	for len(w.queued()) > 0 {
		cost := w.queued()[0].cost
		if served > 0 && served+cost > limit {
			break
		}
		if !s.consume(w, cost) {
			break
		}
		served += cost
		out = append(out, Effect{Kind: EffectAdmit, Workspace: w.name, ID: w.popWaiter().id})
	}
	return served, out
}

func refusal(w *workspace, r waiter) Effect {
	return Effect{Kind: EffectRefuse, Workspace: w.name, ID: r.id, RetryAfter: retryAfter(w, r.cost)}
}

// Waiting returns the number of queued requests of the workspace.
func (s *State) Waiting(name model.Workspace) int {
	w := s.workspaces[name]
	if w == nil {
		return 0
	}
	return len(w.queued())
}
