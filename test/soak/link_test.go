package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// mode is the fault that a link injects.
type mode int32

const (
	// pass forwards without delay.
	pass mode = iota
	// delay forwards each chunk of data after linkDelay.
	delay
	// stall holds data back in both directions until the mode changes.
	stall
	// stallResponses holds back data from the target until the mode changes.
	stallResponses
	// refuse resets new connections.
	refuse
	// modeCount is the number of modes.
	modeCount
)

const (
	linkDelay        = 40 * time.Millisecond
	linkPollInterval = 2 * time.Millisecond
	linkBufferBytes  = 32 << 10
)

// deadClientTimeout is how long a target keeps a connection whose far end is cut off.
const deadClientTimeout = 3 * time.Second

// link is a TCP proxy in front of a target that injects faults.
type link struct {
	listener net.Listener
	target   func() string
	// clientOf returns the index of the VM at the far end of a connection, or -1. It is nil
	// for a link that is not cut.
	clientOf func(net.Conn) int

	mu     sync.Mutex
	mode   mode
	relays map[*relay]bool
	// cuts counts the cuts of each VM that are in effect.
	cuts map[int]int
}

// relay is one connection through a link. to is nil if it was opened during a cut.
type relay struct {
	from, to net.Conn
	client   int
	// dead is true from a cut on: the relay carries nothing any more, not even the end of the
	// connection, and is reset when the cut ends.
	dead atomic.Bool
}

// newLink starts a link that is closed when the test ends. target returns the
// address to which new connections are forwarded.
func newLink(t *testing.T, target func() string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &link{listener: l, target: target, relays: map[*relay]bool{}, cuts: map[int]int{}}
	t.Cleanup(func() { _ = l.Close(); k.reset() })
	go k.acceptLoop()
	return k
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) setMode(m mode) {
	k.mu.Lock()
	k.mode = m
	k.mu.Unlock()
}

func (k *link) currentMode() mode {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode
}

// reset closes all connections with a TCP reset.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for r := range k.relays {
		r.abort()
	}
}

// cut cuts VMs off from the target until restore is called: what they and the target send is
// dropped, and new connections get no answer. Connections that were open in the cut are reset
// when it ends, so that nothing sent during the cut arrives later.
func (k *link) cut(clients []int) (restore func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, client := range clients {
		k.cuts[client]++
	}
	for r := range k.relays {
		if k.cuts[r.client] > 0 && r.to != nil && r.dead.CompareAndSwap(false, true) {
			time.AfterFunc(deadClientTimeout, func() { abort(r.to) })
		}
	}
	return sync.OnceFunc(func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, client := range clients {
			k.cuts[client]--
		}
		for r := range k.relays {
			if k.cuts[r.client] <= 0 && r.dead.Load() {
				r.abort()
				delete(k.relays, r)
			}
		}
	})
}

// abort closes both connections of a relay with a TCP reset.
func (r *relay) abort() {
	abort(r.from)
	if r.to != nil {
		abort(r.to)
	}
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (k *link) acceptLoop() {
	for {
		from, err := k.listener.Accept()
		if err != nil {
			return
		}
		if k.currentMode() == refuse {
			abort(from)
			continue
		}
		go k.forward(from)
	}
}

func (k *link) forward(from net.Conn) {
	r := &relay{from: from, client: -1}
	if k.clientOf != nil {
		r.client = k.clientOf(from)
	}
	if k.addIfCut(r) {
		return
	}
	to, err := net.DialTimeout("tcp", k.target(), time.Second)
	if err != nil {
		abort(from)
		return
	}
	k.mu.Lock()
	r.to = to
	r.dead.Store(k.cuts[r.client] > 0)
	k.relays[r] = true
	k.mu.Unlock()
	go k.copy(r, to, from, false)
	k.copy(r, from, to, true)
}

// addIfCut adds a relay without a connection to the target if its VM is cut off.
func (k *link) addIfCut(r *relay) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cuts[r.client] <= 0 {
		return false
	}
	r.dead.Store(true)
	k.relays[r] = true
	return true
}

// copy forwards one direction of a connection until it ends, and closes both sides.
// fromTarget is true for data that the target sends.
func (k *link) copy(r *relay, to, from net.Conn, fromTarget bool) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		for k.blocks(fromTarget) {
			time.Sleep(linkPollInterval)
		}
		if k.currentMode() == delay {
			time.Sleep(linkDelay)
		}
		if r.dead.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, e := to.Write(buffer[:n]); e != nil {
				err = e
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	k.mu.Lock()
	delete(k.relays, r)
	k.mu.Unlock()
}

// blocks reports whether the mode holds back data of the direction.
func (k *link) blocks(fromTarget bool) bool {
	m := k.currentMode()
	return m == stall || m == stallResponses && fromTarget
}
