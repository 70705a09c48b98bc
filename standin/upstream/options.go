package upstream

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Options configure a Server.
type Options struct {
	// ID identifies the upstream in a Group and in errors.
	ID model.UpstreamID
	// Listen is the address to listen on; empty means a free port on loopback.
	Listen string
	// User and Password are the credentials that the proxy has to use. If the
	// password is empty, every client is accepted.
	User     string
	Password string
	// MaxConnections is the maximum number of sessions; 0 means no limit.
	MaxConnections int
	// Slots is the maximum number of statements that run concurrently; 0 means
	// no limit. Control functions and transaction commands need no slot.
	Slots int
	// ConnectDelay delays the authentication of each new session.
	ConnectDelay time.Duration
	// StatementDuration is added to the duration of each statement, while it
	// holds its slot.
	StatementDuration time.Duration
	// Primary makes the upstream start as the primary of FirstTerm.
	Primary bool
	// Follow makes the upstream start as a replica of the primary of FirstTerm,
	// which has this address.
	Follow string
}

// FirstTerm is the term of a new group.
var FirstTerm = model.Term{Counter: 1, Proposer: "init"}

// defaultListen makes the operating system choose a free port.
const defaultListen = "127.0.0.1:0"
