// Package sockopt sets TCP socket options that the net package does not support.
package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a function for net.Dialer.Control that sets TCP_USER_TIMEOUT:
// the kernel closes a connection whose sent data is not acknowledged within d. A
// peer VM or network link that fails is not detected otherwise, because it does
// not close the connection.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		set := func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		}
		if e := c.Control(set); e != nil {
			return e
		}
		return err
	}
}
