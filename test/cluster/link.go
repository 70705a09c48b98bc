package cluster

import (
	"net"
	"time"
)

// Limits on the data that a link buffers in each direction while it is delayed.
const (
	linkChunks    = 1024
	linkChunkSize = 32 << 10
)

// chunk is data that a link has received and forwards when it is due.
type chunk struct {
	due  time.Time
	data []byte
}

// link forwards TCP connections to a target and delays both directions. It
// simulates the network latency between zones and from callers.
type link struct {
	target string
	delay  time.Duration
}

// startLink starts a link to target and returns the link's loopback address. If
// delay is 0, it starts no link and returns target.
func (c *Cluster) startLink(target string, delay time.Duration) (string, error) {
	if delay == 0 {
		return target, nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.listeners = append(c.listeners, l)
	k := &link{target: target, delay: delay}
	go k.accept(l)
	return l.Addr().String(), nil
}

func (k *link) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go k.forward(conn)
	}
}

func (k *link) forward(caller net.Conn) {
	target, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	go k.copy(target, caller)
	k.copy(caller, target)
}

// copy forwards data from one connection to the other after the delay. When the
// source is closed or a write fails, it closes both connections, also after the
// delay of the data that was read before.
func (k *link) copy(to, from net.Conn) {
	chunks := make(chan chunk, linkChunks)
	go k.read(from, chunks)
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	for range chunks {
		// Drains the channel so that the reading goroutine can exit.
	}
}

func (k *link) read(from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, linkChunkSize)
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{time.Now().Add(k.delay), buffer[:n:n]}
		}
		if err != nil {
			return
		}
	}
}
