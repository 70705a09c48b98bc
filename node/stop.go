package node

import (
	"context"
	"time"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/pause"
)

// Bounds of a graceful shutdown.
const (
	// releaseWait is how long the daemon waits until its zone's record no
	// longer names it, so that other VMs stop to send it work first.
	releaseWait = 3 * time.Second
	stopPoll    = 20 * time.Millisecond
)

// Stop shuts down gracefully: callers' transactions finish, owned seats and
// tokens are released, and work of peers ends. When ctx ends first, what is
// left is interrupted.
func (n *Node) Stop(ctx context.Context) {
	n.log.Info().Msg("stopping")
	if err := n.callers.stop(ctx); err != nil {
		n.log.Warn().Err(err).Msg("sessions were interrupted")
	}
	n.loop.apply(&core.Event{Membership: &membership.Event{Kind: membership.EventStopping}})
	n.waitFor(ctx, n.idle)
	n.loop.apply(&core.Event{Membership: &membership.Event{Kind: membership.EventStopped}})
	n.exchanger.TriggerAll()
	leave, cancel := context.WithTimeout(ctx, releaseWait)
	n.waitFor(leave, n.left)
	cancel()
	n.close()
	n.log.Info().Msg("stopped")
}

// close ends everything at once.
func (n *Node) close() {
	n.cancel()
	for _, s := range n.grpc {
		s.Stop()
	}
	n.clients.Close()
	n.wg.Wait()
	n.poolMu.Lock()
	n.pools.closeAll()
	n.poolMu.Unlock()
	n.control.Close()
	n.executor.calls.Wait()
	n.relay.wg.Wait()
}

func (n *Node) waitFor(ctx context.Context, done func() bool) {
	for ctx.Err() == nil && !done() {
		pause.For(ctx, stopPoll)
	}
}

// idle reports whether no request runs or waits on the upstreams held here.
func (n *Node) idle() bool {
	n.poolMu.Lock()
	defer n.poolMu.Unlock()
	idle := true
	n.loop.view(func(_ model.Time, s *core.State) {
		for u := range n.pools.held {
			running, waiting := s.Fairness.Load(u)
			idle = idle && running+waiting == 0
		}
	})
	return idle
}

// left reports whether the zone's record no longer names this VM, or no other
// VM is there to take over.
func (n *Node) left() bool {
	left := true
	n.loop.view(func(_ model.Time, s *core.State) {
		members := s.Membership.Record(n.zone).Members
		for _, m := range members {
			left = left && (m.VM != n.self || len(members) == 1)
		}
	})
	return left
}
