package jsondoc

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as a string in a document, for
// example "1.5s" or "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d in the notation of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\" or \"5s\"", text)
	}
	*d = Duration(v)
	return nil
}
