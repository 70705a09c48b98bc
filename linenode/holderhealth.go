package linenode

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"github.com/chervilhatch/chervilhatch/holderlink"
	"github.com/chervilhatch/chervilhatch/pause"
)

const (
	// holderSilence is how long a holder may leave everything unanswered before
	// it is checked; it is above what most statements take.
	holderCheckDelay = 250 * time.Millisecond
	// holderDelay is how much longer than the holder itself an answer may take
	// before the holder is checked.
	maxHolderOverhead = 60 * time.Millisecond
	// holderCheckTimeout is how long a check may take on a holder that is fit for
	// use: a VM that is stopped, frozen or slow takes longer.
	holderCheckTimeout = 60 * time.Millisecond
	// holderCheckInterval is the pause between two checks.
	holderCheckInterval = 150 * time.Millisecond
)

// holderState is what this VM knows of a holder, under the forwarder's mutex.
type holderState struct {
	// down holders get no new statements until a check succeeds.
	down     bool
	checking bool
	// answeredAt is when the holder last answered.
	answeredAt time.Time
}

// usable returns the connection to a holder that is fit for use, or nil.
func (f *forwarder) usable(h holderVM) *grpc.ClientConn {
	f.mu.Lock()
	down := f.state(h).down
	f.mu.Unlock()
	if down {
		return nil
	}
	link, err := f.links.get(h.address)
	if err != nil {
		f.cluster.log.Error().Err(err).Str("address", h.address).Msg("holder cannot be called")
		return nil
	}
	if link.GetState() != connectivity.Ready {
		link.Connect()
		return nil
	}
	return link
}

// state returns what is known of a holder, under the mutex.
func (f *forwarder) state(h holderVM) *holderState {
	s := f.holders[h.vm]
	if s == nil {
		s = &holderState{}
		f.holders[h.vm] = s
	}
	return s
}

// checkIfSilent has a holder checked if it leaves everything unanswered until the
// returned function is called.
func (f *forwarder) checkUnlessAnswered(h holderVM) (stop func()) {
	start := time.Now()
	timer := time.AfterFunc(holderCheckDelay, func() {
		f.mu.Lock()
		silent := f.state(h).answeredAt.Before(start)
		f.mu.Unlock()
		if silent {
			f.check(h)
		}
	})
	return func() { timer.Stop() }
}

// recordAnswer takes over what an answer, or its lack, tells about a holder.
func (f *forwarder) recordAnswer(h holderVM, start time.Time, r *holderlink.Report, err error) {
	var unreachable *holderlink.UnreachableError
	lost := errors.As(err, &unreachable)
	took := time.Since(start)
	f.mu.Lock()
	s := f.state(h)
	if lost && !unreachable.Timeout() || r.Stopping {
		s.down = true
	}
	if !lost {
		s.answeredAt = time.Now()
	}
	f.mu.Unlock()
	if lost {
		f.count("holder.lost")
	}
	if lost || r.Stopping || took-r.Spent > maxHolderOverhead {
		f.check(h)
	}
}

// check asks a holder until it answers in time and does not stop.
func (f *forwarder) check(h holderVM) {
	f.mu.Lock()
	s := f.state(h)
	alreadyChecking := s.checking
	s.checking = true
	f.mu.Unlock()
	if alreadyChecking {
		return
	}
	go func() {
		healthy := f.healthy(h)
		for !healthy && f.ctx.Err() == nil {
			f.setDown(h, true)
			pause.For(f.ctx, holderCheckInterval)
			healthy = f.healthy(h)
		}
		f.setDown(h, false)
		f.mu.Lock()
		s.checking = false
		f.mu.Unlock()
	}()
}

// fit reports whether a holder can be used, or is none any more.
func (f *forwarder) healthy(h holderVM) bool {
	if !f.members.isHolder(h) {
		return true
	}
	link, err := f.links.get(h.address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(f.ctx, holderCheckTimeout)
	defer cancel()
	stopping, err := holderlink.NewClient(h.vm, link).Check(ctx)
	return err == nil && !stopping
}

// setDown notes whether a holder gets new statements.
func (f *forwarder) setDown(h holderVM, down bool) {
	f.mu.Lock()
	s := f.state(h)
	changed := s.down != down
	s.down = down
	if !down {
		s.answeredAt = time.Now()
	}
	f.mu.Unlock()
	if changed {
		f.cluster.log.Info().Str("vm", string(h.vm)).Bool("down", down).Msg("holder of connections changed")
	}
}

// prune forgets VMs that are no holders any more.
func (f *forwarder) prune(holders []holderVM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for vm, s := range f.holders {
		held := slices.ContainsFunc(holders, func(h holderVM) bool { return h.vm == vm })
		if !held && !s.checking {
			delete(f.holders, vm)
		}
	}
}
