// Package findings collects the errors of a document with their place, so that
// all of them are reported together.
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
	// Line and Column count from 1; 0 when the place is not known. Column
	// counts characters, not bytes.
	Line   int
	Column int
	// Path names the member, for example "jobs[2].database"; it is empty for
	// the document as a whole.
	Path    string
	Message string
}

// String returns "file:line:column: path: message", without the parts that are
// not known.
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

// Sort orders l by file, line and column; findings of one place keep their order.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(
			strings.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
		)
	})
}
