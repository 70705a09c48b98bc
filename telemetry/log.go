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

// LogFormat is how log lines are written.
type LogFormat string

// Forms of log lines.
const (
	// FormatJSON writes one JSON object a line.
	FormatJSON LogFormat = "json"
	// FormatConsole writes lines for a person.
	FormatConsole LogFormat = "text"
	// FormatAuto is FormatConsole on a terminal, else FormatJSON.
	FormatAuto LogFormat = "auto"
)

// NewLogger returns a logger that writes to w. level is one of zerolog's names.
func NewLogger(w *os.File, level string, format LogFormat) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("log level: %w", err)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(logWriter(w, format)).Level(parsed).With().Timestamp().Logger(), nil
}

func logWriter(w *os.File, format LogFormat) io.Writer {
	if format == FormatConsole || (format != FormatJSON && isTerminal(w)) {
		return zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly}
	}
	return w
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
