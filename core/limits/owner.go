package limits

import (
	"time"
)

const (
	// claimHold is how long a peer's request waits for tokens of the share. It
	// is shorter than the request's timeout.
	claimHold = 20 * time.Millisecond
	// partialHold is how long a peer's request waits for the rest of its tokens,
	// so that they can be borrowed and a short share is not asked all the time.
	partialHold = 5 * time.Millisecond
	// emptyRetry is when a peer that got nothing may ask again.
	emptyRetry = 5 * time.Millisecond
	// maxClaims bounds the peers' requests that wait at an owner.
	maxClaims = 256
	// maxAnswered bounds the answers kept for repeated requests. A request that
	// is repeated later is granted again, but its first answer stays the only
	// one that the peer uses.
	maxAnswered = 64
)

// request answers a peer's request for tokens, or lets it wait for them.
func (s *State) request(w *workspace, ev *Event, out []Effect) []Effect {
	if !w.bucket.usable(s.now) {
		return append(out, emptyAnswer(ev))
	}
	for i := range w.answered {
		if a := &w.answered[i]; a.vm == ev.VM && a.id == ev.RequestID {
			return append(out, s.send(w, a))
		}
	}
	for i := range w.claims {
		if w.claims[i].vm == ev.VM && w.claims[i].id == ev.RequestID {
			return out
		}
	}
	if ev.Borrow {
		return append(out, s.lend(w, ev))
	}
	if len(w.claims) >= maxClaims || ev.Amount <= 0 {
		return append(out, emptyAnswer(ev))
	}
	w.claims = append(w.claims, claim{
		vm: ev.VM, id: ev.RequestID, remaining: ev.Amount, arrived: s.now,
	})
	return out
}

// lend gives another zone's owner what this zone does not need itself soon.
func (s *State) lend(w *workspace, ev *Event) Effect {
	reserve := w.waiting + w.claimed() + w.demand.over(s.horizon(w))
	amount := min(ev.Amount, w.bucket.balance-reserve)
	if s.config.StaticSplit || amount <= 0 {
		return emptyAnswer(ev)
	}
	w.bucket.lendOut(s.now, amount, s.validity(w))
	return s.send(w, s.remember(w, answer{vm: ev.VM, id: ev.RequestID, amount: amount}))
}

// serve gives the tokens to the waiting requests and to the peers in turns, so
// that the owner's own callers do not take all of them, and fetches more.
func (s *State) serve(w *workspace, out []Effect) []Effect {
	_, out = s.serveWaiters(w, w.grants.total, out)
	if w.bucket.usable(s.now) {
		out = s.serveTurns(w, out)
		out = s.answerClaims(w, out)
		w.bucket.clip()
	} else {
		out = s.answerAll(w, out)
	}
	return s.fetch(w, out)
}

// answerAll answers all claims with what they got, because the share is not, or
// not certainly, owned any more.
func (s *State) answerAll(w *workspace, out []Effect) []Effect {
	for i := range w.claims {
		out = append(out, s.finishClaim(w, &w.claims[i]))
	}
	w.claims = w.claims[:0]
	return out
}

// serveTurns runs rounds in which each party gets an equal part.
func (s *State) serveTurns(w *workspace, out []Effect) []Effect {
	for w.bucket.balance > 0 {
		parties := len(w.claims) + 1
		quantum := max(Token, w.bucket.balance/int64(parties))
		progress := int64(0)
		for range parties {
			var got int64
			got, out = s.serveTurn(w, w.turn%parties, quantum, out)
			progress += got
			w.turn = (w.turn + 1) % parties
		}
		if progress == 0 {
			break
		}
	}
	return out
}

// serveTurn serves one party: 0 is the VM itself, the others are the claims.
func (s *State) serveTurn(w *workspace, party int, quantum int64, out []Effect) (int64, []Effect) {
	if party == 0 {
		return s.serveWaiters(w, quantum, out)
	}
	c := &w.claims[party-1]
	got := min(quantum, c.remaining, w.bucket.balance)
	w.bucket.balance -= got
	c.remaining -= got
	c.granted += got
	return got, out
}

// answerClaims answers the claims that got all their tokens or have waited long
// enough.
func (s *State) answerClaims(w *workspace, out []Effect) []Effect {
	kept := 0
	for i := range w.claims {
		c := &w.claims[i]
		waited := s.now.Sub(c.arrived)
		partial := c.granted > 0 && waited >= partialHold
		if c.remaining > 0 && !partial && waited < claimHold {
			w.claims[kept] = *c
			kept++
			continue
		}
		out = append(out, s.finishClaim(w, c))
	}
	w.claims = w.claims[:kept]
	return out
}

func (s *State) finishClaim(w *workspace, c *claim) Effect {
	w.demand.add(c.granted)
	return s.send(w, s.remember(w, answer{vm: c.vm, id: c.id, amount: c.granted}))
}

// remember keeps an answer for a repeated request.
func (s *State) remember(w *workspace, a answer) *answer {
	if len(w.answered) < maxAnswered {
		w.answered = append(w.answered, a)
		return &w.answered[len(w.answered)-1]
	}
	slot := &w.answered[w.oldest]
	w.oldest = (w.oldest + 1) % maxAnswered
	*slot = a
	return slot
}

func (s *State) send(w *workspace, a *answer) Effect {
	e := Effect{
		Kind: EffectTokenResponse, Workspace: w.name, Zone: s.config.Zone, VM: a.vm,
		RequestID: a.id, Amount: a.amount, Validity: s.validity(w),
	}
	if a.amount == 0 {
		e.RetryAfter = emptyRetry
	}
	return e
}

// emptyAnswer answers a request with no tokens.
func emptyAnswer(ev *Event) Effect {
	return Effect{
		Kind: EffectTokenResponse, Workspace: ev.Workspace, VM: ev.VM,
		RequestID: ev.RequestID, RetryAfter: emptyRetry,
	}
}

// validity returns how long grants of w may be used.
func (s *State) validity(w *workspace) time.Duration { return w.validity(s.config.Validity) }

// horizon returns for how long demand is provided in advance: half the
// validity, so that tokens are used before they expire when demand is steady.
func (s *State) horizon(w *workspace) time.Duration { return s.validity(w) / 2 }
