package usage

import (
	"slices"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

const (
	// readingTTL is how long a reading of another VM's wall clock is used. It spans
	// several polls, and clocks drift by less than a millisecond in that time.
	readingTTL = 5 * time.Second
	// maxWallTime bounds the readings that are taken from another VM, to the year 2200,
	// so that no sum overflows.
	maxWallTime = WallTime(230 * 365 * 24 * time.Hour)
	// clockStart is how long after its first use a clock follows the other VMs at once:
	// they have then answered some polls.
	clockStart = 3 * time.Second
	// maxSlew divides the time that passes; the quotient is by how much the estimate moves
	// towards the median at most. A clock that jumps does so for seconds, and 1% of that is
	// small against the tolerance of a window; oscillators differ by far less than 1%.
	maxSlew = 100
	// slewInterval is how often the median is computed after the start; Now is called for
	// each request.
	slewInterval = 10 * time.Millisecond
)

// Clock estimates the true time. It starts with the estimates of other VMs, or with the
// median of their wall clocks if there are none, and then follows the median of the wall
// clocks slowly. With a majority of them right, a wrong one does not change the estimate
// by more than the right ones differ, and a majority that jumps for a while hardly does.
// All readings are kept as offsets to the boot-time clock of this VM, which is steady.
type Clock struct {
	self     model.VMID
	readings map[model.VMID]reading
	// estimates are those of other VMs.
	estimates map[model.VMID]reading
	// startedAt is when Now was first called, offset the estimate as of slewedAt.
	startedAt, slewedAt model.Time
	offset              time.Duration
}

type reading struct {
	offset time.Duration
	at     model.Time
}

// NewClock returns a clock without readings.
func NewClock(self model.VMID) *Clock {
	return &Clock{self: self, readings: map[model.VMID]reading{}, estimates: map[model.VMID]reading{}}
}

// Observe records that the wall clock of a VM showed wall when the boot-time clock of
// this VM showed at. It returns false if the reading is out of range and ignored.
func (c *Clock) Observe(vm model.VMID, at model.Time, wall WallTime) bool {
	return observe(c.readings, vm, at, wall)
}

// ObserveEstimate is Observe for another VM's estimate of the true time.
func (c *Clock) ObserveEstimate(vm model.VMID, at model.Time, estimate WallTime) bool {
	return observe(c.estimates, vm, at, estimate)
}

func observe(readings map[model.VMID]reading, vm model.VMID, at model.Time, t WallTime) bool {
	if t <= 0 || t > maxWallTime {
		return false
	}
	readings[vm] = reading{offset: time.Duration(t) - time.Duration(at), at: at}
	return true
}

// Now returns the estimate of the true time when the boot-time clock shows now. ok is
// false without a reading of this VM's own clock.
func (c *Clock) Now(now model.Time) (t WallTime, ok bool) {
	if _, ok := c.readings[c.self]; !ok {
		return 0, false
	}
	if c.startedAt == 0 {
		c.startedAt, c.slewedAt = now, now
	}
	switch passed := now.Sub(c.slewedAt); {
	case now.Sub(c.startedAt) < clockStart && len(c.estimates) > 0:
		c.offset, c.slewedAt = median(c.estimates, now, ""), max(c.slewedAt, now)
	case now.Sub(c.startedAt) < clockStart:
		c.offset, c.slewedAt = median(c.readings, now, c.self), max(c.slewedAt, now)
	case passed >= slewInterval:
		step := passed / maxSlew
		c.offset += min(max(median(c.readings, now, c.self)-c.offset, -step), step)
		c.slewedAt = now
	}
	return WallTime(time.Duration(now) + c.offset), true
}

// median returns the median of the offsets, and deletes old readings of VMs other than
// keep if a newer one remains.
func median(readings map[model.VMID]reading, now model.Time, keep model.VMID) time.Duration {
	offsets := make([]time.Duration, 0, len(readings))
	for vm, r := range readings {
		if now.Sub(r.at) > readingTTL && vm != keep && len(readings) > 1 {
			delete(readings, vm)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	slices.Sort(offsets)
	middle := len(offsets) / 2
	offset := offsets[middle]
	if len(offsets)%2 == 0 {
		offset = offsets[middle-1] + (offset-offsets[middle-1])/2
	}
	return offset
}
