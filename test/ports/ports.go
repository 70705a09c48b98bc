// Package ports finds addresses for processes that a test starts later.
package ports

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports lie below the range from which the system takes ports of its own
// choice; otherwise an outgoing connection, or a listener of another test, could
// take a port between its choice and the start of the process that it is for.
const (
	firstPort = 10_000
	portCount = 20_000
)

// lastOffset is the offset of the port that was chosen last. Test processes start at different ports.
var lastOffset atomic.Int64

func init() { lastOffset.Store(int64(os.Getpid()) * 211) }

// ErrNoFreePort means that no port is free.
var ErrNoFreePort = errors.New("no free port")

// Free returns an address that was free a moment ago and is not returned again soon.
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
