package node

import (
	"context"
	"time"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/membership"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/pause"
)

// Limits of a graceful shutdown.
const (
	// leaveTimeout bounds how long the daemon waits to be removed from its zone's
	// record, so that other VMs stop sending it work before it exits.
	leaveTimeout     = 3 * time.Second
	stopPollInterval = 20 * time.Millisecond
)

// Stop shuts down gracefully: callers' transactions finish, requests from peers
// finish, and owned seats and tokens are released. When ctx ends first, the
// remaining work is interrupted.
func (n *Node) Stop(ctx context.Context) {
	n.log.Info().Msg("stopping")
	if err := n.callers.stop(ctx); err != nil {
		n.log.Warn().Err(err).Msg("sessions were interrupted")
	}
	n.loop.apply(&core.Event{Membership: &membership.Event{Kind: membership.EventStopping}})
	n.waitFor(ctx, n.idle)
	n.loop.apply(&core.Event{Membership: &membership.Event{Kind: membership.EventStopped}})
	n.exchanger.TriggerAll()
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	n.waitFor(leaveCtx, n.hasLeft)
	cancel()
	n.close()
	n.log.Info().Msg("stopped")
}

// close terminates all remaining work and closes all connections.
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
		pause.For(ctx, stopPollInterval)
	}
}

// idle reports whether no request runs or waits on the upstreams that this VM
// holds.
func (n *Node) idle() bool {
	n.poolMu.Lock()
	defer n.poolMu.Unlock()
	idle := true
	n.loop.view(func(_ model.Time, s *core.State) {
		for u := range n.pools.managed {
			running, waiting := s.Fairness.Load(u)
			idle = idle && running+waiting == 0
		}
	})
	return idle
}

// hasLeft reports whether the zone's record no longer names this VM, or this VM
// is the only member, so that no other VM can take over.
func (n *Node) hasLeft() bool {
	hasLeft := true
	n.loop.view(func(_ model.Time, s *core.State) {
		members := s.Membership.Record(n.zone).Members
		for _, m := range members {
			hasLeft = hasLeft && (m.VM != n.self || len(members) == 1)
		}
	})
	return hasLeft
}
