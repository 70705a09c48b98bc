package limits

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// maxRefillInterval keeps rate x time within int64 for rates up to 9 million
	// tokens a second.
	maxRefillInterval = 1000 * time.Second
	// microsPerSecond is the number of microseconds in a second.
	microsPerSecond = 1_000_000
	// clockMarginPercent covers clock rates that differ by up to 1% on each side.
	clockMarginPercent = 3
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

// loan is an amount that another zone may not have received yet.
type loan struct {
	amount int64
	expiry model.Time
}

// bucket has the tokens of an owned share.
//
// balance plus the lent amounts that may still be on their way never exceed
// limit, and a credit never raises balance above it. So all shares together
// hold at most the sum of their limits, wherever tokens have been lent to.
type bucket struct {
	owned bool
	// ownedUntil is when the ownership ends unless it is confirmed again.
	ownedUntil model.Time
	epoch      uint64
	share      share
	capacity   int64
	balance    int64
	// refilledUntil is the time up to which the bucket is refilled; remainder is the
	// part of a milli-token that was not added yet, in millionths.
	refilledUntil model.Time
	remainder     int64
	loans         []loan
	lent          int64
}

// ownedAt reports whether the owner may act now.
func (b *bucket) ownedAt(now model.Time) bool { return b.owned && now < b.ownedUntil }

// gain starts the ownership with the balance handed over. The refill starts
// at from.
func (b *bucket) gain(from, ownedUntil model.Time, epoch uint64, balance int64) {
	b.owned = true
	b.ownedUntil = ownedUntil
	b.epoch = epoch
	b.balance = min(max(balance, 0), b.capacity)
	b.refilledUntil = from
	b.remainder = 0
	b.loans = b.loans[:0]
	b.lent = 0
}

// confirm extends the ownership. Time without confirmation is not refilled.
func (b *bucket) confirm(now, ownedUntil model.Time) {
	if !b.owned {
		return
	}
	b.refill(now)
	if now >= b.ownedUntil {
		b.refilledUntil = max(b.refilledUntil, now)
	}
	b.ownedUntil = max(b.ownedUntil, ownedUntil)
}

// setShare changes the share from now on. limit is the burst less what may be
// granted and not yet used, which is the rate over the validity of grants.
func (b *bucket) setShare(now model.Time, s share, validity time.Duration) {
	b.refill(now)
	b.share = s
	b.capacity = max(0, s.burst-amountOver(s.rate, withClockMargin(validity)))
	b.balance = min(b.balance, max(0, b.capacity-b.lent))
}

// refill adds the tokens since the last refill, up to limit.
func (b *bucket) refill(now model.Time) {
	b.expireLoans(now)
	end := min(now, b.ownedUntil)
	if !b.owned || end <= b.refilledUntil {
		return
	}
	micros := min(end.Sub(b.refilledUntil), maxRefillInterval).Microseconds()
	if end.Sub(b.refilledUntil) > maxRefillInterval {
		b.refilledUntil = end
	} else {
		b.refilledUntil = b.refilledUntil.Add(time.Duration(micros) * time.Microsecond)
	}
	b.remainder += b.share.rate * micros
	added := b.remainder / microsPerSecond
	b.remainder %= microsPerSecond
	room := max(0, b.capacity-b.lent-b.balance)
	b.balance += min(added, room)
}

// credit adds borrowed tokens.
func (b *bucket) credit(amount int64) { b.balance += amount }

// clampToCapacity drops what exceeds the limit after waiting requests have been served.
func (b *bucket) clampToCapacity() { b.balance = min(b.balance, max(0, b.capacity-b.lent)) }

// debitLoan debits amount and counts it as lent for validity.
func (b *bucket) debitLoan(now model.Time, amount int64, validity time.Duration) {
	b.balance -= amount
	b.lent += amount
	b.loans = append(b.loans, loan{amount: amount, expiry: now.Add(withClockMargin(validity))})
}

func (b *bucket) expireLoans(now model.Time) {
	n := 0
	for n < len(b.loans) && now >= b.loans[n].expiry {
		b.lent -= b.loans[n].amount
		n++
	}
	if n > 0 {
		b.loans = append(b.loans[:0], b.loans[n:]...)
	}
}

// amountOver returns what rate yields in d.
func amountOver(rate int64, d time.Duration) int64 {
	return rate * d.Microseconds() / microsPerSecond
}

// withClockMargin returns d on a clock that may be slower than the peer's.
func withClockMargin(d time.Duration) time.Duration { return d * (100 + clockMarginPercent) / 100 }
