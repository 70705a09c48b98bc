// Package sockopt sets options of TCP sockets that the net package lacks.
package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer's Control function. It ends a connection whose
// bytes are not acknowledged within d: a VM or a network link that is gone gives
// no other sign.
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
