// Package findings represents the errors found in a document with their location, so
// that all of them can be reported at once.
package findings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a document.
type Finding struct {
	File string
	// Line and Column are 1-based, or 0 if the location is unknown. Column counts
	// characters, not bytes.
	Line   int
	Column int
	// Path identifies the member, for example "jobs[2].database". It is empty if
	// the finding concerns the whole document.
	Path    string
	Message string
}

// String returns "file:line:column: path: message". Parts that are unknown or empty
// are omitted.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List is a list of findings. It implements error; Err returns nil for an empty
// list.
type List []Finding

// Error returns the findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns l as an error, or nil if l is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort sorts l by file, line and column. The sort is stable.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(
			strings.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
		)
	})
}
