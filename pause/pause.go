// Package pause provides a sleep that ends early when a context ends.
package pause

import (
	"context"
	"time"
)

// For sleeps for d and returns true, or returns false as soon as ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
