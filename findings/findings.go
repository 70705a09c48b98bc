// Package findings collects the errors of a document with their place, so that
// all of them are reported together.
package findings

import (
	"fmt"
	"strings"
)

// Finding is one error in a document.
type Finding struct {
	File string
	// Line and Column count from 1; 0 when the place is not known.
	Line   int
	Column int
	// Path names the member, for example "jobs[2].database".
	Path    string
	Message string
}

// String returns "file:line:column: path: message".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Message)
}

// List is a set of findings in the order of their places. A non-empty List is
// an error.
type List []Finding

// Error returns one line for each finding.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns l as an error, or nil when l is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
