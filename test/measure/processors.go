package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// processorUsage is the processor time that a measurement used, as the average
// number of busy cores.
type processorUsage struct {
	Name       string `json:"name"`
	Deployment string `json:"deployment"`
	// Measuring is the measuring process: load generator, links and stand-ins.
	Measuring float64 `json:"measuring"`
	Daemons   float64 `json:"daemons"`
}

// processorMeter measures the processor time used since it was created.
type processorMeter struct {
	testbed *testbed
	started time.Time
	own     time.Duration
	daemons time.Duration
}

func (b *testbed) startProcessorMeter() processorMeter {
	return processorMeter{b, time.Now(), ownProcessorTime(), b.daemonsProcessorTime()}
}

// ownProcessorTime returns the processor time of this process.
func ownProcessorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage cannot fail for RUSAGE_SELF with a valid pointer.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// daemonsProcessorTime returns the processor time of all running daemons.
func (b *testbed) daemonsProcessorTime() time.Duration {
	var total time.Duration
	for _, d := range b.Daemons {
		if usage, err := d.Usage(); err == nil {
			total += usage.CPUTime
		}
	}
	return total
}

func (m processorMeter) result(name string) processorUsage {
	wall := time.Since(m.started).Seconds()
	return processorUsage{
		Name: name, Deployment: m.testbed.name,
		Measuring: (ownProcessorTime() - m.own).Seconds() / wall,
		// The processor time of a restarted daemon starts again at 0.
		Daemons: max(0, (m.testbed.daemonsProcessorTime()-m.daemons).Seconds()/wall),
	}
}

// writeProcessors shows whether the machine or the measuring process was
// saturated.
func (r *record) writeProcessors(out *strings.Builder) {
	fmt.Fprintf(out, "\n## Processor time\n\nCores used on average, of %d. The measuring process has the load generator, the links and "+
		"all stand-ins.\n\n| deployment | measurement | measuring process | all daemons |\n|---|---|---|---|\n", r.Cores)
	for _, p := range r.Processors {
		fmt.Fprintf(out, "| %s | %s | %.2f | %.2f |\n", p.Deployment, p.Name, p.Measuring, p.Daemons)
	}
}
