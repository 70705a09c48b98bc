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
	// holderCheckDelay is how long a call waits for any answer of the holder before
	// the holder is checked. It is longer than most statements take.
	holderCheckDelay = 250 * time.Millisecond
	// maxHolderOverhead is by how much an answer may take longer than the time that
	// the holder reports to have spent, before the holder is checked.
	maxHolderOverhead = 60 * time.Millisecond
	// holderCheckTimeout is how long a check of a healthy holder takes at most. A VM
	// that is stopped, suspended or overloaded takes longer.
	holderCheckTimeout = 60 * time.Millisecond
	// holderCheckInterval is the pause between two checks of a holder that is down.
	holderCheckInterval = 150 * time.Millisecond
)

// holderState is what this VM knows of a holder. It is guarded by the forwarder's
// mutex.
type holderState struct {
	// down is true while the holder gets no new statements, until a check succeeds.
	down bool
	// checking is true while checks of the holder run.
	checking bool
	// answeredAt is the time of the last answer of the holder.
	answeredAt time.Time
}

// usable returns the connection to a holder that can get statements, or nil.
func (f *forwarder) usable(h holderVM) *grpc.ClientConn {
	f.mu.Lock()
	down := f.state(h).down
	f.mu.Unlock()
	if down {
		return nil
	}
	link, err := f.links.get(h.address)
	if err != nil {
		f.cluster.log.Error().Err(err).Str("address", h.address).Msg("cannot create gRPC client for holder")
		return nil
	}
	if link.GetState() != connectivity.Ready {
		link.Connect()
		return nil
	}
	return link
}

// state returns the state of a holder, a new one if there is none. The caller holds
// mu.
func (f *forwarder) state(h holderVM) *holderState {
	s := f.holders[h.vm]
	if s == nil {
		s = &holderState{}
		f.holders[h.vm] = s
	}
	return s
}

// checkUnlessAnswered checks a holder after holderCheckDelay if it has answered no
// call in that time. stop cancels this; it has to be called when the call ends.
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

// recordAnswer records what the result of a call shows about a holder. A lost
// connection or a holder that is stopping is down at once; a timeout or a slow answer
// leads to a check.
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

// check checks a holder in the background until it is healthy. The holder is down from
// the first failed check on.
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

// healthy reports whether a holder answers a check in time and is not stopping. It
// also returns true for a VM that is no longer a holder, which ends its checks.
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

// setDown sets whether a holder gets no new statements.
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

// prune removes the state of VMs that are no longer holders.
func (f *forwarder) prune(holders []holderVM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for vm, s := range f.holders {
		isHolder := slices.ContainsFunc(holders, func(h holderVM) bool { return h.vm == vm })
		if !isHolder && !s.checking {
			delete(f.holders, vm)
		}
	}
}
