package frontend

import (
	"net"
	"testing"
	"time"
)

// TestWriteAfterLongPause guards against a session that ends because the write
// deadline of an earlier response has passed when the next one is sent.
func TestWriteAfterLongPause(t *testing.T) {
	proxy, caller := net.Pipe()
	defer caller.Close()
	s := &session{conn: proxy}
	s.setWriteDeadline(time.Now().Add(-time.Second))
	read := make(chan byte, 1)
	go func() {
		var b [1]byte
		_, _ = caller.Read(b[:])
		read <- b[0]
	}()
	if err := s.write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if got := <-read; got != 'x' {
		t.Errorf("read %q", got)
	}
}
