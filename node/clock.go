package node

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// clock returns monotonic time since the start of the daemon, so that changes of
// the wall clock have no effect.
type clock struct {
	start time.Time
}

// Now returns the time since the start of the daemon.
func (c clock) Now() model.Time { return model.Time(time.Since(c.start)) }

// At converts t, usually a deadline, to the time since the start of the daemon.
func (c clock) At(t time.Time) model.Time { return model.Time(t.Sub(c.start)) }
