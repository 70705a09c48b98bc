// Package slopes measures how the cost of background work (the exchange between
// VMs and configuration changes) grows with the size of a deployment. It runs the
// code in its own process, without daemons.
package slopes

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Slope holds the costs of one kind of work at several sizes.
type Slope struct {
	// Name is the title of the table.
	Name string `json:"name"`
	// Size describes what is varied, and Columns the costs.
	Size    string   `json:"size"`
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
	// Note describes how the costs were measured.
	Note string `json:"note"`
}

// Row holds the costs at one size, in the order of the columns.
type Row struct {
	Size  float64   `json:"size"`
	Costs []float64 `json:"costs"`
}

// Markdown returns the slope as a table with the least-squares growth per unit
// of size.
func (s Slope) Markdown() string {
	var out strings.Builder
	fmt.Fprintf(&out, "\n### %s\n\n%s\n\n| %s |", s.Name, s.Note, s.Size)
	for _, column := range s.Columns {
		fmt.Fprintf(&out, " %s |", column)
	}
	out.WriteString("\n|" + strings.Repeat("---|", len(s.Columns)+1) + "\n")
	for _, row := range s.Rows {
		fmt.Fprintf(&out, "| %g |", row.Size)
		for _, cost := range row.Costs {
			fmt.Fprintf(&out, " %.4g |", cost)
		}
		out.WriteString("\n")
	}
	out.WriteString("| per unit |")
	for i := range s.Columns {
		fmt.Fprintf(&out, " %.3g |", s.perUnit(i))
	}
	out.WriteString("\n")
	return out.String()
}

// perUnit returns the slope of the least-squares line through the costs of a
// column.
func (s Slope) perUnit(column int) float64 {
	var n, x, y, xx, xy float64
	for _, row := range s.Rows {
		n++
		x += row.Size
		y += row.Costs[column]
		xx += row.Size * row.Size
		xy += row.Size * row.Costs[column]
	}
	return (n*xy - x*y) / (n*xx - x*x)
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage cannot fail for RUSAGE_SELF with a valid pointer.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// minimumTime is the processor time for which cost repeats a function.
const minimumTime = 300 * time.Millisecond

// cost returns the mean processor time of a call of f, including garbage
// collection.
func cost(f func()) time.Duration {
	f()
	runtime.GC()
	start := processorTime()
	n := 0
	for processorTime()-start < minimumTime {
		f()
		n++
	}
	return (processorTime() - start) / time.Duration(n)
}

// liveHeap returns the size of the heap in bytes after a garbage collection.
func liveHeap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
