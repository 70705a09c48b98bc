package soak

import (
	"net"
	"sync"
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

// link is a TCP proxy in front of a target that injects faults.
type link struct {
	listener net.Listener
	target   func() string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

// newLink starts a link that is closed when the test ends. target returns the
// address to which new connections are forwarded.
func newLink(t *testing.T, target func() string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &link{listener: l, target: target, conns: map[net.Conn]bool{}}
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
	for c := range k.conns {
		abort(c)
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
	to, err := net.DialTimeout("tcp", k.target(), time.Second)
	if err != nil {
		abort(from)
		return
	}
	k.mu.Lock()
	k.conns[from], k.conns[to] = true, true
	k.mu.Unlock()
	go k.copy(to, from, false)
	k.copy(from, to, true)
}

// copy forwards one direction of a connection until it ends, and closes both sides.
// fromTarget is true for data that the target sends.
func (k *link) copy(to, from net.Conn, fromTarget bool) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		for k.blocks(fromTarget) {
			time.Sleep(linkPollInterval)
		}
		if k.currentMode() == delay {
			time.Sleep(linkDelay)
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
	delete(k.conns, to)
	delete(k.conns, from)
	k.mu.Unlock()
}

// blocks reports whether the mode holds back data of the direction.
func (k *link) blocks(fromTarget bool) bool {
	m := k.currentMode()
	return m == stall || m == stallResponses && fromTarget
}
