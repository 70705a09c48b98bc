package lineproto

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// Control commands that the proxy sends to upstreams. The answer to each of them
// is the upstream's status.
const (
	StatusCommand = "STATUS"
	ResumeCommand = "RESUME"
)

// PauseCommand tells a replica to stop receiving the log from primaries of terms
// below term.
func PauseCommand(term uint64) string { return "PAUSE " + strconv.FormatUint(term, 10) }

// StepDownCommand demotes a primary of a term below term to a replica.
func StepDownCommand(term uint64) string { return "STEPDOWN " + strconv.FormatUint(term, 10) }

// StatusRow is an upstream's status as it answers a control command.
type StatusRow struct {
	Primary bool
	Term    uint64
	// Received is the end of the upstream's log.
	Received model.Position
	// FencedTerm is the term for which the upstream is paused, 0 if it is not.
	FencedTerm uint64
	Lag        time.Duration
	// Busy is the number of statements that the upstream is running.
	Busy int
	// Connections is the number of open connections to the upstream.
	Connections int
}

// Indexes of the fields of a status row.
const (
	fieldRole = iota
	fieldTerm
	fieldReceived
	fieldFencedTerm
	fieldLag
	fieldBusy
	fieldConnections
	numStatusFields
)

// ParseStatus decodes the rows of the answer to a control command.
func ParseStatus(rows []string) (StatusRow, error) {
	if len(rows) != 1 {
		return StatusRow{}, fmt.Errorf("%w: status answer has %d rows, want 1", ErrSyntax, len(rows))
	}
	f := strings.Fields(rows[0])
	if len(f) < numStatusFields {
		return StatusRow{}, fmt.Errorf("%w: status %q", ErrSyntax, rows[0])
	}
	received, err := ParsePosition(f[fieldReceived])
	if err != nil {
		return StatusRow{}, err
	}
	numbers := make([]float64, numStatusFields)
	for _, i := range []int{fieldTerm, fieldFencedTerm, fieldLag, fieldBusy, fieldConnections} {
		if numbers[i], err = strconv.ParseFloat(f[i], 64); err != nil {
			return StatusRow{}, fmt.Errorf("%w: status %q", ErrSyntax, rows[0])
		}
	}
	return StatusRow{
		Primary: f[fieldRole] == "primary", Term: uint64(numbers[fieldTerm]), Received: received,
		FencedTerm: uint64(numbers[fieldFencedTerm]), Lag: time.Duration(numbers[fieldLag] * float64(time.Millisecond)),
		Busy: int(numbers[fieldBusy]), Connections: int(numbers[fieldConnections]),
	}, nil
}
