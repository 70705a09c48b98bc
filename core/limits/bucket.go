package limits

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// maxRefill keeps rate x time within int64 for rates up to 9 million
	// tokens a second.
	maxRefill = 1000 * time.Second
	// microsPerSecond is the number of microseconds in a second.
	microsPerSecond = 1_000_000
	// marginPercent covers clock rates that differ by up to 1% on each side.
	marginPercent = 3
)

// share is one zone's part of a workspace's rate and burst.
type share struct {
	rate  int64
	burst int64
}

// min returns the smaller rate and the smaller burst.
func (a share) min(b share) share {
	return share{rate: min(a.rate, b.rate), burst: min(a.burst, b.burst)}
}

// lend is an amount that another zone may not have received yet.
type lend struct {
	amount int64
	until  model.Time
}

// bucket has the tokens of an owned share.
//
// balance plus the lent amounts that may still be on their way never exceed
// limit, and a credit never raises balance above it. So all shares together
// hold at most the sum of their limits, wherever tokens have been lent to.
type bucket struct {
	owned bool
	// until is when the ownership ends unless it is confirmed again.
	until   model.Time
	epoch   uint64
	share   share
	limit   int64
	balance int64
	// last is the time up to which the bucket is refilled; remainder is the
	// part of a milli-token that was not added yet, in millionths.
	last      model.Time
	remainder int64
	lends     []lend
	lent      int64
}

// usable reports whether the owner may act now.
func (b *bucket) usable(now model.Time) bool { return b.owned && now < b.until }

// gain starts the ownership with the balance handed over. The refill starts
// at from.
func (b *bucket) gain(from, until model.Time, epoch uint64, balance int64) {
	b.owned = true
	b.until = until
	b.epoch = epoch
	b.balance = min(max(balance, 0), b.limit)
	b.last = from
	b.remainder = 0
	b.lends = b.lends[:0]
	b.lent = 0
}

// confirm extends the ownership. Time without confirmation is not refilled.
func (b *bucket) confirm(now, until model.Time) {
	if !b.owned {
		return
	}
	b.refill(now)
	if now >= b.until {
		b.last = max(b.last, now)
	}
	b.until = max(b.until, until)
}

// setShare changes the share from now on. limit is the burst less what may be
// granted and not yet used, which is the rate over the validity of grants.
func (b *bucket) setShare(now model.Time, s share, validity time.Duration) {
	b.refill(now)
	b.share = s
	b.limit = max(0, s.burst-perSecond(s.rate, withMargin(validity)))
	b.balance = min(b.balance, max(0, b.limit-b.lent))
}

// refill adds the tokens since the last refill, up to limit.
func (b *bucket) refill(now model.Time) {
	b.expireLends(now)
	end := min(now, b.until)
	if !b.owned || end <= b.last {
		return
	}
	micros := min(end.Sub(b.last), maxRefill).Microseconds()
	if end.Sub(b.last) > maxRefill {
		b.last = end
	} else {
		b.last = b.last.Add(time.Duration(micros) * time.Microsecond)
	}
	b.remainder += b.share.rate * micros
	added := b.remainder / microsPerSecond
	b.remainder %= microsPerSecond
	room := max(0, b.limit-b.lent-b.balance)
	b.balance += min(added, room)
}

// credit adds borrowed tokens.
func (b *bucket) credit(amount int64) { b.balance += amount }

// clip drops what exceeds the limit after waiting requests have been served.
func (b *bucket) clip() { b.balance = min(b.balance, max(0, b.limit-b.lent)) }

// lendOut debits amount and counts it as lent for validity.
func (b *bucket) lendOut(now model.Time, amount int64, validity time.Duration) {
	b.balance -= amount
	b.lent += amount
	b.lends = append(b.lends, lend{amount: amount, until: now.Add(withMargin(validity))})
}

func (b *bucket) expireLends(now model.Time) {
	n := 0
	for n < len(b.lends) && now >= b.lends[n].until {
		b.lent -= b.lends[n].amount
		n++
	}
	if n > 0 {
		b.lends = append(b.lends[:0], b.lends[n:]...)
	}
}

// perSecond returns what rate yields in d.
func perSecond(rate int64, d time.Duration) int64 {
	return rate * d.Microseconds() / microsPerSecond
}

// withMargin returns d on a clock that may be slower than the peer's.
func withMargin(d time.Duration) time.Duration { return d * (100 + marginPercent) / 100 }
