package limits

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// unreachableBackoff is how long an owner that did not answer gets no new
	// request.
	unreachableBackoff = 200 * time.Millisecond
	// minPrefetch is the smallest amount requested ahead of demand. Smaller
	// amounts would mostly expire unused.
	minPrefetch = 2 * Token
)

// fetch requests the tokens that this VM needs and does not have.
func (s *State) fetch(w *workspace, out []Effect) []Effect {
	if w.bucket.ownedAt(s.now) {
		return s.borrow(w, out)
	}
	return s.prefetch(w, out)
}

// borrow requests tokens from other zones' owners when the owned share does not
// cover the queued requests of this VM and its peers, plus the demand above the
// share's rate.
func (s *State) borrow(w *workspace, out []Effect) []Effect {
	missing := w.queuedCost + w.requestedByPeers() - w.bucket.balance - w.tokensInFlight()
	if s.config.StaticSplit || missing <= 0 {
		return out
	}
	excess := max(0, w.demand.rate-w.bucket.share.rate)
	return s.requestFromOtherZones(w, missing+amountOver(excess, s.horizon(w)), true, out)
}

// prefetch requests tokens for the queued requests and the expected demand from
// the zone's owner, or from other zones' owners while that one is unknown or
// unreachable. With no request queued, it waits until at least half of the
// expected demand is missing.
func (s *State) prefetch(w *workspace, out []Effect) []Effect {
	prefetchAmount := w.demand.expectedOver(s.horizon(w)) / Token * Token
	if prefetchAmount < minPrefetch {
		prefetchAmount = 0
	}
	missing := w.queuedCost + prefetchAmount - w.grants.total - w.tokensInFlight()
	if missing <= 0 || (w.queuedCost == 0 && missing < prefetchAmount/2) {
		return out
	}
	o := w.ownerOf(s.config.Zone)
	if o == nil || o.vm == "" || o.vm == s.config.Self || s.now < o.unreachableUntil {
		return s.requestFromOtherZones(w, missing, false, out)
	}
	if s.now < o.retryAt || w.hasPending(o.zone) {
		return out
	}
	return append(out, s.requestTokens(w, o, missing, false))
}

// requestFromOtherZones sends a request to the next owner, in round-robin
// order, of another zone that may be asked now.
func (s *State) requestFromOtherZones(w *workspace, amount int64, borrow bool, out []Effect) []Effect {
	if s.config.StaticSplit {
		return out
	}
	for range w.owners {
		o := &w.owners[w.nextOwner%len(w.owners)]
		w.nextOwner = (w.nextOwner + 1) % len(w.owners)
		if !s.mayRequestFrom(w, o) {
			continue
		}
		return append(out, s.requestTokens(w, o, amount, borrow))
	}
	return out
}

func (s *State) mayRequestFrom(w *workspace, o *owner) bool {
	if o.zone == s.config.Zone || o.vm == "" || o.vm == s.config.Self {
		return false
	}
	return s.now >= o.retryAt && s.now >= o.unreachableUntil && !w.hasPending(o.zone)
}

func (s *State) requestTokens(w *workspace, o *owner, amount int64, borrow bool) Effect {
	id := s.nextRequest
	s.nextRequest++
	w.pending = append(w.pending, pending{
		id: id, zone: o.zone, amount: amount, sentAt: s.now, borrow: borrow,
	})
	return Effect{
		Kind: EffectTokenRequest, Workspace: w.name, Zone: o.zone, VM: o.vm, Epoch: o.epoch,
		RequestID: id, Amount: amount, Borrow: borrow,
	}
}

// handleTokenResponse processes the response to a token request. Its validity
// counts from when the request was sent, so the tokens of a late response are
// dropped.
func (s *State) handleTokenResponse(w *workspace, ev *Event) {
	p, found := w.takePending(ev.RequestID)
	if !found {
		return
	}
	if ev.Amount <= 0 {
		s.backOff(w, p.zone, ev.RetryAfter)
		return
	}
	expiry := p.sentAt.Add(ev.Validity)
	if s.now >= expiry {
		return
	}
	if p.borrow && w.bucket.ownedAt(s.now) {
		w.bucket.credit(ev.Amount)
		return
	}
	w.grants.add(ev.Amount, expiry)
}

func (s *State) backOff(w *workspace, z model.Zone, after time.Duration) {
	if o := w.ownerOf(z); o != nil {
		o.retryAt = s.now.Add(max(after, emptyResponseRetryAfter))
	}
}

func (s *State) handleRequestFailure(w *workspace, id uint64) {
	p, found := w.takePending(id)
	if !found {
		return
	}
	if o := w.ownerOf(p.zone); o != nil {
		o.unreachableUntil = s.now.Add(unreachableBackoff)
	}
}

// failTimedOutRequests treats token requests without a response within
// Config.RequestTimeout as failed.
func (s *State) failTimedOutRequests(w *workspace) {
	for i := len(w.pending) - 1; i >= 0; i-- {
		if s.now.Sub(w.pending[i].sentAt) >= s.config.RequestTimeout {
			s.handleRequestFailure(w, w.pending[i].id)
		}
	}
}
