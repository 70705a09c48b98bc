package cli

import (
	"errors"

	"github.com/chervilhatch/chervilhatch/cmd/chervilhatchctl/internal/client"
	"github.com/chervilhatch/chervilhatch/findings"
)

// Exit codes.
const (
	exitDone        = 0
	exitError       = 1
	exitFindings    = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitNotInForce  = 5
)

// Errors with a dedicated exit code.
var (
	errConflict   = errors.New("conflict")
	errUnknown    = errors.New("outcome unknown")
	errNotInForce = errors.New("not yet in force on every live VM")
)

// exitCode maps an error to an exit code.
func exitCode(err error) int {
	var list findings.List
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &list):
		return exitFindings
	case errors.Is(err, errConflict):
		return exitConflict
	case errors.Is(err, client.ErrUnavailable), errors.Is(err, errUnknown):
		return exitUnavailable
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	}
	return exitError
}
