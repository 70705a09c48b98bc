package cluster

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/test/ports"
)

// PlatformSite is the platform's name as a site. The other sites are the
// availability zones.
const PlatformSite = "platform"

// direction is one direction of the link between two sites.
type direction struct{ from, to string }

// Network relays the connections from daemons to each other, to the platform
// and to the upstreams, and cuts or delays the links between their sites. A cut
// link holds data back instead of dropping it. This corresponds to a network
// partition with TCP retransmission: the data arrives when the link is restored,
// unless an end has closed the connection by then.
type Network struct {
	mu      sync.Mutex
	cut     map[direction]bool
	delay   map[direction]time.Duration
	sites   map[int]string
	changed chan struct{}
	closed  bool
	// listeners and conns are open; close closes them.
	listeners []net.Listener
	conns     map[net.Conn]bool
}

func newNetwork() *Network {
	return &Network{
		cut:     map[direction]bool{},
		delay:   map[direction]time.Duration{},
		sites:   map[int]string{},
		changed: make(chan struct{}),
		conns:   map[net.Conn]bool{},
	}
}

// Cut holds back the data from one site to another. It does not affect the
// opposite direction.
func (n *Network) Cut(from, to string) { n.update(func() { n.cut[direction{from, to}] = true }) }

// Isolate cuts both directions between a site and each of the others.
func (n *Network) Isolate(site string, others ...string) {
	n.update(func() {
		for _, other := range others {
			n.cut[direction{site, other}] = true
			n.cut[direction{other, site}] = true
		}
	})
}

// SetDelay sets the delay of data from one site to another.
func (n *Network) SetDelay(from, to string, d time.Duration) {
	n.update(func() { n.delay[direction{from, to}] = d })
}

// Heal removes all cuts and delays.
func (n *Network) Heal() {
	n.update(func() {
		clear(n.cut)
		clear(n.delay)
	})
}

func (n *Network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// register records the site of a daemon's process.
func (n *Network) register(pid int, site string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[pid] = site
}

// listen starts a relay to target, which is at a site, and returns the relay's
// address. userTimeout is the TCP_USER_TIMEOUT that clients set, or 0 for none.
// The kernel acknowledges data that the relay holds back, so the timeout does
// not expire at the client; the relay resets the connection instead.
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

// relay forwards a client's connection to the target. The link has to be open
// before it dials the target, so a cut link also holds back new connections.
func (n *Network) relay(client net.Conn, site, target string, userTimeout time.Duration) {
	if !n.track(client) {
		return
	}
	defer n.untrack(client)
	from, ok := n.siteOf(client)
	if !ok || !n.awaitLink(direction{from, site}, client, userTimeout) {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil || !n.track(server) {
		return
	}
	defer n.untrack(server)
	done := make(chan struct{}, 2)
	go n.copy(server, client, direction{from, site}, userTimeout, done)
	go n.copy(client, server, direction{site, from}, 0, done)
	<-done
	<-done
}

// relayBufferBytes is the maximum size of one read by a relay.
const relayBufferBytes = 32 << 10

// copy forwards the data of one direction, and then the end of the stream, each
// when the link lets it through.
func (n *Network) copy(to, from net.Conn, d direction, userTimeout time.Duration, done chan<- struct{}) {
	buffer := make([]byte, relayBufferBytes)
	for {
		size, err := from.Read(buffer)
		if !n.awaitLink(d, from, userTimeout) {
			break
		}
		if size > 0 {
			if _, failed := to.Write(buffer[:size]); failed != nil {
				break
			}
		}
		if err != nil {
			n.forwardClose(to, err)
			break
		}
	}
	done <- struct{}{}
}

// forwardClose forwards the end of a stream: it half-closes the connection after
// io.EOF and closes it after any other error.
func (n *Network) forwardClose(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
		_ = tcp.CloseWrite()
		return
	}
	_ = to.Close()
}

// awaitLink waits until the link is not cut and then for its delay. It returns
// false if the network is closed. It resets the sender's connection if the cut
// lasts longer than userTimeout; the receiver does not see this before the cut
// ends.
func (n *Network) awaitLink(d direction, sender net.Conn, userTimeout time.Duration) bool {
	var expired <-chan time.Time
	if userTimeout > 0 {
		timer := time.NewTimer(userTimeout)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		n.mu.Lock()
		cut, delay, changed, closed := n.cut[d], n.delay[d], n.changed, n.closed
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

func (n *Network) track(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = conn.Close()
		return false
	}
	n.conns[conn] = true
	return true
}

func (n *Network) untrack(conn net.Conn) {
	_ = conn.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

func (n *Network) close() {
	n.update(func() { n.closed = true })
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for conn := range n.conns {
		_ = conn.Close()
	}
}
