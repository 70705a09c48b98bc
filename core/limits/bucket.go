package limits

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// maxRefillInterval keeps rate x interval within int64 for rates of up to 9
	// million tokens per second.
	maxRefillInterval = 1000 * time.Second
	microsPerSecond   = 1_000_000
	// clockMarginPercent covers two clocks that each run up to 1% fast or slow.
	clockMarginPercent = 3
)

// share is one zone's part of the rate and burst of a workspace.
type share struct {
	rate  int64
	burst int64
}

// min returns the smaller rate and the smaller burst.
func (a share) min(b share) share {
	return share{rate: min(a.rate, b.rate), burst: min(a.burst, b.burst)}
}

// loan is an amount lent to another zone whose response may still be in flight.
type loan struct {
	amount int64
	expiry model.Time
}

// bucket is the token bucket of an owned share.
//
// Between two events, the balance plus the loans in flight do not exceed
// capacity: clampToCapacity drops what a credit of borrowed tokens leaves above
// it. All buckets of a workspace together therefore hold at most the sum of
// their capacities, whichever zones tokens have been lent to.
type bucket struct {
	owned bool
	// ownedUntil is when the ownership ends unless it is confirmed again.
	ownedUntil model.Time
	epoch      uint64
	share      share
	capacity   int64
	balance    int64
	// refilledUntil is the time up to which the bucket has been refilled;
	// remainder is the fraction of a milli-token, in millionths, that has not
	// been added yet.
	refilledUntil model.Time
	remainder     int64
	loans         []loan
	lent          int64
}

// ownedAt reports whether the share is owned at now.
func (b *bucket) ownedAt(now model.Time) bool { return b.owned && now < b.ownedUntil }

// gain starts the ownership with the balance of the previous owner. The bucket
// is refilled from the time from.
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

// confirm extends the ownership. The time between the end of the previous
// ownership and its confirmation adds no tokens.
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

// setShare replaces the share as of now. The capacity is the burst less the
// tokens that may be granted and not yet used: the rate over the validity of
// grants, with the clock margin.
func (b *bucket) setShare(now model.Time, s share, validity time.Duration) {
	b.refill(now)
	b.share = s
	b.capacity = max(0, s.burst-amountOver(s.rate, withClockMargin(validity)))
	b.balance = min(b.balance, max(0, b.capacity-b.lent))
}

// refill adds the tokens that have accrued since the last refill, up to the
// capacity less the loans in flight.
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

// credit adds borrowed tokens. It may exceed the capacity until
// clampToCapacity.
func (b *bucket) credit(amount int64) { b.balance += amount }

// clampToCapacity drops the tokens above the capacity that remain once queued
// requests have been served.
func (b *bucket) clampToCapacity() { b.balance = min(b.balance, max(0, b.capacity-b.lent)) }

// debitLoan debits amount and counts it as a loan in flight for the validity
// plus the clock margin.
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

// amountOver returns the amount that accrues in d at rate.
func amountOver(rate int64, d time.Duration) int64 {
	return rate * d.Microseconds() / microsPerSecond
}

// withClockMargin lengthens d so that it has also elapsed on a peer's clock
// that runs slower.
func withClockMargin(d time.Duration) time.Duration { return d * (100 + clockMarginPercent) / 100 }
