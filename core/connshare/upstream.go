package connshare

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// ReservedConnections is the number of connections of each upstream that are kept for
	// control: status polls, fence, promote and follow by three watchers.
	ReservedConnections = 6
	// minStandbyShare is the smallest standby share, so that a failed connection
	// does not leave the standby holder without one.
	minStandbyShare = 2
	// standbyDivisor is the part of the unreserved connections for the standby.
	standbyDivisor = 4
	// warmUpPeriod is how long a gained or returning upstream keeps all its slots
	// warm before the measured demand decides.
	warmUpPeriod = 10 * time.Second
	// demandTimeConstant is the time in which the remembered demand falls to a third.
	demandTimeConstant = 10 * time.Second
	// standbyWarmConnections is the number of connections that a standby keeps open, so
	// that it can take over without the delay of opening one.
	standbyWarmConnections = 2
)

// Share returns the connections of a seat of an upstream with the limit.
func Share(limit int, seat Seat) int {
	free := max(0, limit-ReservedConnections)
	standby := max(minStandbyShare, free/standbyDivisor)
	// With very few connections, the main holder needs the first one.
	standby = max(0, min(standby, free-1))
	if seat == Standby {
		return standby
	}
	return free - standby
}

// seatState is one seat of an upstream at this VM.
type seatState struct {
	owned bool
	// until is when the seat ends unless it is confirmed again. It stays as it
	// was when the seat was lost, because confirmations of a later epoch do not
	// cover it.
	until model.Time
	// releasing is set between the loss of the seat and its release to vm.
	releasing bool
	releaseTo model.VMID
	zone      model.Zone
	epoch     uint64
}

func (s *seatState) usable(now model.Time) bool { return s.owned && now < s.until }

// upstream has the seats and the demand of one upstream.
type upstream struct {
	id      model.UpstreamID
	limit   int
	slots   int
	zone    model.Zone
	removed bool
	seats   [seats]seatState
	// open connections were counted while openBudget was in force.
	open       int
	openBudget int
	demand     demand
	warmUntil  model.Time
	// lastBudget is the last budget that was lastBudget to the runtime.
	lastBudget Effect
}

// mayHaveConnections reports whether connections may still be open.
func (u *upstream) mayHaveConnections() bool {
	return u.open > 0 || u.seats[Main].releasing || u.seats[Standby].releasing
}

func (u *upstream) extend(until model.Time) {
	for i := range u.seats {
		if u.seats[i].owned {
			u.seats[i].until = max(u.seats[i].until, until)
		}
	}
}

func (u *upstream) gain(now model.Time, ev *Event) {
	if ev.Seat >= seats {
		return
	}
	u.seats[ev.Seat] = seatState{owned: true, until: ev.Until}
	u.warmUntil = now.Add(warmUpPeriod)
}

func (u *upstream) lose(ev *Event) {
	if ev.Seat >= seats || !u.seats[ev.Seat].owned {
		return
	}
	seat := &u.seats[ev.Seat]
	seat.owned = false
	seat.releasing = ev.VM != ""
	seat.releaseTo = ev.VM
	seat.zone = ev.Zone
	seat.epoch = ev.Epoch
}

// budget returns the connections of the seats that may be used at now.
func (u *upstream) budget(now model.Time) int {
	sum := 0
	for i := range u.seats {
		if u.seats[i].usable(now) {
			sum += Share(u.limit, Seat(i))
		}
	}
	return sum
}

// update releases the seats whose connections are closed and tells a changed
// budget.
func (u *upstream) update(now model.Time, out []Effect) []Effect {
	budget := u.budget(now)
	next := Effect{
		Kind: EffectSetBudget, Upstream: u.id, Connections: budget,
		Warm: u.warm(now, budget), CloseNow: u.mustClose(now),
	}
	if next != u.lastBudget {
		u.lastBudget = next
		out = append(out, next)
	}
	for i := range u.seats {
		seat := &u.seats[i]
		if seat.releasing && u.open <= budget && u.openBudget <= budget {
			seat.releasing = false
			out = append(out, Effect{
				Kind: EffectReleaseSeat, Upstream: u.id, Seat: Seat(i),
				VM: seat.releaseTo, Zone: seat.zone, Epoch: seat.epoch,
			})
		}
	}
	return out
}

// mustClose reports whether the connections above the budget have no seat any
// more, or the time of their seat is over.
func (u *upstream) mustClose(now model.Time) bool {
	if u.removed {
		return true
	}
	for i := range u.seats {
		if u.seats[i].until > now && u.seats[i].releasing {
			return false
		}
	}
	return true
}

// warm returns how many connections are kept open when idle.
func (u *upstream) warm(now model.Time, budget int) int {
	if !u.seats[Main].usable(now) {
		return min(budget, standbyWarmConnections)
	}
	want := u.demand.at(now) + 1
	if now < u.warmUntil {
		want = max(want, u.slots+1)
	}
	return min(budget, want)
}

// demandScale is the resolution of the remembered demand.
const demandScale = 1000

// demand remembers the highest recent number of requests, in thousandths.
type demand struct {
	value int64
	last  model.Time
}

func (d *demand) add(now model.Time, count int) {
	d.decay(now)
	d.value = max(d.value, int64(count)*demandScale)
}

// decay lowers the value by the time since the last call.
func (d *demand) decay(now model.Time) {
	step := min(now.Sub(d.last), demandTimeConstant)
	if step < demandTimeConstant/demandScale {
		return
	}
	d.value -= d.value * step.Milliseconds() / demandTimeConstant.Milliseconds()
	d.last = now
}

func (d *demand) at(now model.Time) int {
	d.decay(now)
	return int((d.value + demandScale - 1) / demandScale)
}
