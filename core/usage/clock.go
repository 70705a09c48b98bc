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
)

// Clock estimates the true time as the median of the wall clocks of several VMs. With
// a majority of them right, a wrong one does not change the estimate by more than the
// right ones differ. All readings are kept as offsets to the boot-time clock of this
// VM, which is steady.
type Clock struct {
	self     model.VMID
	readings map[model.VMID]reading
}

type reading struct {
	offset time.Duration
	at     model.Time
}

// NewClock returns a clock without readings.
func NewClock(self model.VMID) *Clock {
	return &Clock{self: self, readings: map[model.VMID]reading{}}
}

// Observe records that the wall clock of a VM showed wall when the boot-time clock of
// this VM showed at. It returns false if the reading is out of range and ignored.
func (c *Clock) Observe(vm model.VMID, at model.Time, wall WallTime) bool {
	if wall <= 0 || wall > maxWallTime {
		return false
	}
	c.readings[vm] = reading{offset: time.Duration(wall) - time.Duration(at), at: at}
	return true
}

// Now returns the estimate of the true time when the boot-time clock shows now. ok is
// false without a reading of this VM's own clock.
func (c *Clock) Now(now model.Time) (t WallTime, ok bool) {
	if _, ok := c.readings[c.self]; !ok {
		return 0, false
	}
	offsets := make([]time.Duration, 0, len(c.readings))
	for vm, r := range c.readings {
		if now.Sub(r.at) > readingTTL {
			if vm != c.self {
				delete(c.readings, vm)
				continue
			}
		}
		offsets = append(offsets, r.offset)
	}
	slices.Sort(offsets)
	middle := len(offsets) / 2
	offset := offsets[middle]
	if len(offsets)%2 == 0 {
		offset = offsets[middle-1] + (offset-offsets[middle-1])/2
	}
	return WallTime(time.Duration(now) + offset), true
}
