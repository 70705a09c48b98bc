package cluster

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/test/ports"
)

// PlatformSite is the platform's name as an end of a link. The other ends are
// the availability zones.
const PlatformSite = "platform"

// route is one direction between two sites.
type route struct{ from, to string }

// Network relays the connections from daemons to each other, to the platform
// and to the upstreams, and cuts or delays the links between their sites. A
// cut holds the bytes back, as a partition does whose packets are sent again:
// they arrive when the link is restored, unless an end has given up.
type Network struct {
	mu      sync.Mutex
	cut     map[route]bool
	delay   map[route]time.Duration
	sites   map[int]string
	changed chan struct{}
	closed  bool
	// listeners and conns are closed by close.
	listeners []net.Listener
	conns     map[net.Conn]bool
}

func newNetwork() *Network {
	return &Network{
		cut:     map[route]bool{},
		delay:   map[route]time.Duration{},
		sites:   map[int]string{},
		changed: make(chan struct{}),
		conns:   map[net.Conn]bool{},
	}
}

// Cut stops what from sends to to. The other direction stays as it is.
func (n *Network) Cut(from, to string) { n.set(func() { n.cut[route{from, to}] = true }) }

// Isolate cuts both directions between a site and others.
func (n *Network) Isolate(site string, others ...string) {
	n.set(func() {
		for _, other := range others {
			n.cut[route{site, other}] = true
			n.cut[route{other, site}] = true
		}
	})
}

// SetDelay delays what from sends to to.
func (n *Network) SetDelay(from, to string, d time.Duration) {
	n.set(func() { n.delay[route{from, to}] = d })
}

// Heal ends all cuts and delays.
func (n *Network) Heal() {
	n.set(func() {
		clear(n.cut)
		clear(n.delay)
	})
}

func (n *Network) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// register tells the site of a daemon's process.
func (n *Network) register(pid int, site string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[pid] = site
}

// listen relays connections to target, which is at a site, and returns the
// address to connect to. userTimeout is the TCP_USER_TIMEOUT that the
// connecting process sets, or 0: the relay's end acknowledges what a cut holds
// back, so the relay itself ends the connection for it.
func (n *Network) listen(site, target string, userTimeout time.Duration) (string, error) {
	address, err := ports.Free()
	if err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go n.accept(l, site, target, userTimeout)
	return address, nil
}

func (n *Network) accept(l net.Listener, site, target string, userTimeout time.Duration) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go n.relay(conn, site, target, userTimeout)
	}
}

// relay connects a daemon with the target. The link is passed for the first
// time before the target is dialed.
func (n *Network) relay(near net.Conn, site, target string, userTimeout time.Duration) {
	if !n.keep(near) {
		return
	}
	defer n.drop(near)
	from, ok := n.siteOf(near)
	if !ok || !n.pass(route{from, site}, near, userTimeout) {
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil || !n.keep(far) {
		return
	}
	defer n.drop(far)
	done := make(chan struct{}, 2)
	go n.copy(far, near, route{from, site}, userTimeout, done)
	go n.copy(near, far, route{site, from}, 0, done)
	<-done
	<-done
}

// relayBufferBytes is how much one read of a relay takes.
const relayBufferBytes = 32 << 10

// copy relays one direction. The end of the stream passes the link too.
func (n *Network) copy(to, from net.Conn, r route, userTimeout time.Duration, done chan<- struct{}) {
	buffer := make([]byte, relayBufferBytes)
	for {
		size, err := from.Read(buffer)
		if !n.pass(r, from, userTimeout) {
			break
		}
		if size > 0 {
			if _, failed := to.Write(buffer[:size]); failed != nil {
				break
			}
		}
		if err != nil {
			n.end(to, err)
			break
		}
	}
	done <- struct{}{}
}

// end passes on the end of a stream: a half close, or a failure of the connection.
func (n *Network) end(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
		_ = tcp.CloseWrite()
		return
	}
	_ = to.Close()
}

// pass waits until the link is not cut and its delay is over. It returns false
// when the network is closed. The sender's connection is reset when the wait
// takes longer than its userTimeout; the other end does not learn of it before
// the cut ends.
func (n *Network) pass(r route, sender net.Conn, userTimeout time.Duration) bool {
	var expired <-chan time.Time
	if userTimeout > 0 {
		timer := time.NewTimer(userTimeout)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		n.mu.Lock()
		cut, delay, changed, closed := n.cut[r], n.delay[r], n.changed, n.closed
		n.mu.Unlock()
		if closed {
			return false
		}
		if !cut {
			time.Sleep(delay)
			return true
		}
		select {
		case <-changed:
		case <-expired:
			reset(sender)
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (n *Network) keep(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = conn.Close()
		return false
	}
	n.conns[conn] = true
	return true
}

func (n *Network) drop(conn net.Conn) {
	_ = conn.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

func (n *Network) close() {
	n.set(func() { n.closed = true })
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for conn := range n.conns {
		_ = conn.Close()
	}
}
