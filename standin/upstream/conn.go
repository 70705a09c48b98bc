package upstream

import (
	"net"
	"sync"
)

// gate blocks everything that the upstream sends while it is closed.
type gate struct {
	mu sync.Mutex
	// open is a closed channel while the gate is open, and an open channel while
	// the gate is closed.
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// passes returns a channel that is closed when the gate is open.
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

// recorderLimit is the maximum size of a recording in bytes.
const recorderLimit = 64 << 20

// recorder records the bytes that clients send.
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

// gatedConn is a connection of a client or a replica. The gate controls its
// writes, and the recorder records its reads.
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

// Read reads from the connection and records the bytes.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recorder.add(b[:n])
	return n, err
}

// Write waits until the gate is open.
func (c *gatedConn) Write(b []byte) (int, error) {
	select {
	case <-c.gate.passes():
	case <-c.closed:
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close closes the connection and ends a Write that waits for the gate.
func (c *gatedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
