// Package render prints results as text and tables or as JSON.
package render

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// Output prints results to a writer.
type Output struct {
	Writer io.Writer
	// JSON selects JSON instead of text and tables.
	JSON bool
}

// Table is a result that can be printed as a table or as JSON.
type Table struct {
	Header []string
	Rows   [][]string
	// Value is encoded if the output is JSON.
	Value any
}

// Print prints a table or, as JSON, its Value.
func (o Output) Print(t Table) error {
	if o.JSON {
		return o.Encode(t.Value)
	}
	w := tabwriter.NewWriter(o.Writer, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.Header, "\t"))
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(printable(row), "\t"))
	}
	return w.Flush()
}

// printable replaces control characters by spaces. The cells hold text entered by
// other operators; control characters would break the table's layout or be
// interpreted by the terminal.
func printable(row []string) []string {
	cells := make([]string, len(row))
	for i, cell := range row {
		cells[i] = strings.Map(func(r rune) rune {
			if unicode.IsControl(r) {
				return ' '
			}
			return r
		}, cell)
	}
	return cells
}

// Result prints the formatted text or, as JSON, value.
func (o Output) Result(value any, format string, args ...any) error {
	if o.JSON {
		return o.Encode(value)
	}
	_, err := fmt.Fprintf(o.Writer, format+"\n", args...)
	return err
}

// Encode prints a value as indented JSON.
func (o Output) Encode(value any) error {
	e := json.NewEncoder(o.Writer)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(value)
}
