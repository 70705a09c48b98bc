package connlimit

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// start is the time at which the tests begin.
const start = model.Time(time.Hour)

// limitFor returns a connection limit with the given number of usable connections.
func limitFor(usable int) int {
	for limit := usable; ; limit++ {
		if Usable(limit) >= usable {
			return limit
		}
	}
}

// share returns the share of a VM that has had its rank for the given time.
func share(d Division, usable, vms int, rank Rank, age time.Duration) Share {
	s := NewSeat(d)
	s.Share(start, limitFor(usable), vms, rank)
	return s.Share(start.Add(age), limitFor(usable), vms, rank)
}

// Guards against VMs that together open more connections to an upstream than its limit,
// also when the first holder restarts after a loss of power while the upstream still
// counts its old connections.
func TestFixedSharesFitTheLimit(t *testing.T) {
	for usable := 4; usable < 300; usable++ {
		for vms := 1; vms-Holders < usable/2; vms++ {
			first, second := share(Fixed, usable, vms, First, time.Hour), share(Fixed, usable, vms, Second, time.Hour)
			sum := first.Max
			if vms > 1 {
				sum += second.Max
			}
			if others := max(vms-Holders, 0); others > 0 {
				sum += others * share(Fixed, usable, vms, Other, time.Hour).Max
			}
			if sum > usable {
				t.Errorf("%d of %d connections may be open on %d VMs", sum, usable, vms)
			}
			if 2*first.Max > usable {
				t.Errorf("%d of %d connections may be open to the first holder after a restart", 2*first.Max, usable)
			}
		}
	}
}

// Guards against connections of a restarted first holder that an upstream refuses since it
// still counts those of before a loss of power.
func TestFirstHolderStartsWithItsBase(t *testing.T) {
	for usable := 4; usable < 300; usable++ {
		s := NewSeat(Adaptive)
		if got := s.Share(start, limitFor(usable), 30, First); 2*got.Max > usable {
			t.Errorf("%d of %d connections at the start", got.Max, usable)
		}
		settled := s.Share(start.Add(settleTime), limitFor(usable), 30, First)
		if settled.Max <= usable/2 || settled.Keep != settled.Max || settled.Max >= usable {
			t.Errorf("%+v of %d connections once settled", settled, usable)
		}
		s.Share(start.Add(settleTime+1), limitFor(usable), 30, Second)
		if got := s.Share(start.Add(settleTime+2), limitFor(usable), 30, First); 2*got.Max > usable {
			t.Errorf("%d of %d connections right after another VM was the first holder", got.Max, usable)
		}
	}
}

// Load: all callers of an upstream move to the second holder at once, since the first has
// lost power. Guards against a second holder that cannot serve them: with the connections
// that the upstream still counts of the first one, its share has to fit the limit except
// for what the upstream may refuse, and must be worth a third of the limit.
func TestSecondHolderCanTakeOver(t *testing.T) {
	for usable := 8; usable < 300; usable++ {
		for _, vms := range []int{8, 30, 66, 295} {
			first := share(Adaptive, usable, vms, First, time.Hour)
			second := share(Adaptive, usable, vms, Second, time.Hour)
			if 3*second.Max < usable {
				t.Errorf("%d of %d connections for the second holder", second.Max, usable)
			}
			if first.Base+second.Max > usable {
				t.Errorf("the base of the first holder and the share of the second exceed %d", usable)
			}
			if first.Max >= usable {
				t.Errorf("the first holder leaves none of %d connections", usable)
			}
		}
	}
}

// Guards against a division that changes where it is not switched on.
func TestFixedDoesNotDependOnTime(t *testing.T) {
	for usable := 4; usable < 100; usable++ {
		for rank := First; rank <= Other; rank++ {
			if now, later := share(Fixed, usable, 9, rank, 0), share(Fixed, usable, 9, rank, time.Hour); now != later {
				t.Errorf("rank %d: %+v, later %+v", rank, now, later)
			}
		}
	}
}
