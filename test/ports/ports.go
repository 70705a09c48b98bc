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
	first = 10_000
	count = 20_000
)

// last is the port that was chosen last. Test processes start at different ports.
var last atomic.Int64

func init() { last.Store(int64(os.Getpid()) * 211) }

// ErrNone means that no port is free.
var ErrNone = errors.New("no free port")

// Free returns an address that was free a moment ago and is not returned again soon.
func Free() (string, error) {
	for range count {
		address := fmt.Sprintf("127.0.0.1:%d", first+last.Add(1)%count)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", ErrNone
}
