package limits

import (
	"time"
)

const (
	// maxPeerWait bounds how long a peer's request waits at the owner for
	// tokens. It is shorter than DefaultRequestTimeout, so that the owner
	// responds before the peer's request times out.
	maxPeerWait = 20 * time.Millisecond
	// maxPartialWait bounds how long a partly filled request of a peer waits
	// for the rest. The wait gives the owner time to borrow, and keeps peers
	// from sending request after request while the share is short.
	maxPartialWait = 5 * time.Millisecond
	// emptyResponseRetryAfter is the delay after which a peer that got no
	// tokens may ask again.
	emptyResponseRetryAfter = 5 * time.Millisecond
	// maxPeerRequests bounds the peers' requests that wait at the owner of a
	// workspace's share.
	maxPeerRequests = 256
	// maxCachedResponses bounds the responses kept for repeated requests. A
	// request that is repeated after its response was evicted is granted again,
	// but the peer uses only the first response.
	maxCachedResponses = 64
)

// handleTokenRequest responds to a peer's token request or queues it until
// tokens are available. A repeated request gets the response of the first one.
func (s *State) handleTokenRequest(w *workspace, ev *Event, out []Effect) []Effect {
	if !w.bucket.ownedAt(s.now) {
		return append(out, emptyResponse(ev))
	}
	for i := range w.cachedResponses {
		if r := &w.cachedResponses[i]; r.vm == ev.VM && r.id == ev.RequestID {
			return append(out, s.responseEffect(w, r))
		}
	}
	for i := range w.peerRequests {
		if w.peerRequests[i].vm == ev.VM && w.peerRequests[i].id == ev.RequestID {
			return out
		}
	}
	if ev.Borrow {
		return append(out, s.lend(w, ev))
	}
	if len(w.peerRequests) >= maxPeerRequests || ev.Amount <= 0 {
		return append(out, emptyResponse(ev))
	}
	w.peerRequests = append(w.peerRequests, peerRequest{
		vm: ev.VM, id: ev.RequestID, remaining: ev.Amount, arrivedAt: s.now,
	})
	return out
}

// lend grants another zone the tokens that this zone does not need for its
// queued requests and the demand within the horizon.
func (s *State) lend(w *workspace, ev *Event) Effect {
	reserve := w.queuedCost + w.requestedByPeers() + w.demand.expectedOver(s.horizon(w))
	amount := min(ev.Amount, w.bucket.balance-reserve)
	if s.config.StaticSplit || amount <= 0 {
		return emptyResponse(ev)
	}
	w.bucket.debitLoan(s.now, amount, s.validity(w))
	return s.responseEffect(w, s.cacheResponse(w, response{vm: ev.VM, id: ev.RequestID, amount: amount}))
}

// serve distributes tokens round robin between this VM's queued requests and
// those of peers, so that the owner's callers do not starve the other VMs of
// the zone, and requests what is missing.
func (s *State) serve(w *workspace, out []Effect) []Effect {
	_, out = s.admitWaiters(w, w.grants.total, out)
	if w.bucket.ownedAt(s.now) {
		out = s.serveRoundRobin(w, out)
		out = s.respondToServed(w, out)
		w.bucket.clampToCapacity()
	} else {
		out = s.respondToAll(w, out)
	}
	return s.fetch(w, out)
}

// respondToAll responds to all waiting peers with what they have been granted
// so far. It is used when the share is no longer owned, or the ownership is no
// longer confirmed.
func (s *State) respondToAll(w *workspace, out []Effect) []Effect {
	for i := range w.peerRequests {
		out = append(out, s.respond(w, &w.peerRequests[i]))
	}
	w.peerRequests = w.peerRequests[:0]
	return out
}

// serveRoundRobin distributes the balance in rounds in which each party may
// take an equal part.
func (s *State) serveRoundRobin(w *workspace, out []Effect) []Effect {
	for w.bucket.balance > 0 {
		parties := len(w.peerRequests) + 1
		quantum := max(Token, w.bucket.balance/int64(parties))
		progress := int64(0)
		for range parties {
			var got int64
			got, out = s.serveParty(w, w.nextParty%parties, quantum, out)
			progress += got
			w.nextParty = (w.nextParty + 1) % parties
		}
		if progress == 0 {
			break
		}
	}
	return out
}

// serveParty serves one party: 0 is this VM, and n is the peers' request n-1.
func (s *State) serveParty(w *workspace, party int, quantum int64, out []Effect) (int64, []Effect) {
	if party == 0 {
		return s.admitWaiters(w, quantum, out)
	}
	r := &w.peerRequests[party-1]
	got := min(quantum, r.remaining, w.bucket.balance)
	w.bucket.balance -= got
	r.remaining -= got
	r.granted += got
	return got, out
}

// respondToServed responds to the peers' requests that are filled or have
// waited as long as they may.
func (s *State) respondToServed(w *workspace, out []Effect) []Effect {
	kept := 0
	for i := range w.peerRequests {
		r := &w.peerRequests[i]
		waited := s.now.Sub(r.arrivedAt)
		partial := r.granted > 0 && waited >= maxPartialWait
		if r.remaining > 0 && !partial && waited < maxPeerWait {
			w.peerRequests[kept] = *r
			kept++
			continue
		}
		out = append(out, s.respond(w, r))
	}
	w.peerRequests = w.peerRequests[:kept]
	return out
}

func (s *State) respond(w *workspace, r *peerRequest) Effect {
	w.demand.add(r.granted)
	return s.responseEffect(w, s.cacheResponse(w, response{vm: r.vm, id: r.id, amount: r.granted}))
}

// cacheResponse keeps a response for repeated requests and evicts the oldest
// one when the cache is full.
func (s *State) cacheResponse(w *workspace, r response) *response {
	if len(w.cachedResponses) < maxCachedResponses {
		w.cachedResponses = append(w.cachedResponses, r)
		return &w.cachedResponses[len(w.cachedResponses)-1]
	}
	slot := &w.cachedResponses[w.oldestResponse]
	w.oldestResponse = (w.oldestResponse + 1) % maxCachedResponses
	*slot = r
	return slot
}

func (s *State) responseEffect(w *workspace, r *response) Effect {
	e := Effect{
		Kind: EffectTokenResponse, Workspace: w.name, Zone: s.config.Zone, VM: r.vm,
		RequestID: r.id, Amount: r.amount, Validity: s.validity(w),
	}
	if r.amount == 0 {
		e.RetryAfter = emptyResponseRetryAfter
	}
	return e
}

// emptyResponse responds to a request with no tokens.
func emptyResponse(ev *Event) Effect {
	return Effect{
		Kind: EffectTokenResponse, Workspace: ev.Workspace, VM: ev.VM,
		RequestID: ev.RequestID, RetryAfter: emptyResponseRetryAfter,
	}
}

// validity returns how long grants of w may be used.
func (s *State) validity(w *workspace) time.Duration { return w.validity(s.config.Validity) }

// horizon returns how far ahead tokens are provided for the expected demand. It
// is half the validity, so that under steady demand tokens are used before they
// expire.
func (s *State) horizon(w *workspace) time.Duration { return s.validity(w) / 2 }
