package upstreampool

import (
	"fmt"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
)

// RefusedError reports that the upstream refused the startup of a connection.
type RefusedError struct {
	Upstream model.UpstreamID
	Code     lineproto.Code
	Text     string
}

// Error returns a text with the upstream and its reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream %s refused the connection: %s %s", e.Upstream, e.Code, e.Text)
}

// Replaced reports whether another upstream answers at the address.
func (e *RefusedError) Replaced() bool {
	return e.Code == lineproto.Misrouted && e.Text != "" && e.Text != string(e.Upstream)
}

// BrokenError reports a connection that failed. Sent is set if the statement
// may have reached the upstream. Dialing is set if no connection was
// established: an upstream that accepts one and answers late may only be busy.
type BrokenError struct {
	Upstream model.UpstreamID
	Sent     bool
	Dialing  bool
	Err      error
}

// Error returns a text with the upstream and the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("connection to upstream %s broke (sent: %t): %v", e.Upstream, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
