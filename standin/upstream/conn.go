package upstream

import (
	"net"
	"sync"
)

// gate holds back all answers while it is closed.
type gate struct {
	mu sync.Mutex
	// open is closed while answers may pass.
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) passes() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		if !open {
			g.open = make(chan struct{})
		}
	default:
		if open {
			close(g.open)
		}
	}
}

// recorderLimit bounds the memory of the recorder, in bytes.
const recorderLimit = 64 << 20

// recorder keeps the bytes that clients sent.
type recorder struct {
	mu    sync.Mutex
	on    bool
	bytes []byte
}

func (r *recorder) add(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.on && len(r.bytes)+len(b) <= recorderLimit {
		r.bytes = append(r.bytes, b...)
	}
}

// gatedConn is a client's connection with the gate and the recorder.
type gatedConn struct {
	net.Conn
	gate      *gate
	recorder  *recorder
	closeOnce sync.Once
	closed    chan struct{}
}

func newConn(conn net.Conn, g *gate, r *recorder) *gatedConn {
	return &gatedConn{Conn: conn, gate: g, recorder: r, closed: make(chan struct{})}
}

// Read records what the client sent.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recorder.add(b[:n])
	return n, err
}

// Write waits for the gate.
func (c *gatedConn) Write(b []byte) (int, error) {
	select {
	case <-c.gate.passes():
	case <-c.closed:
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close also ends a Write that waits for the gate.
func (c *gatedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
