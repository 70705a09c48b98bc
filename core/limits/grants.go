package limits

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// grant is an amount of prefetched tokens that may be used until expiry.
type grant struct {
	amount int64
	expiry model.Time
}

// grants holds the prefetched tokens of this VM, ordered by expiry.
type grants struct {
	list  []grant
	total int64
}

// add inserts a grant in order of expiry.
func (g *grants) add(amount int64, expiry model.Time) {
	i := len(g.list)
	g.list = append(g.list, grant{})
	for i > 0 && g.list[i-1].expiry > expiry {
		g.list[i] = g.list[i-1]
		i--
	}
	g.list[i] = grant{amount: amount, expiry: expiry}
	g.total += amount
}

// expire drops the grants whose expiry has passed.
func (g *grants) expire(now model.Time) {
	n := 0
	for n < len(g.list) && now >= g.list[n].expiry {
		g.total -= g.list[n].amount
		n++
	}
	if n > 0 {
		g.list = append(g.list[:0], g.list[n:]...)
	}
}

// consume removes up to amount tokens, those with the earliest expiry first,
// and returns how many it removed.
func (g *grants) consume(amount int64) int64 {
	taken := int64(0)
	n := 0
	for n < len(g.list) && taken < amount {
		part := min(amount-taken, g.list[n].amount)
		g.list[n].amount -= part
		taken += part
		if g.list[n].amount == 0 {
			n++
		}
	}
	g.list = append(g.list[:0], g.list[n:]...)
	g.total -= taken
	return taken
}

const (
	// demandWindow is the time constant of the exponential moving average of
	// the demand.
	demandWindow = 200 * time.Millisecond
	// minDemandInterval is the shortest interval over which demand is sampled,
	// as the rate over a shorter one fluctuates strongly.
	minDemandInterval = 10 * time.Millisecond
)

// demand is the moving average of the demand, in milli-tokens per second.
type demand struct {
	rate      int64
	arrivals  int64
	updatedAt model.Time
}

func (d *demand) add(amount int64) { d.arrivals += amount }

// update adds the arrivals since the last update to the moving average.
func (d *demand) update(now model.Time) {
	step := now.Sub(d.updatedAt)
	if step < minDemandInterval {
		return
	}
	current := d.arrivals * int64(time.Second/time.Microsecond) / step.Microseconds()
	weight := int64(min(step, demandWindow))
	d.rate += (current - d.rate) / 1000 * weight / (int64(demandWindow) / 1000)
	if current == 0 && d.rate < Token {
		d.rate = 0
	}
	d.arrivals = 0
	d.updatedAt = now
}

// expectedOver returns the expected demand in the next t.
func (d *demand) expectedOver(t time.Duration) int64 { return amountOver(d.rate, t) }
