package peer

import (
	"context"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// Parameters of the pings to a VM on which batches run. The keepalive of gRPC
// takes at least 10 s to detect a suspended VM.
const (
	pingInterval = 300 * time.Millisecond
	pingTimeout  = 500 * time.Millisecond
	// failureThreshold is the number of consecutive failed pings after which a
	// VM is unresponsive.
	failureThreshold = 2
)

// liveness pings the VMs on which batches of this VM run. It cancels the streams
// of the batches on an unresponsive VM, and pings such a VM until it answers.
type liveness struct {
	ping func(ctx context.Context, vm model.VMID) error
	// done is closed to stop all pings.
	done chan struct{}

	mu  sync.Mutex
	vms map[model.VMID]*watchedVM
}

// watchedVM is a VM that is pinged: batches run on it, or it is unresponsive.
type watchedVM struct {
	running             map[*remoteStream]struct{}
	consecutiveFailures int
	unresponsive        bool
}

func newLiveness(ping func(context.Context, model.VMID) error) *liveness {
	return &liveness{ping: ping, done: make(chan struct{}), vms: map[model.VMID]*watchedVM{}}
}

// unresponsive reports whether a VM does not answer pings.
func (l *liveness) unresponsive(vm model.VMID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.vms[vm]
	return w != nil && w.unresponsive
}

// begin registers the running batch of s. The first batch on a VM starts the
// pings.
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

// watch pings a VM until it answers and no batch runs on it.
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

// stopIfIdle removes a responsive VM without running batches, and reports whether
// it did.
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

// ping checks whether a VM answers. It fails for a VM whose address is no longer
// known.
func (c *Clients) ping(ctx context.Context, vm model.VMID) error {
	client, err := c.client(vm)
	if err != nil {
		return err
	}
	_, err = client.Ping(ctx, &peerv1.PingRequest{})
	return err
}
