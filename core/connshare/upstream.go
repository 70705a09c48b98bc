package connshare

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// ReservedConnections is the number of connections to each upstream that are
	// reserved for control: status polls, fence, promote and follow by three
	// watchers.
	ReservedConnections = 6
	// minStandbyShare is the smallest share of the standby where the limit allows
	// it, so that one failed connection does not leave the standby without any.
	minStandbyShare = 2
	// standbyDivisor divides the unreserved connections; the quotient is the share
	// of the standby.
	standbyDivisor = 4
	// warmUpPeriod is how long all slots of an upstream are kept warm after its
	// seat was gained or its zone returned. Afterwards the measured demand decides.
	warmUpPeriod = 10 * time.Second
	// demandTimeConstant is the time constant of the decay of the demand, which
	// falls to about a third in this time.
	demandTimeConstant = 10 * time.Second
	// standbyWarmConnections is the number of idle connections that a standby
	// keeps open, so that it can take over without the delay of opening one.
	standbyWarmConnections = 2
)

// Share returns how many connections a seat entitles to, at an upstream with the
// given connection limit.
func Share(limit int, seat Seat) int {
	free := max(0, limit-ReservedConnections)
	standby := max(minStandbyShare, free/standbyDivisor)
	// The first unreserved connection goes to the main holder.
	standby = max(0, min(standby, free-1))
	if seat == Standby {
		return standby
	}
	return free - standby
}

// seatState is the state of one seat of an upstream at this VM.
type seatState struct {
	owned bool
	// until is when the ownership ends unless it is confirmed again. It does not
	// change after the seat was lost, because confirmations of a later epoch do
	// not cover the seat.
	until model.Time
	// releasing is set from the loss of the seat until its release to releaseTo.
	releasing bool
	releaseTo model.VMID
	zone      model.Zone
	epoch     uint64
}

func (s *seatState) usable(now model.Time) bool { return s.owned && now < s.until }

// upstream has the seats, the connections and the demand of one upstream.
type upstream struct {
	id      model.UpstreamID
	limit   int
	slots   int
	zone    model.Zone
	removed bool
	seats   [seats]seatState
	// open is the last reported number of connections, and openBudget the budget
	// that was in force when they were counted.
	open       int
	openBudget int
	demand     demand
	warmUntil  model.Time
	// lastBudget is the last EffectSetBudget given to the runtime.
	lastBudget Effect
}

// mayHaveConnections reports whether connections may still be open or a seat has
// not been released yet.
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

// budget returns the sum of the shares of the seats that may be used at now.
func (u *upstream) budget(now model.Time) int {
	sum := 0
	for i := range u.seats {
		if u.seats[i].usable(now) {
			sum += Share(u.limit, Seat(i))
		}
	}
	return sum
}

// update appends a changed budget, and the release of lost seats whose
// connections are closed.
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

// mustClose reports whether connections above the budget must be closed at once.
// They may become idle first only if they belong to a seat that is being released
// and has not ended.
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

// warm returns how many connections are kept open while idle.
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

// demandScale is the number of demand units per request.
const demandScale = 1000

// demand is a decaying maximum of the number of requests. Its value is in
// thousandths of a request.
type demand struct {
	value int64
	last  model.Time
}

func (d *demand) add(now model.Time, count int) {
	d.decay(now)
	d.value = max(d.value, int64(count)*demandScale)
}

// decay lowers the value for the time since it was last lowered. Shorter steps
// than demandTimeConstant/demandScale are accumulated, because the integer
// division would round them off.
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
