// Package boottime reads the boot-time clock of Linux. It is monotonic and, unlike
// Go's monotonic clock, includes the time for which the VM is suspended, so that
// information obtained before a suspension is not taken for recent afterwards.
package boottime

import (
	"golang.org/x/sys/unix"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Now returns the time since the VM booted, including suspensions.
func Now() model.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux always provides this clock. Without it no age can be relied on.
		panic("boot-time clock: " + err.Error())
	}
	return model.Time(t.Nano())
}
