// Package render prints results as tables for people or as JSON for programs.
package render

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// Output prints to one writer.
type Output struct {
	Writer io.Writer
	// JSON selects JSON instead of tables.
	JSON bool
}

// Table is a result in both forms.
type Table struct {
	Header []string
	Rows   [][]string
	// Value is what JSON output encodes.
	Value any
}

// Print prints a table.
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

// printable replaces control characters, which would break the table or reach
// the terminal. The texts come from other operators.
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

// Result prints a single result: text for people, value for programs.
func (o Output) Result(value any, format string, args ...any) error {
	if o.JSON {
		return o.Encode(value)
	}
	_, err := fmt.Fprintf(o.Writer, format+"\n", args...)
	return err
}

// Encode prints a value as JSON.
func (o Output) Encode(value any) error {
	e := json.NewEncoder(o.Writer)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(value)
}
