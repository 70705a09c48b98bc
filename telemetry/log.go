// Package telemetry sets up logs, traces and the HTTP endpoints for metrics and
// health checks.
package telemetry

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// LogFormat is the format of log lines.
type LogFormat string

// Formats of log lines.
const (
	// FormatJSON writes one JSON object per line.
	FormatJSON LogFormat = "json"
	// FormatConsole writes human-readable lines.
	FormatConsole LogFormat = "text"
	// FormatAuto is FormatConsole on a terminal and FormatJSON otherwise.
	FormatAuto LogFormat = "auto"
)

// NewLogger returns a logger that writes to w. level is the name of a zerolog
// level.
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
