// Package telemetry sets up the daemon's logs, metrics, health pages and
// traces.
package telemetry

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// LogForm is how log lines are written.
type LogForm string

// Forms of log lines.
const (
	// FormJSON writes one JSON object a line.
	FormJSON LogForm = "json"
	// FormConsole writes lines for a person.
	FormConsole LogForm = "text"
	// FormAuto is FormConsole on a terminal, else FormJSON.
	FormAuto LogForm = "auto"
)

// NewLogger returns a logger that writes to w. level is one of zerolog's names.
func NewLogger(w *os.File, level string, form LogForm) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level: %w", err)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(logWriter(w, form)).Level(parsed).With().Timestamp().Logger(), nil
}

func logWriter(w *os.File, form LogForm) io.Writer {
	if form == FormConsole || (form != FormJSON && isTerminal(w)) {
		return zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly}
	}
	return w
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
