// Package usage counts the requests of workspaces in windows of true time and decides
// when the sums of a window are reported to the platform.
//
// Each VM counts what it sends to upstreams (Counts). The counts only grow, so that
// sums can be merged by maximum and a lost or repeated message does no harm. Clock
// estimates the true time from the wall clocks of several VMs. Reporter is the
// protocol of the VM that holds the duty: it never lets two reports with different
// counts for one window leave.
//
// All types are pure: they do no I/O, read no clock and are not safe for concurrent use.
package usage

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Window is the number of a window: window k begins k times the length of a window
// after the start of 1970.
type Window int64

// WallTime is a reading of a wall clock: the time since the start of 1970, UTC.
type WallTime time.Duration

// Settings are the lengths that all VMs of a deployment share.
type Settings struct {
	// Window is the length of a window.
	Window time.Duration
	// Due is how long after the end of a window its report is due.
	Due time.Duration
}

// At returns the window that a time belongs to.
func (s *Settings) At(t WallTime) Window { return Window(t / WallTime(s.Window)) }

// End returns the time when a window ends.
func (s *Settings) End(w Window) WallTime { return WallTime(w+1) * WallTime(s.Window) }

// DueAt returns the time after which a report of a window is late.
func (s *Settings) DueAt(w Window) WallTime { return s.End(w) + WallTime(s.Due) }

// Oldest returns the oldest window that is not late at a time.
func (s *Settings) Oldest(now WallTime) Window {
	return s.At(now - WallTime(s.Due))
}

// Tally is the number of requests of each workspace in one window.
type Tally struct {
	Window Window
	Counts map[model.Workspace]uint64
}

// MaxCount is the largest count of a workspace in a window that is taken from another
// VM. Sums of such counts over any number of VMs do not overflow.
const MaxCount = 1 << 40
