package upstreamrun

import (
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// UsageCounter counts the requests of callers that began to run at an upstream: each
// statement outside of transactions, and each transaction with the first of its
// statements. Statements of the proxy itself are not requests.
type UsageCounter interface {
	// Began counts a request of a workspace that was sent at sentAt.
	Began(workspace string, sentAt model.Time)
}

// countUsage counts a request if its first statement, sent at sentAt, began to run. It
// reports whether it did.
func (l *Local) countUsage(workspace string, sentAt model.Time, a *upstreampool.Answer, err error) bool {
	if l.Usage == nil || !began(a, err) {
		return false
	}
	l.Usage.Began(workspace, sentAt)
	return true
}

// began reports whether a statement of a caller began to run at the upstream. Without an
// answer it probably did, once it was sent.
func began(a *upstreampool.Answer, err error) bool {
	if err != nil {
		return Sent(err)
	}
	switch a.Code {
	case "", lineproto.Failed, lineproto.Timeout:
		return true
	}
	return false
}
