package limits

import (
	"time"
)

const (
	// maxPeerWait is how long a peer's request waits for tokens of the share. It
	// is shorter than the request's timeout.
	maxPeerWait = 20 * time.Millisecond
	// maxPartialWait is how long a peer's request waits for the rest of its tokens,
	// so that they can be borrowed and a short share is not asked all the time.
	maxPartialWait = 5 * time.Millisecond
	// emptyResponseRetryAfter is when a peer that got nothing may ask again.
	emptyResponseRetryAfter = 5 * time.Millisecond
	// maxPeerRequests bounds the peers' requests that wait at an owner.
	maxPeerRequests = 256
	// maxCachedResponses bounds the answers kept for repeated requests. A request that
	// is repeated later is granted again, but its first answer stays the only
	// one that the peer uses.
	maxCachedResponses = 64
)

// handleTokenRequest answers a peer's handleTokenRequest for tokens, or lets it wait for them.
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

// lend gives another zone's owner what this zone does not need itself soon.
func (s *State) lend(w *workspace, ev *Event) Effect {
	reserve := w.queuedCost + w.requestedByPeers() + w.demand.expectedOver(s.horizon(w))
	amount := min(ev.Amount, w.bucket.balance-reserve)
	if s.config.StaticSplit || amount <= 0 {
		return emptyResponse(ev)
	}
	w.bucket.debitLoan(s.now, amount, s.validity(w))
	return s.responseEffect(w, s.cacheResponse(w, response{vm: ev.VM, id: ev.RequestID, amount: amount}))
}

// serve gives the tokens to the waiting requests and to the peers in turns, so
// that the owner's own callers do not take all of them, and fetches more.
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

// respondToAll answers all claims with what they got, because the share is not, or
// not certainly, owned any more.
func (s *State) respondToAll(w *workspace, out []Effect) []Effect {
	for i := range w.peerRequests {
		out = append(out, s.respond(w, &w.peerRequests[i]))
	}
	w.peerRequests = w.peerRequests[:0]
	return out
}

// serveRoundRobin runs rounds in which each party gets an equal part.
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

// serveParty serves one party: 0 is the VM itself, the others are the claims.
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

// respondToServed answers the claims that got all their tokens or have waited long
// enough.
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

// cacheResponse keeps an answer for a repeated request.
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

// emptyResponse answers a request with no tokens.
func emptyResponse(ev *Event) Effect {
	return Effect{
		Kind: EffectTokenResponse, Workspace: ev.Workspace, VM: ev.VM,
		RequestID: ev.RequestID, RetryAfter: emptyResponseRetryAfter,
	}
}

// validity returns how long grants of w may be used.
func (s *State) validity(w *workspace) time.Duration { return w.validity(s.config.Validity) }

// horizon returns for how long demand is provided in advance: half the
// validity, so that tokens are used before they expire when demand is steady.
func (s *State) horizon(w *workspace) time.Duration { return s.validity(w) / 2 }
