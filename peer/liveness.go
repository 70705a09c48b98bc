package peer

import (
	"context"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// Pace of the pings to a VM on which batches run. gRPC's own keepalive needs at
// least 10 s to find a VM that was suspended.
const (
	pingInterval = 300 * time.Millisecond
	pingTimeout  = 500 * time.Millisecond
	// failureThreshold is how many pings in a row must fail.
	failureThreshold = 2
)

// liveness pings the VMs on which batches of this VM run, interrupts the
// batches on a VM that does not answer, and remembers such VMs until they
// answer again.
type liveness struct {
	ping func(ctx context.Context, vm model.VMID) error
	// done ends all watches.
	done chan struct{}

	mu  sync.Mutex
	vms map[model.VMID]*watchedVM
}

// watchedVM is a VM with running batches, or a silent one.
type watchedVM struct {
	running             map[*remoteStream]struct{}
	consecutiveFailures int
	unresponsive        bool
}

func newLiveness(ping func(context.Context, model.VMID) error) *liveness {
	return &liveness{ping: ping, done: make(chan struct{}), vms: map[model.VMID]*watchedVM{}}
}

// unresponsive reports whether a VM does not answer.
func (l *liveness) unresponsive(vm model.VMID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.vms[vm]
	return w != nil && w.unresponsive
}

// begin registers a running batch; the first one on a VM starts the pings.
func (l *liveness) begin(s *remoteStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.vms[s.vm]
	if w == nil {
		w = &watchedVM{running: map[*remoteStream]struct{}{}}
		l.vms[s.vm] = w
		go l.watch(s.vm, w)
	}
	w.running[s] = struct{}{}
}

func (l *liveness) end(s *remoteStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.vms[s.vm]; w != nil {
		delete(w.running, s)
	}
}

// watch pings until the VM answers and no batch runs on it.
func (l *liveness) watch(vm model.VMID, w *watchedVM) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.done:
			return
		}
		if l.stopIfIdle(vm, w) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		err := l.ping(ctx, vm)
		cancel()
		l.recordResult(w, err == nil)
	}
}

// stopIfIdle ends the watch of a VM without batches.
func (l *liveness) stopIfIdle(vm model.VMID, w *watchedVM) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(w.running) > 0 || w.unresponsive {
		return false
	}
	delete(l.vms, vm)
	return true
}

func (l *liveness) recordResult(w *watchedVM, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		w.consecutiveFailures = 0
		w.unresponsive = false
		return
	}
	w.consecutiveFailures++
	if w.consecutiveFailures < failureThreshold {
		return
	}
	w.unresponsive = true
	for s := range w.running {
		s.cancel()
	}
}

// ping asks a VM for a sign of life. A VM that is no longer listed does not
// answer.
func (c *Clients) ping(ctx context.Context, vm model.VMID) error {
	client, err := c.client(vm)
	if err != nil {
		return err
	}
	_, err = client.Ping(ctx, &peerv1.PingRequest{})
	return err
}
