// Package ports finds free addresses for processes that a test starts later.
package ports

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Free returns ports below the ephemeral range of the kernel. Otherwise an outgoing
// connection, or a listener of another test on port 0, could take a port before the
// process for which it was found listens on it.
const (
	firstPort = 10_000
	portCount = 20_000
)

// lastOffset is the offset, modulo portCount, of the port that was tried last. It starts
// at a value that depends on the process id, so that concurrent test processes try
// different ports.
var lastOffset atomic.Int64

func init() { lastOffset.Store(int64(os.Getpid()) * 211) }

// ErrNoFreePort means that no port of the range is free.
var ErrNoFreePort = errors.New("no free port")

// Free returns an address that was free at the time of the call. The process does not
// get the same address again until all other ports have been tried.
func Free() (string, error) {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+lastOffset.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", ErrNoFreePort
}
