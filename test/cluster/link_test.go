package cluster

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a link that loses or reorders data, forwards it without the
// delay, or stays open after one end has closed its connection.
func TestLink(t *testing.T) {
	const delay = 20 * time.Millisecond
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	go echo(target)
	c := &Cluster{}
	address, err := c.startLink(target.Addr().String(), delay)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	start := time.Now()
	if _, err := conn.Write([]byte("first second.")); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	if err != nil || string(got) != "first second." {
		t.Fatalf("got %q, %v", got, err)
	}
	if roundTrip := time.Since(start); roundTrip < 2*delay {
		t.Errorf("there and back in %s, one way is %s", roundTrip, delay)
	}
}

// echo accepts one connection, sends back what it receives and closes the
// connection after a full stop.
func echo(l net.Listener) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	buffer := make([]byte, 64)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		if _, err := conn.Write(buffer[:n]); err != nil || buffer[n-1] == '.' {
			return
		}
	}
}
