package node

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// clock reads the monotonic time since the daemon's start, so that a jump of
// the wall clock has no effect.
type clock struct {
	start time.Time
}

// Now returns the monotonic time.
func (c clock) Now() model.Time { return model.Time(time.Since(c.start)) }

// At converts a deadline; the zero time becomes the given default from now.
func (c clock) At(t time.Time) model.Time { return model.Time(t.Sub(c.start)) }
