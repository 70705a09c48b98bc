package upstreampool

import "time"

// warmup limits the rate of statements to an upstream that is still slow after
// its start. It is a token bucket that holds one token.
type warmup struct {
	until      time.Time
	perSecond  float64
	tokens     float64
	lastRefill time.Time
}

// allow reports whether another statement may be sent, and takes a token for
// it.
func (w *warmup) allow(now time.Time) bool {
	if !now.Before(w.until) {
		return true
	}
	w.tokens = min(1, w.tokens+now.Sub(w.lastRefill).Seconds()*w.perSecond)
	w.lastRefill = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// SetWarmup limits Acquire to perSecond connections per second for the given
// duration.
func (p *Pool) SetWarmup(duration time.Duration, perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.warmup = warmup{until: now.Add(duration), perSecond: perSecond, lastRefill: now}
}
