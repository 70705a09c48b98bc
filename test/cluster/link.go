package cluster

import (
	"net"
	"time"
)

// Bounds of a link's buffers: chunks of a direction that wait for their delay.
const (
	linkChunks    = 1024
	linkChunkSize = 32 << 10
)

// chunk is data that is due at the other end of a link.
type chunk struct {
	due  time.Time
	data []byte
}

// link forwards TCP connections to a target and delays each direction. It
// stands for the network between zones and to clients.
type link struct {
	target string
	delay  time.Duration
}

// startLink listens on loopback and returns the link's address. With no delay
// the address is that of the target.
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

// copy sends what it reads from one side to the other after the delay. The end
// of one side ends both, also after the delay.
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
		// Lets the reader end.
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
