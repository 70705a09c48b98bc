package upstream

import (
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Options configure a Server.
type Options struct {
	// ID names the upstream in messages; it has no other meaning.
	ID model.UpstreamID
	// Listen is the address to listen on; empty means a free port on loopback.
	Listen string
	// User and Password are the proxy's own credentials. Without a password
	// every client is accepted.
	User     string
	Password string
	// MaxConnections is the limit of sessions; 0 means none.
	MaxConnections int
	// Slots is the number of statements that run at once; 0 means no limit.
	// Control functions and transaction commands need no slot.
	Slots int
	// ConnectDelay delays each new session.
	ConnectDelay time.Duration
	// StatementDuration is added to each statement while it holds its slot.
	StatementDuration time.Duration
	// Primary makes the upstream start as the primary of FirstTerm.
	Primary bool
	// Follow is the address of the primary of FirstTerm, for a replica.
	Follow string
}

// FirstTerm is the term of a new group.
var FirstTerm = model.Term{Counter: 1, Proposer: "init"}

// defaultListen lets the system choose a free port.
const defaultListen = "127.0.0.1:0"
