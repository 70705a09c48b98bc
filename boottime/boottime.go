// Package boottime reads a clock that never steps and also counts the time in
// which the VM is suspended, so that knowledge ages while the VM does not run.
package boottime

import (
	"golang.org/x/sys/unix"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Now returns the time since the VM's start.
func Now() model.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux always has this clock; without it no age can be trusted.
		panic("boot-time clock: " + err.Error())
	}
	return model.Time(t.Nano())
}
